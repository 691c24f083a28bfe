package control

import (
	"sync"

	"arbutusmast.example/arbutusmast/core/registry"
)

// RegistryMachine lets the log apply commands to the registry while the service reads
// it. It implements StateMachine.
type RegistryMachine struct {
	mu       sync.RWMutex
	registry *registry.Registry
}

// NewRegistryMachine returns a machine with an empty registry.
func NewRegistryMachine() *RegistryMachine { return &RegistryMachine{registry: registry.New()} }

// Apply implements StateMachine.
func (m *RegistryMachine) Apply(index uint64, command []byte) any {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.registry.Apply(index, command)
}

// Snapshot implements StateMachine. Commands wait only while the state is
// captured and not while it is encoded.
func (m *RegistryMachine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	image := m.registry.Image()
	m.mu.RUnlock()
	return image.Encode()
}

// Restore implements StateMachine.
func (m *RegistryMachine) Restore(snapshot []byte) error {
	// The snapshot is decoded and validated outside of the lock, because that
	// takes long at many callers.
	next := registry.New()
	if err := next.Restore(snapshot); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.registry = next
	return nil
}

// View calls read with the registry, which must not be changed or kept.
func (m *RegistryMachine) View(read func(*registry.Registry)) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	read(m.registry)
}
