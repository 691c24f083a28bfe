package serverlimit

import "time"

const (
	// PermitLifetime is how long a permit is valid after it was asked for. It bounds
	// what a lost entry takes with it.
	PermitLifetime = 500 * time.Millisecond
	// MinPerSecond is the rate of requests that a server gets even if its limit is
	// lower. Their responses show when it names no limit any more.
	MinPerSecond = 0.5
	// maxPerSecond bounds the limits that servers name.
	maxPerSecond = 1e6
	// askWindow is how long an entry counts as one that asks for permits.
	askWindow = 2 * time.Second
	// maxRetryIn and minRetryIn bound the time until an entry asks again.
	maxRetryIn = time.Second
	minRetryIn = 20 * time.Millisecond
	// endedRetention is how long the end of a limit is remembered, so that all
	// entries learn of it.
	endedRetention = 30 * time.Second
)

// Request asks for permits for one backend server. Each permit allows one request
// to be sent to it.
type Request struct {
	Entry, Server string
	// Known is what the entry knows about the limit, as of when it asks, nil if it
	// knows nothing.
	Known *Age
	// Want is the number of permits, 0 if the entry only reports what it knows.
	Want int
	// Urgent is set for a request that continues a generation.
	Urgent bool
	// ColdPerSecond is set for a permit that the server needs because it is cold, and not because
	// of a limit that it names: the rate that the entry knows. Known is nil then, so that members
	// of earlier versions grant nothing instead of learning a limit.
	ColdPerSecond float64
}

// Reply answers a Request.
type Reply struct {
	// Known is the newest observation, nil if there is none. Without a limit, no
	// permits are needed.
	Known   *Age
	Permits int
	// RetryIn is when to ask again if no permit was granted. SlotIn is when a caller
	// that is refused may expect a permit, if the asking entries take turns.
	RetryIn, SlotIn time.Duration
	// Askers is the number of entries that ask for permits.
	Askers int
	// Lifetime is how long counted permits are valid after they were asked for, 0 for permits
	// that are not counted, which are valid for PermitLifetime.
	Lifetime time.Duration
}

// Allocator grants permits at the rates that backend servers name, in one place for
// all entries. It is not safe for concurrent use.
type Allocator struct {
	bound Bound
	// grantsFrom is when the permits of the previous allocator have ended.
	grantsFrom time.Duration
	servers    map[string]*allocation
}

// allocation is the token bucket of one backend server.
type allocation struct {
	known      Observation
	terms      terms
	tokens     float64
	refilledAt time.Duration
	askers     map[string]asker
	// grants are the permits granted in the last span, oldest first, if they are counted, and
	// askedAt is when some were last asked for.
	grants  []grant
	askedAt time.Duration
}

// asker is an entry that asked for permits.
type asker struct {
	at time.Duration
	// deniedSince is when it was first denied a permit since its last one, 0 if it
	// was not.
	deniedSince time.Duration
}

// NewAllocator returns an Allocator for the limits that servers name, which grants no permits
// before grantsFrom.
func NewAllocator(grantsFrom time.Duration) *Allocator {
	return NewBoundedAllocator(Bound{}, grantsFrom)
}

// NewBoundedAllocator returns an Allocator that keeps a bound and grants no permits before
// grantsFrom.
func NewBoundedAllocator(b Bound, grantsFrom time.Duration) *Allocator {
	return &Allocator{bound: b, grantsFrom: grantsFrom, servers: map[string]*allocation{}}
}

// Observe merges an observation of a server and reports whether the known limit
// changed.
func (a *Allocator) Observe(now time.Duration, server string, o Observation) bool {
	s := a.servers[server]
	if s == nil {
		if !o.Limited {
			return false
		}
		s = &allocation{known: o, terms: a.bound.terms(o.PerSecond), refilledAt: now, askers: map[string]asker{}, askedAt: now}
		if s.terms.counted {
			// Entries ask before they send the first request.
			s.tokens = 1
		}
		a.servers[server] = s
		return true
	}
	s.refill(now)
	merged, changed := s.known.Merge(o)
	s.known = merged
	if changed {
		s.terms = a.bound.terms(merged.PerSecond)
	}
	s.tokens = min(s.tokens, s.burst())
	return changed
}

// burst returns the number of permits that are kept for entries that ask later. An
// entry asks only when it has a request, so without them permits would be lost.
func (s *allocation) burst() float64 {
	limit := min(s.known.PerSecond, maxPerSecond)
	return min(2+limit, 3) + limit/4
}

// debt returns the number of permits that urgent requests get in advance.
func (s *allocation) debt() float64 { return min(2, s.known.PerSecond) }

