package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"arbutusmast.example/arbutusmast/core/dispatch"
	"arbutusmast.example/arbutusmast/core/verdict"
	"go.uber.org/zap"
)

// rejectUndeclared fails a request whose route or key is not declared. If the
// entry's state may be stale, the request is refused as retryable instead, because
// a newer state may declare it. It always returns false.
func (x *exchange) rejectUndeclared(age time.Duration, status int, text string, reason verdict.Reason) bool {
	if age > maxNotFoundAge {
		x.refuse(text+" in a copy that may be old", verdict.ReasonNotReady)
		return false
	}
	x.fail(status, verdict.NotRun, text, reason, 0)
	return false
}

// refuse responds that the request did not run and when to retry, and logs it with more fields.
func (x *exchange) refuse(text string, reason verdict.Reason, fields ...zap.Field) {
	x.g.metrics.refused.Add(1)
	retryAfter := dispatch.RetryAfter(reason == verdict.ReasonNotReady, x.metadata.Timeout, x.g.random())
	x.fail(http.StatusServiceUnavailable, verdict.NotRun, text, reason, retryAfter, fields...)
}

// refuseUnplaced refuses a request that no server took.
func (x *exchange) refuseUnplaced(result dispatch.Result) {
	if result == dispatch.Outlasting {
		x.refuseStopping()
		return
	}
	if x.room.refusal != nil {
		x.refuseForRoom()
		return
	}
	if x.refuseHeldPart() || x.refuseEvacuated() {
		return
	}
	if result == dispatch.NoServer && len(x.restingServers) > 0 && x.refuseForRest() {
		return
	}
	if result != dispatch.NoServer || len(x.limitedServers) == 0 {
		x.refuse("no backend server took the request", verdict.ReasonOverloaded)
		return
	}
	x.refuseLimited()
}

// refuseForRest refuses the request because servers rest, and reports whether one does.
func (x *exchange) refuseForRest() bool {
	retryAfter := x.g.notices.retryAfter(x.restingServers, x.g.random())
	if retryAfter == 0 {
		return false
	}
	x.g.metrics.refused.Add(1)
	x.g.notices.metrics.refused.Add(1)
	x.fail(http.StatusServiceUnavailable, verdict.NotRun, "the backend servers asked for rest", verdict.ReasonOverloaded,
		retryAfter, zap.Strings("resting_servers", x.restingServers))
	return true
}

// fail sends an error response of the gateway itself and logs it with more fields.
func (x *exchange) fail(status int, v verdict.Verdict, text string, reason verdict.Reason, retryAfter time.Duration,
	fields ...zap.Field) {
	if v != verdict.NotRun {
		x.g.metrics.failed.Add(1)
	}
	x.logger.With(fields...).Info("request not served", zap.Int("status", status), zap.String("reason", string(reason)),
		zap.String("detail", text), zap.String("verdict", v.String()), zap.String("route", x.routeName()),
		zap.Duration("retry_after_seconds", retryAfter))
	header := http.Header{}
	header.Set("Content-Type", "application/json")
	header.Set(verdictHeader, v.String())
	if retryAfter > 0 {
		header.Set("Retry-After", formatSeconds(retryAfter))
	}
	body := fmt.Sprintf("{\"error\":{\"message\":%q,\"code\":%q,\"verdict\":%q,\"retry_after_ms\":%d}}\n",
		text, string(reason), v.String(), retryAfter.Milliseconds())
	if err := x.w.writeResponse(status, header, []byte(body)); err != nil {
		x.logger.Info("the caller did not take the answer", zap.Error(err))
	}
}

// formatSeconds returns a duration as the value of Retry-After.
func formatSeconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }

// routeName returns the name of the route, empty if there is none.
func (x *exchange) routeName() string {
	if x.route == nil {
		return ""
	}
	return x.route.Name
}
