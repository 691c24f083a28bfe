package fleet

import (
	"testing"
	"time"
)

// Guards against a request that starts with a clean record when the leader
// changes, and against reports of one crash by several entries that count twice.
func TestCrashesOutliveTheLeader(t *testing.T) {
	old, next := newBoard("old"), newBoard("next")
	old.read(nil, time.Second)
	for i, server := range []string{"i-1", "i-1", "i-2"} {
		old.crashed(&CrashRequest{Crashes: []Crash{{Server: server, Digest: "a"}}}, time.Second+time.Duration(i)*time.Millisecond)
	}
	var reply WatchReply
	old.fill(Stamp{}, 2*time.Second, &reply)
	if len(reply.Quarantine) != 1 || !reply.Quarantine[0].Suspect {
		t.Fatalf("after two crashes: %+v, want one suspect", reply.Quarantine)
	}
	next.copy(&View{list: reply.List, told: reply.Quarantine, toldAt: 2 * time.Second}, 2*time.Second)
	next.crashed(&CrashRequest{Crashes: []Crash{{Server: "i-3", Digest: "a"}}}, 3*time.Second)
	reply = WatchReply{}
	next.fill(Stamp{}, 3*time.Second, &reply)
	if len(reply.Quarantine) != 1 || reply.Quarantine[0].Suspect {
		t.Fatalf("after the third crash: %+v, want it held back", reply.Quarantine)
	}
}

// Guards against an innocent request that stays a suspect for a digest that a
// server answered in full.
func TestSuccessClearsASuspect(t *testing.T) {
	b := newBoard("b")
	b.read(nil, time.Second)
	for i, server := range []string{"i-1", "i-2"} {
		b.crashed(&CrashRequest{Crashes: []Crash{{Server: server, Digest: "a"}}}, time.Second+time.Duration(i)*time.Millisecond)
	}
	if len(b.told) != 1 {
		t.Fatalf("told %+v after two crashes", b.told)
	}
	b.crashed(&CrashRequest{Cleared: []string{"a"}}, 2*time.Second)
	b.crashed(&CrashRequest{Crashes: []Crash{{Server: "i-3", Digest: "a"}}}, 3*time.Second)
	var reply WatchReply
	b.fill(Stamp{}, 3*time.Second, &reply)
	if len(reply.Quarantine) != 0 {
		t.Errorf("told %+v after a success", reply.Quarantine)
	}
}
