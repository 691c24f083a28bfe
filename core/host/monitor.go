package host

import (
	"sort"
	"time"

	"arbutusmast.example/arbutusmast/core/message"
)

// DeadAfter is how long a host may be silent. It is three missed heartbeats of
// 2 s and one second for a slow path.
const DeadAfter = 7 * time.Second

// Monitor keeps the times of heartbeats at the leader of the control group.
type Monitor struct {
	since time.Duration
	beats map[string]beat
}

type beat struct {
	at          time.Duration
	incarnation message.Incarnation
	revision    message.Revision
}

// NewMonitor returns the monitor of a leader that begins to lead now. Hosts
// that it has not heard yet get the whole DeadAfter from then on.
func NewMonitor(now time.Duration) *Monitor {
	return &Monitor{since: now, beats: map[string]beat{}}
}

// RecordHeartbeat records a heartbeat. One of an earlier incarnation is ignored.
func (m *Monitor) RecordHeartbeat(now time.Duration, h *message.HeartbeatRequest) {
	previous, known := m.beats[h.Header.Host]
	if known && h.Header.Incarnation < previous.incarnation {
		return
	}
	m.beats[h.Header.Host] = beat{at: now, incarnation: h.Header.Incarnation, revision: h.ConfigApplied}
}

// Status returns the age of the last heartbeat and the revision in force that
// it reported. Known is false before the first heartbeat.
func (m *Monitor) Status(now time.Duration, name string) (age time.Duration, revision message.Revision, known bool) {
	b, known := m.beats[name]
	if !known {
		return now - m.since, 0, false
	}
	return now - b.at, b.revision, true
}

// SilentMember is a member that sent no heartbeat for DeadAfter.
type SilentMember struct {
	Host        string
	Incarnation message.Incarnation
}

// Overdue returns the members of t that should be recorded as dead, by name.
func (m *Monitor) Overdue(now time.Duration, t *Table) []SilentMember {
	var out []SilentMember
	for name, member := range t.Members {
		age, _, _ := m.Status(now, name)
		switch {
		case age <= DeadAfter:
			// A dead member may have just come back; its report is on the way.
		case member.State == message.MemberDead:
			delete(m.beats, name)
		default:
			out = append(out, SilentMember{name, member.Incarnation})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Host < out[j].Host })
	return out
}
