package fleet

import (
	"sync"

	"arbutusmast.example/arbutusmast/core/desired"
)

// register lets the log apply commands while others read. It implements
// control.StateMachine.
type register struct {
	mu      sync.Mutex
	state   desired.Register
	changed func()
}

// Apply implements control.StateMachine.
func (r *register) Apply(_ uint64, command []byte) any {
	r.mu.Lock()
	version, err := r.state.Apply(command)
	r.mu.Unlock()
	if err != nil {
		return err
	}
	r.changed()
	return version
}

// Snapshot implements control.StateMachine.
func (r *register) Snapshot() ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Snapshot(), nil
}

// Restore implements control.StateMachine.
func (r *register) Restore(snapshot []byte) error {
	r.mu.Lock()
	err := r.state.Restore(snapshot)
	r.mu.Unlock()
	r.changed()
	return err
}

func (r *register) current() (uint64, []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Current()
}
