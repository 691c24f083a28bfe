package policy

import (
	"fmt"
	"math"
	"math/rand"
	"sort"
	"time"

	"arbutusmast.example/arbutusmast/core/message"
)

// Bounds of the service objectives, and the slack of deadlines. An answer is
// on time when it ends within the slack plus betweenTokenBound for each token.
const (
	firstTokenBound   = 1600 * time.Millisecond
	betweenTokenBound = 59 * time.Millisecond
	urgentSlack       = 5 * time.Second
	normalSlack       = 15 * time.Second
)

// urgentPriority is the priority of short urgent calls.
const urgentPriority = 10

// request is one request of the workload and what was measured of it.
type request struct {
	id       int
	name     message.RequestID
	arrival  time.Duration
	team     int
	entry    int
	class    message.RequestClass
	priority int
	plain    bool
	prompt   int
	// length is the number of tokens of the answer; only the engine and the
	// oracle read it.
	length, maxTokens int
	prefix            int
	prefixKey         string
	attempts          int

	seq *sequence
	// blocks is the memory its entry expected it to need.
	blocks int
	// server is where the request was delivered.
	server                     *backend
	last                       time.Duration
	first                      time.Duration
	stall                      time.Duration
	preemptions                int
	done, refused, interrupted bool
}

func (r *request) deadline() time.Duration {
	slack := normalSlack
	if r.priority >= urgentPriority {
		slack = urgentSlack
	}
	return r.arrival + slack + time.Duration(r.length)*betweenTokenBound
}

// lengths is a lognormal distribution, cut at max. A part of longShare comes
// from a second one around longMedian.
type lengths struct {
	median, sigma         float64
	max                   int
	longShare, longMedian float64
}

func (l lengths) draw(rng *rand.Rand) int {
	median := l.median
	if l.longShare > 0 && rng.Float64() < l.longShare {
		median = l.longMedian
	}
	n := int(median * math.Exp(l.sigma*rng.NormFloat64()))
	return min(max(n, 1), l.max)
}

// classSpec describes one class of requests. Share is its part of all
// requests to the generation service.
type classSpec struct {
	name           message.RequestClass
	share          float64
	priority       int
	prompt, output lengths
	// maxTokens is the limit that callers state.
	maxTokens int
}

// siteSpec describes one user's fleet and traffic.
type siteSpec struct {
	name               string
	replicas, plain    int
	domains, entries   int
	classes            []classSpec
	plainLength        lengths
	teams              []float64
	rushFactor         float64
	rushFrom, rushTill float64
}

// teamShares gives each team's part of the requests: three large teams.
var teamShares = []float64{0.24, 0.2, 0.16, 0.07, 0.07, 0.06, 0.06, 0.05, 0.05, 0.04}

// sites returns the two users' fleets as in section 1 of docs/design.md.
func sites() []siteSpec {
	return []siteSpec{
		{
			name: "lakeshore", replicas: 15, plain: 5, domains: 4, entries: 3,
			classes: []classSpec{
				{"level-check", 0.55, urgentPriority, lengths{median: 180, sigma: 0.5, max: 2000}, lengths{median: 24, sigma: 0.7, max: 400}, 512},
				{"season-plan", 0.45, 0, lengths{median: 450, sigma: 0.7, max: 4000}, lengths{median: 900, sigma: 1.0, max: 32000}, 32000},
			},
			plainLength: lengths{median: 6, sigma: 0.8, max: 400}, teams: teamShares,
			rushFactor: 2.2, rushFrom: 0.5, rushTill: 0.7,
		},
		{
			name: "qasr", replicas: 15, plain: 3, domains: 3, entries: 3,
			classes: []classSpec{
				{"screening", 0.6, urgentPriority, lengths{median: 300, sigma: 0.6, max: 3000}, lengths{median: 10, sigma: 0.6, max: 200}, 256},
				{"draft", 0.4, 0, lengths{median: 600, sigma: 0.8, max: 6000}, lengths{median: 1500, sigma: 0.9, max: 32000}, 32000},
			},
			plainLength: lengths{median: 8, sigma: 0.8, max: 400}, teams: teamShares,
			rushFactor: 2.2, rushFrom: 0.5, rushTill: 0.7,
		},
	}
}

