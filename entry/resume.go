package entry

import (
	"context"
	"net/http"
	"strconv"
	"strings"

	"arbutusmast.example/arbutusmast/core/verdict"
	"github.com/go-chi/chi/v5"
)

// handleResume resumes a stream after the last event that the caller received. Any
// entry can do this, because the stream id names the host of the execution.
func (e *Entry) handleResume(w http.ResponseWriter, r *http.Request) {
	e.activeRequests.Add(1)
	defer e.activeRequests.Add(-1)
	caller, failure := e.authenticate(r)
	if failure != nil {
		writeError(w, "", failure)
		return
	}
	host, id, ok := parseStreamID(chi.URLParam(r, "stream"))
	from, valid := nextTokenIndex(r.Header.Get("Last-Event-ID"), chi.URLParam(r, "stream"))
	if !ok || !valid {
		writeError(w, "", verdict.New(verdict.NotRun, verdict.ReasonInvalid, "the stream id or Last-Event-ID is not valid"))
		return
	}
	m, known := e.findMember(host)
	if !known {
		// The error equals that of an agent for an unknown stream, so that it does not
		// reveal which streams and hosts exist.
		writeError(w, id.Request, verdict.New(verdict.MayHaveRun, verdict.ReasonStreamLost,
			"the agent does not hold this answer"))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), e.options.RequestTimeout)
	defer cancel()
	s := e.linkTo(m.LinkAddress).openStream(id, caller.Name, from)
	defer s.close()
	g := &generation{entry: e, id: id.Request, caller: caller, chat: r.URL.Query().Get("format") == "chat"}
	g.body.Stream = true
	cw := newCompletionWriter(w, g)
	if failure := cw.copyStream(ctx, s, host, from); failure != nil {
		cw.writeFailure(failure)
	}
}

// nextTokenIndex returns the index of the token after the last event id. Without a
// last event id the stream is read from its beginning.
func nextTokenIndex(lastEventID, streamID string) (uint64, bool) {
	if lastEventID == "" {
		return 0, true
	}
	text, ok := strings.CutPrefix(lastEventID, streamID+":")
	if !ok {
		return 0, false
	}
	n, err := strconv.ParseUint(text, 10, 32)
	if err != nil {
		return 0, false
	}
	return n + 1, true
}