func (s *allocation) refill(now time.Duration) {
	s.tokens = min(s.burst(), s.tokens+s.terms.perSecond*(now-s.refilledAt).Seconds())
	s.refilledAt = now
}

// Acquire merges what an entry knows and grants the permits that it asks for, as far
// as the limit allows. It reports whether the known limit changed.
func (a *Allocator) Acquire(now time.Duration, r Request) (reply Reply, changed bool) {
	if r.Known != nil {
		changed = a.Observe(now, r.Server, r.Known.At(now))
	}
	s := a.servers[r.Server]
	if s == nil {
		return reply, changed
	}
	known := s.known.Age(now)
	reply.Known = &known
	if !s.known.Limited || r.Want == 0 {
		return reply, changed
	}
	s.refill(now)
	for entry, other := range s.askers {
		if now-other.at > askWindow {
			delete(s.askers, entry)
		}
	}
	s.askedAt = now
	self := s.askers[r.Entry]
	self.at = now
	reply.Askers = len(s.askers)
	if _, counted := s.askers[r.Entry]; !counted {
		reply.Askers++
	}
	free, freeIn := s.free(now, a.grantsFrom)
	if now >= a.grantsFrom {
		reply.Permits = s.grant(now, r, reply.Askers, free)
	}
	if s.terms.counted {
		reply.Lifetime = s.terms.lifetime
	}
	if reply.Permits > 0 {
		self.deniedSince = 0
		s.askers[r.Entry] = self
		return reply, changed
	}
	if self.deniedSince == 0 {
		self.deniedSince = now
	}
	s.askers[r.Entry] = self
	wait := max(time.Duration((1-s.tokens)/s.terms.perSecond*float64(time.Second)), a.grantsFrom-now, freeIn)
	reply.SlotIn = wait + time.Duration(float64(s.waitingBefore(r.Entry))/s.terms.perSecond*float64(time.Second))
	reply.RetryIn = min(max(reply.SlotIn, s.batchIn(r, reply.Askers), minRetryIn), maxRetryIn)
	if s.terms.tight {
		reply.RetryIn = min(max(wait, minRetryIn), maxRetryIn)
	}
	return reply, changed
}

// grant takes permits for a request from the bucket, of which free may be granted. An entry
// gets several at once only from a high limit, so that most of them are used before they end.
func (s *allocation) grant(now time.Duration, r Request, askers, free int) int {
	n := min(r.Want, s.share(askers), max(0, int(s.tokens)), free)
	if n == 0 && r.Urgent && s.tokens >= 1-s.debt() && free > 0 {
		n = 1
	}
	s.tokens -= float64(n)
	if s.terms.counted && n > 0 {
		s.grants = append(s.grants, grant{now, n})
	}
	return n
}

// share returns how many permits an entry gets at once at most.
func (s *allocation) share(askers int) int {
	return max(1, int(s.terms.perSecond*s.terms.lifetime.Seconds())/askers)
}

// batchIn returns when the bucket holds about as many permits as an entry wants, so that it
// does not ask for each of them. A part of the bucket remains free meanwhile.
func (s *allocation) batchIn(r Request, askers int) time.Duration {
	if !s.terms.counted {
		return 0
	}
	batch := min(float64(min(r.Want, s.share(askers))), s.burst()/2)
	return time.Duration((batch - s.tokens) / s.terms.perSecond * float64(time.Second))
}

// waitingBefore returns the number of entries that have been denied a permit for
// longer than this one.
func (s *allocation) waitingBefore(entry string) int {
	self, n := s.askers[entry].deniedSince, 0
	for name, other := range s.askers {
		if name != entry && other.deniedSince != 0 &&
			(other.deniedSince < self || other.deniedSince == self && name < entry) {
			n++
		}
	}
	return n
}

// Retain forgets the servers that are not listed, and limits that ended long ago. Servers
// whose permits are counted are kept until none were asked for a while, because the list may
// name them again.
func (a *Allocator) Retain(now time.Duration, listed func(server string) bool) {
	for name, s := range a.servers {
		if s.terms.counted {
			if now-s.askedAt > endedRetention {
				delete(a.servers, name)
			}
			continue
		}
		if !listed(name) || !s.known.Limited && now-s.known.ReceivedAt > endedRetention {
			delete(a.servers, name)
		}
	}
}

// Known returns the newest observation of each server that has or lately had a
// limit.
func (a *Allocator) Known() map[string]Observation {
	known := make(map[string]Observation, len(a.servers))
	for name, s := range a.servers {
		known[name] = s.known
	}
	return known
}
