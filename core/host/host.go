// Package host maintains the membership of the fleet: which hosts are live,
// leaving or dead, and what they run. Table is replicated. Monitor holds the
// heartbeat times, which are not replicated, at the leader of the control group.
package host

import (
	"maps"
	"slices"
	"sort"

	"arbutusmast.example/arbutusmast/core/message"
	"github.com/pkg/errors"
)

// Limits of the table. The design scale is 410 hosts and 810 backend servers.
const (
	MaxMembers      = 4096
	MaxLeavingMarks = 8192
	// MaxChangesPerReply limits the changes in one heartbeat reply. At 128 bytes
	// per change and one heartbeat every 2 s, the loss or return of a region
	// causes less than 4 KB/s.
	MaxChangesPerReply = 56
)

// ErrTooManyLeavingMarks is returned if the table holds MaxLeavingMarks marks.
var ErrTooManyLeavingMarks = errors.New("too many leaving marks")

// Report is the part of a heartbeat that the table stores. It excludes the
// fields that change with every heartbeat.
type Report struct {
	Host           string                        `cbor:"1,keyasint"`
	Incarnation    message.Incarnation           `cbor:"2,keyasint"`
	FailureDomain  string                        `cbor:"3,keyasint,omitempty"`
	Roles          []string                      `cbor:"4,keyasint,omitempty"`
	AgentAddress   string                        `cbor:"5,keyasint,omitempty"`
	LinkAddress    string                        `cbor:"6,keyasint,omitempty"`
	PeerAddress    string                        `cbor:"7,keyasint,omitempty"`
	Leaving        bool                          `cbor:"8,keyasint,omitempty"`
	BackendServers []message.BackendServerStatus `cbor:"9,keyasint,omitempty"`
}

// ReportFromHeartbeat returns the report that a heartbeat contains.
func ReportFromHeartbeat(h *message.HeartbeatRequest) Report {
	return Report{
		Host: h.Header.Host, Incarnation: h.Header.Incarnation, FailureDomain: h.FailureDomain,
		Roles: h.Roles, AgentAddress: h.AgentAddress, LinkAddress: h.LinkAddress,
		PeerAddress: h.Header.PeerAddress, Leaving: h.Leaving, BackendServers: h.BackendServers,
	}
}

// LeavingMark marks a host or backend server as leaving. SetBy is the operator
// or the platform that set it.
type LeavingMark struct {
	SetBy string `cbor:"1,keyasint"`
}

// Table is the replicated membership. Its fields are exported only for encoding
// in snapshots; other packages use the methods.
type Table struct {
	// Sequence is the number of the last change. Each member holds the number of
	// its own last change.
	Sequence uint64                    `cbor:"1,keyasint"`
	Members  map[string]message.Member `cbor:"2,keyasint"`
	// ReportedLeavingHosts holds the hosts that reported their shutdown in their
	// current incarnation.
	ReportedLeavingHosts map[string]bool `cbor:"3,keyasint"`
	// HostMarks and ServerMarks hold the marks by host and backend server.
	HostMarks   map[string]LeavingMark `cbor:"4,keyasint"`
	ServerMarks map[string]LeavingMark `cbor:"5,keyasint"`
	// PlatformLeaving holds the hosts that the last platform list showed as
	// leaving.
	PlatformLeaving map[string]bool `cbor:"6,keyasint"`
	// ReportedLeavingServers holds, per host, the backend servers that the host
	// reported as leaving in its current incarnation.
	ReportedLeavingServers map[string]map[string]bool `cbor:"7,keyasint"`
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{}
	t.InitMaps()
	return t
}

// Clone returns a copy that is independent of later changes to t.
func (t *Table) Clone() *Table {
	servers := make(map[string]map[string]bool, len(t.ReportedLeavingServers))
	for name, s := range t.ReportedLeavingServers {
		servers[name] = maps.Clone(s)
	}
	return &Table{
		Sequence: t.Sequence, Members: maps.Clone(t.Members), ReportedLeavingHosts: maps.Clone(t.ReportedLeavingHosts),
		HostMarks: maps.Clone(t.HostMarks), ServerMarks: maps.Clone(t.ServerMarks),
		PlatformLeaving: maps.Clone(t.PlatformLeaving), ReportedLeavingServers: servers,
	}
}

