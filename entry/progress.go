package entry

import (
	"time"

	"arbutusmast.example/arbutusmast/core/burn"
	"arbutusmast.example/arbutusmast/core/contract"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/verdict"
)

// progressRecorder records the events of one response that objectives are evaluated
// on: the time to the first token, the time between tokens, and the longest stall.
type progressRecorder struct {
	recordEvent   func(burn.Event)
	service       string
	teamClass     string
	backendServer string

	lastAt       time.Time
	startedAt    time.Time
	longestGap   time.Duration
	tokens       int
	firstTokenAt time.Time
	preemptions  int
}

func (e *Entry) newProgressRecorder(service string, caller contract.Caller, now time.Time) *progressRecorder {
	return &progressRecorder{
		recordEvent: e.options.RecordEvent, service: service, teamClass: caller.TeamClass, lastAt: now, startedAt: now,
	}
}

func (p *progressRecorder) newEvent(kind contract.ObjectiveKind) burn.Event {
	return burn.Event{Kind: kind, Service: p.service, TeamClass: p.teamClass, BackendServer: p.backendServer}
}

// recordTokens records that n tokens arrived together. They count as one gap of the
// time since the previous tokens and n-1 gaps of zero.
func (p *progressRecorder) recordTokens(now time.Time, n int) {
	if p == nil || n <= 0 {
		return
	}
	if p.tokens == 0 {
		p.firstTokenAt = now
	}
	if p.recordEvent == nil {
		p.tokens += n
		return
	}
	gap := now.Sub(p.lastAt)
	p.lastAt = now
	p.longestGap = max(p.longestGap, gap)
	e := p.newEvent(contract.ObjectiveBetweenTokens)
	if p.tokens == 0 {
		first := p.newEvent(contract.ObjectiveFirstToken)
		first.Duration = now.Sub(p.startedAt)
		p.recordEvent(first)
	} else {
		e.Duration = gap
		p.recordEvent(e)
	}
	p.tokens += n
	if n > 1 {
		e.Duration, e.Times = 0, int64(n-1)
		p.recordEvent(e)
	}
}

// recordEnd adds the preemptions that the agent reports at the end of an execution.
func (p *progressRecorder) recordEnd(end *message.End) {
	if p != nil {
		p.preemptions += end.Preemptions
	}
}

// finish records the events at the end of the response. Failures that the caller
// has caused are not recorded.
func (p *progressRecorder) finish(now time.Time, failure *verdict.Error) {
	if p == nil || p.recordEvent == nil {
		return
	}
	p.longestGap = max(p.longestGap, now.Sub(p.lastAt))
	whole := p.newEvent(contract.ObjectiveWhole)
	stall := p.newEvent(contract.ObjectiveStall)
	stall.Duration = p.longestGap
	if failure != nil {
		if isCallerFault(failure.Reason) {
			return
		}
		whole.Failed, whole.Reason = true, failure.Reason
		stall.Reason = failure.Reason
	}
	p.recordEvent(whole)
	p.recordEvent(stall)
	preempted := p.newEvent(contract.ObjectivePreemptions)
	preempted.Count = p.preemptions
	p.recordEvent(preempted)
}

// isCallerFault reports whether a failure was caused by the caller and so says
// nothing about the service.
func isCallerFault(reason verdict.Reason) bool {
	switch reason {
	case verdict.ReasonCanceled, verdict.ReasonSlowReader, verdict.ReasonRateLimited, verdict.ReasonInvalid,
		verdict.ReasonKeyConflict, verdict.ReasonKeyInProgress:
		return true
	}
	return false
}
