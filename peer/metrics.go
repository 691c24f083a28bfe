package peer

import (
	"expvar"
	"time"

	"arbutusmast.example/arbutusmast/core/peerstate"
	"arbutusmast.example/arbutusmast/observe"
)

// stateMetrics holds the counters of a State's calls.
type stateMetrics struct {
	heartbeats        *expvar.Int
	heartbeatFailures *expvar.Int
	fetches           *expvar.Int
	peerFetches       *expvar.Int
	fetchFailures     *expvar.Int
	controlCalls      *expvar.Int
	controlFailures   *expvar.Int
}

// newStateMetrics registers the metrics in m. If m is nil, they are not exported.
// The gauge peer_confirmed_age_seconds, the time since the last confirmed
// heartbeat, shows operators a daemon that is cut off from the control group.
func newStateMetrics(m *observe.Metrics, s *State) stateMetrics {
	if m == nil {
		m = observe.NewMetrics()
	}
	m.Gauge("peer_members_count", func() float64 { return float64(len(s.Members())) })
	m.Gauge("peer_evacuated_failure_domains_count", func() float64 { return float64(len(s.Evacuations().Domains)) })
	m.Gauge("peer_highest_seen_revision", func() float64 { return float64(s.highestSeen.Load()) })
	m.Gauge("peer_confirmed_age_seconds", func() float64 {
		return (s.now() - time.Duration(s.confirmedAt.Load())).Seconds()
	})
	return stateMetrics{
		heartbeats:        m.Counter("peer_heartbeats_total"),
		heartbeatFailures: m.Counter("peer_heartbeat_failures_total"),
		fetches:           m.Counter("peer_config_fetches_total"),
		peerFetches:       m.Counter("peer_config_fetches_from_peers_total"),
		fetchFailures:     m.Counter("peer_config_fetch_failures_total"),
		controlCalls:      m.Counter("peer_control_calls_total"),
		controlFailures:   m.Counter("peer_control_failed_attempts_total"),
	}
}

// recordHeartbeat counts a finished heartbeat and stores the time of a
// confirmation.
func (s *State) recordHeartbeat(now time.Duration, current bool, outcome peerstate.Outcome) {
	s.metrics.heartbeats.Add(1)
	if outcome.Failed {
		s.metrics.heartbeatFailures.Add(1)
	} else if current {
		s.confirmedAt.Store(int64(now))
	}
}

// recordFetch counts a finished fetch.
func (s *State) recordFetch(a peerstate.Action, outcome peerstate.Outcome) {
	s.metrics.fetches.Add(1)
	if a.Kind == peerstate.FetchFromPeer {
		s.metrics.peerFetches.Add(1)
	}
	if outcome.Failed || s.syncer.FetchError() != nil {
		s.metrics.fetchFailures.Add(1)
	}
}
