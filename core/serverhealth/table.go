// Package serverhealth decides which backend servers of a service fail, from the outcomes
// of requests. One entry keeps a Table of what it saw itself; the control leader keeps one
// of what all entries saw, because at a large deployment one entry meets one server too
// rarely to judge it. It does no I/O.
//
// The decision is a sequential probability ratio test. Each outcome adds to a server's
// score the logarithm of how much more likely it is at a failing server than at a sound
// one. How often sound servers fail is estimated for each route from the other servers, so
// that requests that fail everywhere are no evidence against the server that got them, and
// a service whose servers all fail has no failing ones.
package serverhealth

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// failingRate is the share of requests that fail at a server which has to be found.
	failingRate = 0.5
	// FailingScore is the score, in nats, from which a server counts as failing: it is
	// then 100 times as likely as not. SuspectScore is reached by a single failure on a
	// route that rarely fails.
	FailingScore, SuspectScore = 4.6, 2.3
	// maxProbeRate is the share of requests failing at sound servers above which a failed
	// probe says nothing.
	maxProbeRate = 0.2
	// scoreHalfLife is the time in which the score of a server without outcomes halves.
	scoreHalfLife = 10 * time.Second
	// probeTimeout is the time after which another probe is allowed if one has no outcome.
	probeTimeout = 5 * time.Second
	// suspectProbeDelay is the time without outcomes after which a suspected server gets a
	// probe. Mostly, requests in flight decide sooner: without the delay, 6 % more requests
	// failed in 2,000 runs of the simulation of TestHangingServersAreFoundSoon in package fleet.
	suspectProbeDelay = 300 * time.Millisecond
	// suspectProbeTimeout is probeTimeout for suspected servers. It is shorter, because the
	// suspicion of a single failure ends after 4.8 s.
	suspectProbeTimeout = time.Second
	// nextProbeDelay is the delay before the probe after a successful one.
	nextProbeDelay = 100 * time.Millisecond
	// hastenedProbes is the number of servers that are probed at once after one returned.
	hastenedProbes = 4
	// maxFailures bounds the remembered failures, which show that a request fails at
	// several servers.
	maxFailures = 512
	// maxServersOfRequest is the number of servers at which a request fails before it is
	// itself the likely cause.
	maxServersOfRequest = 3
	// failureMemory is how long a failure is remembered.
	failureMemory = time.Minute
)

// Config holds the parameters of a Table.
type Config struct {
	// ProbeInterval is the delay between the verdict and the first probe. It doubles with
	// each failed probe up to MaxProbeInterval.
	ProbeInterval, MaxProbeInterval time.Duration
	// RequestsPerProbe is the number of requests to the service for each probe of any server,
	// which bounds the share of requests that probes lose. MaxProbeGap is the time after
	// which a service with few requests gets a probe all the same. Zero means no bound.
	RequestsPerProbe int
	MaxProbeGap      time.Duration
	// ProbeSuccesses is the number of successive probes that must succeed before a server
	// counts as sound again.
	ProbeSuccesses int
	// ProbeSuspected allows probes of suspected servers, one at a time, whose outcomes count
	// like those of other requests.
	ProbeSuspected bool
	// MaxFailing is the largest share of the servers that may count as failing at a time.
	// The fault of more is likely elsewhere.
	MaxFailing float64
}

// Sample is the outcome of a request at a server.
type Sample struct {
	Server string
	Route  string
	Failed bool
	// Probe is set for the outcome of a probe. Other outcomes of a failing server do not
	// count, because their requests were sent before the verdict, as were probes that were
	// granted while the server was suspected.
	Probe bool
	// Request is a hash of the request, 0 if unknown. However often a request is repeated, it
	// counts once for each server.
	Request uint64
}

// State is what a Table knows of a server.
type State uint8

// States of a server. A suspected server gets probes, if the Config allows them, and other
// requests only if other servers have no room. A failing one gets only probes.
const (
	Sound State = iota
	Suspected
	Failing
)

// String returns the name used in logs.
func (s State) String() string { return [...]string{"sound", "suspected", "failing"}[s] }

// Status describes a server.
type Status struct {
	Server string
	State  State
	// Score is the logarithm of the likelihood ratio, in nats.
	Score float64
	// Failed of Samples outcomes were failures since the server was last sound.
	Failed, Samples int
	// ProbeDue is set if a failing or suspected server may get a probe now.
	ProbeDue bool
}

