package message

import (
	"time"

	"arbutusmast.example/arbutusmast/core/verdict"
)

// BackendServerStatus is the state of one backend server as its agent reports
// it.
type BackendServerStatus struct {
	Name    string
	Healthy bool
	Leaving bool
}

// HeartbeatRequest is the heartbeat that each daemon sends to the control group.
type HeartbeatRequest struct {
	Header        Header
	Roles         []string
	FailureDomain string
	AgentAddress  string
	LinkAddress   string
	// ConfigApplied is the configuration revision in force at the sender.
	ConfigApplied  Revision
	MembershipSeen uint64
	QuarantineSeen uint64
	// EvacuationsSeen is the revision of the sender's copy of the evacuated failure
	// domains.
	EvacuationsSeen uint64
	// Leaving is set while the daemon shuts down.
	Leaving        bool
	BackendServers []BackendServerStatus
}

// Member is the control group's record of one host. Sequence is the number of
// the membership change that produced the record.
type Member struct {
	Host           string
	Incarnation    Incarnation
	FailureDomain  string
	Roles          []string
	AgentAddress   string
	LinkAddress    string
	PeerAddress    string
	State          MemberState
	Revision       Revision
	BackendServers []BackendServerStatus
	Sequence       uint64
}

// MemberState is the state of a host or backend server.
type MemberState uint8

// States of a member. A late report of MemberLive does not override
// MemberLeaving.
const (
	MemberUnknown MemberState = iota
	MemberLive
	MemberLeaving
	MemberDead
)

// HeartbeatReply is the reply to a HeartbeatRequest. Members holds only the
// records that changed after MembershipSeen.
type HeartbeatReply struct {
	Header   Header
	Leader   string
	Current  bool
	Revision Revision
	Sequence uint64
	Members  []Member
	// Quarantine holds the entries that changed after QuarantineSeen. An entry
	// whose For is zero is removed. With QuarantineReset the receiver replaces its
	// whole list.
	Quarantine         []Quarantine
	QuarantineSequence uint64
	QuarantineReset    bool
	// Evacuations is the whole set if its revision is above EvacuationsSeen, otherwise
	// nil.
	Evacuations *EvacuationSet
}

// Quarantine is a request digest that is suspect or quarantined. For is the
// remaining time, relative to the reply that carries the entry.
type Quarantine struct {
	Digest  string
	Suspect bool
	For     time.Duration
}

// ConfigRequest requests the configuration changes after revision From.
type ConfigRequest struct {
	Header Header
	From   Revision
}

// ConfigReply holds either the Deltas that lead from From to Revision or the
// complete configuration in Snapshot. Current is false if the sender could not
// confirm that Revision is the newest one.
type ConfigReply struct {
	Header   Header
	Revision Revision
	Current  bool
	Deltas   []ConfigDelta
	Snapshot []byte
	// Evacuations is the set of evacuated failure domains at a control member. It comes
	// with the configuration, so that a daemon that starts learns both before it serves.
	Evacuations *EvacuationSet
}

// ConfigDelta is one accepted configuration change: the sections that it sets
// and removes.
type ConfigDelta struct {
	Revision Revision
	Set      map[string]map[string]string
	Removed  []string
}

// ApplyRequest replaces the configuration if its revision is still Expected.
type ApplyRequest struct {
	Header Header
	// Credential is the operators' secret.
	Credential string
	ChangeID   string
	Operator   string
	Expected   Revision
	// Sections is the complete merged configuration: section header to keys and
	// values.
	Sections map[string]map[string]string
	Comment  string
}

// ApplyReply is the outcome of an ApplyRequest. After a conflict the Winner
// fields identify the change that produced the current revision.
type ApplyReply struct {
	Header         Header
	Accepted       bool
	Revision       Revision
	Duplicate      bool
	Faults         []string
	WinnerOperator string
	WinnerChangeID string
	WinnerComment  string
}

// CallKey is an idempotency key within the scope of one caller.
type CallKey struct {
	Caller string
	Key    string
}

// BeginCallRequest records in the ledger that the sender is about to dispatch a
// non-repeatable call.
type BeginCallRequest struct {
	Header     Header
	Key        CallKey
	BodyDigest string
	Request    RequestID
	Retention  time.Duration
}

// CallState is the state of a call in the ledger.
type CallState uint8

// States of a call. A call whose end is unknown remains CallStarted.
const (
	CallUnknown CallState = iota
	CallNew
	CallStarted
	CallFinished
	CallConflict
)

// BeginCallReply is the reply to a BeginCallRequest. The sender may dispatch the
// call only if State is CallNew.
type BeginCallReply struct {
	Header   Header
	State    CallState
	Request  RequestID
	Response RecordedResponse
}

// RecordedResponse is the stored response of a finished call. Truncated is set
// if the body exceeded the size that the ledger stores.
type RecordedResponse struct {
	Status     int
	HTTPHeader map[string][]string
	Body       []byte
	Truncated  bool
	// Unframed is set if the end of the body is that of its connection.
	Unframed bool `cbor:",omitempty"`
}

// FinishCallRequest records the end of a call in the ledger. If Verdict is
// NotRun, the record is deleted, so that the caller may send the call again.
type FinishCallRequest struct {
	Header   Header
	Key      CallKey
	Request  RequestID
	Verdict  verdict.Verdict
	Response RecordedResponse
}

// FinishCallReply is the reply to a FinishCallRequest.
type FinishCallReply struct {
	Header Header
}

// LeaseRequest acquires or renews the exclusive right to send orders to a
// backend server.
type LeaseRequest struct {
	Header        Header
	BackendServer string
	Duration      time.Duration
}

// LeaseReply holds the fencing number if Granted is set. Otherwise RetryAfter is
// the time until the lease of Holder expires.
type LeaseReply struct {
	Header     Header
	Granted    bool
	Fencing    uint64
	Duration   time.Duration
	Holder     string
	RetryAfter time.Duration
}

// CrashReport reports that a backend server crashed with requests in flight.
type CrashReport struct {
	Header        Header
	BackendServer string
	// Crash identifies the crash, so that a resent report is counted once.
	Crash    string
	InFlight []string
	Cleared  []string
}

// CrashReply is the reply to a CrashReport.
type CrashReply struct {
	Header     Header
	Quarantine []Quarantine
}

// LeavingRequest sets or clears the leaving mark of a host or a backend server.
type LeavingRequest struct {
	Header Header
	// Credential is the operators' secret.
	Credential    string
	Host          string
	BackendServer string
	Leaving       bool
	Operator      string
}

// LeavingReply is the reply to a LeavingRequest.
type LeavingReply struct {
	Header   Header
	Sequence uint64
}

// LoadSlotRequest acquires the right to load weights on a backend server, or
// releases it if Release is set.
type LoadSlotRequest struct {
	Header        Header
	BackendServer string
	Duration      time.Duration
	Release       bool
}

// LoadSlotReply is the reply to a LoadSlotRequest. RetryAfter is the time until
// the next slot expires.
type LoadSlotReply struct {
	Header     Header
	Granted    bool
	RetryAfter time.Duration
}
