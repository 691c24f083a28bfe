package evacuate

import (
	"expvar"

	"arbutusmast.example/arbutusmast/observe"
)

// metrics holds the metrics of an Agent.
type metrics struct {
	notices, moved, movesFailed, lastMoves, processChanges *expvar.Int
	healthCalls, healthFailures, coldTimes                 *expvar.Int
	locateReplies, streamEnds                              *observe.Counters
	preCopyTime, stopTime                                  *observe.Histogram
}

// maxLocateReplies bounds the labels of agent_locate_replies_total.
const maxLocateReplies = 8

func newMetrics(m *observe.Metrics) metrics {
	return metrics{
		notices: m.Counter("agent_notices_total"), moved: m.Counter("agent_generations_moved_total"),
		movesFailed: m.Counter("agent_moves_failed_total"), lastMoves: m.Counter("agent_last_moves_total"),
		processChanges: m.Counter("agent_server_process_changes_total"),
		streamEnds:     m.Counters("agent_stream_end_verdicts_total", maxLocateReplies),
		locateReplies:  m.Counters("agent_locate_replies_total", maxLocateReplies),
		healthCalls:    m.Counter("agent_health_calls_total"), healthFailures: m.Counter("agent_health_calls_failed_total"),
		coldTimes:   m.Counter("agent_cold_times_total"),
		preCopyTime: m.Histogram("agent_copy_seconds"), stopTime: m.Histogram("agent_stop_seconds"),
	}
}
