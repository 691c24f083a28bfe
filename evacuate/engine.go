package evacuate

import (
	"context"
	"time"

	"arbutusmast.example/arbutusmast/core/backend"
	"arbutusmast.example/arbutusmast/core/evacuation"
	"github.com/pkg/errors"
)

// ErrNotRunning tells that a generation has ended.
var ErrNotRunning = errors.New("the server runs no such generation")

// Status is what a server says of itself.
type Status struct {
	Leaving     bool
	LeavesIn    time.Duration
	LeavesKnown bool
	Load        backend.Load
	Runs        []evacuation.Run
}

// Copy is the memory of a generation at another server.
type Copy struct {
	Name   string
	Events int
}

// Engine is the backend server on this host.
type Engine interface {
	Status(ctx context.Context) (Status, error)
	// Move copies the memory of a generation to another server, and stops it
	// first when stop is set.
	Move(ctx context.Context, run, target string, stop bool) (Copy, error)
}
