package policy

import (
	"fmt"
	"math"
	"math/rand"
	"sort"
	"time"

	"arbutusmast.example/arbutusmast/core/message"
)

// Bounds of the service objectives, and the slack of deadlines. A response meets
// its deadline if it ends within the slack plus betweenTokenBound for each token.
const (
	firstTokenBound   = 1600 * time.Millisecond
	betweenTokenBound = 59 * time.Millisecond
	urgentSlack       = 5 * time.Second
	normalSlack       = 15 * time.Second
)

// urgentPriority is the priority of short urgent calls and of plain calls.
const urgentPriority = 10

// request is one request of the workload with its state and measurements.
type request struct {
	id           int
	requestID    message.RequestID
	arrival      time.Duration
	team         int
	entry        int
	class        message.RequestClass
	priority     int
	plain        bool
	promptTokens int
	// outputTokens is the number of tokens of the response. Of the policies, only
	// the oracle knows it in advance.
	outputTokens, maxTokens int
	prefixTokens            int
	prefixKey               string
	attempts                int

	seq *sequence
	// expectedBlocks is the memory in blocks that its entry expects it to need.
	expectedBlocks int
	// server is the backend server to which the request was delivered.
	server                     *backend
	lastTokenAt                time.Duration
	firstTokenAt               time.Duration
	stall                      time.Duration
	preemptions                int
	done, refused, interrupted bool
}

func (q *request) deadline() time.Duration {
	slack := normalSlack
	if q.priority >= urgentPriority {
		slack = urgentSlack
	}
	return q.arrival + slack + time.Duration(q.outputTokens)*betweenTokenBound
}

// lengthDistribution is a lognormal distribution, truncated at max. A fraction
// longShare of the lengths comes from a second one with the median longMedian.
type lengthDistribution struct {
	median, sigma         float64
	max                   int
	longShare, longMedian float64
}

func (l lengthDistribution) sample(rng *rand.Rand) int {
	median := l.median
	if l.longShare > 0 && rng.Float64() < l.longShare {
		median = l.longMedian
	}
	n := int(median * math.Exp(l.sigma*rng.NormFloat64()))
	return min(max(n, 1), l.max)
}

// classSpec describes one class of requests. share is its fraction of the
// requests to the generation service.
type classSpec struct {
	name           message.RequestClass
	share          float64
	priority       int
	prompt, output lengthDistribution
	// maxTokens is the limit that callers specify.
	maxTokens int
}

// siteSpec describes the fleet and the traffic of one user's site.
type siteSpec struct {
	name                    string
	replicas, plainReplicas int
	domains, entries        int
	classes                 []classSpec
	plainLength             lengthDistribution
	teamShares              []float64
	rushFactor              float64
	rushStart, rushEnd      float64
}

// teamShares is each team's fraction of the requests. Three teams are large.
var teamShares = []float64{0.24, 0.2, 0.16, 0.07, 0.07, 0.06, 0.06, 0.05, 0.05, 0.04}

// sites returns the sites of the two users, described in section 1 of
// docs/design.md.
func sites() []siteSpec {
	return []siteSpec{
		{
			name: "lakeshore", replicas: 15, plainReplicas: 5, domains: 4, entries: 3,
			classes: []classSpec{
				{"level-check", 0.55, urgentPriority, lengthDistribution{median: 180, sigma: 0.5, max: 2000},
					lengthDistribution{median: 24, sigma: 0.7, max: 400}, 512},
				{"season-plan", 0.45, 0, lengthDistribution{median: 450, sigma: 0.7, max: 4000},
					lengthDistribution{median: 900, sigma: 1.0, max: 32000}, 32000},
			},
			plainLength: lengthDistribution{median: 6, sigma: 0.8, max: 400}, teamShares: teamShares,
			rushFactor: 2.2, rushStart: 0.5, rushEnd: 0.7,
		},
		{
			name: "qasr", replicas: 15, plainReplicas: 3, domains: 3, entries: 3,
			classes: []classSpec{
				{"screening", 0.6, urgentPriority, lengthDistribution{median: 300, sigma: 0.6, max: 3000},
					lengthDistribution{median: 10, sigma: 0.6, max: 200}, 256},
				{"draft", 0.4, 0, lengthDistribution{median: 600, sigma: 0.8, max: 6000},
					lengthDistribution{median: 1500, sigma: 0.9, max: 32000}, 32000},
			},
			plainLength: lengthDistribution{median: 8, sigma: 0.8, max: 400}, teamShares: teamShares,
			rushFactor: 2.2, rushStart: 0.5, rushEnd: 0.7,
		},
	}
}

