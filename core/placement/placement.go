// Package placement chooses the backend server for a request at an entry. It
// is a state machine without goroutines, clock or I/O, fed with membership,
// lagging load hints and the outcomes of the entry's own requests.
package placement

import (
	"cmp"
	"math/rand"
	"time"

	"arbutusmast.example/arbutusmast/core/failuredomain"
	"arbutusmast.example/arbutusmast/core/message"
)

// Server is one backend server that may be chosen.
type Server struct {
	Name string
	// Distance says how far the server is from this entry.
	Distance failuredomain.Distance
	// Blocks is the declared memory, assumed until a hint tells better.
	Blocks int
	// Incarnation tells one life of the server's agent from the next. What was known of
	// an earlier one does not count.
	Incarnation uint64
	Leaving     bool
}

// Config declares the weights of the choice. Zero fields get defaults.
type Config struct {
	// Entry names this entry; it selects the entry's subset.
	Entry string
	// SubsetSize bounds the servers this entry works with.
	SubsetSize int
	// Choices is the number of servers compared for one request.
	Choices int
	// SpillScore is the score up to which the own failure domain, and then the
	// own region, is kept.
	SpillScore float64
	// AffinityMargin is how much worse a server that has the prefix may score.
	AffinityMargin float64
	// DelayUnit is the queue delay that weighs as much as a full memory.
	DelayUnit time.Duration
	// HintLife is the age from which a hint does not count. Hints come with the
	// replies of a server, so one that was full when it was last asked would
	// otherwise never be asked again.
	HintLife time.Duration
	// SlowStart is the time over which a new server reaches its full share.
	SlowStart time.Duration
	// EjectAfter is the number of failures in a row that ejects a server for
	// EjectTime, doubling up to MaxEjectTime. At most MaxEjected of the subset
	// is ejected at a time.
	EjectAfter              int
	EjectTime, MaxEjectTime time.Duration
	MaxEjected              float64
	// SlowFactor is the ratio to the median first-token time from which a
	// server counts as slow.
	SlowFactor float64
}

// Defaults of Config. docs/policy.md tells how they were found.
const (
	defaultSubsetSize     = 32
	defaultChoices        = 4
	defaultSpillScore     = 0.6
	defaultAffinityMargin = 0.05
	defaultDelayUnit      = 2 * time.Second
	defaultHintLife       = 10 * time.Second
	defaultSlowStart      = 10 * time.Second
	defaultEjectAfter     = 3
	defaultEjectTime      = 2 * time.Second
	defaultMaxEjectTime   = 30 * time.Second
	defaultMaxEjected     = 0.5
	defaultSlowFactor     = 2.5
	defaultBlocks         = 4096
)

func (c Config) withDefaults() Config {
	c.SubsetSize = cmp.Or(c.SubsetSize, defaultSubsetSize)
	c.Choices = cmp.Or(c.Choices, defaultChoices)
	c.SpillScore = cmp.Or(c.SpillScore, defaultSpillScore)
	c.AffinityMargin = cmp.Or(c.AffinityMargin, defaultAffinityMargin)
	c.DelayUnit = cmp.Or(c.DelayUnit, defaultDelayUnit)
	c.HintLife = cmp.Or(c.HintLife, defaultHintLife)
	c.SlowStart = cmp.Or(c.SlowStart, defaultSlowStart)
	c.EjectAfter = cmp.Or(c.EjectAfter, defaultEjectAfter)
	c.EjectTime = cmp.Or(c.EjectTime, defaultEjectTime)
	c.MaxEjectTime = cmp.Or(c.MaxEjectTime, defaultMaxEjectTime)
	c.MaxEjected = cmp.Or(c.MaxEjected, defaultMaxEjected)
	c.SlowFactor = cmp.Or(c.SlowFactor, defaultSlowFactor)
	return c
}

// Query describes the request to place.
type Query struct {
	PrefixKey string
	// Priority is the request's; a server that refused a less urgent request may
	// still take a more urgent one.
	Priority int
	// Blocks is the memory the request is expected to need.
	Blocks int
	// Exclude lists the servers already tried.
	Exclude []string
}

// Result is what became of a placed request.
type Result uint8

// Results of a placed request. Accepted answers a start; the others end it. A
// failure is an error of the server, a cancellation says nothing about it.
const (
	Accepted Result = iota + 1
	Refused
	Failed
	Completed
	Canceled
)

// Outcome reports a result for a request that Choose placed.
type Outcome struct {
	Server string
	Result Result
	// Blocks and Priority are the values of the Query.
	Blocks   int
	Priority int
	// FirstToken is the time to the first token of a Completed request that
	// did not wait in a queue; zero means unknown.
	FirstToken time.Duration
	// RetryAfter is what a Refused request was told.
	RetryAfter time.Duration
}

