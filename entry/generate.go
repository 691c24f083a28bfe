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
	maxAttempts     = 4
	retryNotReady   = time.Second
	retryNoBackend  = 2 * time.Second
	retryOverloaded = time.Second
)

// generation is one request for generated text at this entry.
type generation struct {
	entry   *Entry
	id      message.RequestID
	caller  contract.Caller
	route   contract.Route
	body    generateBody
	raw     []byte
	chat    bool
	attempt uint32
	guard   crashGuard
	suspect bool
	tried   []string
	// resume is what the next attempt goes on with; it begins anew without.
	resume message.Continuation
}

func (e *Entry) handleGenerate(w http.ResponseWriter, r *http.Request) {
	e.active.Add(1)
	defer e.active.Add(-1)
	id := e.nextRequestID()
	g, failure := e.newGeneration(w, r, id)
	if failure != nil {
		writeError(w, id, failure)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), e.options.RequestTimeout)
	defer cancel()
	g.serve(ctx, w)
}

func (e *Entry) newGeneration(w http.ResponseWriter, r *http.Request, id message.RequestID) (*generation, *verdict.Error) {
	if e.active.Load() > int64(e.options.MaxStreams) {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonOverloaded, "the entry has too many streams").WithRetryAfter(retryNotReady)
	}
	caller, failure := e.authenticate(r)
	if failure != nil {
		return nil, failure
	}
	raw, failure := e.readBody(w, r)
	if failure != nil {
		return nil, failure
	}
	g := &generation{entry: e, id: id, caller: caller, raw: raw, chat: strings.HasSuffix(r.URL.Path, "/chat/completions")}
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
		return nil, verdict.New(verdict.NotRun, verdict.ReasonUnknownModel, "no route serves model %q for this caller", g.body.Model)
	}
	g.guard = crashGuard{fleet: e.options.Fleet, digest: g.digest()}
	return g, nil
}

// digest covers what the engine sees of the request, so that the same request
// has the same digest for each caller and each time it is sent.
func (g *generation) digest() string {
	return quarantine.Digest([]byte(g.route.Model), compactJSON(g.body.Prompt), compactJSON(g.body.Messages))
}

// compactJSON drops white space, which does not reach the engine.
func compactJSON(raw json.RawMessage) []byte {
	var out bytes.Buffer
	if json.Compact(&out, raw) != nil {
		return raw
	}
	return out.Bytes()
}

// pickRoute splits requests among routes by weight. The request id decides, so
// that all attempts of a request use one route.
func pickRoute(routes []contract.Route, id message.RequestID) (contract.Route, bool) {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return placement.PickRoute(routes, rand.New(rand.NewSource(int64(h.Sum64()))))
}

// serve tries backend servers until one answers or the attempts are used up.
func (g *generation) serve(ctx context.Context, w http.ResponseWriter) {
	out := newAnswer(w, g)
	out.progress = g.entry.newProgress(g.route.Service, g.caller, time.Now())
	attempts := g.entry.retries.begin(attempt.Request{Caller: g.caller.Name, Repeatable: true, Streamed: g.body.Stream})
	var previous *verdict.Error
	for {
		failure := g.attemptOnce(ctx, out)
		if failure == nil {
			out.progress.finish(time.Now(), nil)
			return
		}
		final := g.guard.crashed(failure) || !retryable(failure)
		again := !final && (!out.delivered() || g.continues(out)) && ctx.Err() == nil && attempts.again(failure)
		failure = afterAttempts(previous, failure)
		previous = failure
		if !again {
			out.progress.finish(time.Now(), failure)
			out.fail(failure)
			return
		}
	}
}

// afterAttempts returns the failure of a request after one more attempt. Its
// verdict covers all attempts, because an earlier one may have run. When the
// backend servers are used up, the earlier failure tells more.
func afterAttempts(previous, last *verdict.Error) *verdict.Error {
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

// retryable tells whether another attempt may be made. Generations are
// repeatable until a token was delivered, so an attempt that may have run is
// no obstacle.
func retryable(err *verdict.Error) bool {
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
