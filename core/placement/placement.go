// Package placement chooses the backend server for a request at an entry. It is a
// state machine without goroutines, clock or I/O. Its inputs are the list of
// servers, delayed load hints and the outcomes of the entry's own requests.
package placement

import (
	"cmp"
	"math/rand"
	"time"

	"arbutusmast.example/arbutusmast/core/failuredomain"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/serverhealth"
)

// Server is a backend server that may be chosen.
type Server struct {
	Name string
	// Distance is the distance from this entry to the server.
	Distance failuredomain.Distance
	// Blocks is the declared memory, used until a load hint reports the actual
	// size.
	Blocks int
	// Incarnation identifies the current run of the server's agent. State from an
	// earlier incarnation is discarded.
	Incarnation uint64
	Leaving     bool
	// Evacuated servers get no requests, like leaving ones. They take no places of the subset,
	// because a large failure domain may hold all of its servers.
	Evacuated bool
}

// Config holds the parameters of the placement policy. Zero fields get defaults.
type Config struct {
	// Entry is the name of this entry. It determines the entry's subset.
	Entry string
	// SubsetSize bounds the number of servers that this entry uses.
	SubsetSize int
	// Choices is the number of servers compared per request.
	Choices int
	// SpillScore is the highest score at which a request stays in the entry's own
	// failure domain and, beyond that, in its own region.
	SpillScore float64
	// AffinityMargin is how much higher the score of the server that caches the
	// prefix may be.
	AffinityMargin float64
	// DelayUnit is the queue delay that adds as much to the score as completely
	// used memory.
	DelayUnit time.Duration
	// MaxHintAge is the age above which a load hint is ignored. Hints arrive with
	// the replies of a server, so a server that was full at its last reply would
	// otherwise never get a request again.
	MaxHintAge time.Duration
	// SlowStart is the time over which a new server reaches its full share.
	SlowStart time.Duration
	// Health judges whether servers fail, from the outcomes of this entry's requests.
	Health serverhealth.Config
	// SlowFactor is the ratio to the median first-token time above which a server
	// counts as slow.
	SlowFactor float64
}

// DefaultSubsetSize is the default of Config.SubsetSize.
const DefaultSubsetSize = 32

// Defaults of Config, described in docs/policy.md.
const (
	defaultChoices        = 4
	defaultSpillScore     = 0.6
	defaultAffinityMargin = 0.05
	defaultDelayUnit      = 2 * time.Second
	defaultMaxHintAge     = 10 * time.Second
	defaultSlowStart      = 10 * time.Second
	defaultSlowFactor     = 2.5
	defaultBlocks         = 4096
)

// defaultHealth lets a single successful probe return a server, because one entry probes
// each server on its own.
var defaultHealth = serverhealth.Config{ProbeInterval: 2 * time.Second, MaxProbeInterval: 30 * time.Second,
	ProbeSuccesses: 1, MaxFailing: 0.5}

func (c Config) withDefaults() Config {
	c.SubsetSize = cmp.Or(c.SubsetSize, DefaultSubsetSize)
	c.Choices = cmp.Or(c.Choices, defaultChoices)
	c.SpillScore = cmp.Or(c.SpillScore, defaultSpillScore)
	c.AffinityMargin = cmp.Or(c.AffinityMargin, defaultAffinityMargin)
	c.DelayUnit = cmp.Or(c.DelayUnit, defaultDelayUnit)
	c.MaxHintAge = cmp.Or(c.MaxHintAge, defaultMaxHintAge)
	c.SlowStart = cmp.Or(c.SlowStart, defaultSlowStart)
	c.Health = cmp.Or(c.Health, defaultHealth)
	c.SlowFactor = cmp.Or(c.SlowFactor, defaultSlowFactor)
	return c
}

// Query describes a request to place.
type Query struct {
	PrefixKey string
	// Priority is the priority of the request. A server that has refused a less
	// urgent request may still accept a more urgent one.
	Priority int
	// Blocks is the expected memory use of the request.
	Blocks int
	// Exclude lists the servers that were already tried.
	Exclude []string
	// Probe is the failing or suspected server that this request may probe, empty for none.
	Probe string
	// IsolationKey is set for requests that may crash their server. Those with equal keys
	// go to the same server, whatever its load.
	IsolationKey string
}

