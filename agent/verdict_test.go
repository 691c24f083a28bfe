package agent

import (
	"context"
	"testing"

	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/verdict"
	"arbutusmast.example/arbutusmast/engine"
	"github.com/pkg/errors"
)

// scriptedEngine answers generations with errors in order, and with an empty stream
// where the error is nil.
type scriptedEngine struct {
	engine.Backend
	results []error
}

func (e *scriptedEngine) Generate(context.Context, engine.Request) (engine.Stream, error) {
	err := e.results[0]
	e.results = e.results[1:]
	if err != nil {
		return nil, err
	}
	return emptyStream{}, nil
}

type emptyStream struct{}

func (emptyStream) Next() (engine.Event, error) { return engine.Event{}, engine.ErrConnectionLost }
func (emptyStream) Close() error                { return nil }

// Guards against a generation that is reported as not run after an earlier attempt
// reached the engine, which may have run it without an event that arrived.
func TestVerdictAfterAnEarlierAttempt(t *testing.T) {
	refused := errors.Wrap(engine.ErrRefused, "full")
	for _, c := range []struct {
		name    string
		results []error
		want    verdict.Verdict
	}{
		{"never sent", nil, verdict.NotRun},
		{"refused", []error{refused}, verdict.NotRun},
		{"unreachable, then refused", []error{engine.ErrUnreachable, refused}, verdict.NotRun},
		{"begun, then refused", []error{nil, refused}, verdict.MayHaveRun},
		{"lost, then refused", []error{engine.ErrConnectionLost, refused}, verdict.MayHaveRun},
		{"in use, then refused", []error{engine.ErrInUse, refused}, verdict.MayHaveRun},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := &backendServer{engine: &scriptedEngine{results: c.results}}
			r := newRun(message.StartRequest{}, b)
			var last error
			for range c.results {
				_, last = b.openStream(context.Background(), r)
			}
			if last != nil {
				if end := r.endForError(last); end.Verdict != c.want || end.Refusal.Verdict != c.want {
					t.Errorf("end for the error: %v, refusal %v, want %v", end.Verdict, end.Refusal.Verdict, c.want)
				}
			}
			if end := r.suspectEnd(); end.Verdict != c.want || end.Refusal.Verdict != c.want {
				t.Errorf("end of a suspect: %v, refusal %v, want %v", end.Verdict, end.Refusal.Verdict, c.want)
			}
		})
	}
}
