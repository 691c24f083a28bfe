package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"

	"arbutusmast.example/arbutusmast/core/dispatch"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// Reasons for which requests and connections are refused before they are read completely.
// The counter gateway_unread_refused_total has them as labels.
const (
	reasonHeadSize    = "head_size"
	reasonBodySize    = "body_size"
	reasonFramingSize = "framing_size"
	reasonMalformed   = "malformed"
	reasonTimeout     = "timeout"
	reasonStopping    = "stopping"
	reasonMemory      = "memory"
	reasonEvicted     = "evicted"
	reasonConnections = "connections"
)

// rejection returns the status, reason and text of the response to a request that could not be
// read. It returns status 0 if the caller closed the connection, so that there is nobody to respond
// to.
func (c *callerConn) rejection(memory *requestMemory, err error) (status int, reason, text string) {
	var netErr net.Error
	timedOut := errors.As(err, &netErr) && netErr.Timeout()
	switch {
	case errors.Is(err, errHeadTooLarge):
		return http.StatusRequestHeaderFieldsTooLarge, reasonHeadSize, err.Error()
	case errors.Is(err, errFramingTooLarge):
		return http.StatusRequestHeaderFieldsTooLarge, reasonFramingSize, err.Error()
	case errors.Is(err, errBodyTooLarge):
		return http.StatusRequestEntityTooLarge, reasonBodySize, err.Error()
	case errors.Is(err, errMalformed):
		return http.StatusBadRequest, reasonMalformed, err.Error()
	case errors.Is(err, errNoMemory):
		return http.StatusServiceUnavailable, reasonMemory, err.Error()
	case errors.Is(err, errEvicted), timedOut && memory.isEvicted():
		return http.StatusServiceUnavailable, reasonEvicted, errEvicted.Error()
	case timedOut && c.wasCutOff():
		return http.StatusServiceUnavailable, reasonStopping, "this entry stops"
	case timedOut:
		return http.StatusRequestTimeout, reasonTimeout, "the request did not arrive in time"
	}
	return 0, "", ""
}

// reject responds to a request that could not be read. It always returns false.
func (c *callerConn) reject(w *responseWriter, memory *requestMemory, err error) bool {
	w.closeAfter = true
	status, reason, text := c.rejection(memory, err)
	// Others may wait for the memory while the caller takes its time to read the response.
	memory.release()
	if status == 0 {
		return false
	}
	c.gateway.metrics.rejected.Add(1)
	c.gateway.metrics.unread.Add(reason, 1)
	c.gateway.refusals.log(reason, status, text, c.conn.RemoteAddr().String())
	header := http.Header{}
	if status == http.StatusServiceUnavailable {
		header.Set("Retry-After", formatSeconds(c.retryDelay(reason)))
	}
	header.Set(verdictHeader, "not_run")
	_ = w.writeResponse(status, header, []byte(text+"\n"))
	return false
}

// retryDelay returns the time after which a refused caller should try again.
func (c *callerConn) retryDelay(reason string) time.Duration {
	if reason == reasonStopping {
		return dispatch.RetryElsewhere(0, c.gateway.random())
	}
	return dispatch.RetryAfter(false, 0, c.gateway.random())
}

// refusalLogInterval is the least time between two log lines of one reason.
const refusalLogInterval = time.Second

// refusalLog logs why requests and connections are refused before they are read completely, with a
// bounded number of lines, because anyone can cause them.
type refusalLog struct {
	logger  *zap.Logger
	elapsed func() time.Duration

	mu       sync.Mutex
	byReason map[string]*refusalCount
}

// refusalCount is what was logged of one reason.
type refusalCount struct {
	loggedAt time.Duration
	omitted  int
}

func newRefusalLog(logger *zap.Logger, elapsed func() time.Duration) *refusalLog {
	return &refusalLog{logger: logger, elapsed: elapsed, byReason: map[string]*refusalCount{}}
}

// log logs a refusal unless one of its reason was logged just before.
func (l *refusalLog) log(reason string, status int, text, remote string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.elapsed()
	count := l.byReason[reason]
	if count != nil && now-count.loggedAt < refusalLogInterval {
		count.omitted++
		return
	}
	omitted := 0
	if count != nil {
		omitted = count.omitted
	}
	l.byReason[reason] = &refusalCount{loggedAt: now}
	l.logger.Info("request rejected before it was fully read", zap.Int("status", status), zap.String("cause", reason),
		zap.String("reason", text), zap.String("remote", remote), zap.Int("not_logged", omitted))
}
