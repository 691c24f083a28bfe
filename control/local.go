package control

import (
	"context"
	"sync"

	"arbutusmast.example/arbutusmast/core/verdict"
)

// LocalLog is a Log with a single member that keeps nothing on disk, for tests and
// experiments. Its state is lost when the process ends.
type LocalLog struct {
	address string
	machine StateMachine

	mu    sync.Mutex
	index uint64
}

// NewLocalLog returns a log whose only member has the given peer address.
func NewLocalLog(address string, machine StateMachine) *LocalLog {
	return &LocalLog{address: address, machine: machine}
}

// Propose implements Log.
func (l *LocalLog) Propose(ctx context.Context, command []byte) (any, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := ctx.Err(); err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.ReasonTimeout, "propose")
	}
	l.index++
	return l.machine.Apply(l.index, command), nil
}

// Barrier implements Log.
func (l *LocalLog) Barrier(ctx context.Context) error { return ctx.Err() }

// Leader implements Log.
func (l *LocalLog) Leader() (string, bool) { return l.address, true }
