package entry

import (
	"fmt"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/core/contract"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/placement"
	"arbutusmast.example/arbutusmast/core/verdict"
)

// placerFleet is a Fleet without a network, with a set of evacuated failure domains.
type placerFleet struct {
	config      *contract.Config
	members     []message.Member
	evacuations message.EvacuationSet
}

func (f *placerFleet) Config() *contract.Config           { return f.config }
func (f *placerFleet) Header() message.Header             { return message.Header{Host: "e", Incarnation: 1} }
func (f *placerFleet) Observe(message.Header)             {}
func (f *placerFleet) Members() []message.Member          { return f.members }
func (f *placerFleet) Ready() bool                        { return true }
func (f *placerFleet) Evacuations() message.EvacuationSet { return f.evacuations }

func (f *placerFleet) evacuate(domains ...string) {
	f.evacuations = message.EvacuationSet{Revision: f.evacuations.Revision + 1, Domains: domains}
}

// newPlacerFleet declares a service with servers in the failure domains "a" and "b",
// one on each host.
func newPlacerFleet(t *testing.T, inA, inB int) *placerFleet {
	t.Helper()
	sections := contract.Sections{
		"failure-domain a": {"region": "r"}, "failure-domain b": {"region": "r"},
		"service desk": {"kind": "plain"},
	}
	f := &placerFleet{}
	for i := range inA + inB {
		host, domain := fmt.Sprintf("a%02d", i), "a"
		if i >= inA {
			host, domain = fmt.Sprintf("b%02d", i-inA), "b"
		}
		sections["host "+host] = map[string]string{"failure_domain": domain}
		sections["backend-server "+host] = map[string]string{
			"host": host, "service": "desk", "address": fmt.Sprint("127.0.0.1:", 7000+i)}
		f.members = append(f.members, message.Member{
			Host: host, Incarnation: 1, State: message.MemberLive, FailureDomain: domain, Sequence: uint64(i + 1)})
	}
	config, faults := contract.Build(1, sections)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	f.config = config
	return f
}

// chosenDomains returns how many of many requests were placed in each failure domain.
func chosenDomains(p *placer) map[string]int {
	counts := map[string]int{}
	for range 200 {
		t, ok := p.choose("desk", placement.Query{Blocks: 1})
		if !ok {
			counts["none"]++
			continue
		}
		counts[t.member.FailureDomain]++
		p.report(t, placement.Completed, 0, 0)
	}
	return counts
}

// TestEvacuatedServersGetNothing guards against a request that is placed on a server of
// an evacuated failure domain, and against servers that stay unused after the end.
func TestEvacuatedServersGetNothing(t *testing.T) {
	f := newPlacerFleet(t, 3, 3)
	p := newPlacer(f, "a")
	if n := chosenDomains(p); n["a"] == 0 || n["none"] > 0 {
		t.Fatalf("before the evacuation: %v", n)
	}
	f.evacuate("a")
	if n := chosenDomains(p); n["b"] != 200 {
		t.Errorf("domain a is evacuated: %v", n)
	}
	f.evacuate("a", "b")
	if n := chosenDomains(p); n["none"] != 200 {
		t.Errorf("both domains are evacuated: %v", n)
	}
	f.evacuate("b")
	if n := chosenDomains(p); n["a"] != 200 {
		t.Errorf("domain b is evacuated: %v", n)
	}
	f.evacuate()
	if n := chosenDomains(p); n["a"] == 0 || n["none"] > 0 {
		t.Errorf("after the end: %v", n)
	}
}

