package fleet

import (
	"sync"

	"arbutusmast.example/arbutusmast/core/desired"
)

// stateMachine guards the replicated register with a lock, so that it can be read
// while committed commands are applied. It implements control.StateMachine.
type stateMachine struct {
	mu       sync.Mutex
	register desired.Register
	onChange func()
}

// Apply implements control.StateMachine. It returns the version in force or an error.
func (m *stateMachine) Apply(_ uint64, command []byte) any {
	m.mu.Lock()
	version, err := m.register.Apply(command)
	m.mu.Unlock()
	if err != nil {
		return err
	}
	m.onChange()
	return version
}

// Snapshot implements control.StateMachine.
func (m *stateMachine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.register.Snapshot(), nil
}

// Restore implements control.StateMachine.
func (m *stateMachine) Restore(snapshot []byte) error {
	m.mu.Lock()
	err := m.register.Restore(snapshot)
	m.mu.Unlock()
	m.onChange()
	return err
}

// current returns the version in force and its compressed document, which is nil
// before the first one.
func (m *stateMachine) current() (uint64, []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.register.Current()
}
