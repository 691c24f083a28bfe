package fleet

import (
	"expvar"
	"time"

	"arbutusmast.example/arbutusmast/core/serviceroom"
	"arbutusmast.example/arbutusmast/observe"
)

// maxRoomLabels bounds the services with metrics.
const maxRoomLabels = 64

// roomMetrics are the metrics of the memory of services. The gauges are labeled by service and
// empty on members that do not lead.
type roomMetrics struct {
	renewals, admitted, refused *expvar.Int

	grantable, room, leased, headroom, waiting, tight *observe.Counters
}

func newRoomMetrics(m *observe.Metrics) roomMetrics {
	gauge := func(name string) *observe.Counters { return m.Counters(name, maxRoomLabels) }
	return roomMetrics{
		renewals: m.Counter("control_room_renewals_total"), admitted: m.Counter("control_room_admitted_total"),
		refused: m.Counter("control_room_refused_total"), grantable: gauge("control_room_grantable_tokens"),
		room: gauge("control_room_free_tokens"), leased: gauge("control_room_leased_tokens"),
		headroom: gauge("control_room_moves_tokens"), waiting: gauge("control_room_waiting_count"),
		tight: gauge("control_room_tight_count"),
	}
}

// gauges returns the gauges.
func (m *roomMetrics) gauges() []*observe.Counters {
	return []*observe.Counters{m.grantable, m.room, m.leased, m.headroom, m.waiting, m.tight}
}

// countDecisions counts what a grant decides.
func (m *roomMetrics) countDecisions(g serviceroom.Grant) {
	m.renewals.Add(1)
	for _, d := range g.Decisions {
		if d.Admit {
			m.admitted.Add(1)
		} else {
			m.refused.Add(1)
		}
	}
}

// updateMetricsLocked sets the gauges of the services that this member grants. The caller holds
// t.mu.
func (t *roomTable) updateMetricsLocked(now time.Duration) {
	if t.metrics.renewals == nil {
		return
	}
	for service := range t.measured {
		if t.ledgers[service] == nil {
			for _, gauge := range t.metrics.gauges() {
				gauge.Remove(service)
			}
		}
	}
	t.measured = make(map[string]bool, len(t.ledgers))
	for service, ledger := range t.ledgers {
		t.measured[service] = true
		s := ledger.Stats(now)
		tight := 0
		if s.Tight {
			tight = 1
		}
		values := []int{s.Grantable, s.Room, s.Leased, s.Headroom, s.Waiting, tight}
		for i, gauge := range t.metrics.gauges() {
			gauge.Set(service, int64(values[i]))
		}
	}
}
