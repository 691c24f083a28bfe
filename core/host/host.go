// Package host keeps the membership of the fleet: which hosts live, leave or
// died, and what they run. Table is replicated; Monitor belongs to the leader
// of the control group and keeps the heartbeat times, which are not.
package host

import (
	"maps"
	"slices"
	"sort"

	"arbutusmast.example/arbutusmast/core/message"
	"github.com/pkg/errors"
)

// Bounds of the table. The fleet has 410 hosts and 810 backend servers at the
// design scale.
const (
	MaxMembers      = 4096
	MaxLeavingMarks = 8192
	// MaxChangesPerReply bounds the changes in one answer. With the 128 bytes measured for
	// each and a heartbeat every 2 s, the loss or return of a region stays below
	// 4 KB/s.
	MaxChangesPerReply = 56
)

// ErrTooManyLeavingMarks is returned when no further leaving mark fits.
var ErrTooManyLeavingMarks = errors.New("too many leaving marks")

// Report is what a host tells about itself in a heartbeat, without the parts
// that change on every heartbeat.
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

// ReportFromHeartbeat returns the report inside a heartbeat.
func ReportFromHeartbeat(h *message.HeartbeatRequest) Report {
	return Report{
		Host: h.Header.Host, Incarnation: h.Header.Incarnation, FailureDomain: h.FailureDomain,
		Roles: h.Roles, AgentAddress: h.AgentAddress, LinkAddress: h.LinkAddress,
		PeerAddress: h.Header.PeerAddress, Leaving: h.Leaving, BackendServers: h.BackendServers,
	}
}

// LeavingMark records who marked a host or backend server as leaving.
type LeavingMark struct {
	SetBy string `cbor:"1,keyasint"`
}

// Table is the replicated membership. Its fields are exported for the snapshot
// only; callers use the methods.
type Table struct {
	// Sequence numbers changes. Each member carries the number of its last one.
	Sequence uint64                    `cbor:"1,keyasint"`
	Members  map[string]message.Member `cbor:"2,keyasint"`
	// ReportedLeavingHosts holds hosts that reported their own shutdown in their present
	// incarnation.
	ReportedLeavingHosts map[string]bool        `cbor:"3,keyasint"`
	HostMarks            map[string]LeavingMark `cbor:"4,keyasint"`
	ServerMarks          map[string]LeavingMark `cbor:"5,keyasint"`
	// PlatformLeaving holds the hosts that the platform's last list called leaving.
	PlatformLeaving map[string]bool `cbor:"6,keyasint"`
	// ReportedLeavingServers holds backend servers that their host reported as leaving in
	// its present incarnation.
	ReportedLeavingServers map[string]map[string]bool `cbor:"7,keyasint"`
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{}
	t.InitMaps()
	return t
}

// Clone returns a copy that later changes do not reach.
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

// InitMaps makes a table usable that was decoded from a snapshot.
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

// Report records what a host told about itself and tells whether the member
// changed. A report of an earlier incarnation is ignored. Within one
// incarnation a leaving host or backend server stays leaving, because a late
// heartbeat may still say otherwise.
func (t *Table) Report(r Report) bool {
	next, leaving, servers, accepted := t.merge(r)
	if !accepted {
		return false
	}
	t.ReportedLeavingHosts[r.Host] = leaving
	t.ReportedLeavingServers[r.Host] = servers
	return t.store(next)
}

// WouldChange tells whether Report would change the member.
func (t *Table) WouldChange(r Report) bool {
	next, _, _, accepted := t.merge(r)
	if !accepted {
		return false
	}
	previous, known := t.Members[r.Host]
	return known && !same(previous, next) || !known && (len(t.Members) < MaxMembers || t.oldestDead() != "")
}

func (t *Table) merge(r Report) (message.Member, bool, map[string]bool, bool) {
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
	status := slices.Clone(r.BackendServers)
	sort.Slice(status, func(i, j int) bool { return status[i].Name < status[j].Name })
	for i := range status {
		if status[i].Leaving {
			servers[status[i].Name] = true
		}
		// The mark is applied by present; here only what the host reported counts.
		status[i].Leaving = servers[status[i].Name]
	}
	return t.present(message.Member{
		Host: r.Host, Incarnation: r.Incarnation, FailureDomain: r.FailureDomain, Roles: r.Roles,
		AgentAddress: r.AgentAddress, LinkAddress: r.LinkAddress, PeerAddress: r.PeerAddress,
		State: message.MemberLive, BackendServers: status,
	}, leaving, servers), leaving, servers, true
}

