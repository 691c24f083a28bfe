// Package engine meets backend servers: model engines that stream generations
// and plain services.
package engine

import (
	"context"

	"arbutusmast.example/arbutusmast/core/message"
	"github.com/pkg/errors"
)

// Errors of backend servers. Any other error leaves open whether the request
// ran.
var (
	// ErrUnreachable means that no connection could be made, so nothing ran.
	ErrUnreachable = errors.New("backend server is not reachable")
	// ErrRefused means that the backend server answered that it will not run the
	// request.
	ErrRefused = errors.New("backend server refused the request")
	// ErrFenced means that an order carried an old fencing number.
	ErrFenced = errors.New("order carries an old fencing number")
	// ErrFailed means that the backend server answered with an error after which
	// the request may have run.
	ErrFailed = errors.New("backend server failed")
	// ErrInUse means that the backend server still runs a request with this id.
	ErrInUse = errors.New("backend server runs a request with this id")
	// ErrConnectionLost means that the stream ended without a finish reason.
	ErrConnectionLost = errors.New("connection to the backend server was lost")
)

// Request starts or resumes one generation.
type Request struct {
	ID         string
	Model      string
	Adapter    string
	Version    string
	Priority   int
	MaxTokens  int
	Body       []byte
	Generation string
	// ResumeFrom is the number of tokens already received of Generation.
	ResumeFrom uint64
	// ResumeText is what was generated before ResumeFrom.
	ResumeText string
}

// Event is one step of a stream. The last one has a FinishReason.
type Event struct {
	Generation   string
	Index        uint64
	Token        message.Token
	HasToken     bool
	FinishReason string
	// Preempted is set when the engine itself set the generation aside.
	Preempted bool
}

// Stream delivers the events of one generation.
type Stream interface {
	// Next waits for the next event. It returns io.EOF after the last one.
	Next() (Event, error)
	Close() error
}

// Load is the state of an engine's memory and batch.
type Load struct {
	Running     int `json:"running"`
	Waiting     int `json:"waiting"`
	FreeBlocks  int `json:"free_blocks"`
	TotalBlocks int `json:"total_blocks"`
	BlockTokens int `json:"block_tokens"`
	Preemptions int `json:"preemptions"`
	// Requests counts the requests since the engine started. A lower value than
	// before means that it has started anew.
	Requests int `json:"requests"`
}

// CacheEvent tells that a prompt prefix entered or left an engine's cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Prefix   string `json:"prefix"`
	Stored   bool   `json:"stored"`
}

// OrderKind names an order to an engine.
type OrderKind string

// Kinds of orders.
const (
	OrderLoadModel   OrderKind = "load_model"
	OrderLoadAdapter OrderKind = "load_adapter"
	OrderLoadVersion OrderKind = "load_version"
	OrderChangeRole  OrderKind = "change_role"
)

// Order changes what an engine serves.
type Order struct {
	Kind    OrderKind `json:"kind"`
	Target  string    `json:"target"`
	Fencing uint64    `json:"-"`
}

// Response is the answer of a plain service.
type Response struct {
	Status int
	Header map[string][]string
	Body   []byte
}

// Backend is one backend server.
type Backend interface {
	Generate(ctx context.Context, r Request) (Stream, error)
	Cancel(ctx context.Context, id string) error
	Forward(ctx context.Context, r *message.ForwardRequest) (Response, error)
	Load(ctx context.Context) (Load, error)
	CacheEvents(ctx context.Context, since uint64) ([]CacheEvent, error)
	Order(ctx context.Context, o Order) error
}
