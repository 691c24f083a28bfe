package e2e

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// newTwoDomainCluster starts three control members, an entry, and in each of the failure
// domains "north" and "south" one agent with an engine. book-desk runs only in "north".
func newTwoDomainCluster(t *testing.T) *replicatedCluster {
	g := &replicatedCluster{cluster: &cluster{t: t, folder: t.TempDir(), processes: map[string]*process{}}}
	north, south, desk := freePort(t), freePort(t), freePort(t)
	text := fmt.Sprintf(declaration, north, 8, south, 8, desk)
	text = strings.Replace(text, "[host a1]\nfailure_domain = pinecrest", "[host a1]\nfailure_domain = north", 1)
	text = strings.Replace(text, "[host a2]\nfailure_domain = pinecrest", "[host a2]\nfailure_domain = south", 1)
	g.writeFile("config.d/10.ini", text+
		"[failure-domain north]\nregion = great-lakes\n[failure-domain south]\nregion = great-lakes\n")
	g.startDaemonIn("north", "s1", "standin", fmt.Sprintf(
		"[standin coach-1]\nlisten = %s\ntoken_interval = 5ms\n[standin desk-1]\nkind = plain\nlisten = %s\n", north, desk))
	g.startDaemonIn("south", "s2", "standin", fmt.Sprintf(
		"[standin coach-2]\nlisten = %s\ntoken_interval = 5ms\n", south))
	g.startControl()
	control := strings.Join(g.control, ", ")
	for host, domain := range map[string]string{"a1": "north", "a2": "south"} {
		g.startDaemonIn(domain, host, "agent", fmt.Sprintf(
			"peer_listen = %s\ncontrol_addresses = %s\n[agent]\nlink_listen = %s\n", freePort(t), control, freePort(t)))
	}
	listen := freePort(t)
	g.ops = freePort(t)
	g.startDaemon("e1", "entry", fmt.Sprintf(
		"peer_listen = %s\nops_listen = %s\ncontrol_addresses = %s\n[entry]\nlisten = %s\n",
		freePort(t), g.ops, control, listen))
	g.entries = []string{"http://" + listen}
	g.waitReady()
	return g
}

// streamAt returns a running generation on a host.
func (g *replicatedCluster) streamAt(host string, tokens int) *streamReader {
	g.t.Helper()
	var found *streamReader
	g.eventually("a generation runs on "+host, func() bool {
		prompt := fmt.Sprintf("%d [trace] [tokens=%d]", time.Now().UnixNano(), tokens)
		if r := g.generate(0, prompt); r != nil && r.read(1).host() == host {
			found = r
			return true
		} else if r != nil {
			_ = r.closer.Close()
		}
		return false
	})
	return found
}

// hostsOf runs short generations with different prompts one after the other and returns
// how many ran on each host.
func (g *replicatedCluster) hostsOf(count int) map[string]int {
	hosts := map[string]int{}
	for n := range count {
		r := g.generate(0, fmt.Sprintf("%d at %d [tokens=3]", n, time.Now().UnixNano()))
		if r == nil || !r.read(0).done {
			hosts["failed"]++
			continue
		}
		hosts[r.host()]++
	}
	return hosts
}

func (g *replicatedCluster) checkOnlySouth(when string) {
	g.t.Helper()
	if hosts := g.hostsOf(30); hosts["a2"] != 30 {
		g.t.Errorf("%s: generations ran at %v, want only a2", when, hosts)
	}
}

// evacuate runs arbutusctl evacuate and checks its exit code and output.
func (g *replicatedCluster) evacuate(wantCode int, want string, args ...string) {
	g.t.Helper()
	code, out := g.ctl(append([]string{"evacuate"}, args...)...)
	if code != wantCode || !strings.Contains(out, want) {
		g.t.Fatalf("evacuate %v: exit code %d, want %d with %q:\n%s", args, code, wantCode, want, out)
	}
}

// TestEvacuation guards against an acknowledged evacuation that is lost with the leader or
// unknown to an entry that restarts, against requests that reach the evacuated failure
// domain, against a running generation that is cut, and against a failure domain that
// stays unused after the end.
func TestEvacuation(t *testing.T) {
	t.Parallel()
	g := newTwoDomainCluster(t)
	g.evacuate(1, "known are north, pinecrest, south", "start", "east")
	running, runningEnded := g.streamAt("a1", 3000), make(chan struct{})
	go func() { running.read(0); close(runningEnded) }()
	killed := g.leader()
	g.evacuate(0, "failure domain north is evacuated", "start", "north")
	acknowledged := time.Now()
	g.processes[killed].stop(syscall.SIGKILL)
	g.eventually("the entry knows the evacuation", func() bool { return g.metrics().Evacuated == 1 })
	t.Logf("the entry knew the evacuation %v after the acknowledgement", time.Since(acknowledged))
	g.checkOnlySouth("after the leader was killed")
	g.evacuate(0, "was already evacuated", "start", "north")
	g.evacuate(0, "evacuated: north", "list")

	resp := g.send(0, "POST", "/services/book-desk/swaps", "k", "Idempotency-Key", "k")
	body, _ := io.ReadAll(resp.Body)
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("X-Arbutusmast-Verdict") != "not_run" ||
		resp.Header.Get("Retry-After") == "" ||
		!strings.Contains(string(body), "all failure domains of the service are evacuated") {
		t.Errorf("call of a service whose failure domains are evacuated: %d %v: %s", resp.StatusCode, resp.Header, body)
	}
	<-runningEnded
	running.checkTokens(t, 0, 3000)

	g.processes["e1"].stop(syscall.SIGKILL)
	g.processes["e1"].start()
	g.eventually("the restarted entry serves", func() bool { return g.hostsOf(1)["failed"] == 0 })
	g.checkOnlySouth("after the entry was restarted")

	g.processes[killed].start()
	g.evacuate(0, "the evacuation of failure domain north ended", "end", "north")
	g.eventually("requests return to north", func() bool { return g.hostsOf(4)["a1"] > 0 })
	g.eventually("the refused call runs", func() bool { s, _ := g.postSwap(0, "", "k"); return s == "200 ran" })
	g.evacuate(0, "no failure domain is evacuated", "list")
}
