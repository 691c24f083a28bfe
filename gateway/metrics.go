package gateway

import (
	"expvar"

	"arbutusmast.example/arbutusmast/observe"
)

// metrics counts what the gateway did.
type metrics struct {
	requests, rejected, refused, failed, retried, aborted, resumed, gone, late, heldBack, crashes *expvar.Int
	statuses                                                                                      *observe.Counters
	firstByte, whole                                                                              *observe.Histogram
}

// maxStatuses bounds the labels of the counter of statuses.
const maxStatuses = 32

func newMetrics(m *observe.Metrics) metrics {
	return metrics{
		requests: m.Counter("gateway_requests_total"), rejected: m.Counter("gateway_rejected_total"),
		refused: m.Counter("gateway_refused_total"), failed: m.Counter("gateway_failed_total"),
		retried: m.Counter("gateway_retried_total"), aborted: m.Counter("gateway_streams_aborted_total"),
		resumed: m.Counter("gateway_streams_resumed_total"), gone: m.Counter("gateway_callers_gone_total"),
		late:     m.Counter("gateway_streams_late_total"),
		heldBack: m.Counter("gateway_held_back_total"), crashes: m.Counter("gateway_server_crashes_total"),
		statuses:  m.Counters("gateway_responses_total", maxStatuses),
		firstByte: m.Histogram("gateway_first_byte_seconds"), whole: m.Histogram("gateway_request_seconds"),
	}
}