// server is the state of one server.
type server struct {
	score     float64
	updatedAt time.Duration
	failing   bool
	// failed and samples count outcomes since the server was last sound.
	failed, samples int

	nextProbe, probeInterval time.Duration
	probing                  bool
	probeStartedAt           time.Duration
	probeSuccesses           int
	// probedBefore is set while the last probe of a failing server is one that was granted
	// before the verdict.
	probedBefore bool
	// unpaced is set after another server returned: servers that failed together often
	// return together.
	unpaced bool
}

// failure is a remembered failure of a request, with the servers at which it failed and what
// it added to their scores.
type failure struct {
	servers []string
	weights []float64
	at      time.Duration
}

// Table judges the servers of one service. It is not safe for concurrent use.
type Table struct {
	cfg      Config
	servers  map[string]*server
	routes   routeRates
	failures map[uint64]*failure
	// listed is the number of servers of the service.
	listed, failing int
	// requests counts requests to the service, probeRequests those before the last probe.
	requests, probeRequests int
	lastProbeAt             time.Duration
}

// NewTable returns a Table without servers.
func NewTable(cfg Config) *Table {
	return &Table{cfg: cfg, servers: map[string]*server{}, routes: newRouteRates(), failures: map[uint64]*failure{}}
}

// SetServers sets the number of servers of the service and forgets those that are not
// listed. A server that was replaced has another name and thus starts sound.
func (t *Table) SetServers(count int, listed func(server string) bool) {
	t.listed = count
	t.routes.retain(listed)
	for name, s := range t.servers {
		if !listed(name) {
			t.forget(name, s)
		}
	}
}

// Forget makes a server sound without history.
func (t *Table) Forget(name string) {
	if s := t.servers[name]; s != nil {
		t.forget(name, s)
	}
}

func (t *Table) forget(name string, s *server) {
	if s.failing {
		t.failing--
	}
	delete(t.servers, name)
}

// ObserveSound counts n requests of a route that succeeded at a server. It reports whether
// the state of the server changed.
func (t *Table) ObserveSound(now time.Duration, name, route string, n int) (changed bool) {
	t.advance(now)
	t.requests += n
	if s := t.servers[name]; s != nil && !s.failing {
		before := s.state(now)
		weight := math.Log((1 - failingRate) / (1 - t.routes.soundRate(route, name)))
		s.add(now, float64(n)*weight)
		s.samples += n
		if s.score == 0 {
			s.failed, s.samples = 0, 0
		}
		changed = s.state(now) != before
	}
	t.routes.count(route, name, 0, float64(n))
	return changed
}

// Observe counts the outcome of a request and reports whether the state of the server
// changed.
func (t *Table) Observe(now time.Duration, sample Sample) (changed bool) {
	if !sample.Failed && !sample.Probe {
		return t.ObserveSound(now, sample.Server, sample.Route, 1)
	}
	if s := t.servers[sample.Server]; s != nil && !s.failing && s.probing && sample.Probe {
		s.probing = false
		if !sample.Failed {
			return t.ObserveSound(now, sample.Server, sample.Route, 1)
		}
	}
	t.advance(now)
	t.requests++
	s := t.servers[sample.Server]
	if s == nil {
		s = &server{updatedAt: now}
		t.servers[sample.Server] = s
	}
	before := s.state(now)
	rate := t.routes.soundRate(sample.Route, sample.Server)
	switch {
	case s.failing && sample.Probe && !s.probedBefore:
		t.observeProbe(now, s, sample.Failed, rate)
	case !s.failing && sample.Failed:
		t.observeFailure(now, s, sample, rate)
	}
	failed := 0.0
	if sample.Failed {
		failed = 1
	}
	t.routes.count(sample.Route, sample.Server, failed, 1)
	return s.state(now) != before
}

// observeFailure counts a failure of a server that does not count as failing.
func (t *Table) observeFailure(now time.Duration, s *server, sample Sample, rate float64) {
	weight := math.Log(failingRate / rate)
	if sample.Request != 0 && t.requestsFault(now, sample, weight) {
		return
	}
	s.failed++
	s.samples++
	if s.add(now, weight); s.score >= FailingScore {
		t.markFailing(now, s)
	}
}

// add adds a weight to the score.
func (s *server) add(now time.Duration, weight float64) {
	s.score, s.updatedAt = max(0, s.decayed(now)+weight), now
}

