package fleet

import (
	"reflect"
	"sync"
	"time"

	"arbutusmast.example/arbutusmast/core/backend"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/quarantine"
)

// reportLife is how long a report counts without a newer one.
const reportLife = 5 * time.Second

// board is a control member's list of backend servers, which the leader reads
// and the other members copy.
type board struct {
	mu      sync.Mutex
	source  string
	stamp   Stamp
	has     bool
	readAt  time.Duration
	list    backend.List
	reports map[string]timedReport
	// suspects are kept by the leader; told is what other members copy.
	suspects *quarantine.Table
	told     []message.Quarantine
	toldAt   time.Duration
	// dirty tells that loads changed since the stamp did.
	dirty bool
	news  chan struct{}
}

type timedReport struct {
	backend.Report
	at time.Duration
}

func newBoard(source string) *board {
	return &board{source: source, reports: map[string]timedReport{}, news: make(chan struct{})}
}

// changed returns a channel that is closed at the next change.
func (b *board) changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.news
}

func (b *board) signal() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.wake()
}

// wake is called with the lock held.
func (b *board) wake() {
	close(b.news)
	b.news = make(chan struct{})
}

// publish makes a new stamp. The lock is held.
func (b *board) publish(loadsOnly bool) {
	number := b.stamp.Number
	if !loadsOnly || b.stamp.Source != b.source {
		number++
	}
	b.stamp = Stamp{Source: b.source, Number: number, Loads: b.stamp.Loads + 1}
	b.list.Reports = make(map[string]backend.Report, len(b.reports))
	for address, r := range b.reports {
		b.list.Reports[address] = r.Report
	}
	b.dirty = false
	b.wake()
}

// maxTold bounds the suspected requests in a reply to about 25 KB.
const maxTold = 256

// crashed takes observations of crashes. The lock is not held.
func (b *board) crashed(r *CrashRequest, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.suspects == nil {
		// An earlier leader's table is lost but for what it told.
		b.suspects = quarantine.Import(now, aged(b.told, now-b.toldAt))
	}
	for _, c := range r.Crashes {
		b.suspects.RecordCrashOf(now, c.Server+" "+c.Digest, c.Digest, now-c.SentAgo, now-c.CrashedAgo)
	}
	b.suspects.RecordSuccess(now, r.Cleared)
	told := b.suspects.Export(now, maxTold)
	changed := len(told) != len(b.told)
	for i := 0; !changed && i < len(told); i++ {
		changed = told[i].Digest != b.told[i].Digest || told[i].Suspect != b.told[i].Suspect
	}
	b.told, b.toldAt = told, now
	if changed {
		b.publish(false)
	}
}

// aged returns a list as it is some time later.
func aged(told []message.Quarantine, by time.Duration) []message.Quarantine {
	var list []message.Quarantine
	for _, q := range told {
		if q.For -= by; q.For > 0 {
			list = append(list, q)
		}
	}
	return list
}

// read takes a list that the leader read, which began at a reading of Elapsed.
func (b *board) read(servers []backend.Server, began time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for address, r := range b.reports {
		if began-r.at > reportLife {
			delete(b.reports, address)
			b.dirty = true
		}
	}
	same := b.has && reflect.DeepEqual(servers, b.list.Servers) && b.stamp.Source == b.source
	b.has, b.readAt = true, began
	b.list.Servers = servers
	if !same || b.dirty {
		b.publish(same)
	}
}

// report takes an observation. A changed leaving mark is published at once,
// loads with the next flush.
func (b *board) report(r backend.Report, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old, known := b.reports[r.Address]
	b.reports[r.Address] = timedReport{r, now}
	if r.Leaving != (known && old.Leaving) {
		b.publish(false)
	} else if !known || old.Load != r.Load {
		b.dirty = true
	}
}

// flush publishes changed loads.
func (b *board) flush() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.dirty && b.has {
		b.publish(true)
	}
}

// copy takes over the leader's list from a member's follower.
func (b *board) copy(v *View, readAt time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if v.list == b.stamp || v.list == (Stamp{}) {
		b.readAt = max(b.readAt, readAt)
		return
	}
	b.has, b.readAt, b.stamp = true, readAt, v.list
	b.list = backend.List{Servers: v.Servers, Reports: v.Reports}
	b.suspects, b.told, b.toldAt = nil, v.told, v.toldAt
	b.wake()
}

// fill writes what is newer than a stamp into a reply.
func (b *board) fill(have Stamp, now time.Duration, reply *WatchReply) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.has {
		return
	}
	reply.HasList, reply.List, reply.ListAge = true, b.stamp, now-b.readAt
	if b.stamp != have {
		reply.Servers, reply.Reports = b.list.Servers, b.list.Reports
		reply.Quarantine = aged(b.told, now-b.toldAt)
	}
}

// newer tells whether there is something for a watch that has a stamp. A lazy
// one does not wait for loads.
func (b *board) newer(have Stamp, lazy bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if lazy {
		have.Loads = b.stamp.Loads
	}
	return b.stamp != have
}