// server is the state of one member of the subset.
type server struct {
	Server
	hash    uint64
	hint    message.LoadHint
	known   bool
	hintAt  time.Duration
	joined  time.Duration
	pending pending
	health  health
}

// Machine is the placement state of one entry for one service or model. It is
// not safe for concurrent use.
type Machine struct {
	cfg     Config
	rng     *rand.Rand
	servers map[string]*server
	subset  []*server
	// tiers are the members of the subset up to each distance.
	tiers   [failuredomain.OtherRegion + 1][]*server
	ejected int
	median  medianTracker
	seen    bool
}

// New returns a Machine without servers.
func New(cfg Config, rng *rand.Rand) *Machine {
	return &Machine{cfg: cfg.withDefaults(), rng: rng, servers: map[string]*server{}}
}

// Hint takes a load hint that was measured age ago. Hints that piggyback on a
// reply have an age of about zero.
func (m *Machine) Hint(now time.Duration, h message.LoadHint, age time.Duration) {
	s := m.servers[h.BackendServer]
	if s == nil || s.known && now-age < s.hintAt {
		return
	}
	s.hint, s.known, s.hintAt = h, true, now-age
	s.pending.forget(now - age)
}

// Choose returns the backend server for a request, or false when no server of
// the subset may take it now. It counts the request as in flight until its
// outcome is reported.
func (m *Machine) Choose(now time.Duration, q Query) (string, bool) {
	var best *server
	var score float64
	for d, tier := range m.tiers {
		if d > 0 && len(tier) == len(m.tiers[d-1]) {
			continue
		}
		if s, least := m.sample(now, tier, q); s != nil && (best == nil || least < score) {
			best, score = s, least
		}
		if best != nil && score <= m.cfg.SpillScore {
			break
		}
	}
	if best == nil {
		best, score = m.scan(now, q)
	}
	if best == nil {
		return "", false
	}
	if s := m.preferred(q.PrefixKey); s != nil && s != best && m.usable(now, s, q) &&
		m.score(now, s, q) <= score+m.cfg.AffinityMargin {
		best = s
	}
	best.pending.add(now, max(1, q.Blocks))
	best.health.chosen(now)
	return best.Name, true
}

// sample compares a few random servers of a list.
func (m *Machine) sample(now time.Duration, list []*server, q Query) (*server, float64) {
	var best *server
	least := 0.0
	few := len(list) <= m.cfg.Choices
	start := 0
	if few && len(list) > 0 {
		// Drawn with replacement, few servers would often miss the best one. A
		// random start spreads requests over equal ones.
		start = m.rng.Intn(len(list))
	}
	for i := 0; i < m.cfg.Choices && len(list) > 0 && !(few && i >= len(list)); i++ {
		s := list[(start+i)%len(list)]
		if !few {
			s = list[m.rng.Intn(len(list))]
		}
		if s == best || !m.usable(now, s, q) {
			continue
		}
		if score := m.score(now, s, q); best == nil || score < least {
			best, least = s, score
		}
	}
	return best, least
}

// scan compares the whole subset. It is needed when the sample hit only servers
// that are ejected, leaving or excluded.
func (m *Machine) scan(now time.Duration, q Query) (*server, float64) {
	var best *server
	least := 0.0
	for _, s := range m.subset {
		if !m.usable(now, s, q) {
			continue
		}
		if score := m.score(now, s, q); best == nil || score < least {
			best, least = s, score
		}
	}
	return best, least
}

func (m *Machine) usable(now time.Duration, s *server, q Query) bool {
	if s.Leaving || s.hint.Leaving && m.current(now, s) || !s.health.usable(now, q.Priority) {
		return false
	}
	for _, name := range q.Exclude {
		if name == s.Name {
			return false
		}
	}
	return true
}

// current tells whether the hint of a server still counts.
func (m *Machine) current(now time.Duration, s *server) bool {
	return s.known && now-s.hintAt <= m.cfg.HintLife
}

// score is the expected load of a server with this request: the used part of
// its memory, with the own requests that the hint does not contain yet, plus
// its queue delay. A slow or new server scores worse.
func (m *Machine) score(now time.Duration, s *server, q Query) float64 {
	total := float64(s.hint.TotalBlocks)
	free := float64(s.hint.FreeBlocks)
	delay := s.hint.QueueDelay
	if total <= 0 || !m.current(now, s) {
		s.pending.forget(now - m.cfg.HintLife)
		total = float64(max(s.Blocks, 1))
		free, delay = total, 0
	}
	used := total - free + float64(s.pending.blocks+max(1, q.Blocks))
	score := used/total + float64(delay)/float64(m.cfg.DelayUnit)
	score *= s.health.slowness
	if age := now - s.joined; age < m.cfg.SlowStart {
		score += 1 - float64(age)/float64(m.cfg.SlowStart)
	}
	return score
}
