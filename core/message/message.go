// Package message defines the messages that the daemons of the system exchange.
package message

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"arbutusmast.example/arbutusmast/core/verdict"
)

// Incarnation identifies one run of a process on a host. A later run has a
// larger number.
type Incarnation uint64

// Revision is the version number of an accepted configuration.
type Revision uint64

// Header is part of each message between daemons, so that a daemon with an
// outdated configuration learns of a newer one from any peer.
type Header struct {
	Host        string
	Incarnation Incarnation
	Revision    Revision
	// PeerAddress is the address at which the sender serves Peer calls.
	PeerAddress string
}

// RequestID identifies one request of a caller. The entry that accepts the
// request builds it from its host, its incarnation and an increasing sequence
// number, so that an agent can record old requests as one number per entry.
type RequestID string

// NewRequestID returns the id of the request with this sequence number in one
// incarnation of an entry.
func NewRequestID(host string, incarnation Incarnation, sequence uint64) RequestID {
	return RequestID(fmt.Sprintf("%s~%x~%x", host, uint64(incarnation), sequence))
}

// Parse splits the id into its parts. ok is false if the id is malformed.
func (id RequestID) Parse() (host string, incarnation Incarnation, sequence uint64, ok bool) {
	parts := strings.Split(string(id), "~")
	if len(parts) != 3 || parts[0] == "" {
		return "", 0, 0, false
	}
	inc, err := strconv.ParseUint(parts[1], 16, 64)
	if err != nil {
		return "", 0, 0, false
	}
	seq, err := strconv.ParseUint(parts[2], 16, 64)
	if err != nil {
		return "", 0, 0, false
	}
	return parts[0], Incarnation(inc), seq, true
}

// ExecutionID identifies one attempt of a request. It is unique per attempt.
type ExecutionID struct {
	Request RequestID
	Attempt uint32
}

// Token is one piece of generated text.
type Token struct {
	Text string `cbor:"1,keyasint"`
}

// LoadHint is the load of one backend server, which its agent includes in
// replies.
type LoadHint struct {
	BackendServer     string
	Running           int
	Waiting           int
	FreeBlocks        int
	TotalBlocks       int
	QueueDelay        time.Duration
	Leaving           bool
	MeasuredAt        time.Time
	PrefixGeneration  uint64
	DrainTokensPerSec float64
}

// RequestClass groups requests whose responses have similar lengths.
type RequestClass string

// StartRequest requests that an agent start a generation.
type StartRequest struct {
	Header           Header
	BackendServer    string
	AgentIncarnation Incarnation
	Execution        ExecutionID
	Caller           string
	Service          string
	Model            string
	Adapter          string
	Version          string
	Class            RequestClass
	Priority         int
	// Weight is the share of the caller in fair queueing.
	Weight float64
	Digest string
	// Suspect is set if a request with this digest was in flight when a backend
	// server crashed.
	Suspect      bool
	PromptTokens int
	MaxTokens    int
	PrefixKey    string
	// Continue is set for a generation that another engine started.
	Continue Continuation
	// Timeout bounds the time in the agent's queue. It is a duration and not a
	// deadline because the clocks of two hosts may differ.
	Timeout time.Duration
	Body    []byte
}

// StartState is the outcome of a StartRequest at the agent.
type StartState uint8

// Outcomes of a start. The zero value is not a valid outcome.
const (
	StartUnknown StartState = iota
	StartAccepted
	StartQueued
	StartRefused
)

// Refusal explains why a request was refused or failed. A refused start proves
// that the request did not run only if Verdict is NotRun: an agent that no
// longer has a record of an old execution also refuses its start, but cannot
// tell whether it ran.
type Refusal struct {
	Verdict    verdict.Verdict
	Reason     verdict.Reason
	Message    string
	RetryAfter time.Duration
}

// Err returns the refusal as an error that carries its verdict.
func (r Refusal) Err() *verdict.Error {
	return verdict.New(r.Verdict, r.Reason, "%s", r.Message).WithRetryAfter(r.RetryAfter)
}

// NewRefusal returns a refusal with the verdict NotRun.
func NewRefusal(reason verdict.Reason, text string, retryAfter time.Duration) Refusal {
	return Refusal{Verdict: verdict.NotRun, Reason: reason, Message: text, RetryAfter: retryAfter}
}

// StartReply is the reply to a StartRequest.
type StartReply struct {
	Header  Header
	State   StartState
	Refusal Refusal
	Load    LoadHint
}

// CancelRequest requests that an agent stop an execution.
type CancelRequest struct {
	Header        Header
	BackendServer string
	Execution     ExecutionID
}

// CancelReply is the reply to a CancelRequest.
type CancelReply struct {
	Header Header
	Known  bool
}

// BuryRequest requests a tombstone for an execution. Once the tombstone is
// confirmed, the execution never starts, even if a delayed StartRequest arrives.
type BuryRequest struct {
	Header           Header
	BackendServer    string
	AgentIncarnation Incarnation
	Execution        ExecutionID
}

// BuryReply is the reply to a BuryRequest. Confirmed is set if the execution can
// no longer start. Verdict is NotRun only if the execution did not start before
// either, which a later incarnation of the agent cannot know.
type BuryReply struct {
	Header    Header
	Confirmed bool
	Verdict   verdict.Verdict
}

// ForwardRequest requests that an agent run one call of a plain service.
type ForwardRequest struct {
	Header           Header
	BackendServer    string
	AgentIncarnation Incarnation
	Execution        ExecutionID
	Caller           string
	Service          string
	Priority         int
	Digest           string
	Suspect          bool
	Method           string
	Path             string
	RawQuery         string
	HTTPHeader       map[string][]string
	Body             []byte
	Timeout          time.Duration
}

// ForwardReply is the reply to a ForwardRequest. If Verdict is not Ran, Refusal
// holds the reason and Status is not set.
type ForwardReply struct {
	Header     Header
	Verdict    verdict.Verdict
	Refusal    Refusal
	Status     int
	HTTPHeader map[string][]string
	Body       []byte
	// Unframed is set if the end of the body is that of its connection.
	Unframed bool
	Load     LoadHint
}

// LoadRequest requests load hints from an agent. An empty list requests those of
// all its backend servers.
type LoadRequest struct {
	Header         Header
	BackendServers []string
}

// LoadReply is the reply to a LoadRequest.
type LoadReply struct {
	Header Header
	Loads  []LoadHint
}
