package message

import "time"

// StatusRequest requests one control member's view of the group and the fleet.
type StatusRequest struct {
	Header Header
}

// StatusReply is the reply to a StatusRequest. A member replies whether or not
// it reaches a quorum.
type StatusReply struct {
	Header Header
	Member uint64
	// Leader is the peer address of the leader, empty if unknown.
	Leader string
	// Leading is set on the leader. Current is set if a quorum confirmed its
	// leadership for this reply.
	Leading  bool
	Current  bool
	Term     uint64
	Commit   uint64
	Applied  uint64
	Revision Revision
	Group    []ControlMember
	Sequence uint64
	Hosts    []HostStatus
	// Calls is the number of calls in the ledger, Leases the number of leases.
	Calls  int
	Leases int
	// Quarantine lists the suspect and quarantined request digests.
	Quarantine []Quarantine
}

// HostStatus is the leader's view of one host. Heard is false if the leader has
// received no heartbeat from the host in its current term.
type HostStatus struct {
	Member   Member
	Heard    bool
	LastSeen time.Duration
	Revision Revision
}

// ControlMember is one member of the control group.
type ControlMember struct {
	ID      uint64
	Address string
	// Voter is false for a learner.
	Voter bool
	// Match is the highest log index known to be on the member's disk. Silent is
	// the time since the leader last heard from the member. Only the leader sets
	// them.
	Match  uint64
	Silent time.Duration
}

// MembersRequest requests the list of control group members.
type MembersRequest struct {
	Header Header
}

// MembersReply is the reply to a MembersRequest. Current is false if the sender
// could not confirm that the list is the newest one.
type MembersReply struct {
	Header  Header
	Current bool
	Group   []ControlMember
}

// AddMemberRequest adds a learner to the control group. The group promotes it to
// voter once it has caught up. Adding an existing member with the same address
// changes nothing and succeeds.
type AddMemberRequest struct {
	Header     Header
	ID         uint64
	Address    string
	Operator   string
	Credential string
}

// RemoveMemberRequest removes a member from the control group. Removing an
// unknown id changes nothing and succeeds.
type RemoveMemberRequest struct {
	Header     Header
	ID         uint64
	Operator   string
	Credential string
}

// ChangeMembersReply is the reply to AddMemberRequest and RemoveMemberRequest.
// Refused is the reason if nothing was changed, such as another change in
// progress.
type ChangeMembersReply struct {
	Header  Header
	Refused string
	Group   []ControlMember
}
