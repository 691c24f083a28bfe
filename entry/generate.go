package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"hash/fnv"
	"math/rand"
	"net/http"
	"strings"
	"time"

	"arbutusmast.example/arbutusmast/core/attempt"
	"arbutusmast.example/arbutusmast/core/contract"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/placement"
	"arbutusmast.example/arbutusmast/core/quarantine"
	"arbutusmast.example/arbutusmast/core/verdict"
)

const (
	maxAttempts          = 4
	retryAfterNotReady   = time.Second
	retryAfterNoBackend  = 2 * time.Second
	retryAfterOverloaded = time.Second
)

// generation is one request for generated text.
type generation struct {
	entry        *Entry
	id           message.RequestID
	caller       contract.Caller
	route        contract.Route
	body         completionRequest
	rawBody      []byte
	chat         bool
	attempts     uint32
	crashGuard   crashGuard
	suspect      bool
	triedServers []string
	// continuation is what the next attempt continues. If it is empty, the attempt
	// starts a new generation.
	continuation message.Continuation
}

func (e *Entry) handleCompletion(w http.ResponseWriter, r *http.Request) {
	e.activeRequests.Add(1)
	defer e.activeRequests.Add(-1)
	id := e.nextRequestID()
	g, failure := e.newGeneration(r, id)
	if failure == nil {
		failure = e.checkDrain(e.options.RequestTimeout)
	}
	if failure != nil {
		rejectRequest(w, r, id, failure)
		return
	}
	ctx, cancel := e.requestContext(r.Context(), e.options.RequestTimeout)
	defer cancel()
	g.serve(ctx, w)
}

func (e *Entry) newGeneration(
	r *http.Request, id message.RequestID,
) (*generation, *verdict.Error) {
	if e.activeRequests.Load() > int64(e.options.MaxStreams) {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonOverloaded,
			"the entry has too many streams").WithRetryAfter(retryAfterNotReady)
	}
	caller, failure := e.authenticate(r)
	if failure != nil {
		return nil, failure
	}
	raw, failure := e.readBody(r)
	if failure != nil {
		return nil, failure
	}
	g := &generation{
		entry: e, id: id, caller: caller, rawBody: raw, chat: strings.HasSuffix(r.URL.Path, "/chat/completions"),
	}
	if err := json.Unmarshal(raw, &g.body); err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.ReasonInvalid, "the body is not valid JSON")
	}
	config := e.options.Fleet.Config()
	service, ok := config.ServiceForModel(g.body.Model)
	if !ok {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonUnknownModel, "model %q is not declared", g.body.Model)
	}
	routes := config.RoutesFor(service.Name, caller.Name)
	if g.route, ok = pickRoute(routes, id); !ok {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonUnknownModel,
			"no route serves model %q for this caller", g.body.Model)
	}
	g.crashGuard = crashGuard{fleet: e.options.Fleet, digest: g.digest()}
	return g, nil
}

// digest returns the digest of the parts of the request that reach the engine. It
// is the same for each caller and each repetition of the same request.
func (g *generation) digest() string {
	return quarantine.Digest([]byte(g.route.Model), compactJSON(g.body.Prompt), compactJSON(g.body.Messages))
}

// compactJSON removes insignificant white space, which does not reach the engine.
func compactJSON(raw json.RawMessage) []byte {
	var out bytes.Buffer
	if json.Compact(&out, raw) != nil {
		return raw
	}
	return out.Bytes()
}

// pickRoute distributes requests among routes by weight. The choice depends on the
// request id alone, so that all attempts of a request use the same route.
func pickRoute(routes []contract.Route, id message.RequestID) (contract.Route, bool) {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return placement.PickRoute(routes, rand.New(rand.NewSource(int64(h.Sum64()))))
}

// serve makes attempts on backend servers until one succeeds or no further attempt
// is allowed.
func (g *generation) serve(ctx context.Context, w http.ResponseWriter) {
	cw := newCompletionWriter(w, g)
	cw.progress = g.entry.newProgressRecorder(g.route.Service, g.caller, time.Now())
	attempts := g.entry.retryBudgets.startRequest(attempt.Request{
		Caller: g.caller.Name, Repeatable: true, Streamed: g.body.Stream,
	})
	var previous *verdict.Error
	for {
		failure := g.runAttempt(ctx, cw)
		if failure == nil {
			cw.progress.finish(time.Now(), nil)
			return
		}
		final := g.crashGuard.recordFailure(failure) || !isRetryable(failure)
		retry := !final && (!cw.anyDelivered() || g.prepareContinuation(cw)) &&
			ctx.Err() == nil && attempts.allowRetry(failure)
		failure = combineFailures(previous, failure)
		previous = failure
		if !retry {
			failure = g.entry.cutOffFailure(failure)
			cw.progress.finish(time.Now(), failure)
			cw.writeFailure(failure)
			return
		}
	}
}

// combineFailures returns the failure of a request after one more failed attempt.
// Its verdict covers all attempts, because an earlier one may have run. If the last
// attempt found no backend server or was refused as overloaded, the previous failure
// is returned, because it is more specific.
func combineFailures(previous, last *verdict.Error) *verdict.Error {
	if previous == nil {
		return last
	}
	failure := *last
	if last.Reason == verdict.ReasonNoBackendServer || last.Reason == verdict.ReasonOverloaded {
		failure = *previous
	}
	failure.Verdict = verdict.Combine(previous.Verdict, last.Verdict)
	return &failure
}

// isRetryable reports whether another attempt may follow a failure. A generation is
// repeatable until a token was delivered, so an attempt that may have run does not
// rule out another one.
func isRetryable(err *verdict.Error) bool {
	switch err.Reason {
	case verdict.ReasonNoBackendServer, verdict.ReasonCanceled, verdict.ReasonDeadline, verdict.ReasonSlowReader,
		verdict.ReasonSuperseded, verdict.ReasonQuarantined:
		return false
	}
	return true
}

func (e *Entry) handleModels(w http.ResponseWriter, r *http.Request) {
	caller, failure := e.authenticate(r)
	if failure != nil {
		writeError(w, "", failure)
		return
	}
	config := e.options.Fleet.Config()
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		OwnedBy string `json:"owned_by"`
	}
	list := []model{}
	for name, m := range config.Models {
		if len(config.RoutesFor(m.Service, caller.Name)) > 0 {
			list = append(list, model{name, "model", m.Service})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"object": "list", "data": list})
}
