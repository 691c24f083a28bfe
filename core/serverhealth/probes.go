package serverhealth

import "time"

// observeProbe counts the outcome of a probe of a failing server. The failure of a request
// that often fails at sound servers too says nothing.
func (t *Table) observeProbe(now time.Duration, s *server, failed bool, rate float64) {
	s.probing = false
	s.samples++
	if failed && rate > maxProbeRate {
		s.nextProbe = now + nextProbeDelay
		return
	}
	if failed {
		s.failed++
		s.probeSuccesses, s.unpaced = 0, false
		s.probeInterval = min(2*s.probeInterval, t.cfg.MaxProbeInterval)
		s.nextProbe = now + s.probeInterval
		return
	}
	s.probeSuccesses++
	s.nextProbe = now + nextProbeDelay
	if s.probeSuccesses >= t.cfg.ProbeSuccesses {
		t.failing--
		s.failing, s.score, s.updatedAt, s.failed, s.samples = false, 0, now, 0, 0
		t.hastenProbes(now)
	}
}

// hastenProbes lets a few other failing servers be probed at once after one returned. Each
// that returns hastens others in turn; one that returned by chance costs few requests.
func (t *Table) hastenProbes(now time.Duration) {
	hastened := 0
	for _, s := range t.servers {
		if s.failing && !s.unpaced && hastened < hastenedProbes {
			s.nextProbe, s.probeInterval, s.unpaced = now, t.cfg.ProbeInterval, true
			hastened++
		}
	}
}

// ProbeDue reports whether a failing or suspected server may get a probe now.
func (t *Table) ProbeDue(now time.Duration, name string) bool {
	s := t.servers[name]
	return s != nil && t.probeDue(now, s)
}

func (t *Table) probeDue(now time.Duration, s *server) bool {
	if !s.failing {
		return t.suspectProbeDue(now, s)
	}
	if now < s.nextProbe || s.probing && now-s.probeStartedAt <= probeTimeout {
		return false
	}
	return s.unpaced || s.probeSuccesses > 0 || t.requests-t.probeRequests >= t.cfg.RequestsPerProbe ||
		now-t.lastProbeAt >= t.cfg.MaxProbeGap
}

// suspectProbeDue reports whether a suspected server may get a probe now. Requests avoid a
// suspected server, so without probes its score halves until the server counts as sound, and only
// then does another failure follow. There is no probe if too many servers fail for a verdict.
func (t *Table) suspectProbeDue(now time.Duration, s *server) bool {
	return t.cfg.ProbeSuspected && s.state(now) == Suspected && t.mayMarkFailing() &&
		now-s.updatedAt >= suspectProbeDelay && (!s.probing || now-s.probeStartedAt > suspectProbeTimeout)
}

// StartProbe records that a probe of a failing or suspected server is sent. It returns false
// if none is due.
func (t *Table) StartProbe(now time.Duration, name string) bool {
	if !t.ProbeDue(now, name) {
		return false
	}
	s := t.servers[name]
	s.probing, s.probeStartedAt = true, now
	if s.failing {
		s.probedBefore = false
		t.probeRequests, t.lastProbeAt = t.requests, now
	}
	return true
}

// CancelProbe records that a probe was not sent after all, or has no outcome.
func (t *Table) CancelProbe(name string) {
	if s := t.servers[name]; s != nil {
		s.probing = false
	}
}

// IsProbe reports whether a request that was sent at a time is the probe in progress.
func (t *Table) IsProbe(name string, sentAt time.Duration) bool {
	s := t.servers[name]
	return s != nil && s.failing && s.probing && sentAt >= s.probeStartedAt
}
