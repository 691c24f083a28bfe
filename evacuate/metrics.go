package evacuate

import (
	"expvar"

	"arbutusmast.example/arbutusmast/observe"
)

// metrics holds the metrics of an Agent.
type metrics struct {
	notices, moved, movesFailed *expvar.Int
	preCopyTime, stopTime       *observe.Histogram
}

func newMetrics(m *observe.Metrics) metrics {
	return metrics{
		notices: m.Counter("agent_notices_total"), moved: m.Counter("agent_generations_moved_total"),
		movesFailed: m.Counter("agent_moves_failed_total"),
		preCopyTime: m.Histogram("agent_copy_seconds"), stopTime: m.Histogram("agent_stop_seconds"),
	}
}