// Result is the result of a placed request.
type Result uint8

// Results of a placed request. Accepted reports that the server has accepted the
// request, the other results end it. Failed is an error of the server, Canceled
// says nothing about it. NotSent means that the server never got the request.
const (
	Accepted Result = iota + 1
	Refused
	Failed
	Completed
	Canceled
	NotSent
)

// Outcome is the result of a request that Choose placed, with its details.
type Outcome struct {
	Server string
	Result Result
	// Blocks and Priority are the values from the Query.
	Blocks   int
	Priority int
	// FirstToken is the time to the first token of a Completed request that did not
	// wait in a queue. Zero means unknown.
	FirstToken time.Duration
	// RetryAfter is the retry delay that the server returned with Refused.
	RetryAfter time.Duration
	// Route is the kind of request, whose rate of failures at other servers is expected.
	Route string
	// Request is a hash of the request, 0 if unknown.
	Request uint64
	// SentAt is when the request was sent, 0 if unknown.
	SentAt time.Duration
}

// server is the state of one server of the subset.
type server struct {
	Server
	hash           uint64
	hint           message.LoadHint
	hasHint        bool
	hintMeasuredAt time.Duration
	joinedAt       time.Duration
	pending        pending
	health         health
}

// Balancer chooses the backend servers for the requests of one entry to one service
// or model. It is not safe for concurrent use.
type Balancer struct {
	cfg     Config
	rng     *rand.Rand
	servers map[string]*server
	subset  []*server
	// tiers[d] holds the servers of the subset at distance d or nearer.
	tiers [failuredomain.OtherRegion + 1][]*server
	// outcomes judges the servers by the outcomes of this entry's requests, standings holds
	// the judgement by those of all entries, of servers that are not sound.
	outcomes  *serverhealth.Table
	standings map[string]serverhealth.Status
	median    medianCache
	populated bool
}

// New returns a Balancer without servers.
func New(cfg Config, rng *rand.Rand) *Balancer {
	cfg = cfg.withDefaults()
	return &Balancer{cfg: cfg, rng: rng, servers: map[string]*server{}, outcomes: serverhealth.NewTable(cfg.Health)}
}

// Hint applies a load hint that was measured age ago. Hints that arrive with a
// reply have an age of about zero.
func (b *Balancer) Hint(now time.Duration, h message.LoadHint, age time.Duration) {
	s := b.servers[h.BackendServer]
	if s == nil || s.hasHint && now-age < s.hintMeasuredAt {
		return
	}
	s.hint, s.hasHint, s.hintMeasuredAt = h, true, now-age
	s.pending.dropUntil(now - age)
}

// Choose returns the backend server for a request, or false if no server of the
// subset can take it now. The memory of the request counts as used until a newer
// load hint includes it or its refusal or failure is reported.
func (b *Balancer) Choose(now time.Duration, q Query) (string, bool) {
	if s := b.servers[q.Probe]; s != nil && b.usable(now, s, q) {
		return b.place(now, s, q), true
	}
	if q.IsolationKey != "" {
		return b.chooseIsolated(now, q)
	}
	var best *server
	var score float64
	for distance, tier := range b.tiers {
		if distance > 0 && len(tier) == len(b.tiers[distance-1]) {
			continue
		}
		if s, sampled := b.sample(now, tier, q); s != nil && (best == nil || sampled < score) {
			best, score = s, sampled
		}
		if best != nil && score <= b.cfg.SpillScore {
			break
		}
	}
	if best == nil {
		best, score = b.scan(now, q)
	}
	if best == nil {
		return "", false
	}
	if s := b.preferred(q.PrefixKey); s != nil && s != best && b.usable(now, s, q) &&
		b.score(now, s, q) <= score+b.cfg.AffinityMargin {
		best = s
	}
	return b.place(now, best, q), true
}

