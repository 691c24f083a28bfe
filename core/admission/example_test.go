package admission_test

import (
	"fmt"
	"math/rand"
	"time"

	"arbutusmast.example/arbutusmast/core/admission"
	"arbutusmast.example/arbutusmast/core/message"
)

// The agent passes events to the controller and performs the actions that each call
// returns.
func Example() {
	c := admission.New(admission.Config{TotalBlocks: 256, BlockTokens: 16, MaxBatch: 8}, rand.New(rand.NewSource(1)))
	show := func(actions []admission.Action) {
		for _, a := range actions {
			fmt.Println(a.Kind, a.ID.Request)
		}
	}
	at := time.Duration(0)
	for _, id := range []message.RequestID{"a", "b"} {
		show(c.Enqueue(at, admission.Request{
			ID: message.ExecutionID{Request: id}, Caller: "team", Model: "m", Class: "plan", PromptTokens: 100, MaxTokens: 500,
		}))
	}
	// Only one prefill runs at a time, so b starts with the first token of a.
	at += 50 * time.Millisecond
	show(c.TokensGenerated(at, message.ExecutionID{Request: "a"}, 1))
	show(c.Finished(at, message.ExecutionID{Request: "a"}))
	fmt.Println("running", c.LoadHint(at).Running)
	// Output:
	// start a
	// start b
	// running 1
}
