package entry

import (
	"context"
	"net/http"
	"net/url"
	"path"
	"strings"
	"time"

	"arbutusmast.example/arbutusmast/core/attempt"
	"arbutusmast.example/arbutusmast/core/contract"
	"arbutusmast.example/arbutusmast/core/httpfield"
	"arbutusmast.example/arbutusmast/core/httpstatus"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/placement"
	"arbutusmast.example/arbutusmast/core/quarantine"
	"arbutusmast.example/arbutusmast/core/verdict"
	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"
)

const (
	retryAfterNoQuorum     = 2 * time.Second
	idempotencyKeyHeader   = "Idempotency-Key"
	maxIdempotencyKeyBytes = 256
)

// plainCall is one call to a plain service.
type plainCall struct {
	entry      *Entry
	id         message.RequestID
	caller     contract.Caller
	service    contract.Service
	request    message.ForwardRequest
	key        message.CallKey
	repeatable bool
}

func (e *Entry) handlePlain(w http.ResponseWriter, r *http.Request) {
	e.activeRequests.Add(1)
	defer e.activeRequests.Add(-1)
	id := e.nextRequestID()
	c, failure := e.newPlainCall(r, id)
	if failure == nil {
		failure = e.checkDrain(c.service.Timeout)
	}
	if failure != nil {
		rejectRequest(w, r, id, failure)
		return
	}
	parent := r.Context()
	if !c.repeatable {
		// The call continues after the caller has lost its connection, so that its
		// outcome is recorded for a retry of the caller.
		parent = context.WithoutCancel(parent)
	}
	ctx, cancel := e.requestContext(parent, c.service.Timeout)
	defer cancel()
	reply, failure := c.run(ctx)
	if failure != nil {
		writeError(w, id, e.cutOffFailure(failure))
		return
	}
	writeForwardReply(w, r, id, reply)
}

func (e *Entry) newPlainCall(
	r *http.Request, id message.RequestID,
) (*plainCall, *verdict.Error) {
	caller, failure := e.authenticate(r)
	if failure != nil {
		return nil, failure
	}
	service, ok := e.options.Fleet.Config().Services[chi.URLParam(r, "service")]
	if !ok || service.Kind != contract.KindPlain {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonUnknownService,
			"service %q is not a declared plain service", chi.URLParam(r, "service"))
	}
	body, failure := e.readBody(r)
	if failure != nil {
		return nil, failure
	}
	decodedPath, failure := servicePath(r)
	if failure != nil {
		return nil, failure
	}
	c := &plainCall{
		entry: e, id: id, caller: caller, service: service, repeatable: service.Repeatable(r.Method, decodedPath),
	}
	c.request = message.ForwardRequest{
		Caller: caller.Name, Service: service.Name, Priority: caller.Priority,
		Digest: quarantine.Digest([]byte(r.Method), []byte(decodedPath), []byte(r.URL.RawQuery), body),
		Method: r.Method, Path: (&url.URL{Path: decodedPath}).EscapedPath(), RawQuery: r.URL.RawQuery,
		HTTPHeader: forwardedHeaders(r.Header), Body: body, Timeout: service.Timeout,
	}
	key := r.Header.Get(idempotencyKeyHeader)
	if !c.repeatable &&
		(key == "" || len(key) > maxIdempotencyKeyBytes || len(r.Header.Values(idempotencyKeyHeader)) > 1) {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonKeyRequired,
			"this call needs one Idempotency-Key of at most %d bytes", maxIdempotencyKeyBytes)
	}
	c.key = message.CallKey{Caller: caller.Name, Key: key}
	return c, nil
}

// servicePath returns the decoded path of a call below its service. The service
// receives this path, and the patterns of non-repeatable calls are matched against
// it, so a path that a service could interpret as a different one is rejected.
func servicePath(r *http.Request) (string, *verdict.Error) {
	_, serviceAndPath, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	_, pathBelowService, _ := strings.Cut(serviceAndPath, "/")
	p := "/" + pathBelowService
	cleaned := path.Clean(p)
	if strings.HasSuffix(p, "/") && cleaned != "/" {
		cleaned += "/"
	}
	encoded := strings.ToLower(r.URL.RawPath)
	if cleaned != p || strings.Contains(encoded, "%2f") || strings.Contains(encoded, "%5c") || strings.Contains(p, "\\") {
		return "", verdict.New(verdict.NotRun, verdict.ReasonInvalid, "the path is not in its canonical form")
	}
	return p, nil
}

