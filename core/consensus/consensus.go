// Package consensus is the replicated log of the control group as a
// deterministic state machine.
//
// A Machine consumes messages, ticks, disk completions, proposals and read
// requests and produces an Output: messages to send, data to sync, entries to
// apply and read results. It starts no goroutine and touches no socket, file or
// clock. A Machine is for one goroutine.
//
// Members are elected with pre-vote and check-quorum. Every data folder has a
// random disk number that the log binds to the member id, so that an id whose
// disk was lost takes no further part. Because nothing is bound before the first
// entry, the very first election needs the votes of all initial members.
package consensus

import (
	"math/rand"

	"github.com/pkg/errors"
)

// MemberID names a member. Ids are never reused: a new id must be larger than
// every id used before.
type MemberID uint64

// Member is one host of the group.
type Member struct {
	ID      MemberID `cbor:"1,keyasint"`
	Address string   `cbor:"2,keyasint"`
	// Learner members receive the log but neither vote nor count in a quorum.
	Learner bool `cbor:"3,keyasint,omitempty"`
	// Disk is the number of the data folder that the id is bound to, 0 before.
	Disk uint64 `cbor:"4,keyasint,omitempty"`
}

// Members is a membership, ordered by id. It is never modified in place.
type Members struct {
	List []Member `cbor:"1,keyasint"`
	// Highest is the largest id ever used.
	Highest MemberID `cbor:"2,keyasint"`
}

// EntryKind tells what an entry holds.
type EntryKind uint8

// Kinds of entries. EntryEmpty opens a term.
const (
	EntryEmpty EntryKind = iota
	EntryCommand
	EntryMembers
)

// Entry is one record of the log.
type Entry struct {
	Index   uint64    `cbor:"1,keyasint"`
	Term    uint64    `cbor:"2,keyasint"`
	Kind    EntryKind `cbor:"3,keyasint,omitempty"`
	Data    []byte    `cbor:"4,keyasint,omitempty"`
	Members *Members  `cbor:"5,keyasint,omitempty"`
}

// HardState must be synced before any message that depends on it is sent.
type HardState struct {
	Term uint64   `cbor:"1,keyasint"`
	Vote MemberID `cbor:"2,keyasint,omitempty"`
}

// Snapshot replaces the entries up to Index.
type Snapshot struct {
	Index   uint64  `cbor:"1,keyasint"`
	Term    uint64  `cbor:"2,keyasint"`
	Members Members `cbor:"3,keyasint"`
	Data    []byte  `cbor:"4,keyasint"`
	// Size is the length of Data, for a transport that sends Data separately.
	Size int `cbor:"5,keyasint"`
}

// MessageKind tells what a message asks or answers.
type MessageKind uint8

// Kinds of messages. An Append without entries is a heartbeat.
const (
	KindPreVote MessageKind = iota + 1
	KindPreVoteReply
	KindVote
	KindVoteReply
	KindAppend
	KindAppendReply
	KindSnapshot
	KindRead
	KindReadReply
)

// Message is exchanged between members.
type Message struct {
	Kind     MessageKind
	From, To MemberID
	// Disk is the sender's data folder.
	Disk uint64
	Term uint64
	// Index and LogTerm are the last entry of a candidate, or the entry before
	// Entries. In an AppendReply, Index is the last matching entry, or the entry
	// that did not match.
	Index, LogTerm uint64
	Entries        []Entry
	Commit         uint64
	Reject         bool
	// Hint and HintTerm are the last entry of the follower that may match.
	Hint, HintTerm uint64
	// Round numbers the leader's confirmations of its leadership.
	Round uint64
	// Context names a read request, or the disk that a Removed is for.
	Context  uint64
	Snapshot *Snapshot
	// Removed tells the receiver that its id was removed from the group or is
	// bound to another disk.
	Removed bool
}

// Write is data to sync, in order of Seq. Entries replace all entries from the
// first of their indexes on. A snapshot replaces the log up to its index, and
// all of it when the log does not hold the snapshot's last entry.
type Write struct {
	Seq      uint64
	Hard     *HardState
	Entries  []Entry
	Snapshot *Snapshot
}

// ReadState answers a read request. Unless Refused, the state that includes
// Index holds all that was committed when the request was made.
type ReadState struct {
	ID      uint64
	Index   uint64
	Refused bool
}

// Output is what a driver has to do after an input. Install comes before
// Committed.
type Output struct {
	Messages  []Message
	Write     *Write
	Install   *Snapshot
	Committed []Entry
	Reads     []ReadState
}

// Config holds the parameters of a member.
type Config struct {
	ID   MemberID
	Disk uint64
	// Initial is the first membership. It is empty for a member that joins.
	Initial []Member
	// ElectionTicks is the shortest time without a leader before an election;
	// the actual time is drawn between one and two times as long.
	ElectionTicks  int
	HeartbeatTicks int
	// MaxMessageBytes bounds the entries in one message, MaxInflight the number
	// of unacknowledged entries for each peer, and MaxUncommitted the number of
	// uncommitted entries above which proposals are refused.
	MaxMessageBytes int
	MaxInflight     int
	MaxUncommitted  int
	// MaxMembers bounds the members, MaxVoters those that vote. A learner stays
	// one while there are as many voters.
	MaxMembers, MaxVoters int
	// KeepEntries is the number of entries kept in memory behind a snapshot for
	// members that are a little behind.
	KeepEntries uint64
	Rand        *rand.Rand
}

// Defaults of Config. With a tick of 100 ms a lost leader is replaced after 2 s
// to 4 s, and an idle follower costs two heartbeats a second.
const (
	DefaultElectionTicks  = 20
	DefaultHeartbeatTicks = 5
	defaultMessageBytes   = 256 << 10
	defaultInflight       = 4096
	defaultUncommitted    = 8192
	defaultKeepEntries    = 1024
	DefaultMaxMembers     = 8
	DefaultMaxVoters      = 5
)

// PersistedState is what a member found on its disk.
type PersistedState struct {
	Hard     HardState
	Snapshot *Snapshot
	Entries  []Entry
}

// Errors of proposals and membership changes. After any of them the proposal is
// not in the log.
var (
	ErrNotLeader      = errors.New("this member is not the leader")
	ErrOverloaded     = errors.New("too many uncommitted entries")
	ErrChangePending  = errors.New("a membership change is pending or the leader has not committed in its term")
	ErrMemberIDUsed   = errors.New("the id was used before; a new member needs a larger id than every earlier one")
	ErrNoSuchMember   = errors.New("no member has this id")
	ErrTooManyMembers = errors.New("the group has as many members as it may have")
	ErrLastVoter      = errors.New("the last voting member can not be removed")
)

func (c *Config) setDefaults() {
	set := func(v *int, fallback int) {
		if *v <= 0 {
			*v = fallback
		}
	}
	set(&c.ElectionTicks, DefaultElectionTicks)
	set(&c.HeartbeatTicks, DefaultHeartbeatTicks)
	set(&c.MaxMessageBytes, defaultMessageBytes)
	set(&c.MaxInflight, defaultInflight)
	set(&c.MaxUncommitted, defaultUncommitted)
	set(&c.MaxMembers, DefaultMaxMembers)
	set(&c.MaxVoters, DefaultMaxVoters)
	if c.KeepEntries == 0 {
		c.KeepEntries = defaultKeepEntries
	}
}
