package peer

import (
	"expvar"
	"time"

	"arbutusmast.example/arbutusmast/core/peerstate"
	"arbutusmast.example/arbutusmast/observe"
)

// stateMetrics counts the calls of a daemon's copy. The age of the last
// confirmed heartbeat shows operators a daemon that is cut off.
type stateMetrics struct {
	heartbeats      *expvar.Int
	beatFailures    *expvar.Int
	fetches         *expvar.Int
	peerFetches     *expvar.Int
	fetchFailures   *expvar.Int
	controlCalls    *expvar.Int
	controlFailures *expvar.Int
}

// newStateMetrics registers the metrics. A nil set keeps them private.
func newStateMetrics(m *observe.Metrics, s *State) stateMetrics {
	if m == nil {
		m = observe.NewMetrics()
	}
	m.Gauge("peer_members_count", func() float64 { return float64(len(s.Members())) })
	m.Gauge("peer_highest_seen_revision", func() float64 { return float64(s.highest.Load()) })
	m.Gauge("peer_confirmed_age_seconds", func() float64 {
		return (s.now() - time.Duration(s.confirmedAt.Load())).Seconds()
	})
	return stateMetrics{
		heartbeats:      m.Counter("peer_heartbeats_total"),
		beatFailures:    m.Counter("peer_heartbeat_failures_total"),
		fetches:         m.Counter("peer_config_fetches_total"),
		peerFetches:     m.Counter("peer_config_fetches_from_peers_total"),
		fetchFailures:   m.Counter("peer_config_fetch_failures_total"),
		controlCalls:    m.Counter("peer_control_calls_total"),
		controlFailures: m.Counter("peer_control_failed_attempts_total"),
	}
}

// beaten counts the end of a heartbeat.
func (s *State) beaten(now time.Duration, current bool, outcome peerstate.Outcome) {
	s.metrics.heartbeats.Add(1)
	if outcome.Failed {
		s.metrics.beatFailures.Add(1)
	} else if current {
		s.confirmedAt.Store(int64(now))
	}
}

// fetched counts the end of a fetch.
func (s *State) fetched(a peerstate.Action, outcome peerstate.Outcome) {
	s.metrics.fetches.Add(1)
	if a.Kind == peerstate.FetchFromPeer {
		s.metrics.peerFetches.Add(1)
	}
	if outcome.Failed || s.machine.FetchError() != nil {
		s.metrics.fetchFailures.Add(1)
	}
}