// heldOutSites returns the same fleets with traffic that was not used to tune the
// weights of the policy: a heavier tail, two modes, other shares and a shorter,
// higher rush.
func heldOutSites() []siteSpec {
	all := sites()
	for i := range all {
		s := &all[i]
		s.rushFactor, s.rushStart, s.rushEnd = 3.5, 0.4, 0.5
		s.teamShares = []float64{0.4, 0.15, 0.1, 0.1, 0.05, 0.05, 0.05, 0.05, 0.03, 0.02}
	}
	all[0].classes = []classSpec{
		{"level-check", 0.7, urgentPriority, lengthDistribution{median: 120, sigma: 0.8, max: 2000},
			lengthDistribution{median: 40, sigma: 1, max: 800}, 1024},
		{"season-plan", 0.3, 0, lengthDistribution{median: 600, sigma: 0.9, max: 6000},
			lengthDistribution{median: 600, sigma: 1.4, max: 32000}, 32000},
	}
	all[1].classes = []classSpec{
		{"screening", 0.5, urgentPriority, lengthDistribution{median: 400, sigma: 0.8, max: 4000},
			lengthDistribution{median: 8, sigma: 0.9, max: 300}, 512},
		{"draft", 0.5, 0, lengthDistribution{median: 500, sigma: 1, max: 8000},
			lengthDistribution{median: 700, sigma: 0.5, max: 32000, longShare: 0.15, longMedian: 7000}, 32000},
	}
	return all
}

// sampleRequest returns a random generation request without an arrival time.
func (s *siteSpec) sampleRequest(rng *rand.Rand) *request {
	pick := rng.Float64()
	spec := s.classes[len(s.classes)-1]
	for _, c := range s.classes {
		if pick < c.share {
			spec = c
			break
		}
		pick -= c.share
	}
	team := s.sampleTeam(rng)
	r := &request{
		team: team, class: spec.name, priority: spec.priority,
		promptTokens: spec.prompt.sample(rng), outputTokens: spec.output.sample(rng), maxTokens: spec.maxTokens,
		entry: rng.Intn(s.entries),
	}
	r.prefixTokens = min(r.promptTokens-1, 120)
	r.prefixKey = fmt.Sprintf("%s/%d", spec.name, team)
	return r
}

func (s *siteSpec) sampleTeam(rng *rand.Rand) int {
	pick := rng.Float64()
	for i, share := range s.teamShares {
		if pick < share {
			return i
		}
		pick -= share
	}
	return len(s.teamShares) - 1
}

// rateFactor returns the factor on the mean arrival rate at a fraction of the
// horizon. The shape "rush" keeps the mean over the horizon; "load-doubles"
// doubles the rate between faultStart and faultEnd.
func (s *siteSpec) rateFactor(shape string, fraction float64) float64 {
	switch shape {
	case "rush":
		width := s.rushEnd - s.rushStart
		if fraction >= s.rushStart && fraction < s.rushEnd {
			return s.rushFactor
		}
		return (1 - s.rushFactor*width) / (1 - width)
	case "load-doubles":
		if fraction >= faultStart && fraction < faultEnd {
			return 2
		}
	}
	return 1
}

// generateTraffic returns all requests of one run in the order of arrival. They
// arrive in a Poisson process; rate and plainRate are its rates per second, which
// the shape modulates.
func (s *siteSpec) generateTraffic(
	rng *rand.Rand, rate, plainRate float64, horizon time.Duration, shape string,
) []*request {
	var requests []*request
	peakFactor := max(2, s.rushFactor)
	addArrivals := func(rate float64, newRequest func() *request) {
		peak := rate * peakFactor
		for at := time.Duration(0); ; {
			at += time.Duration(rng.ExpFloat64() / peak * float64(time.Second))
			if at >= horizon {
				return
			}
			if rng.Float64()*peakFactor < s.rateFactor(shape, float64(at)/float64(horizon)) {
				r := newRequest()
				r.arrival, r.lastTokenAt = at, at
				requests = append(requests, r)
			}
		}
	}
	addArrivals(rate, func() *request { return s.sampleRequest(rng) })
	addArrivals(plainRate, func() *request {
		return &request{
			team: s.sampleTeam(rng), class: "plain", priority: urgentPriority, plain: true,
			promptTokens: 1, outputTokens: s.plainLength.sample(rng), maxTokens: s.plainLength.max, entry: rng.Intn(s.entries),
		}
	})
	sort.SliceStable(requests, func(i, j int) bool { return requests[i].arrival < requests[j].arrival })
	for i, r := range requests {
		r.id = i
		r.requestID = message.RequestID(fmt.Sprintf("r%d", i))
	}
	return requests
}
