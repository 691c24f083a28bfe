package gateway

import (
	"expvar"

	"arbutusmast.example/arbutusmast/observe"
)

// metrics holds the metrics of the gateway.
type metrics struct {
	requests, rejected, refused, failed, retried, streamsAborted, streamsResumed,
	callersGone, streamsLate, quarantined, serverCrashes, cutOff, stopDiscarded, stopUnannounced *expvar.Int
	statuses, crossDomainBytes, unread, streamEnds, streamEndVerdicts *observe.Counters
	firstByte, requestDuration                                        *observe.Histogram
}

// maxStatuses bounds the number of status labels of gateway_responses_total.
const maxStatuses = 32

func newMetrics(m *observe.Metrics) metrics {
	return metrics{
		requests: m.Counter("gateway_requests_total"), rejected: m.Counter("gateway_rejected_total"),
		refused: m.Counter("gateway_refused_total"), failed: m.Counter("gateway_failed_total"),
		retried: m.Counter("gateway_retried_total"), streamsAborted: m.Counter("gateway_streams_aborted_total"),
		streamsResumed: m.Counter("gateway_streams_resumed_total"), callersGone: m.Counter("gateway_callers_gone_total"),
		streamsLate: m.Counter("gateway_streams_late_total"), cutOff: m.Counter("gateway_cut_off_total"),
		stopDiscarded:   m.Counter("gateway_stop_discarded_total"),
		stopUnannounced: m.Counter("gateway_stop_discarded_unannounced_total"),
		quarantined:     m.Counter("gateway_held_back_total"), serverCrashes: m.Counter("gateway_server_crashes_total"),
		statuses:          m.Counters("gateway_responses_total", maxStatuses),
		unread:            m.Counters("gateway_unread_refused_total", maxStatuses),
		streamEnds:        m.Counters("gateway_streams_ended_by_framing_total", maxStatuses),
		streamEndVerdicts: m.Counters("gateway_stream_end_verdicts_total", maxStatuses),
		crossDomainBytes:  m.Counters("gateway_cross_domain_bytes_total", maxStatuses),
		firstByte:         m.Histogram("gateway_first_byte_seconds"), requestDuration: m.Histogram("gateway_request_seconds"),
	}
}
