package fleet

import (
	"container/heap"
	"fmt"
	"math/rand"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/core/backend"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/placement"
	"arbutusmast.example/arbutusmast/core/serverhealth"
	"go.uber.org/zap"
)

// simulation runs functions in the order of their times.
type simulation struct {
	now    time.Duration
	events events
	count  uint64
}

type event struct {
	at    time.Duration
	order uint64
	run   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (s *simulation) after(d time.Duration, run func()) {
	s.count++
	heap.Push(&s.events, event{s.now + d, s.count, run})
}

func (s *simulation) every(d time.Duration, run func()) {
	s.after(d, func() { run(); s.every(d, run) })
}

func (s *simulation) until(end time.Duration) {
	for len(s.events) > 0 && s.events[0].at < end {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
}

// hangResult tells how long after the trouble began each hanging server counted as failing, and
// how many of the requests got no answer.
type hangResult struct {
	found        [3]time.Duration
	sent, failed int
}

// simulateHang plays twelve entries that send 40 requests a second to twelve servers, three of
// which stop to answer nine of ten requests for eight seconds.
func simulateHang(seed int64) hangResult {
	const (
		count, failing = 12, 3
		interval       = 25 * time.Millisecond
		trouble, end   = 2 * time.Second, 10 * time.Second
		answerTime     = 240 * time.Millisecond
		lateTime       = 300 * time.Millisecond // minLateTime of package gateway
		reportDelay    = 100 * time.Millisecond // urgentReportDelay of package gateway
		publishDelay   = 150 * time.Millisecond
		transferTime   = 10 * time.Millisecond
		loadInterval   = 100 * time.Millisecond
		loadAge        = 150 * time.Millisecond
		blocks         = 4
	)
	rng := rand.New(rand.NewSource(seed))
	var s simulation
	table := &standingTable{source: "a", notify: func() {}, logger: zap.NewNop()}
	table.lead(0)
	var listed []backend.Server
	var servers []placement.Server
	for i := range count {
		listed = append(listed, backend.Server{ID: fmt.Sprint("s", i), Service: "llm"})
		servers = append(servers, placement.Server{Name: fmt.Sprint("s", i), Blocks: 100})
	}
	table.setServers(listed)
	var entries []*placement.Balancer
	for i := range count {
		b := placement.New(placement.Config{Entry: fmt.Sprint("e", i), SlowStart: time.Millisecond, Choices: 8},
			rand.New(rand.NewSource(rng.Int63())))
		b.SetServers(0, servers)
		entries = append(entries, b)
	}
	s.every(publishDelay, func() {
		table.publish(s.now)
		var reply WatchReply
		table.fillReply(Stamp{}, &reply)
		next := map[string]serverhealth.Status{}
		for _, known := range reply.Standings {
			for _, status := range known.Servers {
				next[status.Server] = status
			}
		}
		s.after(transferTime, func() {
			for _, b := range entries {
				b.SetStandings(s.now, next)
			}
		})
	})
	// Load reports do not show requests that hang, so a hanging server draws the traffic.
	running := map[string]int{}
	s.every(loadInterval, func() {
		for _, server := range servers {
			hint := message.LoadHint{BackendServer: server.Name, FreeBlocks: 100 - blocks*running[server.Name], TotalBlocks: 100}
			s.after(loadAge, func() {
				for _, b := range entries {
					b.Hint(s.now, hint, loadAge)
				}
			})
		}
	})
	var result hangResult
	hanging := map[string]int{}
	for i := range failing {
		hanging[fmt.Sprint("s", i)] = i
	}
	report := func(entry string, batch serverhealth.Batch) {
		batch.Service = "llm"
		s.after(transferTime, func() {
			table.observe(s.now, entry, []serverhealth.Batch{batch})
			for name, i := range hanging {
				if result.found[i] == 0 && s.now > trouble && table.tables["llm"].State(s.now, name) == serverhealth.Failing {
					result.found[i] = s.now - trouble
				}
			}
		})
	}
	request := uint64(0)
	s.every(interval, func() {
		request++
		id, entry, b := request, fmt.Sprint("e", request%count), entries[request%count]
		q := placement.Query{Blocks: blocks}
		if due := b.ProbeDue(nil); due != "" && table.grantProbe(s.now, "llm", due) {
			q.Probe = due
		}
		server, _ := b.Choose(s.now, q)
		sentAt, probe := s.now, q.Probe != ""
		inTrouble := s.now >= trouble && s.now < end
		_, hangs := hanging[server]
		hangs = hangs && inTrouble && rng.Intn(10) != 0
		if inTrouble {
			result.sent++
		}
		sample := serverhealth.Sample{Server: server, Route: "r", Probe: probe, Failed: hangs}
		outcome := placement.Outcome{Server: server, Blocks: blocks, Route: "r", SentAt: sentAt, Result: placement.Completed}
		if !hangs {
			running[server]++
			s.after(answerTime, func() {
				running[server]--
				b.Report(s.now, outcome)
				batch := serverhealth.Batch{Sound: []serverhealth.SoundCount{{Server: server, Route: "r", Count: 1}}}
				delay := time.Second
				if probe {
					batch = serverhealth.Batch{Samples: []serverhealth.Sample{sample}}
				}
				if probe || b.State(s.now, server) != serverhealth.Sound {
					delay = reportDelay
				}
				s.after(delay, func() { report(entry, batch) })
			})
			return
		}
		result.failed++
		sample.Request, outcome.Request, outcome.Result = id, id, placement.Failed
		s.after(lateTime, func() {
			b.Observe(s.now, outcome, true)
			s.after(reportDelay, func() { report(entry, serverhealth.Batch{Samples: []serverhealth.Sample{sample}}) })
		})
	})
	s.until(end)
	return result
}

// Guards against a hanging server that gets no more requests after the first failure, and thus no
// verdict until the suspicion has faded and requests are lost again.
func TestHangingServersAreFoundSoon(t *testing.T) {
	const (
		seeds = 100
		// soon leaves time for the first failure at a server with 3.3 requests a second and for
		// probes. The suspicion of one failure alone fades in 4.8 s.
		soon     = 4 * time.Second
		maxShare = 0.08
	)
	late, above, failed, sent := 0, 0, 0, 0
	var latest time.Duration
	for seed := range int64(seeds) {
		r := simulateHang(seed)
		for _, found := range r.found {
			if found == 0 || found > soon {
				late++
			}
			latest = max(latest, found)
		}
		if float64(r.failed) > maxShare*float64(r.sent) {
			above++
		}
		failed, sent = failed+r.failed, sent+r.sent
	}
	t.Logf("%d of %d servers found after more than %v, the last after %v; %d of %d runs with more than %v of the requests "+
		"failed; %d of %d requests failed", late, 3*seeds, soon, latest, above, seeds, maxShare, failed, sent)
	if late > 0 {
		t.Errorf("%d of %d hanging servers found after more than %v", late, 3*seeds, soon)
	}
	if above > 0 {
		t.Errorf("more than %v of the requests failed in %d of %d runs", maxShare, above, seeds)
	}
}
