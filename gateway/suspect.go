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

// reportCrash checks whether a server crashed after the connection to it was lost,
// and if so reports it to the control group. A server that was told to leave exits by
// itself, and one that still accepts connections closed this one for another reason.
func (x *exchange) reportCrash(ctx context.Context, server backend.Server) {
	if x.g.options.CrashReporter == nil || ctx.Err() != nil || x.g.services.isLeaving(server.ID) {
		return
	}
	digest, sentAt, failedAt, begun := x.digest(), x.sentAt, time.Now(), x.begun
	go func() {
		time.Sleep(crashCheckDelay)
		conn, err := net.DialTimeout("tcp", server.Address, connectTimeout)
		if err == nil {
			_ = conn.Close()
			return
		}
		x.g.cold.assumeCold(server, x.g.options.Fleet.View())
		x.g.metrics.serverCrashes.Add(1)
		x.logger.Info("backend server crashed during the request", zap.String("backend_server", server.ID),
			zap.String("digest", digest), zap.Error(err))
		x.g.options.CrashReporter.Crashed(&fleet.CrashRequest{Crashes: []fleet.Crash{{
			Server: server.ID, Digest: digest, SentAgo: time.Since(sentAt), CrashedAgo: time.Since(failedAt),
		}}})
		if !begun {
			x.suspectParts(server, sentAt, failedAt)
		}
	}()
}

// clearSuspicion reports that a server completed a suspect request without a crash.
func (x *exchange) clearSuspicion() {
	if x.suspect && x.g.options.CrashReporter != nil {
		x.g.options.CrashReporter.Crashed(&fleet.CrashRequest{Cleared: []string{x.digest()}})
	}
}
