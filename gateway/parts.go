package gateway

import (
	"expvar"
	"net/http"
	"sync"
	"time"

	"arbutusmast.example/arbutusmast/core/backend"
	"arbutusmast.example/arbutusmast/core/quarantine"
	"arbutusmast.example/arbutusmast/core/verdict"
	"arbutusmast.example/arbutusmast/fleet"
	"arbutusmast.example/arbutusmast/observe"
	"go.uber.org/zap"
)

const (
	// maxBeginnings bounds each of the two generations of remembered beginnings.
	maxBeginnings = 4096
	// heldReportInterval is the least interval between two reports of a part that the
	// control group does not know.
	heldReportInterval = time.Second
)

// partGuard finds and holds back parts of prompts that crash backend servers. It knows
// what the control group published and what this entry saw itself, so that it still
// decides while it can not reach the group.
type partGuard struct {
	reporter CrashReporter
	logger   *zap.Logger
	refused  *expvar.Int

	mu    sync.Mutex
	table *quarantine.Parts
	// recent and older hold the last answer that began on a part. When recent is full, it
	// replaces older.
	recent, older map[string]beginning
	// reportedAt holds when a held part was last reported to a group that did not know it.
	reportedAt map[string]time.Duration
}

// beginning is the beginning of an answer: when its request was sent and when it arrived.
type beginning struct{ sent, arrived time.Duration }

func newPartGuard(options *Options) *partGuard {
	p := &partGuard{reporter: options.CrashReporter, logger: options.Logger, table: quarantine.NewParts(),
		refused: options.Metrics.Counter("gateway_part_refused_total"),
		recent:  map[string]beginning{}, reportedAt: map[string]time.Duration{}}
	registerHeldParts(options.Metrics, p)
	return p
}

func registerHeldParts(m *observe.Metrics, p *partGuard) {
	m.Gauge("gateway_parts_held_count", func() float64 {
		p.mu.Lock()
		defer p.mu.Unlock()
		held := 0
		for _, s := range p.table.Statuses(fleet.SinceBoot(), maxBeginnings) {
			if s.State == quarantine.PartHeld {
				held++
			}
		}
		return float64(held)
	})
}

// held returns the first part that is held back.
func (p *partGuard) held(parts []string) (quarantine.PartStatus, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Held(fleet.SinceBoot(), parts)
}

// isolationKey returns the key by which requests with suspected parts choose their server.
func (p *partGuard) isolationKey(parts []string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.IsolationKey(parts)
}

// crashed records the parts of a request whose answer had not begun at a crash.
func (p *partGuard) crashed(server string, parts []string, sent, crashed time.Duration) {
	if len(parts) == 0 {
		return
	}
	p.mu.Lock()
	c := quarantine.PartCrash{Server: server, Parts: p.mostSuspect(parts), Sent: sent, Crashed: crashed}
	for _, id := range c.Parts {
		if _, known := p.beginning(id); known {
			c.Sound = append(c.Sound, id)
		}
	}
	now := fleet.SinceBoot()
	for _, s := range p.table.RecordCrash(now, c) {
		p.logVerdict(false, s)
	}
	p.mu.Unlock()
	c.Sent, c.Crashed = now-sent, now-crashed
	p.report(&fleet.CrashRequest{PartCrashes: []quarantine.PartCrash{c}})
}

// mostSuspect returns the parts to report, first those without a beginning. The caller
// holds p.mu.
func (p *partGuard) mostSuspect(parts []string) []string {
	if len(parts) <= quarantine.MaxPartsPerCrash {
		return parts
	}
	var unknown, begun []string
	for _, id := range parts {
		if _, known := p.beginning(id); known {
			begun = append(begun, id)
		} else {
			unknown = append(unknown, id)
		}
	}
	return append(unknown, begun...)[:quarantine.MaxPartsPerCrash]
}

