package registry

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"fmt"
	"os"
	"strings"
	"testing"

	"arbutusmast.example/arbutusmast/core/host"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/verdict"
)

func evacuateCommand(domain string, evacuate bool, base uint64) Command {
	return Command{Evacuate: &Evacuate{Domain: domain, Evacuate: evacuate, Base: base, Operator: "op"}}
}

// TestEvacuate guards against an order that takes effect after a later one was
// acknowledged, a repeated order that changes the state, and an order for a failure
// domain that nothing names.
func TestEvacuate(t *testing.T) {
	runner := &commandRunner{registry: New()}
	steps := []struct {
		name    string
		command Command
		want    string // conflict, changed, revision, and the evacuated domains
	}{
		{"nothing is declared", evacuateCommand("d", true, 0), "failure domain \"d\" is not known; none is known []"},
		{"declare", changeCommand("a", 0, declareServers(1)), "[]"},
		{"unknown", evacuateCommand("east", true, 0), "failure domain \"east\" is not known; known are d []"},
		{"start", evacuateCommand("d", true, 0), "false true 1 [d]"},
		{"start sent again", evacuateCommand("d", true, 0), "true false 1 [d]"},
		{"start repeated", evacuateCommand("d", true, 1), "false false 2 [d]"},
		{"end with an old base", evacuateCommand("d", false, 0), "true false 2 [d]"},
		{"end", evacuateCommand("d", false, 2), "false true 3 []"},
		{"start in transit until now", evacuateCommand("d", true, 1), "true false 3 []"},
		{"base above the revision", evacuateCommand("d", true, 9), "true false 3 []"},
		{"end repeated", evacuateCommand("d", false, 3), "false false 4 []"},
		{"start that preceded the repeated end", evacuateCommand("d", true, 3), "true false 4 []"},
		{"a host names its domain", Command{Reports: []host.Report{{Host: "x", Incarnation: 1, FailureDomain: "east"}}}, "[]"},
		{"start at the host's domain", evacuateCommand("east", true, 0), "false true 1 [east]"},
		{"no name", evacuateCommand("", true, 0), "failure domain \"\" is not known; known are d, east [east]"},
	}
	for _, s := range steps {
		got := ""
		switch result := runner.run(t, 0, s.command).(type) {
		case message.EvacuateReply:
			got = fmt.Sprint(result.Conflict, result.Changed, result.Revision, " ")
		case *verdict.Error:
			got = result.Message + " "
			if result.Verdict != verdict.NotRun || result.Reason != verdict.ReasonInvalid {
				t.Errorf("%s: %v", s.name, result)
			}
		}
		set := message.EvacuationSet{}
		if newest := runner.registry.EvacuationsSince(0); newest != nil {
			set = *newest
		}
		if got += fmt.Sprint(set.Domains); got != s.want {
			t.Errorf("%s: got %q, want %q", s.name, got, s.want)
		}
	}
	if n := runner.registry.EvacuatedDomains(); n != 1 {
		t.Errorf("%d evacuated failure domains", n)
	}
	if newest := runner.registry.EvacuationsSince(0).Revision; runner.registry.EvacuationsSince(newest) != nil ||
		runner.registry.EvacuationsSince(newest+1) != nil || runner.registry.EvacuationsSince(newest-1) == nil {
		t.Error("the set is not sent exactly if it is newer than the receiver's")
	}
	want := "[{d false 4} {east true 1}]"
	if got := fmt.Sprint(runner.registry.EvacuationStates()); got != want {
		t.Errorf("states %s, want %s", got, want)
	}
}

// TestEvacuationOutlivesDeclaration guards against an evacuation that nobody can end
// because its failure domain is no longer declared.
func TestEvacuationOutlivesDeclaration(t *testing.T) {
	runner := &commandRunner{registry: New()}
	runner.run(t, 0, changeCommand("a", 0, map[string]map[string]string{"failure-domain d": {"region": "r"}}))
	runner.run(t, 0, evacuateCommand("d", true, 0))
	runner.run(t, 0, Command{ChangeConfig: &ChangeConfig{ChangeID: "b", Operator: "op", Expected: 1,
		Removed: []string{"failure-domain d"}}})
	if reply, ok := runner.run(t, 0, evacuateCommand("d", false, 1)).(message.EvacuateReply); !ok || !reply.Changed {
		t.Errorf("the evacuation did not end: %+v", reply)
	}
	if _, refused := runner.run(t, 0, evacuateCommand("d", true, 2)).(error); !refused {
		t.Error("a failure domain that nothing names was evacuated")
	}
}

// TestEarlierLogAndSnapshot guards against logs and snapshots of programs without
// evacuations that can no longer be read, or that are written differently before the
// first order. testdata holds commands in hexadecimal and, in the last line, the snapshot
// after them, both written by such a program.
func TestEarlierLogAndSnapshot(t *testing.T) {
	data, err := os.ReadFile("testdata/before-evacuations.hex")
	if err != nil {
		t.Fatal(err)
	}
	replayed, restored := New(), New()
	var snapshot []byte
	lines := bufio.NewScanner(bytes.NewReader(data))
	for index := uint64(1); lines.Scan(); index++ {
		if snapshot != nil {
			if failure, failed := replayed.Apply(index-1, snapshot).(error); failed {
				t.Fatalf("command %d: %v", index-1, failure)
			}
		}
		if snapshot, err = hex.DecodeString(strings.TrimSpace(lines.Text())); err != nil {
			t.Fatal(err)
		}
	}
	if err := restored.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(mustSnapshot(t, restored), snapshot) || !bytes.Equal(mustSnapshot(t, replayed), snapshot) {
		t.Fatal("the state differs from that of the earlier program")
	}
	runner := &commandRunner{registry: restored, index: restored.Index()}
	if reply, ok := runner.run(t, 0, evacuateCommand("d", true, 0)).(message.EvacuateReply); !ok || !reply.Changed {
		t.Fatalf("an order after an earlier snapshot: %+v", reply)
	}
	again := New()
	if err := again.Restore(mustSnapshot(t, restored)); err != nil || again.EvacuatedDomains() != 1 {
		t.Errorf("%d evacuated failure domains after a restore: %v", again.EvacuatedDomains(), err)
	}
}

// TestSnapshotFormat guards against a program without evacuations that reads a snapshot
// with them and drops them, and against a damaged set that is accepted.
func TestSnapshotFormat(t *testing.T) {
	runner := &commandRunner{registry: New()}
	runner.run(t, 0, changeCommand("a", 0, declareServers(1)))
	if f := runner.registry.Image().Format; f != formatBase {
		t.Errorf("format %d before the first order", f)
	}
	runner.run(t, 0, evacuateCommand("d", true, 0))
	image := runner.registry.Image()
	if image.Format != formatEvacuations {
		t.Errorf("format %d after an order", image.Format)
	}
	for _, damaged := range [][]byte{nil, image.Evacuations[:len(image.Evacuations)-1]} {
		copied := *image
		copied.Evacuations = damaged
		b, err := copied.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if New().Restore(b) == nil {
			t.Errorf("a set of %d bytes was accepted", len(damaged))
		}
	}
}
