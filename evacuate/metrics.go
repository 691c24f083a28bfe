package evacuate

import (
	"expvar"

	"arbutusmast.example/arbutusmast/observe"
)

// metrics counts what an agent did.
type metrics struct {
	notices, moved, failed *expvar.Int
	copying, stopped       *observe.Histogram
}

func newMetrics(m *observe.Metrics) metrics {
	return metrics{
		notices: m.Counter("agent_notices_total"), moved: m.Counter("agent_generations_moved_total"),
		failed: m.Counter("agent_moves_failed_total"), copying: m.Histogram("agent_copy_seconds"), stopped: m.Histogram("agent_stop_seconds"),
	}
}
