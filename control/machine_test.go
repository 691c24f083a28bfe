package control

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/core/host"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/registry"
)

// sampleCommand returns a command that changes one of the registry's tables, which
// depends on i.
func sampleCommand(i int) *registry.Command {
	c := &registry.Command{Time: time.Duration(i) * time.Second}
	name := fmt.Sprint(i / 8 % 7)
	switch i % 8 {
	case 0:
		c.BeginCall = &registry.BeginCall{Key: fmt.Sprint(i), Request: "r", Retention: 100 * time.Second}
	case 1:
		c.FinishCall = &registry.FinishCall{Key: fmt.Sprint(i - 9), Request: "r",
			Response: message.RecordedResponse{Status: 200}}
	case 2:
		c.Reports = []host.Report{{Host: name, Incarnation: message.Incarnation(i),
			BackendServers: []message.BackendServerStatus{{Name: name, Leaving: i%3 == 0}}}}
	case 3:
		c.SetLeaving = &registry.SetLeaving{BackendServer: name, Leaving: i%16 == 3}
	case 4:
		c.RecordCrash = &registry.RecordCrash{CrashID: fmt.Sprint(i), InFlight: []string{name}}
	case 5:
		c.LoadSlot = &registry.LoadSlot{BackendServer: name, Host: name, Duration: 9 * time.Second}
	case 6:
		c.ChangeConfig = &registry.ChangeConfig{
			ChangeID: fmt.Sprint(i), Operator: "o", Expected: message.Revision(i / 8),
			Set: map[string]map[string]string{"service s" + name: {"kind": "plain"}}}
	case 7:
		c.SetPlatformLeaving = &registry.SetPlatformLeaving{Leaving: []string{name}}
	}
	return c
}

// TestSnapshotWhileApplying guards against a snapshot that mixes the states before
// and after a command, because it is encoded while commands are applied.
func TestSnapshotWhileApplying(t *testing.T) {
	const commands = 1500
	machine, reference := NewRegistryMachine(), registry.New()
	commandLog := make([][]byte, commands)
	for i := range commandLog {
		b, err := registry.EncodeCommand(sampleCommand(i))
		if err != nil {
			t.Fatal(err)
		}
		commandLog[i] = b
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i, b := range commandLog {
			machine.Apply(uint64(i+1), b)
		}
	}()
	for finished, taken := false, 0; !finished; taken++ {
		select {
		case <-done:
			finished = true
		default:
		}
		snapshot, err := machine.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		restored := registry.New()
		if err := restored.Restore(snapshot); err != nil {
			t.Fatal(err)
		}
		for reference.Index() < restored.Index() {
			reference.Apply(reference.Index()+1, commandLog[reference.Index()])
		}
		if want, err := reference.Snapshot(); err != nil || !bytes.Equal(snapshot, want) {
			t.Fatalf("snapshot %d at index %d differs from the reference (%v)", taken, restored.Index(), err)
		}
	}
	if reference.Revision() == 0 || reference.Calls() == 0 {
		t.Error("the commands changed nothing")
	}
}
