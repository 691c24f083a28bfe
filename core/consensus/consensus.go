// Package consensus implements the replicated log of the control group with the
// Raft algorithm, as a deterministic state machine.
//
// A Raft is one member of the group. It consumes messages, ticks, sync
// completions, proposals and read requests and produces an Output: messages to
// send, data to sync, entries to apply and read results. It starts no goroutines
// and does no I/O; time is passed in as ticks. A Raft is not safe for concurrent
// use.
//
// Elections use pre-vote and check-quorum. Every data folder has a random disk
// number, which the log binds to the member id, so that an id whose disk was lost
// is excluded. No disk is bound before the first entry, so the first election of
// a group needs the votes of all initial members.
package consensus

import (
	"math/rand"

	"github.com/pkg/errors"
)

// MemberID identifies a member. Ids are never reused: a new id must be larger
// than every id used before.
type MemberID uint64

// Member is one host of the group.
type Member struct {
	ID      MemberID `cbor:"1,keyasint"`
	Address string   `cbor:"2,keyasint"`
	// Learner is set for a member that receives the log but neither votes nor
	// counts in a quorum.
	Learner bool `cbor:"3,keyasint,omitempty"`
	// Disk is the number of the data folder that the id is bound to, 0 if none.
	Disk uint64 `cbor:"4,keyasint,omitempty"`
}

// Members is the membership of the group. It is never modified in place.
type Members struct {
	// List is ordered by id.
	List []Member `cbor:"1,keyasint"`
	// Highest is the largest member id ever used.
	Highest MemberID `cbor:"2,keyasint"`
}

// EntryKind is the type of an entry's content.
type EntryKind uint8

// Kinds of entries. A new leader appends an EntryEmpty at the start of its term.
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

// HardState is the term and the vote of a member. It must be synced before any
// message that depends on it is sent.
type HardState struct {
	Term uint64   `cbor:"1,keyasint"`
	Vote MemberID `cbor:"2,keyasint,omitempty"`
}

// Snapshot holds the state after applying the entries up to Index, and replaces
// them.
type Snapshot struct {
	Index   uint64  `cbor:"1,keyasint"`
	Term    uint64  `cbor:"2,keyasint"`
	Members Members `cbor:"3,keyasint"`
	Data    []byte  `cbor:"4,keyasint"`
	// Size is the length of Data, for a transport that sends Data separately.
	Size int `cbor:"5,keyasint"`
}

// MessageKind is the type of a request or reply between members.
type MessageKind uint8

// Kinds of messages. A KindAppend message without entries is a heartbeat.
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

// Message is a request or reply between members.
type Message struct {
	Kind     MessageKind
	From, To MemberID
	// Disk is the disk number of the sender.
	Disk uint64
	Term uint64
	// Index and LogTerm identify the last entry of a candidate, or the entry that
	// precedes Entries. In a KindAppendReply, Index is the last matching entry, or
	// the entry that did not match if Reject is set.
	Index, LogTerm uint64
	Entries        []Entry
	Commit         uint64
	Reject         bool
	// Hint and HintTerm identify the last entry of the follower that can match.
	Hint, HintTerm uint64
	// Round is the leader's latest round of leadership confirmation for reads.
	Round uint64
	// Context identifies a read request, or the disk that Removed refers to.
	Context  uint64
	Snapshot *Snapshot
	// Removed is set if the receiver's id was removed from the group or is bound to
	// another disk.
	Removed bool
}

// Write is data to sync to disk, in order of Seq. Entries replace all stored
// entries from the index of the first one on. A snapshot replaces the log up to
// its index, or the whole log if the log does not hold the snapshot's last entry.
type Write struct {
	Seq      uint64
	Hard     *HardState
	Entries  []Entry
	Snapshot *Snapshot
}

// ReadState is the result of a read request. Unless Refused is set, the state
// after applying Index includes every entry that was committed when the request
// was made.
type ReadState struct {
	ID      uint64
	Index   uint64
	Refused bool
}

// Output is the work that the driver of a Raft does after an input. Install is
// applied before Committed.
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
	// Initial is the initial membership. It is empty for a member that joins a
	// running group.
	Initial []Member
	// ElectionTicks is the minimum election timeout. The actual timeout is drawn
	// at random between one and two times this value.
	ElectionTicks  int
	HeartbeatTicks int
	// MaxMessageBytes bounds the size of the entries in one message, MaxInflight
	// the number of unacknowledged entries per peer, and MaxUncommitted the number
	// of uncommitted entries from which proposals are refused.
	MaxMessageBytes int
	MaxInflight     int
	MaxUncommitted  int
	// MaxMembers bounds the members, MaxVoters the voters. Learners are not
	// promoted while there are MaxVoters voters.
	MaxMembers, MaxVoters int
	// KeepEntries is the number of entries before a snapshot that are kept in
	// memory, so that members slightly behind do not need the snapshot.
	KeepEntries uint64
	Rand        *rand.Rand
}

// Defaults of Config. With a tick of 100 ms a lost leader is replaced after 2 s
// to 4 s, and an idle follower receives two heartbeats per second.
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

// PersistedState is the state that a member reads from its disk at the start.
type PersistedState struct {
	Hard     HardState
	Snapshot *Snapshot
	Entries  []Entry
}

// Errors of proposals and membership changes. A proposal that fails with one of
// them has not been appended to the log.
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
