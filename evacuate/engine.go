package evacuate

import (
	"context"
	"time"

	"arbutusmast.example/arbutusmast/core/backend"
	"arbutusmast.example/arbutusmast/core/evacuation"
	"github.com/pkg/errors"
)

// ErrNotRunning is returned for a generation that the server does not run, for
// example because it has ended.
var ErrNotRunning = errors.New("the server runs no such generation")

// ErrRefused is wrapped by errors of moves that the server answered.
var ErrRefused = errors.New("the server refused the move")

// ErrResting is wrapped by errors of calls that were not made because the server asked for rest.
var ErrResting = errors.New("the server asked for rest")

// Status is the state that a backend server reports.
type Status struct {
	Leaving     bool
	LeavesIn    time.Duration
	LeavesKnown bool
	Load        backend.Load
	Generations []evacuation.Generation
	// ListsRuns is set if the server listed its generations. Otherwise Generations may lack some.
	ListsRuns bool
	// Process is the same number only for statuses that the same process of the server sent.
	Process uint64
}

// Copy is a copy of a generation's memory at another server.
type Copy struct {
	Name string
	// Events is the number of events that the generation had produced.
	Events int
}

// Engine controls the backend server on this host.
type Engine interface {
	Status(ctx context.Context) (Status, error)
	// ColdFor asks the health path of the server how much longer it is cold.
	ColdFor(ctx context.Context, healthPath string) (time.Duration, error)
	// Move copies the memory of a generation to the server at target. If stop is
	// set, it stops the generation first.
	Move(ctx context.Context, generationID, target string, stop bool) (Copy, error)
}
