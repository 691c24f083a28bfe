package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"arbutusmast.example/arbutusmast/core/backend"
	"arbutusmast.example/arbutusmast/core/quarantine"
	"arbutusmast.example/arbutusmast/core/verdict"
	"arbutusmast.example/arbutusmast/fleet"
	"go.uber.org/zap"
)

// Crashes takes what entries see of crashes. It does not wait.
type Crashes interface {
	Crashed(*fleet.CrashRequest)
}

// confirmPause is the pause before a server that broke a connection off is
// called again. One that crashed is away for seconds.
const confirmPause = 50 * time.Millisecond

// digest names what a backend server sees of the request. A request that comes
// again has the same one.
func (x *exchange) digest() string {
	caller := ""
	if x.caller != nil {
		caller = x.caller.Name
	}
	return quarantine.Digest([]byte(x.r.Method), []byte(x.r.Host), []byte(x.r.RequestURI), []byte(caller), x.r.body)
}

// heldBack refuses a request that crashed several backend servers.
func (x *exchange) heldBack() bool {
	view := x.g.options.Fleet.View()
	if !view.HasSuspects() {
		return false
	}
	held, suspect := view.Quarantined(x.digest())
	x.suspect = suspect
	if held <= 0 {
		return false
	}
	x.g.metrics.heldBack.Add(1)
	x.g.metrics.refused.Add(1)
	x.fail(http.StatusServiceUnavailable, verdict.NotRun, "the request has crashed backend servers and is held back", verdict.ReasonQuarantined, held)
	return true
}

// brokeOff looks whether a server that broke a request off has crashed, and
// tells the control group. A server that was told to leave ends by itself, and
// one that still takes connections broke off for another reason.
func (x *exchange) brokeOff(ctx context.Context, server backend.Server) {
	if x.g.options.Crashes == nil || ctx.Err() != nil || x.g.services.leaves(server.ID) {
		return
	}
	digest, sent, crashed := x.digest(), x.sent, time.Now()
	go func() {
		time.Sleep(confirmPause)
		conn, err := net.DialTimeout("tcp", server.Address, connectTimeout)
		if err == nil {
			_ = conn.Close()
			return
		}
		x.g.metrics.crashes.Add(1)
		x.logger.Info("backend server crashed during the request", zap.String("backend_server", server.ID), zap.String("digest", digest), zap.Error(err))
		x.g.options.Crashes.Crashed(&fleet.CrashRequest{Crashes: []fleet.Crash{{
			Server: server.ID, Digest: digest, SentAgo: time.Since(sent), CrashedAgo: time.Since(crashed),
		}}})
	}()
}

// succeeded clears a suspected request that a server answered in full.
func (x *exchange) succeeded() {
	if x.suspect && x.g.options.Crashes != nil {
		x.g.options.Crashes.Crashed(&fleet.CrashRequest{Cleared: []string{x.digest()}})
	}
}
