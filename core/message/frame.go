package message

import "arbutusmast.example/arbutusmast/core/verdict"

// Frame is one message on the token link between an entry and an agent. Exactly
// one field is set.
type Frame struct {
	Hello     *Hello     `cbor:"1,keyasint,omitempty"`
	Subscribe *Subscribe `cbor:"2,keyasint,omitempty"`
	Tokens    *Tokens    `cbor:"3,keyasint,omitempty"`
	Ack       *Ack       `cbor:"4,keyasint,omitempty"`
	End       *End       `cbor:"5,keyasint,omitempty"`
	Heartbeat *Heartbeat `cbor:"6,keyasint,omitempty"`

	Unsubscribe *Unsubscribe `cbor:"7,keyasint,omitempty"`
}

// Hello is the first frame of a link in each direction.
type Hello struct {
	Header Header `cbor:"1,keyasint"`
}

// Subscribe requests the tokens of an execution starting at index From. Caller
// must be the caller that started the execution.
type Subscribe struct {
	Execution ExecutionID `cbor:"1,keyasint"`
	From      uint64      `cbor:"2,keyasint"`
	Caller    string      `cbor:"3,keyasint"`
}

// Tokens carries consecutive tokens of one execution; the first one has index
// First.
type Tokens struct {
	Execution ExecutionID `cbor:"1,keyasint"`
	First     uint64      `cbor:"2,keyasint"`
	Tokens    []Token     `cbor:"3,keyasint"`
}

// Ack acknowledges that all tokens before index Next were written to the caller.
// Final is set if the end of the stream was written as well.
type Ack struct {
	Execution ExecutionID `cbor:"1,keyasint"`
	Next      uint64      `cbor:"2,keyasint"`
	Final     bool        `cbor:"3,keyasint,omitempty"`
}

// End ends a stream. Count is the total number of tokens of the execution.
type End struct {
	Execution    ExecutionID     `cbor:"1,keyasint"`
	Count        uint64          `cbor:"2,keyasint"`
	Verdict      verdict.Verdict `cbor:"3,keyasint"`
	FinishReason string          `cbor:"4,keyasint"`
	Refusal      Refusal         `cbor:"5,keyasint"`
	// Started is false only if the agent can prove that the engine did not start
	// the execution.
	Started bool     `cbor:"6,keyasint"`
	Load    LoadHint `cbor:"7,keyasint"`
	// Continue is set if another engine may continue the generation.
	Continue *Continuation `cbor:"9,keyasint,omitempty"`
	// Preemptions is the number of times the execution was paused.
	Preemptions int `cbor:"8,keyasint,omitempty"`
}

// Unsubscribe ends the subscription of this link to an execution. The agent
// cancels an execution without subscribers after a grace period.
type Unsubscribe struct {
	Execution ExecutionID `cbor:"1,keyasint"`
}

// Continuation holds what another engine needs to continue a generation whose
// first From tokens are Text.
type Continuation struct {
	Generation string `cbor:"1,keyasint"`
	From       uint64 `cbor:"2,keyasint"`
	Text       string `cbor:"3,keyasint"`
}

// Heartbeat keeps an idle link alive in one direction.
type Heartbeat struct {
	Revision Revision `cbor:"1,keyasint"`
}
