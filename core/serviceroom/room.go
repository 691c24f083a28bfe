// Package serviceroom decides for a service as a whole which long generations run, which wait and
// which are refused. The control leader holds a Ledger for each service, each entry an Account.
// Entries hold leases on the memory of the service's engines and renew them in batches. The
// package uses no goroutines, clock, I/O or random source: callers pass the time, as in the
// driving packages a duration that never decreases. The values are not safe for concurrent use.
package serviceroom

import (
	"hash/fnv"
	"time"
)

const (
	// LeaseLifetime is how long a lease is valid after its renewal was sent (for the entry) or
	// arrived (for the leader, which is later). A new leader grants nothing for this long.
	LeaseLifetime = time.Second
	// Notice is the time that a leaving engine gives. A generation that is expected to run for
	// longer has to move and counts as long.
	Notice = 1500 * time.Millisecond
	// renewSpacing keeps an entry at ten calls a second for a service at most.
	renewSpacing = 100 * time.Millisecond
	// renewInterval is the time between renewals if nothing waits and nobody waits for room that
	// has become free. Three of them may fail before the lease ends.
	renewInterval = 250 * time.Millisecond
	// maxWaitingPerCaller bounds the generations of one caller that wait for room, at all entries
	// together, and maxWaitingAtEntry those at one entry. At 1.7 times the load of docs/design/service-room.md about
	// 13 generations a second exceed the capacity, so about 52 wait for up to 4 s. An entry that is
	// cut off admits all that waits there, so its bound is what a caller with half of the room
	// could use from one entry in that time.
	maxWaitingPerCaller = 128
	maxWaitingAtEntry   = 16
	// maxEntryWaiting bounds the generations of all callers that wait at one entry.
	maxEntryWaiting = 512
	// minRetryAfter and maxRetryAfter bound the time after which refused callers are told to
	// return, before jitter.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// Long reports whether a generation that is expected to run for this long has to be passed to
// Account.Arrive. Others are counted with Account.Short; they never wait and are never refused.
func Long(expected time.Duration) bool { return expected > Notice }

// Demand is one waiting generation.
type Demand struct {
	// ID is unique at its entry while the entry runs. Digest identifies the request: it is the
	// same when the request comes back after a refusal, also at another entry.
	ID     uint64
	Caller string
	Digest uint64
	// Need is the memory in tokens that the generation is expected to hold on average over its
	// life: its prompt and half of its output.
	Need int
	// Priority is that of the route; 0 is the most urgent.
	Priority int
	// Age is the time since the arrival at this entry, Patience how much longer the generation can
	// wait and still get its first event within its route's objective.
	Age, Patience time.Duration
}

// Renewal is what an entry reports about a service, and asks a grant for.
type Renewal struct {
	Entry string
	// Seq orders the renewals of an entry: the ledger ignores one that is not newer than the last.
	// 0 is accepted always.
	Seq uint64
	// Running is the need of the long generations that run, by caller, and Generations their
	// number. Ended is the need of all that have ended since the account was made.
	Running     map[string]int
	Generations int
	Ended       int
	// Short is the memory that the entry's short generations need now.
	Short int
	// Waiting are all generations that wait at the entry, oldest first.
	Waiting []Demand
	// Lease is the lease that the entry holds when it sends the renewal, at least what runs.
	Lease int
	// Stopping is set if the entry accepts no new generations, so that it gets no lease for them.
	Stopping bool
}

// Reason tells why a generation was refused.
type Reason uint8

// Reasons of refusals.
const (
	// NotRefused is the reason of an admitted generation.
	NotRefused Reason = iota
	// TooLarge means that the generation needs more than all usable engines have.
	TooLarge
	// NoRoomInTime means that room is not expected before the generation's patience ends.
	NoRoomInTime
	// WaitedTooLong means that its patience ended while it waited.
	WaitedTooLong
	// TooManyWaiting means that as many generations of its caller wait as may.
	TooManyWaiting
)

// String returns the reason as logs and metrics name it.
func (r Reason) String() string {
	switch r {
	case NotRefused:
		return "none"
	case TooLarge:
		return "larger_than_service"
	case NoRoomInTime:
		return "no_room_in_time"
	case WaitedTooLong:
		return "waited_too_long"
	case TooManyWaiting:
		return "too_many_waiting"
	}
	return "unknown"
}

// Decision is what was decided about a waiting generation.
type Decision struct {
	Admit bool
	// RetryAfter is set if the generation was refused. It is jittered already. A caller that
	// returns earlier loses its turn, so the header has to be rounded up.
	RetryAfter time.Duration
	// Reason, Room and Share are for logs: why the generation was refused, the room that was free
	// before the decision (negative if more is leased than may be) and the need of its caller's
	// running generations. Room and Share are 0 for decisions that an entry makes by itself.
	Reason      Reason
	Room, Share int
}

// Grant answers a Renewal.
type Grant struct {
	// Lease is the entry's lease after the renewal. It is valid for Valid after the renewal was
	// sent. A grant with Valid 0 answers a renewal that was not accepted.
	Lease int
	Valid time.Duration
	// Decisions are those about the renewal's waiting generations that were decided, by ID.
	Decisions map[uint64]Decision
	// Tight is whether the service is still tight.
	Tight bool
	// FreeIn is when an average generation may expect room, 0 if there is room now and nobody
	// waits. While it is not 0, an entry admits only what the leader decides.
	FreeIn time.Duration
}

// Capacity is what the leader knows of the engines of a service.
type Capacity struct {
	// Engines is the number of usable engines (not leaving, evacuated or failing) and Total their
	// memory in tokens.
	Engines, Total int
	// Leaving is the memory in use on engines that are leaving now, which has to move.
	Leaving int
	// Fullest is the memory in use on the usable engine that holds most.
	Fullest int
	// Used is the memory in use on all usable engines. It decides when a service becomes tight,
	// because entries report nothing before; grants follow from leases.
	Used int
}

// spread returns a value in [0, 1) that follows from a request, so that refused callers do not
// return together.
func spread(entry string, id, digest uint64) float64 {
	h := fnv.New64a()
	h.Write([]byte(entry))
	for _, v := range [2]uint64{id, digest} {
		var b [8]byte
		for i := range b {
			b[i] = byte(v >> (8 * i))
		}
		h.Write(b[:])
	}
	// The low bits of the hash depend on all of its input, the high ones hardly on the last bytes.
	return float64(h.Sum64()%100_000) / 100_000
}

// retryAfter returns a jittered Retry-After for room that is expected after a time. Jitter only
// adds, a quarter of the time and half a second at most.
func retryAfter(room time.Duration, jitter float64) time.Duration {
	room = min(max(room, minRetryAfter), maxRetryAfter)
	return room + time.Duration(jitter*float64(room/4+500*time.Millisecond))
}
