package entry

import (
	"time"

	"arbutusmast.example/arbutusmast/core/burn"
	"arbutusmast.example/arbutusmast/core/contract"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/verdict"
)

// progress measures one answer for the objectives: the wait for the first
// token, the time between tokens, and the longest time without progress.
type progress struct {
	record        func(burn.Event)
	service       string
	teamClass     string
	backendServer string

	last        time.Time
	started     time.Time
	longest     time.Duration
	tokens      int
	firstAt     time.Time
	preemptions int
}

func (e *Entry) newProgress(service string, caller contract.Caller, now time.Time) *progress {
	return &progress{record: e.options.RecordEvent, service: service, teamClass: caller.TeamClass, last: now, started: now}
}

func (p *progress) event(kind contract.ObjectiveKind) burn.Event {
	return burn.Event{Kind: kind, Service: p.service, TeamClass: p.teamClass, BackendServer: p.backendServer}
}

// took records that n tokens arrived together. Their gaps are one of the time
// passed and n-1 of zero.
func (p *progress) took(now time.Time, n int) {
	if p == nil || n <= 0 {
		return
	}
	if p.tokens == 0 {
		p.firstAt = now
	}
	if p.record == nil {
		p.tokens += n
		return
	}
	gap := now.Sub(p.last)
	p.last = now
	p.longest = max(p.longest, gap)
	e := p.event(contract.ObjectiveBetweenTokens)
	if p.tokens == 0 {
		first := p.event(contract.ObjectiveFirstToken)
		first.Duration = now.Sub(p.started)
		p.record(first)
	} else {
		e.Duration = gap
		p.record(e)
	}
	p.tokens += n
	if n > 1 {
		e.Duration, e.Times = 0, int64(n-1)
		p.record(e)
	}
}

// ended takes what the agent tells at the end of an execution.
func (p *progress) ended(end *message.End) {
	if p != nil {
		p.preemptions += end.Preemptions
	}
}

// finish records the end of the answer.
func (p *progress) finish(now time.Time, failure *verdict.Error) {
	if p == nil || p.record == nil {
		return
	}
	p.longest = max(p.longest, now.Sub(p.last))
	whole := p.event(contract.ObjectiveWhole)
	stall := p.event(contract.ObjectiveStall)
	stall.Duration = p.longest
	if failure != nil {
		if callerFault(failure.Reason) {
			return
		}
		whole.Failed, whole.Reason = true, failure.Reason
		stall.Reason = failure.Reason
	}
	p.record(whole)
	p.record(stall)
	preempted := p.event(contract.ObjectivePreemptions)
	preempted.Count = p.preemptions
	p.record(preempted)
}

// callerFault tells failures that say nothing about the service.
func callerFault(reason verdict.Reason) bool {
	switch reason {
	case verdict.ReasonCanceled, verdict.ReasonSlowReader, verdict.ReasonRateLimited, verdict.ReasonInvalid,
		verdict.ReasonKeyConflict, verdict.ReasonKeyInProgress:
		return true
	}
	return false
}