// began records that an answer began on parts and reports those that are suspected.
func (p *partGuard) began(parts []string, sent time.Duration) {
	now := fleet.SinceBoot()
	var report []fleet.PartBegun
	p.mu.Lock()
	for _, id := range parts {
		if len(p.recent) >= maxBeginnings {
			p.recent, p.older = map[string]beginning{}, p.recent
		}
		p.recent[id] = beginning{sent, now}
		if s, known := p.table.Status(id); known && s.State != quarantine.PartCleared {
			for _, cleared := range p.table.RecordBegun(now, id, sent, now) {
				p.logVerdict(s.State == quarantine.PartHeld, cleared)
			}
			report = append(report, fleet.PartBegun{Part: id, SentAgo: now - sent})
		}
	}
	p.mu.Unlock()
	if len(report) > 0 {
		p.report(&fleet.CrashRequest{PartsBegun: report})
	}
}

// beginning returns the last beginning on a part. The caller holds p.mu.
func (p *partGuard) beginning(id string) (beginning, bool) {
	b, known := p.recent[id]
	if !known {
		b, known = p.older[id]
	}
	return b, known
}

// update merges what the control group published. It tells the group what this entry
// knows better: beginnings on new suspects, and held parts that a new group forgot.
func (p *partGuard) update(v *fleet.View) {
	now := fleet.SinceBoot()
	var report fleet.CrashRequest
	p.mu.Lock()
	published := make(map[string]bool, len(v.Parts))
	for _, s := range v.Parts {
		published[s.ID] = true
		before, known := p.table.Status(s.ID)
		if s.State == quarantine.PartSuspected && (!known || before.State == quarantine.PartCleared) {
			if b, begun := p.beginning(s.ID); begun && (!known || b.arrived > s.LastCrash) {
				report.PartsBegun = append(report.PartsBegun,
					fleet.PartBegun{Part: s.ID, SentAgo: now - b.sent, BegunAgo: now - b.arrived})
			}
		}
		if p.table.Merge(now, s) {
			current, _ := p.table.Status(s.ID)
			p.logVerdict(before.State == quarantine.PartHeld, current)
		}
	}
	for _, s := range p.table.Statuses(now, maxBeginnings) {
		if s.State != quarantine.PartHeld || published[s.ID] {
			delete(p.reportedAt, s.ID)
		} else if at, reported := p.reportedAt[s.ID]; !reported || now-at >= heldReportInterval {
			p.reportedAt[s.ID] = now
			report.HeldParts = append(report.HeldParts, s.Relative(now))
		}
	}
	p.mu.Unlock()
	if len(report.PartsBegun)+len(report.HeldParts) > 0 {
		p.report(&report)
	}
}

// logVerdict logs the beginning or end of a hold. Suspicions are logged by the control
// group.
func (p *partGuard) logVerdict(wasHeld bool, s quarantine.PartStatus) {
	if wasHeld != (s.State == quarantine.PartHeld) {
		fleet.LogPart(p.logger, fleet.SinceBoot(), s)
	}
}

func (p *partGuard) report(r *fleet.CrashRequest) {
	if p.reporter != nil {
		p.reporter.Crashed(r)
	}
}

// partHeld reports whether a part of the request's prompt is held back.
func (x *exchange) partHeld() bool {
	_, held := x.g.parts.held(x.metadata.Parts)
	return held
}

// refuseHeldPart refuses the request if a part of its prompt is held back, and reports
// whether it did. There is no Retry-After, because a repeat is not served either.
func (x *exchange) refuseHeldPart() bool {
	s, held := x.g.parts.held(x.metadata.Parts)
	if !held {
		return false
	}
	x.g.metrics.refused.Add(1)
	x.g.parts.refused.Add(1)
	x.fail(http.StatusServiceUnavailable, verdict.NotRun,
		"a part of the prompt has crashed backend servers; requests with it are not served", verdict.ReasonQuarantined, 0,
		zap.String("part", s.ID), zap.Int("crashes", s.Crashes), zap.Duration("hold_seconds", s.Until-fleet.SinceBoot()))
	return true
}

// answerBegan records the first bytes of an answer.
func (x *exchange) answerBegan(u *upstream) {
	if !x.begun {
		x.begun = true
		x.late.arrived()
		x.g.parts.began(x.metadata.Parts, u.sentAt)
	}
}

// suspectParts records a crash of a server that had not begun to answer the request.
func (x *exchange) suspectParts(server backend.Server, sent, crashed time.Time) {
	now := fleet.SinceBoot()
	x.g.parts.crashed(server.ID, x.metadata.Parts, now-time.Since(sent), now-time.Since(crashed))
}
