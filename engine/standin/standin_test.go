package standin_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/engine"
	"arbutusmast.example/arbutusmast/engine/standin"
)

// TestCancelKeepsResumedStream guards against the cleanup of a canceled stream
// removing the stream that was resumed with the same request ID.
func TestCancelKeepsResumedStream(t *testing.T) {
	server, err := standin.Start(standin.Options{Listen: "127.0.0.1:0", TokenInterval: time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	client := engine.NewClient(server.Address())
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	for i := range 100 {
		// The first stream is long enough not to end before it is canceled.
		request := engine.Request{ID: fmt.Sprint("r", i), Body: []byte(`{"prompt":"[tokens=1000000]"}`)}
		first, err := client.Generate(ctx, request)
		if err != nil {
			t.Fatal(err)
		}
		event, err := first.Next()
		if err != nil {
			t.Fatal(err)
		}
		if err := client.Cancel(ctx, request.ID); err != nil {
			t.Fatal(err)
		}
		request.Generation, request.ResumeFrom = event.Generation, event.Index+1
		request.Body = []byte(`{"prompt":"[tokens=8]"}`)
		second, err := client.Generate(ctx, request)
		if err != nil {
			t.Fatal(err)
		}
		for err == nil {
			_, err = second.Next()
		}
		if !errors.Is(err, io.EOF) {
			t.Fatalf("iteration %d: the resumed stream ended with %v, want io.EOF", i, err)
		}
		_, _ = first.Close(), second.Close()
	}
}
