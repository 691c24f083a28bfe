// Package message holds the typed messages between the system's processes.
package message

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"arbutusmast.example/arbutusmast/core/verdict"
)

// Incarnation tells one life of a process from the next on the same host. A
// later life has a larger number.
type Incarnation uint64

// Revision numbers accepted configurations.
type Revision uint64

// Header is part of every message between daemons, so that whoever is behind
// learns of a newer configuration from any peer.
type Header struct {
	Host        string
	Incarnation Incarnation
	Revision    Revision
	// PeerAddress is where the sender serves Peer calls.
	PeerAddress string
}

// RequestID names one request of a caller. The entry that accepts the request
// creates it from its host, its incarnation and a growing sequence number, so
// that an agent can remember old requests by one number for each entry.
type RequestID string

// NewRequestID returns the id for the n-th request of one life of an entry.
func NewRequestID(host string, incarnation Incarnation, sequence uint64) RequestID {
	return RequestID(fmt.Sprintf("%s~%x~%x", host, uint64(incarnation), sequence))
}

// Parse splits the id. It reports false for an id of another form.
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

// ExecutionID names one attempt of a request. No two attempts share one.
type ExecutionID struct {
	Request RequestID
	Attempt uint32
}

// Token is one piece of generated text.
type Token struct {
	Text string `cbor:"1,keyasint"`
}

// LoadHint is what an agent tells about one backend server in its replies.
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

// RequestClass groups requests whose answers have similar lengths.
type RequestClass string

// StartRequest asks an agent to start a generation.
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
	// Weight is the share of the caller's team in fair queueing.
	Weight float64
	Digest string
	// Suspect is set when a request with this digest was in flight at a crash of
	// a backend server.
	Suspect      bool
	PromptTokens int
	MaxTokens    int
	PrefixKey    string
	// Continue is set for a generation that another engine began.
	Continue Continuation
	// Timeout bounds the time in the agent's queue. It is a duration because
	// the clocks of two hosts may differ.
	Timeout time.Duration
	Body    []byte
}

// StartState is the agent's answer to a StartRequest.
type StartState uint8

// States of a start. The zero value is not a valid answer.
const (
	StartUnknown StartState = iota
	StartAccepted
	StartQueued
	StartRefused
)

// Refusal explains why a request was refused or failed. A refused start is a
// proof of not run only if Verdict says so: an agent that has forgotten an old
// execution refuses its start as well, but can not tell whether it ran.
type Refusal struct {
	Verdict    verdict.Verdict
	Reason     verdict.Reason
	Message    string
	RetryAfter time.Duration
}

// Err returns the refusal as an error with its verdict.
func (r Refusal) Err() *verdict.Error {
	return verdict.New(r.Verdict, r.Reason, "%s", r.Message).WithRetryAfter(r.RetryAfter)
}

// NewRefusal returns a refusal that is a proof of not run.
func NewRefusal(reason verdict.Reason, text string, retryAfter time.Duration) Refusal {
	return Refusal{Verdict: verdict.NotRun, Reason: reason, Message: text, RetryAfter: retryAfter}
}

// StartReply answers a StartRequest.
type StartReply struct {
	Header  Header
	State   StartState
	Refusal Refusal
	Load    LoadHint
}

// CancelRequest asks an agent to stop an execution.
type CancelRequest struct {
	Header        Header
	BackendServer string
	Execution     ExecutionID
}

// CancelReply answers a CancelRequest.
type CancelReply struct {
	Header Header
	Known  bool
}

// BuryRequest asks for a tombstone: after a confirmation the execution will
// never start, even if a delayed StartRequest arrives.
type BuryRequest struct {
	Header           Header
	BackendServer    string
	AgentIncarnation Incarnation
	Execution        ExecutionID
}

// BuryReply answers a BuryRequest. Confirmed means that the execution will not
// start from now on. Verdict is NotRun only when it has not started before
// either; a later incarnation of the agent can not know that.
type BuryReply struct {
	Header    Header
	Confirmed bool
	Verdict   verdict.Verdict
}

// ForwardRequest asks an agent to run one call of a plain service.
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

// ForwardReply answers a ForwardRequest. When Verdict is not Ran, Refusal says
// why and Status is not set.
type ForwardReply struct {
	Header     Header
	Verdict    verdict.Verdict
	Refusal    Refusal
	Status     int
	HTTPHeader map[string][]string
	Body       []byte
	Load       LoadHint
}

// LoadRequest asks an agent for load hints; an empty list asks for all.
type LoadRequest struct {
	Header         Header
	BackendServers []string
}

// LoadReply answers a LoadRequest.
type LoadReply struct {
	Header Header
	Loads  []LoadHint
}
