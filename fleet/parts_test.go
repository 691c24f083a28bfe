package fleet

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/core/quarantine"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

func newPartTable(source string) (*partTable, *observer.ObservedLogs) {
	core, logs := observer.New(zap.InfoLevel)
	return &partTable{source: source, notify: func() {}, logger: zap.New(core)}, logs
}

// partCrash returns a report of a crash that happened just now.
func partCrash(server string, parts ...string) *CrashRequest {
	return &CrashRequest{PartCrashes: []quarantine.PartCrash{{Server: server, Parts: parts, Sent: 100 * time.Millisecond}}}
}

// recordParts records a report that is delivered when its ages are true.
func recordParts(p *partTable, now time.Duration, r *CrashRequest) {
	r.Reading.At = now
	p.record(now, r)
}

// published returns what a table tells daemons, with times as of their arrival.
func (p *partTable) published(now time.Duration) *View {
	var reply WatchReply
	p.fillReply(Stamp{}, now, &reply)
	v := &View{partsStamp: reply.PartsStamp}
	for _, s := range reply.Parts {
		v.Parts = append(v.Parts, s.Absolute(now))
	}
	return v
}

// Guards against loss of a suspicion or verdict at a change of the leader or of all control
// members, against a verdict that no daemon learns, and against silence towards operators.
func TestPartVerdictOutlivesTheLeader(t *testing.T) {
	const s = time.Second
	old, logs := newPartTable("old")
	recordParts(old, 10*s, partCrash("i-1", "a", "d"))
	next, _ := newPartTable("next")
	next.copyFrom(old.published(10 * s))
	if !next.hasNewer(Stamp{}) || next.hasNewer(next.stamp) {
		t.Error("daemons are not told of the copy, or again and again")
	}
	next.lead(11 * s)
	recordParts(next, 12*s, partCrash("i-2", "b", "d"))
	v := next.published(12 * s)
	if len(v.Parts) == 0 || v.Parts[0].ID != "d" || v.Parts[0].State != quarantine.PartHeld {
		t.Fatalf("after the second crash: %+v", v.Parts)
	}

	fresh, freshLogs := newPartTable("fresh")
	recordParts(fresh, 20*s, &CrashRequest{HeldParts: []quarantine.PartStatus{v.Parts[0].Relative(20 * s)}})
	if parts := fresh.published(20 * s).Parts; len(parts) != 1 || parts[0].State != quarantine.PartHeld {
		t.Errorf("the new group did not take over the verdict: %+v", parts)
	}
	if !fresh.release(21*s, "d") || fresh.release(22*s, "d") || fresh.release(22*s, "x") {
		t.Error("a release did not tell whether the part was held back")
	}
	if parts := fresh.published(22 * s).Parts; len(parts) != 1 || parts[0].State != quarantine.PartCleared {
		t.Errorf("after the release: %+v", parts)
	}
	for text, want := range map[string]int{"part of prompts suspected of crashing backend servers": 2} {
		if got := logs.FilterMessage(text).Len(); got != want {
			t.Errorf("%q logged %d times, want %d", text, got, want)
		}
	}
	if freshLogs.FilterMessage("requests with a part of prompts are held back").Len() != 1 ||
		freshLogs.FilterMessage("part of prompts no longer suspected").Len() != 1 {
		t.Errorf("log: %v", freshLogs.All())
	}
}

// Guards against reports whose delay until delivery distorts the order of crashes and
// answers.
func TestDelayedPartReports(t *testing.T) {
	const s = time.Second
	r := &CrashRequest{
		PartCrashes: []quarantine.PartCrash{{Server: "i-1", Parts: []string{"d"}, Sent: s, Crashed: s / 2}},
		PartsBegun:  []PartBegun{{Part: "d", SentAgo: s, BegunAgo: s / 2}},
		HeldParts:   []quarantine.PartStatus{{ID: "x", State: quarantine.PartHeld, Until: 60 * s}},
	}
	aged := r.aged(2 * s)
	if c := aged.PartCrashes[0]; c.Sent != 3*s || c.Crashed != 5*s/2 || r.PartCrashes[0].Sent != s {
		t.Errorf("crash %+v", c)
	}
	if b := aged.PartsBegun[0]; b.SentAgo != 3*s || b.BegunAgo != 5*s/2 {
		t.Errorf("beginning %+v", b)
	}
	if h := aged.HeldParts[0]; h.Until != 58*s {
		t.Errorf("held %+v", h)
	}
	table, _ := newPartTable("a")
	recordParts(table, 10*s, partCrash("i-1", "d"))
	recordParts(table, 12*s, &CrashRequest{PartsBegun: []PartBegun{{Part: "d", SentAgo: 3 * s, BegunAgo: 5 * s / 2}}})
	if parts := table.published(12 * s).Parts; len(parts) != 1 || parts[0].State != quarantine.PartSuspected {
		t.Errorf("an answer that began before the crash cleared the part: %+v", parts)
	}
}

// Guards against replies that grow with the number of parts and crashes.
func TestPublishedPartsAreBounded(t *testing.T) {
	const s = time.Second
	table, _ := newPartTable("a")
	for i := range 600 {
		for server := range 20 {
			recordParts(table, time.Duration(i)*s, &CrashRequest{PartCrashes: []quarantine.PartCrash{{
				Server: fmt.Sprint("i-0123456789-", i, "-", server), Parts: []string{fmt.Sprintf("%064x", i)}, Sent: 100 * time.Millisecond}}})
		}
	}
	var reply WatchReply
	table.fillReply(Stamp{}, 600*s, &reply)
	var encoded bytes.Buffer
	if err := gob.NewEncoder(&encoded).Encode(&reply); err != nil {
		t.Fatal(err)
	}
	if len(reply.Parts) != maxPublishedParts || encoded.Len() > 128<<10 {
		t.Errorf("%d parts, %d bytes", len(reply.Parts), encoded.Len())
	}
}