// InitMaps replaces nil maps by empty ones, as needed after decoding a snapshot.
func (t *Table) InitMaps() {
	if t.Members == nil {
		t.Members = map[string]message.Member{}
	}
	if t.ReportedLeavingHosts == nil {
		t.ReportedLeavingHosts = map[string]bool{}
	}
	if t.HostMarks == nil {
		t.HostMarks = map[string]LeavingMark{}
	}
	if t.ServerMarks == nil {
		t.ServerMarks = map[string]LeavingMark{}
	}
	if t.PlatformLeaving == nil {
		t.PlatformLeaving = map[string]bool{}
	}
	if t.ReportedLeavingServers == nil {
		t.ReportedLeavingServers = map[string]map[string]bool{}
	}
}

// Report applies the report of a host and reports whether its member changed. A
// report of an earlier incarnation is ignored. Within one incarnation a leaving
// host or backend server stays leaving, because a delayed heartbeat may still
// say otherwise.
func (t *Table) Report(r Report) bool {
	next, leaving, servers, accepted := t.mergeReport(r)
	if !accepted {
		return false
	}
	t.ReportedLeavingHosts[r.Host] = leaving
	t.ReportedLeavingServers[r.Host] = servers
	return t.store(next)
}

// WouldChange reports whether Report would change the member.
func (t *Table) WouldChange(r Report) bool {
	next, _, _, accepted := t.mergeReport(r)
	if !accepted {
		return false
	}
	previous, known := t.Members[r.Host]
	return known && !equalMembers(previous, next) || !known && (len(t.Members) < MaxMembers || t.longestDead() != "")
}

// mergeReport returns the member that a report results in, whether the host was
// reported as leaving in this incarnation, and which of its backend servers were.
// The last result is false if the report is from an earlier incarnation or names no host.
func (t *Table) mergeReport(r Report) (message.Member, bool, map[string]bool, bool) {
	previous, known := t.Members[r.Host]
	if r.Host == "" || known && r.Incarnation < previous.Incarnation {
		return message.Member{}, false, nil, false
	}
	leaving := r.Leaving
	servers := map[string]bool{}
	if known && r.Incarnation == previous.Incarnation {
		leaving = leaving || t.ReportedLeavingHosts[r.Host]
		maps.Copy(servers, t.ReportedLeavingServers[r.Host])
	}
	statuses := slices.Clone(r.BackendServers)
	sort.Slice(statuses, func(i, j int) bool { return statuses[i].Name < statuses[j].Name })
	for i := range statuses {
		if statuses[i].Leaving {
			servers[statuses[i].Name] = true
		}
		// Only the host's own reports count here; withLeavingMarks adds the marks.
		statuses[i].Leaving = servers[statuses[i].Name]
	}
	return t.withLeavingMarks(message.Member{
		Host: r.Host, Incarnation: r.Incarnation, FailureDomain: r.FailureDomain, Roles: r.Roles,
		AgentAddress: r.AgentAddress, LinkAddress: r.LinkAddress, PeerAddress: r.PeerAddress,
		State: message.MemberLive, BackendServers: statuses,
	}, leaving, servers), leaving, servers, true
}

// withLeavingMarks returns m with its state and the Leaving field of its backend
// servers set from the leaving marks and from what the host reported.
func (t *Table) withLeavingMarks(
	m message.Member, reportedLeaving bool, reportedServers map[string]bool,
) message.Member {
	_, hostMarked := t.HostMarks[m.Host]
	if m.State != message.MemberDead {
		m.State = message.MemberLive
		if hostMarked || reportedLeaving {
			m.State = message.MemberLeaving
		}
	}
	m.BackendServers = slices.Clone(m.BackendServers)
	for i := range m.BackendServers {
		s := &m.BackendServers[i]
		_, serverMarked := t.ServerMarks[s.Name]
		s.Leaving = reportedServers[s.Name] || serverMarked || hostMarked || reportedLeaving
	}
	return m
}

// equalMembers reports whether a and b are equal apart from their sequences.
func equalMembers(a, b message.Member) bool {
	return a.Incarnation == b.Incarnation && a.State == b.State && a.FailureDomain == b.FailureDomain &&
		a.AgentAddress == b.AgentAddress && a.LinkAddress == b.LinkAddress && a.PeerAddress == b.PeerAddress &&
		slices.Equal(a.Roles, b.Roles) && slices.Equal(a.BackendServers, b.BackendServers)
}

// store saves a member under the next sequence number. It reports false if the
// member is unchanged or the table is full of members that are not dead.
func (t *Table) store(m message.Member) bool {
	previous, known := t.Members[m.Host]
	if known && equalMembers(previous, m) {
		return false
	}
	if !known && len(t.Members) >= MaxMembers && !t.evictLongestDead() {
		return false
	}
	t.Sequence++
	m.Sequence = t.Sequence
	t.Members[m.Host] = m
	return true
}