// chooseIsolated returns the server for requests with an isolation key: the first usable
// one of a rendezvous hash ranking, which is the same for all entries.
func (b *Balancer) chooseIsolated(now time.Duration, q Query) (string, bool) {
	key := hash64(q.IsolationKey)
	var best *server
	for _, s := range b.subset {
		if b.usable(now, s, q) && (best == nil || mix(key^s.hash) > mix(key^best.hash)) {
			best = s
		}
	}
	if best == nil {
		return "", false
	}
	return b.place(now, best, q), true
}

// place records a request that was placed on the server and returns its name.
func (b *Balancer) place(now time.Duration, s *server, q Query) string {
	s.pending.add(now, max(1, q.Blocks))
	b.outcomes.StartProbe(now, s.Name)
	return s.Name
}

// sample returns the best of a few random servers.
func (b *Balancer) sample(now time.Duration, servers []*server, q Query) (*server, float64) {
	var best *server
	bestScore := 0.0
	compareAll := len(servers) <= b.cfg.Choices
	offset := 0
	if compareAll && len(servers) > 0 {
		// With few servers, draws with replacement would often miss the best one. A
		// random offset spreads requests over servers with equal scores.
		offset = b.rng.Intn(len(servers))
	}
	for i := 0; i < b.cfg.Choices && len(servers) > 0 && !(compareAll && i >= len(servers)); i++ {
		s := servers[(offset+i)%len(servers)]
		if !compareAll {
			s = servers[b.rng.Intn(len(servers))]
		}
		if s == best || !b.usable(now, s, q) {
			continue
		}
		if score := b.score(now, s, q); best == nil || score < bestScore {
			best, bestScore = s, score
		}
	}
	return best, bestScore
}

// scan returns the best server of the whole subset. It is needed if the sample
// contains only servers that are failing, backing off, leaving or excluded.
func (b *Balancer) scan(now time.Duration, q Query) (*server, float64) {
	var best *server
	bestScore := 0.0
	for _, s := range b.subset {
		if !b.usable(now, s, q) {
			continue
		}
		if score := b.score(now, s, q); best == nil || score < bestScore {
			best, bestScore = s, score
		}
	}
	return best, bestScore
}

func (b *Balancer) usable(now time.Duration, s *server, q Query) bool {
	if s.Leaving || s.hint.Leaving && b.hintFresh(now, s) || !s.health.usable(now, q.Priority) ||
		!b.maySend(now, s.Name, q) {
		return false
	}
	for _, name := range q.Exclude {
		if name == s.Name {
			return false
		}
	}
	return true
}

// hintFresh reports whether the load hint of a server is recent enough to use.
func (b *Balancer) hintFresh(now time.Duration, s *server) bool {
	return s.hasHint && now-s.hintMeasuredAt <= b.cfg.MaxHintAge
}

// score returns the expected load of a server with the request: the used fraction
// of its memory, including the requests of this entry that the load hint does not
// include yet, plus its weighted queue delay. A slow, suspected or new server, or one that
// refused or failed a request lately, has a higher score.
func (b *Balancer) score(now time.Duration, s *server, q Query) float64 {
	total := float64(s.hint.TotalBlocks)
	free := float64(s.hint.FreeBlocks)
	delay := s.hint.QueueDelay
	if total <= 0 || !b.hintFresh(now, s) {
		s.pending.dropUntil(now - b.cfg.MaxHintAge)
		total = float64(max(s.Blocks, 1))
		free, delay = total, 0
	}
	used := total - free + float64(s.pending.blocks+max(1, q.Blocks))
	score := used/total + float64(delay)/float64(b.cfg.DelayUnit)
	score = score*s.health.slowness + s.health.setbackPenalty(now, q.Priority)
	if b.State(now, s.Name) == serverhealth.Suspected {
		score += suspicionScore
	}
	if age := now - s.joinedAt; age < b.cfg.SlowStart {
		score += 1 - float64(age)/float64(b.cfg.SlowStart)
	}
	return score
}