// TestEvacuatedServerIsNotRetried guards against a retry, a resumed generation or a probe
// of a failing server in an evacuated failure domain, where no other server is left. The
// same requests are placed there before the evacuation.
func TestEvacuatedServerIsNotRetried(t *testing.T) {
	tried := []string{"b00"}
	tests := map[string]struct {
		failures int
		query    placement.Query
	}{
		"retry":                   {0, placement.Query{Blocks: 1, Exclude: tried}},
		"urgent retry":            {0, placement.Query{Blocks: 1, Exclude: tried, Priority: 100}},
		"probe of a failing one":  {100, placement.Query{Blocks: 1, Exclude: tried}},
		"granted probe":           {0, placement.Query{Blocks: 1, Exclude: tried, Probe: "a00"}},
		"request that may crash":  {0, placement.Query{Blocks: 1, Exclude: tried, IsolationKey: "k"}},
		"prefix in the own cache": {0, placement.Query{Blocks: 1, Exclude: tried, PrefixKey: "p"}},
	}
	for name, test := range tests {
		f := newPlacerFleet(t, 1, 1)
		p := newPlacer(f, "a")
		for range test.failures {
			if got, ok := p.choose("desk", test.query); ok {
				p.report(got, placement.Failed, 0, 0)
			}
		}
		// A probe is due long after the failures.
		p.startedAt = p.startedAt.Add(-time.Hour)
		if got, ok := p.choose("desk", test.query); !ok || got.server.Name != "a00" {
			t.Errorf("%s before the evacuation: placed %v on %q", name, ok, got.server.Name)
		}
		p.startedAt = p.startedAt.Add(-time.Hour)
		f.evacuate("a")
		if got, ok := p.choose("desk", test.query); ok {
			t.Errorf("%s during the evacuation: placed on %s", name, got.server.Name)
		}
	}
}

// TestSubsetWithoutEvacuatedServers guards against an entry that finds no server because
// those of an evacuated failure domain fill its subset.
func TestSubsetWithoutEvacuatedServers(t *testing.T) {
	f := newPlacerFleet(t, 5*placement.DefaultSubsetSize, 1)
	p := newPlacer(f, "a")
	f.evacuate("a")
	if n := chosenDomains(p); n["b"] != 200 {
		t.Errorf("the only server of domain b was not used: %v", n)
	}
}

// TestEvacuationRefusal guards against a refusal that is not "not run", lacks a time to
// retry or hides that the failure domains are evacuated.
func TestEvacuationRefusal(t *testing.T) {
	const evacuated = "all failure domains of the service are evacuated"
	kill := func(f *placerFleet, host string) {
		for i := range f.members {
			if f.members[i].Host == host {
				f.members[i].State = message.MemberDead
				f.members[i].Sequence += 100
			}
		}
	}
	tests := map[string]struct {
		inA, inB int
		change   func(f *placerFleet)
		service  string
		reason   verdict.Reason
		want     string
	}{
		"all domains":               {1, 1, func(f *placerFleet) { f.evacuate("a", "b") }, "desk", verdict.ReasonNoBackendServer, evacuated},
		"all that hold servers":     {2, 0, func(f *placerFleet) { f.evacuate("a") }, "desk", verdict.ReasonNoBackendServer, evacuated},
		"other domain may serve":    {1, 1, func(f *placerFleet) { f.evacuate("a") }, "desk", verdict.ReasonOverloaded, "no backend server takes the request for the moment"},
		"other domain is dead":      {1, 1, func(f *placerFleet) { f.evacuate("a"); kill(f, "b00") }, "desk", verdict.ReasonNoBackendServer, `no backend server serves "desk"`},
		"evacuated domain is dead":  {1, 0, func(f *placerFleet) { f.evacuate("a"); kill(f, "a00") }, "desk", verdict.ReasonNoBackendServer, evacuated},
		"service without servers":   {1, 0, func(f *placerFleet) { f.evacuate("a") }, "other", verdict.ReasonNoBackendServer, `no backend server serves "other"`},
		"domain that a host claims": {1, 0, func(f *placerFleet) { f.members[0].FailureDomain = "c"; f.evacuate("c") }, "desk", verdict.ReasonNoBackendServer, evacuated},
	}
	for name, test := range tests {
		f := newPlacerFleet(t, test.inA, test.inB)
		test.change(f)
		p := newPlacer(f, "a")
		_, _ = p.choose("desk", placement.Query{Blocks: 1})
		got := p.noTargetError(test.service)
		if got.Verdict != verdict.NotRun || got.Reason != test.reason || got.Message != test.want ||
			got.RetryAfter <= 0 || httpStatus(got.Reason) != 503 && test.want == evacuated {
			t.Errorf("%s: %v, retry after %v", name, got, got.RetryAfter)
		}
		if test.want == evacuated && isRetryable(got) {
			t.Errorf("%s: the request is not refused at once", name)
		}
	}
}