// heldOutSites returns the same fleets with traffic that no weight of the policy
// was tuned on: a heavier tail, two modes, other shares and a shorter, higher rush.
func heldOutSites() []siteSpec {
	all := sites()
	for i := range all {
		s := &all[i]
		s.rushFactor, s.rushFrom, s.rushTill = 3.5, 0.4, 0.5
		s.teams = []float64{0.4, 0.15, 0.1, 0.1, 0.05, 0.05, 0.05, 0.05, 0.03, 0.02}
	}
	all[0].classes = []classSpec{
		{"level-check", 0.7, urgentPriority, lengths{median: 120, sigma: 0.8, max: 2000}, lengths{median: 40, sigma: 1, max: 800}, 1024},
		{"season-plan", 0.3, 0, lengths{median: 600, sigma: 0.9, max: 6000}, lengths{median: 600, sigma: 1.4, max: 32000}, 32000},
	}
	all[1].classes = []classSpec{
		{"screening", 0.5, urgentPriority, lengths{median: 400, sigma: 0.8, max: 4000}, lengths{median: 8, sigma: 0.9, max: 300}, 512},
		{"draft", 0.5, 0, lengths{median: 500, sigma: 1, max: 8000},
			lengths{median: 700, sigma: 0.5, max: 32000, longShare: 0.15, longMedian: 7000}, 32000},
	}
	return all
}

// draw makes one generation request without an arrival time.
func (s *siteSpec) draw(rng *rand.Rand) *request {
	pick := rng.Float64()
	spec := s.classes[len(s.classes)-1]
	for _, c := range s.classes {
		if pick < c.share {
			spec = c
			break
		}
		pick -= c.share
	}
	team := s.drawTeam(rng)
	r := &request{
		team: team, class: spec.name, priority: spec.priority,
		prompt: spec.prompt.draw(rng), length: spec.output.draw(rng), maxTokens: spec.maxTokens,
		entry: rng.Intn(s.entries),
	}
	r.prefix = min(r.prompt-1, 120)
	r.prefixKey = fmt.Sprintf("%s/%d", spec.name, team)
	return r
}

func (s *siteSpec) drawTeam(rng *rand.Rand) int {
	pick := rng.Float64()
	for i, share := range s.teams {
		if pick < share {
			return i
		}
		pick -= share
	}
	return len(s.teams) - 1
}

// intensity is the factor on the rate at a part of the horizon. A rush keeps the
// mean rate; load-doubles doubles it for a while.
func (s *siteSpec) intensity(shape string, part float64) float64 {
	switch shape {
	case "rush":
		width := s.rushTill - s.rushFrom
		if part >= s.rushFrom && part < s.rushTill {
			return s.rushFactor
		}
		return (1 - s.rushFactor*width) / (1 - width)
	case "load-doubles":
		if part >= faultFrom && part < faultTill {
			return 2
		}
	}
	return 1
}

// traffic makes all requests of one run: Poisson arrivals at rate per second,
// as the shape says.
func (s *siteSpec) traffic(rng *rand.Rand, rate, plainRate float64, horizon time.Duration, shape string) []*request {
	var all []*request
	peakFactor := max(2, s.rushFactor)
	arrivals := func(rate float64, make func() *request) {
		peak := rate * peakFactor
		for at := time.Duration(0); ; {
			at += time.Duration(rng.ExpFloat64() / peak * float64(time.Second))
			if at >= horizon {
				return
			}
			if rng.Float64()*peakFactor < s.intensity(shape, float64(at)/float64(horizon)) {
				r := make()
				r.arrival, r.last = at, at
				all = append(all, r)
			}
		}
	}
	arrivals(rate, func() *request { return s.draw(rng) })
	arrivals(plainRate, func() *request {
		return &request{
			team: s.drawTeam(rng), class: "plain", priority: urgentPriority, plain: true,
			prompt: 1, length: s.plainLength.draw(rng), maxTokens: s.plainLength.max, entry: rng.Intn(s.entries),
		}
	})
	sort.SliceStable(all, func(i, j int) bool { return all[i].arrival < all[j].arrival })
	for i, r := range all {
		r.id = i
		r.name = message.RequestID(fmt.Sprintf("r%d", i))
	}
	return all
}
