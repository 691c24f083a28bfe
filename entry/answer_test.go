package entry

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"arbutusmast.example/arbutusmast/core/contract"
	"arbutusmast.example/arbutusmast/core/message"
)

// TestResetDropsBufferedText guards against a response that mixes the text of two
// executions when the first one fails before any of its tokens was delivered.
func TestResetDropsBufferedText(t *testing.T) {
	for _, streamed := range []bool{true, false} {
		w := httptest.NewRecorder()
		cw := newCompletionWriter(w, &generation{
			id: "r", caller: contract.Caller{}, body: completionRequest{Model: "coach", Stream: streamed},
		})
		for attempt, text := range []string{"first", "second"} {
			l := newAgentLink(context.Background(), "", nil, nil, nil, nil)
			s := newStream(l, message.ExecutionID{Request: "r", Attempt: uint32(attempt)}, "", 0)
			s.acceptTokens(0, []message.Token{{Text: text}})
			e := &message.End{Count: 1, FinishReason: "stop"}
			if attempt == 0 {
				e.FinishReason = ""
			}
			s.acceptEnd(e)
			if failure := cw.copyStream(context.Background(), s, "h", 0); (failure != nil) != (attempt == 0) {
				t.Fatalf("attempt %d: %v", attempt, failure)
			}
		}
		if body := w.Body.String(); strings.Contains(body, "first") || !strings.Contains(body, "second") {
			t.Errorf("stream=%t: %s", streamed, body)
		}
	}
}
