package gateway

import (
	"context"
	"net"
	"net/http"
	"strings"
	"time"

	"arbutusmast.example/arbutusmast/core/backend"
	"arbutusmast.example/arbutusmast/core/quarantine"
	"arbutusmast.example/arbutusmast/core/verdict"
	"arbutusmast.example/arbutusmast/fleet"
	"go.uber.org/zap"
)

// CrashReporter receives the crashes that entries observe. Its method must not block.
type CrashReporter interface {
	Crashed(*fleet.CrashRequest)
}

// crashCheckDelay is the delay between the loss of a connection and the check whether
// the server still accepts connections. After a crash it does not for seconds.
const crashCheckDelay = 50 * time.Millisecond

// digest returns a digest of what a backend server sees of the request. A repeated
// request has the same digest.
func (x *exchange) digest() string {
	caller := ""
	if x.caller != nil {
		caller = x.caller.Name
	}
	texts := [][]byte{[]byte(x.r.Method), []byte(x.r.Host), []byte(x.r.RequestURI), []byte(caller),
		[]byte(strings.Join(x.metadata.Parts, ","))}
	return quarantine.DigestSegmented(texts[0:1], texts[1:2], texts[2:3], texts[3:4], x.r.body.segments, texts[4:5])
}

// refuseQuarantined refuses a quarantined request, which is one that crashed several
// backend servers. It reports whether it did.
func (x *exchange) refuseQuarantined() bool {
	view := x.g.options.Fleet.View()
	if !view.HasSuspects() {
		return false
	}
	retryAfter, suspect := view.Quarantined(x.digest())
	x.suspect = suspect
	if retryAfter <= 0 {
		return false
	}
	x.g.metrics.quarantined.Add(1)
	x.g.metrics.refused.Add(1)
	x.fail(http.StatusServiceUnavailable, verdict.NotRun, "the request has crashed backend servers and is held back",
		verdict.ReasonQuarantined, retryAfter)
	return true
}

// crashCheck checks whether a server crashed while it ran a request. It holds copies of what later attempts of
// the request change.
type crashCheck struct {
	x                *exchange
	server           backend.Server
	digest           string
	sentAt, failedAt time.Time
	begun            bool
}

// newCrashCheck returns a check after the connection to a server was lost, nil if nobody asks for crashes. A
// server that was told to leave exits by itself.
func (x *exchange) newCrashCheck(ctx context.Context, server backend.Server) *crashCheck {
	if x.g.options.CrashReporter == nil || ctx.Err() != nil || x.g.services.isLeaving(server.ID) {
		return nil
	}
	return &crashCheck{x, server, x.digest(), x.sentAt, time.Now(), x.begun}
}

// run reports a crash to the control group if the server does not accept connections. One that does closed the
// connection for another reason.
func (c *crashCheck) run() {
	conn, err := net.DialTimeout("tcp", c.server.Address, connectTimeout)
	if err == nil {
		_ = conn.Close()
		return
	}
	g := c.x.g
	g.cold.assumeCold(c.server, g.options.Fleet.View())
	g.metrics.serverCrashes.Add(1)
	c.x.logger.Info("backend server crashed during the request", zap.String("backend_server", c.server.ID),
		zap.String("digest", c.digest), zap.Error(err))
	g.options.CrashReporter.Crashed(&fleet.CrashRequest{Crashes: []fleet.Crash{{
		Server: c.server.ID, Digest: c.digest, SentAgo: time.Since(c.sentAt), CrashedAgo: time.Since(c.failedAt),
	}}})
	if !c.begun {
		c.x.suspectParts(c.server, c.sentAt, c.failedAt)
	}
}

// runAfter runs the check in the background after a delay, unless the returned function is called before.
func (c *crashCheck) runAfter(delay time.Duration) (cancel func()) {
	if c == nil {
		return func() {}
	}
	timer := time.AfterFunc(delay, c.run)
	return func() { timer.Stop() }
}

// reportCrash checks whether a server crashed after the connection to it was lost.
func (x *exchange) reportCrash(ctx context.Context, server backend.Server) {
	x.newCrashCheck(ctx, server).runAfter(crashCheckDelay)
}

// clearSuspicion reports that a server completed a suspect request without a crash.
func (x *exchange) clearSuspicion() {
	if x.suspect && x.g.options.CrashReporter != nil {
		x.g.options.CrashReporter.Crashed(&fleet.CrashRequest{Cleared: []string{x.digest()}})
	}
}