// present sets what the leaving marks decide.
func (t *Table) present(m message.Member, selfLeaving bool, servers map[string]bool) message.Member {
	_, marked := t.HostMarks[m.Host]
	if m.State != message.MemberDead {
		m.State = message.MemberLive
		if marked || selfLeaving {
			m.State = message.MemberLeaving
		}
	}
	m.BackendServers = slices.Clone(m.BackendServers)
	for i := range m.BackendServers {
		s := &m.BackendServers[i]
		_, serverMarked := t.ServerMarks[s.Name]
		s.Leaving = servers[s.Name] || serverMarked || marked || selfLeaving
	}
	return m
}

func same(a, b message.Member) bool {
	return a.Incarnation == b.Incarnation && a.State == b.State && a.FailureDomain == b.FailureDomain &&
		a.AgentAddress == b.AgentAddress && a.LinkAddress == b.LinkAddress && a.PeerAddress == b.PeerAddress &&
		slices.Equal(a.Roles, b.Roles) && slices.Equal(a.BackendServers, b.BackendServers)
}

func (t *Table) store(m message.Member) bool {
	previous, known := t.Members[m.Host]
	if known && same(previous, m) {
		return false
	}
	if !known && len(t.Members) >= MaxMembers && !t.evictDead() {
		return false
	}
	t.Sequence++
	m.Sequence = t.Sequence
	t.Members[m.Host] = m
	return true
}

// oldestDead returns the member that has been dead for the longest time.
func (t *Table) oldestDead() string {
	oldest := ""
	for name, m := range t.Members {
		if m.State == message.MemberDead && (oldest == "" || m.Sequence < t.Members[oldest].Sequence) {
			oldest = name
		}
	}
	return oldest
}

func (t *Table) evictDead() bool {
	oldest := t.oldestDead()
	if oldest == "" {
		return false
	}
	delete(t.Members, oldest)
	delete(t.ReportedLeavingHosts, oldest)
	delete(t.ReportedLeavingServers, oldest)
	return true
}

// MarkDead records that an incarnation of a host sent no heartbeat for too long. A
// later report, even of the same incarnation, brings it back.
func (t *Table) MarkDead(name string, incarnation message.Incarnation) bool {
	m, known := t.Members[name]
	if !known || m.Incarnation != incarnation || m.State == message.MemberDead {
		return false
	}
	m.State = message.MemberDead
	return t.store(m)
}

// SetHostLeaving sets or clears the leaving mark of a host.
func (t *Table) SetHostLeaving(name, by string, leaving bool) error {
	if !leaving {
		delete(t.HostMarks, name)
		delete(t.ReportedLeavingHosts, name)
		t.refresh(name)
		return nil
	}
	if len(t.HostMarks) >= MaxLeavingMarks {
		return ErrTooManyLeavingMarks
	}
	t.HostMarks[name] = LeavingMark{SetBy: by}
	if _, known := t.Members[name]; !known {
		t.store(message.Member{Host: name, State: message.MemberLeaving})
	}
	t.refresh(name)
	return nil
}

// SetServerLeaving sets or clears the leaving mark of a backend server.
func (t *Table) SetServerLeaving(name, by string, leaving bool) error {
	if leaving && len(t.ServerMarks) >= MaxLeavingMarks {
		return ErrTooManyLeavingMarks
	}
	if leaving {
		t.ServerMarks[name] = LeavingMark{SetBy: by}
	} else {
		delete(t.ServerMarks, name)
		for _, servers := range t.ReportedLeavingServers {
			delete(servers, name)
		}
	}
	for _, host := range slices.Sorted(maps.Keys(t.Members)) {
		for _, s := range t.Members[host].BackendServers {
			if s.Name == name {
				t.refresh(host)
			}
		}
	}
	return nil
}

// SetPlatformLeaving takes the hosts that the platform lists as leaving. The
// list lags, so only a host that enters it is marked: a mark that an operator
// cleared is not set again by an old list, and a host that left the list keeps
// its mark.
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

func (t *Table) refresh(name string) {
	if m, known := t.Members[name]; known {
		t.store(t.present(m, t.ReportedLeavingHosts[name], t.ReportedLeavingServers[name]))
	}
}

// ChangedSince returns the members that changed after a sequence number, the oldest
// change first, and the number up to which they are complete. A daemon that has
// seen some of this table gets at most MaxChanges of them at a time.
func (t *Table) ChangedSince(sequence uint64) (changed []message.Member, upTo uint64) {
	if sequence == t.Sequence {
		return nil, sequence
	}
	// A sequence from the future belongs to a group that lost its state.
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
