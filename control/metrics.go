package control

import (
	"expvar"

	"arbutusmast.example/arbutusmast/core/registry"
	"arbutusmast.example/arbutusmast/observe"
)

// serviceMetrics holds the counters of a service. A lost quorum shows in failed
// proposals, and an overload in refused proposals.
type serviceMetrics struct {
	heartbeats    *expvar.Int
	proposals     *expvar.Int
	refused       *expvar.Int
	failed        *expvar.Int
	unknown       *expvar.Int
	configChanges *expvar.Int
	hostDeaths    *expvar.Int
	// Orders to start or end an evacuation: committed; refused as invalid or without the
	// credential; without a commit in time; and overtaken by a later order.
	evacuationsAcknowledged *expvar.Int
	evacuationsRefused      *expvar.Int
	evacuationsUnanswered   *expvar.Int
	evacuationConflicts     *expvar.Int
}

// newServiceMetrics registers the metrics of a service in m. If m is nil, they are
// not published.
func newServiceMetrics(m *observe.Metrics, s *Service) serviceMetrics {
	if m == nil {
		m = observe.NewMetrics()
	}
	registryValue := func(value func(*registry.Registry) int) func() float64 {
		return func() (v float64) {
			s.options.Machine.View(func(r *registry.Registry) { v = float64(value(r)) })
			return v
		}
	}
	m.Gauge("control_calls_count", registryValue((*registry.Registry).Calls))
	m.Gauge("control_leases_count", registryValue((*registry.Registry).Leases))
	m.Gauge("control_members_count",
		registryValue(func(r *registry.Registry) int { return len(r.Members().Members) }))
	m.Gauge("control_evacuated_failure_domains_count", registryValue((*registry.Registry).EvacuatedDomains))
	m.Gauge("control_config_revision", registryValue(func(r *registry.Registry) int { return int(r.Revision()) }))
	m.Gauge("control_proposals_in_progress_count", func() float64 { return float64(len(s.proposalSlots)) })
	m.Gauge("control_leading_count", func() float64 {
		if _, self := s.options.Log.Leader(); self {
			return 1
		}
		return 0
	})
	return serviceMetrics{
		heartbeats:    m.Counter("control_heartbeats_total"),
		proposals:     m.Counter("control_proposals_total"),
		refused:       m.Counter("control_proposals_refused_total"),
		failed:        m.Counter("control_proposals_failed_total"),
		unknown:       m.Counter("control_proposals_unknown_total"),
		configChanges: m.Counter("control_config_changes_total"),
		hostDeaths:    m.Counter("control_host_deaths_total"),

		evacuationsAcknowledged: m.Counter("control_evacuation_orders_acknowledged_total"),
		evacuationsRefused:      m.Counter("control_evacuation_orders_refused_total"),
		evacuationsUnanswered:   m.Counter("control_evacuation_orders_unanswered_total"),
		evacuationConflicts:     m.Counter("control_evacuation_orders_conflicting_total"),
	}
}