// forwardedHeaders returns the request headers that are forwarded to the service.
// Connection headers and the caller's credential are not among them.
func forwardedHeaders(in http.Header) map[string][]string {
	out := map[string][]string{}
	for _, name := range []string{"Accept", "Accept-Language", "Content-Type", idempotencyKeyHeader} {
		if v := in.Values(name); len(v) > 0 {
			out[name] = v
		}
	}
	return out
}

func (c *plainCall) run(ctx context.Context) (*message.ForwardReply, *verdict.Error) {
	if c.repeatable {
		return c.dispatch(ctx)
	}
	recorded, failure := c.begin(ctx)
	if failure != nil || recorded != nil {
		return recorded, failure
	}
	reply, failure := c.dispatch(ctx)
	c.recordOutcome(ctx, reply, failure)
	return reply, failure
}

// dispatch makes attempts on backend servers until one succeeds or no further
// attempt is allowed. A non-repeatable call is sent to another server only if it
// provably did not run.
func (c *plainCall) dispatch(ctx context.Context) (*message.ForwardReply, *verdict.Error) {
	e := c.entry
	query := placement.Query{Blocks: 1, Priority: c.caller.Priority}
	attempts := e.retryBudgets.startRequest(attempt.Request{Caller: c.caller.Name, Repeatable: c.repeatable})
	guard := crashGuard{fleet: e.options.Fleet, digest: c.request.Digest}
	var previous *verdict.Error
	for number := uint32(1); ; number++ {
		suspect, refusal := guard.checkQuarantine()
		if refusal != nil {
			return nil, combineFailures(previous, refusal)
		}
		c.request.Suspect = suspect
		t, ok := e.placer.choose(c.service.Name, query)
		if !ok {
			return nil, combineFailures(previous, e.placer.noTargetError(c.service.Name))
		}
		query.Exclude = append(query.Exclude, t.server.Name)
		reply, failure := c.forward(ctx, t, number)
		if failure == nil {
			e.placer.report(t, placement.Completed, 0, 0)
			return reply, nil
		}
		e.placer.reportFailure(t, failure)
		retry := !guard.recordFailure(failure) && ctx.Err() == nil && attempts.allowRetry(failure)
		failure = combineFailures(previous, failure)
		previous = failure
		if !retry {
			return nil, failure
		}
	}
}

func (c *plainCall) forward(ctx context.Context, t target, attempt uint32) (*message.ForwardReply, *verdict.Error) {
	e := c.entry
	request := c.request
	request.Header = e.options.Fleet.Header()
	request.BackendServer, request.AgentIncarnation = t.server.Name, t.member.Incarnation
	request.Execution = message.ExecutionID{Request: c.id, Attempt: attempt}
	var reply message.ForwardReply
	if err := e.options.Pool.Call(ctx, t.member.AgentAddress, "Agent.Forward", request, &reply); err != nil {
		failure := verdict.From(err)
		if failure.Verdict == verdict.NotRun {
			return nil, failure
		}
		return nil, e.requestTombstone(t, request.Execution, failure)
	}
	e.options.Fleet.Observe(reply.Header)
	e.placer.observeLoad(reply.Load)
	if reply.Verdict != verdict.Ran {
		return nil, reply.Refusal.Err()
	}
	if err := checkHead(reply.Status, reply.HTTPHeader); err != nil {
		return nil, verdict.New(verdict.MayHaveRun, verdict.ReasonBackendError, "%v", err)
	}
	return &reply, nil
}

// checkHead returns an error if the head of a service's answer is invalid. Agents of earlier versions hand on and
// record such answers.
func checkHead(status int, header map[string][]string) error {
	if !httpstatus.IsFinal(status) {
		return errors.Errorf("the service answered with status %d", status)
	}
	return httpfield.CheckNames(header)
}

func writeForwardReply(w http.ResponseWriter, r *http.Request, id message.RequestID, reply *message.ForwardReply) {
	for name, values := range reply.HTTPHeader {
		if !isHopByHopHeader(name) {
			w.Header()[name] = values
		}
	}
	w.Header().Set(RequestIDHeader, string(id))
	w.Header().Set(VerdictHeader, verdict.Ran.String())
	setWriteDeadline(w)
	if reply.Unframed {
		// Nothing tells whether the body is whole, so it gets no length.
		writeUntilClose(w, r, reply)
		return
	}
	w.WriteHeader(reply.Status)
	_, _ = w.Write(reply.Body)
}

func isHopByHopHeader(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "transfer-encoding", "upgrade", "content-length", "date", "trailer", "te":
		return true
	}
	return false
}
