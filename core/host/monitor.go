package host

import (
	"sort"
	"time"

	"arbutusmast.example/arbutusmast/core/message"
)

// DeadAfter is the time without a heartbeat after which a host counts as dead:
// three missed heartbeats at intervals of 2 s and one second for network delay.
const DeadAfter = 7 * time.Second

// Monitor tracks heartbeat times at the leader of the control group.
type Monitor struct {
	startedAt  time.Duration
	heartbeats map[string]heartbeat
}

type heartbeat struct {
	receivedAt  time.Duration
	incarnation message.Incarnation
	revision    message.Revision
}

// NewMonitor returns the monitor of a leader whose term begins now. A host that
// has sent no heartbeat to it yet has DeadAfter from now on to do so.
func NewMonitor(now time.Duration) *Monitor {
	return &Monitor{startedAt: now, heartbeats: map[string]heartbeat{}}
}

// RecordHeartbeat records a heartbeat received at now. A heartbeat of an earlier
// incarnation is ignored.
func (m *Monitor) RecordHeartbeat(now time.Duration, h *message.HeartbeatRequest) {
	previous, known := m.heartbeats[h.Header.Host]
	if known && h.Header.Incarnation < previous.incarnation {
		return
	}
	m.heartbeats[h.Header.Host] = heartbeat{receivedAt: now, incarnation: h.Header.Incarnation, revision: h.ConfigApplied}
}

// Status returns the age of a host's last heartbeat and the configuration
// revision that it reported. Before the first heartbeat known is false and age
// counts from the creation of the monitor.
func (m *Monitor) Status(now time.Duration, name string) (age time.Duration, revision message.Revision, known bool) {
	last, known := m.heartbeats[name]
	if !known {
		return now - m.startedAt, 0, false
	}
	return now - last.receivedAt, last.revision, true
}

// SilentMember identifies a member that sent no heartbeat for DeadAfter.
type SilentMember struct {
	Host        string
	Incarnation message.Incarnation
}

// Overdue returns the members of t to be marked as dead, sorted by host.
func (m *Monitor) Overdue(now time.Duration, t *Table) []SilentMember {
	var overdue []SilentMember
	for name, member := range t.Members {
		age, _, _ := m.Status(now, name)
		switch {
		case age <= DeadAfter:
			// A dead member may be back already; its report follows.
		case member.State == message.MemberDead:
			delete(m.heartbeats, name)
		default:
			overdue = append(overdue, SilentMember{name, member.Incarnation})
		}
	}
	sort.Slice(overdue, func(i, j int) bool { return overdue[i].Host < overdue[j].Host })
	return overdue
}
