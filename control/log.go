// Package control implements the control role. A Node runs a member of the
// replicated log, which applies commands to the registry, and a Service serves
// the RPC requests of daemons and operators.
package control

import "context"

// StateMachine is the state that the log replicates. Every member applies the same
// commands in the same order, so Apply must be deterministic: it may depend on its
// arguments and the state only.
type StateMachine interface {
	Apply(index uint64, command []byte) any
	Snapshot() ([]byte, error)
	Restore(snapshot []byte) error
}

// Log is the interface of the replicated log that the service uses.
type Log interface {
	// Propose appends a command, waits until it is committed and applied on this
	// member and returns the result of Apply. Only the leader accepts commands. An
	// error contains a verdict, which is NotRun if the command was not and will not be
	// committed.
	Propose(ctx context.Context, command []byte) (any, error)
	// Barrier waits until a quorum has confirmed the leader and the state machine
	// reflects all commands that were committed before the call.
	Barrier(ctx context.Context) error
	// Leader returns the peer address of the leader, which is empty if it is unknown,
	// and whether this member is the leader.
	Leader() (address string, self bool)
}
