package backend

import "time"

// ColdStart returns how long a server of a service is cold after its start, and false if cold
// servers of the service have no bound.
type ColdStart func(service string) (start time.Duration, bounded bool)

// MarkCold returns the servers of a list that was read until now, with ColdUntil instead of
// ColdFor. The list lags, so a server that is new or started again since the previous list
// counts as cold for the time of a cold start, unless the list shows how long it still is. At
// the first list of a deployment all servers are new, and only what the list shows counts.
func MarkCold(now time.Duration, listed, previous []Server, first bool, coldStart ColdStart) []Server {
	known := make(map[string]Server, len(previous))
	for _, s := range previous {
		known[s.ID] = s
	}
	marked := make([]Server, len(listed))
	for i, s := range listed {
		start, bounded := coldStart(s.Service)
		old, isKnown := known[s.ID]
		switch {
		case !bounded:
		case s.ColdFor > 0:
			s.ColdUntil = now + s.ColdFor
		case isKnown && s.RestartedSince(old.StartedAt) || !isKnown && !first:
			s.ColdUntil = now + start
		case isKnown && old.ColdUntil > now:
			s.ColdUntil = old.ColdUntil
		}
		s.ColdFor = 0
		marked[i] = s
	}
	return marked
}

// MarkReported returns the servers of a list that counts as read at now, with ColdUntil not before
// the ends that processes on the servers' hosts reported, by address. The list may be older than a report.
func MarkReported(now time.Duration, listed []Server, reported map[string]time.Duration, coldStart ColdStart) []Server {
	marked := make([]Server, len(listed))
	for i, s := range listed {
		if until := reported[s.Address]; until > now && until > s.ColdUntil {
			if _, bounded := coldStart(s.Service); bounded {
				s.ColdUntil = until
			}
		}
		marked[i] = s
	}
	return marked
}
