// Package engine is the client side of backend servers: model engines, which stream
// generations, and plain services.
package engine

import (
	"context"

	"arbutusmast.example/arbutusmast/core/message"
	"github.com/pkg/errors"
)

// Errors of backend servers. After any other error, the request may have run.
var (
	// ErrUnreachable means that no connection could be made, so the request did not
	// run.
	ErrUnreachable = errors.New("backend server is not reachable")
	// ErrRefused means that the backend server rejected the request without running
	// it.
	ErrRefused = errors.New("backend server refused the request")
	// ErrFenced means that an order had an old fencing number.
	ErrFenced = errors.New("order has an old fencing number")
	// ErrFailed means that the backend server returned an error after which the
	// request may have run.
	ErrFailed = errors.New("backend server failed")
	// ErrInUse means that the backend server is still running a request with this ID.
	ErrInUse = errors.New("backend server runs a request with this id")
	// ErrConnectionLost means that the connection broke before the response or stream
	// was complete.
	ErrConnectionLost = errors.New("connection to the backend server was lost")
)

// Request is a request to start or resume a generation.
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
	// ResumeText is the text that was generated before ResumeFrom.
	ResumeText string
}

// Event is one event of a stream. The last one has a FinishReason.
type Event struct {
	Generation   string
	Index        uint64
	Token        message.Token
	HasToken     bool
	FinishReason string
	// Preempted is set when the engine itself has preempted the generation.
	Preempted bool
}

// Stream delivers the events of one generation.
type Stream interface {
	// Next blocks until the next event. It returns io.EOF after the last one.
	Next() (Event, error)
	Close() error
}

// Load describes an engine's memory and batch.
type Load struct {
	Running     int `json:"running"`
	Waiting     int `json:"waiting"`
	FreeBlocks  int `json:"free_blocks"`
	TotalBlocks int `json:"total_blocks"`
	BlockTokens int `json:"block_tokens"`
	Preemptions int `json:"preemptions"`
	// Requests counts the requests since the engine started, nil if it does not tell. If it
	// decreases, the engine has restarted.
	Requests *int `json:"requests"`
}

// CacheEvent reports that a prompt prefix was added to an engine's cache, or
// removed.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Prefix   string `json:"prefix"`
	Stored   bool   `json:"stored"`
}

// OrderKind is the kind of an Order.
type OrderKind string

// Kinds of orders.
const (
	OrderLoadModel   OrderKind = "load_model"
	OrderLoadAdapter OrderKind = "load_adapter"
	OrderLoadVersion OrderKind = "load_version"
	OrderChangeRole  OrderKind = "change_role"
)

// Order instructs an engine to change what it serves.
type Order struct {
	Kind    OrderKind `json:"kind"`
	Target  string    `json:"target"`
	Fencing uint64    `json:"-"`
}

// Response is the HTTP response of a plain service.
type Response struct {
	Status int
	Header map[string][]string
	Body   []byte
	// Unframed is set if the end of the body is that of its connection, so that it may be cut.
	Unframed bool
}

// Backend is a client of one backend server.
type Backend interface {
	Generate(ctx context.Context, r Request) (Stream, error)
	Cancel(ctx context.Context, id string) error
	Forward(ctx context.Context, r *message.ForwardRequest) (Response, error)
	Load(ctx context.Context) (Load, error)
	CacheEvents(ctx context.Context, since uint64) ([]CacheEvent, error)
	Order(ctx context.Context, o Order) error
}