// longestDead returns the host that has been dead for the longest time, or "".
func (t *Table) longestDead() string {
	oldest := ""
	for name, m := range t.Members {
		if m.State == message.MemberDead && (oldest == "" || m.Sequence < t.Members[oldest].Sequence) {
			oldest = name
		}
	}
	return oldest
}

// evictLongestDead deletes the longest dead member. It reports false if no member
// is dead.
func (t *Table) evictLongestDead() bool {
	oldest := t.longestDead()
	if oldest == "" {
		return false
	}
	delete(t.Members, oldest)
	delete(t.ReportedLeavingHosts, oldest)
	delete(t.ReportedLeavingServers, oldest)
	return true
}

// MarkDead records that an incarnation of a host sent no heartbeat for DeadAfter.
// A later report, even of the same incarnation, makes the host live again.
func (t *Table) MarkDead(name string, incarnation message.Incarnation) bool {
	m, known := t.Members[name]
	if !known || m.Incarnation != incarnation || m.State == message.MemberDead {
		return false
	}
	m.State = message.MemberDead
	return t.store(m)
}

// SetHostLeaving sets or clears the leaving mark of a host.
func (t *Table) SetHostLeaving(name, setBy string, leaving bool) error {
	if !leaving {
		delete(t.HostMarks, name)
		delete(t.ReportedLeavingHosts, name)
		t.refreshMember(name)
		return nil
	}
	if len(t.HostMarks) >= MaxLeavingMarks {
		return ErrTooManyLeavingMarks
	}
	t.HostMarks[name] = LeavingMark{SetBy: setBy}
	if _, known := t.Members[name]; !known {
		t.store(message.Member{Host: name, State: message.MemberLeaving})
	}
	t.refreshMember(name)
	return nil
}

// SetServerLeaving sets or clears the leaving mark of a backend server.
func (t *Table) SetServerLeaving(name, setBy string, leaving bool) error {
	if leaving && len(t.ServerMarks) >= MaxLeavingMarks {
		return ErrTooManyLeavingMarks
	}
	if leaving {
		t.ServerMarks[name] = LeavingMark{SetBy: setBy}
	} else {
		delete(t.ServerMarks, name)
		for _, servers := range t.ReportedLeavingServers {
			delete(servers, name)
		}
	}
	for _, host := range slices.Sorted(maps.Keys(t.Members)) {
		for _, s := range t.Members[host].BackendServers {
			if s.Name == name {
				t.refreshMember(host)
			}
		}
	}
	return nil
}

// SetPlatformLeaving applies the list of hosts that the platform shows as
// leaving. The list lags behind, so only a host that is new in it is marked: an
// outdated list does not set a mark again that an operator cleared, and a host
// that disappears from the list keeps its mark.
func (t *Table) SetPlatformLeaving(names []string) error {
	listed := map[string]bool{}
	var err error
	for _, name := range names {
		if !t.PlatformLeaving[name] {
			if e := t.SetHostLeaving(name, "platform", true); e != nil {
				err = e
				continue
			}
		}
		listed[name] = true
	}
	t.PlatformLeaving = listed
	return err
}

// refreshMember applies changed marks to a member.
func (t *Table) refreshMember(name string) {
	if m, known := t.Members[name]; known {
		t.store(t.withLeavingMarks(m, t.ReportedLeavingHosts[name], t.ReportedLeavingServers[name]))
	}
}

// ChangedSince returns the members that changed after a sequence number, oldest
// change first, and the sequence number up to which the list is complete. It
// returns at most MaxChangesPerReply members to a daemon that already has a part
// of the table.
func (t *Table) ChangedSince(sequence uint64) (changed []message.Member, upTo uint64) {
	if sequence == t.Sequence {
		return nil, sequence
	}
	// A sequence above the table's was assigned before the group lost its state.
	if sequence > t.Sequence {
		sequence = 0
	}
	for _, m := range t.Members {
		if m.Sequence > sequence {
			changed = append(changed, m)
		}
	}
	sort.Slice(changed, func(i, j int) bool { return changed[i].Sequence < changed[j].Sequence })
	if sequence > 0 && len(changed) > MaxChangesPerReply {
		changed = changed[:MaxChangesPerReply]
		return changed, changed[MaxChangesPerReply-1].Sequence
	}
	return changed, t.Sequence
}
