package fleet

import (
	"sync"
	"time"

	"arbutusmast.example/arbutusmast/core/quarantine"
	"arbutusmast.example/arbutusmast/core/verdict"
	"go.uber.org/zap"
)

// maxPublishedParts limits the parts in a reply, which then take at most about 100 KB.
const maxPublishedParts = 256

// partTable is a control member's copy of what is known of parts of prompts that may
// crash backend servers. The leader's decides; the other members copy what it knows.
type partTable struct {
	// source identifies this member's process in stamps.
	source string
	// notify wakes the watches that wait for a change.
	notify func()
	logger *zap.Logger

	mu    sync.Mutex
	stamp Stamp
	known []quarantine.PartStatus
	// table is nil on members that do not lead.
	table *quarantine.Parts
}

// lead makes this member decide, with what it copied from the previous leader, and ends
// what has expired.
func (p *partTable) lead(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leadLocked(now)
	if changed := p.table.Expire(now); len(changed) > 0 {
		p.publishLocked(now, changed)
	}
}

func (p *partTable) leadLocked(now time.Duration) {
	if p.table != nil {
		return
	}
	p.table = quarantine.NewParts()
	for _, s := range p.known {
		p.table.Merge(now, s)
	}
}

// record records what an entry reports.
func (p *partTable) record(now time.Duration, r *CrashRequest) {
	if len(r.PartCrashes)+len(r.PartsBegun)+len(r.HeldParts) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leadLocked(now)
	var changed []quarantine.PartStatus
	at := r.Reading.At
	for _, s := range r.HeldParts {
		if s = s.Absolute(at); p.table.Merge(now, s) {
			changed = append(changed, s)
		}
	}
	for _, c := range r.PartCrashes {
		c.Sent, c.Crashed = at-c.Sent, at-c.Crashed
		changed = append(changed, p.table.RecordCrash(now, c)...)
	}
	for _, b := range r.PartsBegun {
		changed = append(changed, p.table.RecordBegun(now, b.Part, at-b.SentAgo, at-b.BegunAgo)...)
	}
	p.publishLocked(now, changed)
}

// release clears a part on behalf of an operator.
func (p *partTable) release(now time.Duration, id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leadLocked(now)
	s, known := p.table.Release(now, id)
	if known {
		p.publishLocked(now, []quarantine.PartStatus{s})
	}
	return known
}

// publishLocked publishes what the table knows, and logs the changes. The caller holds
// p.mu.
func (p *partTable) publishLocked(now time.Duration, changed []quarantine.PartStatus) {
	for _, s := range changed {
		LogPart(p.logger, now, s)
	}
	p.known = p.table.Statuses(now, maxPublishedParts)
	p.stamp = Stamp{Source: p.source, Number: p.stamp.Number + 1}
	p.notify()
}

// LogPart logs the state of a part of prompts after a change.
func LogPart(logger *zap.Logger, now time.Duration, s quarantine.PartStatus) {
	fields := []zap.Field{zap.String("part", s.ID), zap.Int("crashes", s.Crashes), zap.Strings("crashed_servers", s.Servers()),
		zap.Bool("begun_before", s.Sound), zap.Strings("only_with", s.With)}
	switch s.State {
	case quarantine.PartHeld:
		logger.Warn("requests with a part of prompts are held back", append(fields, zap.Duration("hold_seconds", s.Until-now))...)
	case quarantine.PartCleared:
		logger.Info("part of prompts no longer suspected", fields...)
	default:
		logger.Info("part of prompts suspected of crashing backend servers", fields...)
	}
}

// copyFrom replaces the parts by the leader's, which this member's watcher received.
func (p *partTable) copyFrom(v *View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table = nil
	if v.partsStamp == p.stamp || v.partsStamp == (Stamp{}) {
		return
	}
	p.stamp, p.known = v.partsStamp, v.Parts
	p.notify()
}

// hasNewer reports whether the parts differ from those with the known stamp.
func (p *partTable) hasNewer(known Stamp) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stamp != known && p.stamp != (Stamp{})
}

// fillReply sets the parts in a reply if their stamp differs from the known one.
func (p *partTable) fillReply(known Stamp, now time.Duration, reply *WatchReply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stamp == known || p.stamp == (Stamp{}) {
		return
	}
	reply.HasParts, reply.PartsStamp = true, p.stamp
	for _, s := range p.known {
		reply.Parts = append(reply.Parts, s.Relative(now))
	}
}

// list returns what this member knows of parts, with times relative to now.
func (p *partTable) list(now time.Duration) []quarantine.PartStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.known
	if p.table != nil {
		known = p.table.Statuses(now, maxPublishedParts)
	}
	list := make([]quarantine.PartStatus, 0, len(known))
	for _, s := range known {
		list = append(list, s.Relative(now))
	}
	return list
}

// ReleasePartRequest asks the leader to clear a part of prompts.
type ReleasePartRequest struct{ Part string }

// ReleasePartReply tells whether the part was known. Leader is set if another member
// leads.
type ReleasePartReply struct {
	Released bool
	Leader   string
}

// PartsRequest asks a member what it knows of parts of prompts.
type PartsRequest struct{}

// PartsReply holds the parts, with times relative to the reply.
type PartsReply struct{ Parts []quarantine.PartStatus }

// Parts returns what this member knows of parts of prompts that may crash backend servers.
func (s *service) Parts(_ *PartsRequest, reply *PartsReply) error {
	if s.control.node.Load() == nil {
		return rpcError(verdict.New(verdict.NotRun, verdict.ReasonNotReady, "this member has not joined the group"))
	}
	reply.Parts = s.control.parts.list(SinceBoot())
	return nil
}

// ReleasePart clears a part of prompts on the leader.
func (s *service) ReleasePart(request *ReleasePartRequest, reply *ReleasePartReply) error {
	c := s.control
	if !c.leads() {
		if node := c.node.Load(); node != nil {
			reply.Leader, _ = node.Leader()
		}
		if reply.Leader == "" {
			return rpcError(verdict.New(verdict.NotRun, verdict.ReasonNoQuorum, "no leader is known"))
		}
		return nil
	}
	reply.Released = c.parts.release(SinceBoot(), request.Part)
	return nil
}