// markFailing makes a server count as failing, unless too many do already.
func (t *Table) markFailing(now time.Duration, s *server) {
	s.score = FailingScore
	if !t.mayMarkFailing() {
		return
	}
	t.failing++
	s.probedBefore = s.probing
	s.failing, s.probing, s.probeSuccesses, s.unpaced = true, false, 0, false
	s.probeInterval = t.cfg.ProbeInterval
	s.nextProbe = now + s.probeInterval
}

// mayMarkFailing reports whether one more server may count as failing.
func (t *Table) mayMarkFailing() bool {
	return float64(t.failing+1) <= t.cfg.MaxFailing*float64(t.listed)
}

// requestsFault reports whether a failure says nothing about its server: the request failed
// there before, or at so many other servers that it is itself the likely cause. In the latter
// case it is also taken back as evidence against servers at which nothing else failed.
func (t *Table) requestsFault(now time.Duration, sample Sample, weight float64) bool {
	f, known := t.failures[sample.Request]
	if !known || now-f.at > failureMemory {
		t.makeRoom(now)
		t.failures[sample.Request] = &failure{[]string{sample.Server}, []float64{weight}, now}
		return false
	}
	if slices.Contains(f.servers, sample.Server) || len(f.servers) >= maxServersOfRequest {
		return true
	}
	f.servers, f.weights = append(f.servers, sample.Server), append(f.weights, weight)
	if len(f.servers) < maxServersOfRequest {
		return false
	}
	for i, name := range f.servers {
		if s := t.servers[name]; s != nil && !s.failing && s.failed == 1 {
			s.add(now, -f.weights[i])
		}
	}
	return true
}

// makeRoom forgets the oldest failure if there are too many.
func (t *Table) makeRoom(now time.Duration) {
	if len(t.failures) < maxFailures {
		return
	}
	oldest, at := uint64(0), now+1
	for request, f := range t.failures {
		if f.at < at {
			oldest, at = request, f.at
		}
	}
	delete(t.failures, oldest)
}

// advance forgets what is old.
func (t *Table) advance(now time.Duration) {
	if !t.routes.advance(now) {
		return
	}
	maps.DeleteFunc(t.servers, func(_ string, s *server) bool { return !s.failing && s.decayed(now) < forgottenScore })
	maps.DeleteFunc(t.failures, func(_ uint64, f *failure) bool { return now-f.at > failureMemory })
}

// forgottenScore is the score below which a server without recent outcomes is forgotten.
const forgottenScore = 0.1

// decayed returns the score at a time.
func (s *server) decayed(now time.Duration) float64 {
	return s.score * math.Exp2(-float64(max(0, now-s.updatedAt))/float64(scoreHalfLife))
}

func (s *server) state(now time.Duration) State {
	switch {
	case s.failing:
		return Failing
	case s.decayed(now) >= SuspectScore:
		return Suspected
	}
	return Sound
}

// State returns the state of a server.
func (t *Table) State(now time.Duration, name string) State {
	if s := t.servers[name]; s != nil {
		return s.state(now)
	}
	return Sound
}

// Status returns what is known of a server.
func (t *Table) Status(now time.Duration, name string) Status {
	s := t.servers[name]
	if s == nil {
		return Status{Server: name}
	}
	return Status{Server: name, State: s.state(now), Score: s.decayed(now), Failed: s.failed, Samples: s.samples,
		ProbeDue: t.probeDue(now, s)}
}

// Failing returns the number of failing servers.
func (t *Table) Failing() int { return t.failing }

// Export returns the servers that are not sound, worst first, at most limit of them.
func (t *Table) Export(now time.Duration, limit int) []Status {
	var list []Status
	for name, s := range t.servers {
		if s.state(now) != Sound {
			list = append(list, t.Status(now, name))
		}
	}
	slices.SortFunc(list, func(a, b Status) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.Server, b.Server))
	})
	return list[:min(limit, len(list))]
}

// Import takes over the statuses that another Table exported.
func (t *Table) Import(now time.Duration, list []Status) {
	for _, status := range list {
		t.Forget(status.Server)
		s := &server{score: status.Score, updatedAt: now, failed: status.Failed, samples: status.Samples}
		t.servers[status.Server] = s
		if status.State == Failing {
			t.failing++
			s.failing, s.probeInterval, s.nextProbe = true, t.cfg.ProbeInterval, now+t.cfg.ProbeInterval
		}
	}
}
