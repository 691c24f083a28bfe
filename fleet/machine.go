package fleet

import (
	"sync"

	"arbutusmast.example/arbutusmast/core/desired"
	"arbutusmast.example/arbutusmast/core/failuredomain"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// stateMachine guards the replicated desired state and the replicated set of evacuated failure
// domains with a lock, so that they can be read while committed commands are applied. It
// implements control.StateMachine. Commands and snapshots that concern evacuations begin with a
// set bit; others are those of the register alone, which earlier versions of the programs wrote.
type stateMachine struct {
	mu          sync.Mutex
	register    desired.Register
	evacuations failuredomain.Evacuations
	onChange    func()
	logger      *zap.Logger
}

// Apply implements control.StateMachine. It returns the version in force, the outcome of an
// evacuation order, or an error.
func (m *stateMachine) Apply(_ uint64, command []byte) any {
	if failuredomain.IsEncoded(command) {
		return m.applyOrder(command)
	}
	m.mu.Lock()
	version, err := m.register.Apply(command)
	m.mu.Unlock()
	if err != nil {
		return err
	}
	m.onChange()
	return version
}

// applyOrder applies an encoded evacuation order.
func (m *stateMachine) applyOrder(command []byte) any {
	order, err := failuredomain.DecodeOrder(command)
	if err != nil {
		return err
	}
	m.mu.Lock()
	outcome := m.evacuations.Apply(order)
	m.mu.Unlock()
	if outcome.Changed {
		logEvacuation(m.logger, order.Domain, order.Evacuate, outcome.Revision)
		m.onChange()
	}
	return outcome
}

// Snapshot implements control.StateMachine. While no evacuation order was applied, snapshots are
// those of the register, which earlier versions of the programs can read.
func (m *stateMachine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.evacuations.IsEmpty() {
		return m.register.Snapshot(), nil
	}
	return append(m.evacuations.Encode(), m.register.Snapshot()...), nil
}

// Restore implements control.StateMachine.
func (m *stateMachine) Restore(snapshot []byte) error {
	var evacuations failuredomain.Evacuations
	var err error
	if failuredomain.IsEncoded(snapshot) {
		if evacuations, snapshot, err = failuredomain.DecodeEvacuations(snapshot); err != nil {
			return errors.Wrap(err, "restore a snapshot")
		}
	}
	m.mu.Lock()
	m.evacuations = evacuations
	err = m.register.Restore(snapshot)
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

// withEvacuations calls read with the set of evacuated failure domains, which must not be kept.
func (m *stateMachine) withEvacuations(read func(*failuredomain.Evacuations)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	read(&m.evacuations)
}
