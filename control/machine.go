package control

import (
	"sync"

	"arbutusmast.example/arbutusmast/core/registry"
)

// RegistryMachine is the StateMachine of a control member. It applies commands to
// the registry and gives the service concurrent read access to it.
type RegistryMachine struct {
	mu       sync.RWMutex
	registry *registry.Registry
}

// NewRegistryMachine returns a state machine with an empty registry.
func NewRegistryMachine() *RegistryMachine { return &RegistryMachine{registry: registry.New()} }

// Apply implements StateMachine.
func (m *RegistryMachine) Apply(index uint64, command []byte) any {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.registry.Apply(index, command)
}

// Snapshot implements StateMachine. It blocks Apply while it captures the state,
// but not while it encodes the captured state.
func (m *RegistryMachine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	image := m.registry.Image()
	m.mu.RUnlock()
	return image.Encode()
}

// Restore implements StateMachine.
func (m *RegistryMachine) Restore(snapshot []byte) error {
	// Decoding and validating a snapshot with many callers takes long, so it is done
	// without the lock.
	next := registry.New()
	if err := next.Restore(snapshot); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.registry = next
	return nil
}

// View calls read with the registry under a read lock. read must neither modify nor
// retain the registry.
func (m *RegistryMachine) View(read func(*registry.Registry)) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	read(m.registry)
}
