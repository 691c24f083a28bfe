package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// replicatedCluster is a cluster with three control members, one agent with its
// backend servers, and one entry.
type replicatedCluster struct {
	*cluster
	control []string
	ops     string
}

const operatorKeySHA = "ed4f0b24c45258342c1851760d29b3f5eafedafde021ae3bad6af8aa7466ae3e" // SHA-256 of "quickstart"

func newReplicatedCluster(t *testing.T) *replicatedCluster {
	g := &replicatedCluster{cluster: &cluster{t: t, folder: t.TempDir(), processes: map[string]*process{}}}
	c := g.cluster
	engine, desk, ops := freePort(t), freePort(t), freePort(t)
	c.writeFile("config.d/10.ini", fmt.Sprintf(declaration, engine, 8, engine, 8, desk))
	c.startDaemon("s1", "standin", fmt.Sprintf(
		"[standin coach-1]\nlisten = %s\n[standin desk-1]\nkind = plain\nlisten = %s\n", engine, desk))
	g.startControl()
	controlAddresses := strings.Join(g.control, ", ")
	c.startDaemon("a1", "agent", fmt.Sprintf(
		"peer_listen = %s\ncontrol_addresses = %s\n[agent]\nlink_listen = %s\n",
		freePort(t), controlAddresses, freePort(t)))
	listen := freePort(t)
	c.startDaemon("e1", "entry", fmt.Sprintf(
		"peer_listen = %s\nops_listen = %s\ncontrol_addresses = %s\n[entry]\nlisten = %s\n",
		freePort(t), ops, controlAddresses, listen))
	c.entries, g.ops = []string{"http://" + listen, "http://" + listen}, ops
	c.eventually("a call runs", func() bool { s, _ := c.postSwap(0, "", "warm"); return s == "200 ran" })
	return g
}

// startControl starts three control members with the declarations in config.d.
func (g *replicatedCluster) startControl() {
	var members []string
	for id := 1; id <= 3; id++ {
		g.control = append(g.control, freePort(g.t))
		members = append(members, fmt.Sprintf("%d@%s", id, g.control[id-1]))
	}
	for id := 1; id <= 3; id++ {
		g.startDaemon(fmt.Sprintf("c%d", id), "control", fmt.Sprintf(
			"peer_listen = %s\n[control]\ndata_folder = %s\nmember_id = %d\nmembers = %s\nbootstrap_folder = %s\noperator_key_sha256 = %s\n",
			g.control[id-1], filepath.Join(g.folder, fmt.Sprint("data", id)), id, strings.Join(members, ", "),
			filepath.Join(g.folder, "config.d"), operatorKeySHA))
	}
}

// ctl runs arbutusctl and returns its exit code and output.
func (g *replicatedCluster) ctl(args ...string) (int, string) {
	cmd := exec.Command(ctlBinary, append([]string{args[0], "-control", strings.Join(g.control, ",")}, args[1:]...)...)
	cmd.Env = append(os.Environ(), "ARBUTUSMAST_OPERATOR_KEY=quickstart")
	out, _ := cmd.CombinedOutput()
	return cmd.ProcessState.ExitCode(), string(out)
}

// revisionInForce returns the configuration revision that the entry uses, or 0 if
// the entry does not respond.
func (g *replicatedCluster) revisionInForce() int { return g.metrics().Revision }

// entryMetrics are metrics of the entry.
type entryMetrics struct {
	Revision  int `json:"config_revision"`
	Evacuated int `json:"peer_evacuated_failure_domains_count"`
}

// metrics returns the metrics of the entry, zeros if it does not respond.
func (g *replicatedCluster) metrics() (m entryMetrics) {
	resp, err := http.Get("http://" + g.ops + "/debug/vars")
	if err != nil {
		return m
	}
	defer resp.Body.Close()
	_ = json.NewDecoder(resp.Body).Decode(&m)
	return m
}

// leader waits until a control member leads with a quorum and returns its name.
func (g *replicatedCluster) leader() string {
	name := ""
	g.eventually("a control member leads", func() bool {
		_, out := g.ctl("status")
		for _, line := range strings.Split(out, "\n") {
			if fields := strings.Fields(line); len(fields) > 1 && strings.Contains(line, "leads with a quorum") {
				name = "c" + fields[1]
			}
		}
		return name != ""
	})
	return name
}

// writeVariant writes a folder with the declaration and one more caller, and
// returns its path.
func (g *replicatedCluster) writeVariant(name string) string {
	first, err := os.ReadFile(filepath.Join(g.folder, "config.d", "10.ini"))
	if err != nil {
		g.t.Fatal(err)
	}
	g.writeFile(name+"/10.ini", string(first))
	return filepath.Dir(g.writeFile(name+"/90-"+name+".ini",
		fmt.Sprintf("[caller %s]\nkey_sha256 = %064x\n", name, len(name)+int(name[0]))))
}

// TestOperatorsRaceAndMembersFail guards against two accepted changes of one
// revision, a configuration that is lost or reverted, and a non-repeatable call
// that runs twice, while control members are killed, suspended and restarted.
func TestOperatorsRaceAndMembersFail(t *testing.T) {
	t.Parallel()
	g := newReplicatedCluster(t)
	folders := []string{g.writeVariant("left"), g.writeVariant("right")}
	codes, outputs := make([]int, 2), make([]string, 2)
	var applies sync.WaitGroup
	for i := range folders {
		applies.Go(func() {
			codes[i], outputs[i] = g.ctl("apply", "-expected", "1", "-operator", fmt.Sprint("op", i), folders[i])
		})
	}
	applies.Wait()
	if codes[0]+codes[1] != 3 || codes[0]*codes[1] != 0 {
		t.Fatalf("exit codes %v, want one 0 and one 3 (conflict):\n%s\n%s", codes, outputs[0], outputs[1])
	}
	rejected := codes[1] / 3
	if !strings.Contains(outputs[rejected], fmt.Sprint("op", 1-rejected)) {
		t.Errorf("the output of the rejected change does not name the operator of the accepted one:\n%s",
			outputs[rejected])
	}
	g.eventually("revision 2 is in force", func() bool { return g.revisionInForce() == 2 })

	killed := g.leader()
	g.processes[killed].stop(syscall.SIGKILL)
	g.eventually("the remaining members accept a change", func() bool {
		code, _ := g.ctl("apply", "-operator", "op2", folders[rejected])
		return code == 0
	})
	if s, body := g.postSwap(0, "", "warm"); s != "200 ran" || !strings.Contains(body, `"run":1`) {
		t.Errorf("call repeated after the leader was killed: %s %s", s, body)
	}
	g.processes[killed].start()
	g.eventually("revision 3 is in force", func() bool { return g.revisionInForce() == 3 })

	frozen := g.leader()
	g.processes[frozen].signal(syscall.SIGSTOP)
	g.eventually("a new call runs without the suspended leader", func() bool {
		s, _ := g.postSwap(0, "", "k1")
		return s == "200 ran"
	})
	g.processes[frozen].signal(syscall.SIGCONT)
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		if r := g.revisionInForce(); r != 3 {
			t.Fatalf("revision %d is in force after the old leader resumed, want 3", r)
		}
	}
	if s, body := g.postSwap(0, "", "k1"); s != "200 ran" || !strings.Contains(body, `"run":1`) {
		t.Errorf("call repeated after the old leader resumed: %s %s", s, body)
	}
}
