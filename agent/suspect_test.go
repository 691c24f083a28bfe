package agent

import (
	"context"
	"sync"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/core/contract"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/engine"
)

// crashedService is a plain service whose process ended during a call that it answered without length or chunks.
type crashedService struct{ engine.Backend }

func (crashedService) Forward(context.Context, *message.ForwardRequest) (engine.Response, error) {
	return engine.Response{Status: 200, Body: []byte("{"), Unframed: true}, nil
}
func (crashedService) Load(context.Context) (engine.Load, error) {
	return engine.Load{}, engine.ErrUnreachable
}

// clearedReports records the digests that are reported as harmless.
type clearedReports struct {
	mu      sync.Mutex
	cleared []string
}

func (c *clearedReports) ReportCrash(_ context.Context, r message.CrashReport) (message.CrashReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cleared = append(c.cleared, r.Cleared...)
	return message.CrashReply{}, nil
}

// Guards against a suspect that counts as harmless because its server, which it crashed, had closed the
// connection of an answer without length or chunks.
func TestCutAnswerClearsNoSuspect(t *testing.T) {
	reports := &clearedReports{}
	a := New(Options{Host: "h1", Fleet: newTestFleet(buildTestConfig(t, "h1", "127.0.0.1:1")), CrashReporter: reports,
		Connect: func(contract.BackendServer) engine.Backend { return crashedService{} }})
	defer a.Close()
	var reply message.ForwardReply
	a.backends["d-1"].forward(t.Context(), &message.ForwardRequest{Digest: "q", Suspect: true}, &reply)
	time.Sleep(100 * time.Millisecond)
	reports.mu.Lock()
	defer reports.mu.Unlock()
	if len(reports.cleared) > 0 {
		t.Errorf("the suspects %v were cleared by an answer that is cut", reports.cleared)
	}
}
