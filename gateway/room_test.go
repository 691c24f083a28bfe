package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/core/desired"
	"arbutusmast.example/arbutusmast/core/serviceroom"
	"arbutusmast.example/arbutusmast/fleet"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// testRooms is a RoomSource that records the renewals.
type testRooms struct {
	mu       sync.Mutex
	renewals []serviceroom.Renewal
	// answer returns the grant for a renewal, which is tight and valid for a second. It may be nil.
	answer func(serviceroom.Renewal, *serviceroom.Grant) error
}

func (r *testRooms) AcquireRoom(_ context.Context, _ string, renewal serviceroom.Renewal) (serviceroom.Grant, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.renewals = append(r.renewals, renewal)
	grant := serviceroom.Grant{Valid: time.Second, Tight: true, Lease: sum(renewal.Running),
		Decisions: map[uint64]serviceroom.Decision{}}
	if r.answer != nil {
		if err := r.answer(renewal, &grant); err != nil {
			return serviceroom.Grant{}, err
		}
	}
	return grant, nil
}

// list returns the renewals so far.
func (r *testRooms) list() []serviceroom.Renewal {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.renewals
}

// last returns the last renewal.
func (r *testRooms) last() serviceroom.Renewal {
	list := r.list()
	if len(list) == 0 {
		return serviceroom.Renewal{}
	}
	return list[len(list)-1]
}

func sum(byCaller map[string]int) int {
	total := 0
	for _, need := range byCaller {
		total += need
	}
	return total
}

// decideAll decides on all generations that wait.
func decideAll(d serviceroom.Decision) func(serviceroom.Renewal, *serviceroom.Grant) error {
	return func(r serviceroom.Renewal, g *serviceroom.Grant) error {
		g.FreeIn = time.Second
		for _, w := range r.Waiting {
			g.Decisions[w.ID] = d
			if d.Admit {
				g.Lease += w.Need
			}
		}
		return nil
	}
}

// roomDialect reads the size of generations. Expected are half of the most tokens.
type roomDialect struct{ testDialect }

func (d roomDialect) ReadRequest(h http.Header) RequestMetadata {
	r := d.testDialect.ReadRequest(h)
	r.PromptTokens = 1000
	r.MaxTokens, _ = strconv.Atoi(h.Get("T-Max"))
	return r
}

const (
	// longTokens and shortTokens are the most tokens of a long and of a short generation.
	longTokens, shortTokens = "1000", "20"
	// longNeed is the need of a long generation: its prompt and half of the expected 500 tokens.
	longNeed = 1000 + 250
	// roomObjective is the time within which generations have to begin.
	roomObjective = 2 * time.Second
)

// newRoomHarness returns a harness with engines and an objective, whose service is tight or not.
func newRoomHarness(t *testing.T, rooms *testRooms, tight bool, servers ...*testServer) (*harness, *observer.ObservedLogs) {
	h := newEngineHarness(t, nil, servers...)
	core, logs := observer.New(zap.InfoLevel)
	g := h.gateway
	g.options.Dialect, g.options.Reserver = roomDialect{}, nil
	g.logger, g.options.Logger = zap.New(core), zap.New(core)
	if rooms != nil {
		g.options.Rooms = rooms
		g.rooms = newRoomBoard(&g.options)
	}
	h.fleet.set(func(f *testFleet) {
		state := *f.view.Table.State
		state.Routes = append([]desired.Route(nil), state.Routes...)
		for i := range state.Routes {
			state.Routes[i].Objective = roomObjective
		}
		view := *f.view
		view.Table = desired.NewTable(&state)
		f.view = &view
	})
	h.setTight(tight)
	t.Cleanup(func() { h.setTight(false) })
	return h, logs
}

// setTight publishes whether the service is tight.
func (h *harness) setTight(tight bool) {
	h.fleet.set(func(f *testFleet) {
		view := *f.view
		view.Tight = map[string]bool{"s": tight}
		view.TightStamp = fleet.Stamp{Source: "m", Number: view.TightStamp.Number + 1}
		f.view = &view
	})
}

// generate requests a generation and returns the status and headers of the answer.
func (h *harness) generate(maxTokens string) (int, http.Header, error) {
	status, header, _, err := h.call("/stream/x", "T-Max", maxTokens)
	return status, header, err
}

// newEventServer returns a server that answers each generation with one event.
func newEventServer(t *testing.T) *testServer {
	return newTestServer(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, events(1, 1)) })
}

// await waits for a renewal that fulfills a condition. The time limit only ends a test that hangs.
func (r *testRooms) await(t *testing.T, description string, condition func(serviceroom.Renewal) bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if list := r.list(); len(list) > 0 && condition(list[len(list)-1]) {
			return
		}
	}
	t.Fatalf("no renewal: %s, last %+v", description, r.last())
}

// Guards against generations that an entry refuses, or holds for long, because the control group
// does not answer.
func TestRoomWithoutControlGroup(t *testing.T) {
	rooms := &testRooms{answer: func(serviceroom.Renewal, *serviceroom.Grant) error { return errors.New("no leader is known") }}
	h, logs := newRoomHarness(t, rooms, true, newEventServer(t))
	start := time.Now()
	if status, _, err := h.generate(longTokens); err != nil || status != 200 {
		t.Errorf("%d %v", status, err)
	}
	if waited := time.Since(start); waited > roomObjective+serviceroom.LeaseLifetime {
		t.Errorf("the first one waited %v", waited)
	}
	start = time.Now()
	for range 10 {
		if status, _, err := h.generate(longTokens); err != nil || status != 200 {
			t.Errorf("%d %v", status, err)
		}
	}
	if took := time.Since(start); took > 5*serviceroom.LeaseLifetime {
		t.Errorf("ten later ones took %v", took)
	}
	if n := logs.FilterMessage("renewals of leases answered or not").Len(); n != 1 {
		t.Errorf("%d log lines about the lost contact", n)
	}
}

// Guards against short generations that wait or are refused, and against their need that is not
// reported while they run or is reported after they ended.
func TestShortGenerationsNeverWait(t *testing.T) {
	var rooms *testRooms
	release := make(chan struct{})
	server := newTestServer(t, func(w http.ResponseWriter, _ *http.Request) {
		<-release
		_, _ = io.WriteString(w, events(1, 1))
	})
	rooms = &testRooms{answer: decideAll(serviceroom.Decision{RetryAfter: time.Second})}
	h, _ := newRoomHarness(t, rooms, true, server)
	done := make(chan int, 1)
	go func() {
		status, _, _ := h.generate(shortTokens)
		done <- status
	}()
	for server.count.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	rooms.await(t, "the need of a short one", func(r serviceroom.Renewal) bool { return r.Short == 1000+5 && len(r.Waiting) == 0 })
	close(release)
	if status := <-done; status != 200 {
		t.Errorf("status %d", status)
	}
	rooms.await(t, "its end", func(r serviceroom.Renewal) bool { return r.Short == 0 })
}

// Guards against calls, waits or refusals where nothing asks for service-wide admission.
func TestRoomIsOff(t *testing.T) {
	h, _ := newRoomHarness(t, nil, true, newEventServer(t))
	if status, _, err := h.generate(longTokens); err != nil || status != 200 || h.gateway.rooms != nil {
		t.Errorf("%d %v", status, err)
	}
}

// Guards against calls while a service is far from full, and against generations that were admitted
// then and that the first renewal does not report, more renewals than ten a second, and renewals
// that go on when the service is no longer tight.
func TestRenewalsBeginWhenTheServiceIsTight(t *testing.T) {
	release := make(chan struct{})
	server := newTestServer(t, func(w http.ResponseWriter, _ *http.Request) {
		<-release
		_, _ = io.WriteString(w, events(1, 1))
	})
	rooms := &testRooms{answer: decideAll(serviceroom.Decision{Admit: true})}
	h, _ := newRoomHarness(t, rooms, false, server)
	var calls sync.WaitGroup
	for range 3 {
		calls.Go(func() {
			if status, _, err := h.generate(longTokens); err != nil || status != 200 {
				t.Errorf("%d %v", status, err)
			}
		})
	}
	for server.count.Load() < 3 {
		time.Sleep(time.Millisecond)
	}
	if n := len(rooms.list()); n != 0 {
		t.Errorf("%d renewals while the service was not tight", n)
	}
	tightAt := time.Now()
	h.setTight(true)
	rooms.await(t, "the first one", func(serviceroom.Renewal) bool { return true })
	if first := rooms.list()[0]; first.Running["team"] != 3*longNeed || first.Generations != 3 {
		t.Errorf("the first renewal reports %+v", first)
	}
	for i := range 20 {
		calls.Go(func() { _, _, _ = h.generate(longTokens) })
		if i%2 == 0 {
			time.Sleep(30 * time.Millisecond)
		}
	}
	close(release)
	calls.Wait()
	if n, seconds := len(rooms.list()), time.Since(tightAt).Seconds(); float64(n) > 10*seconds+1 {
		t.Errorf("%d renewals in %.2f s", n, seconds)
	}
	h.setTight(false)
	time.Sleep(100 * time.Millisecond)
	before := len(rooms.list())
	time.Sleep(600 * time.Millisecond)
	if after := len(rooms.list()); after != before {
		t.Errorf("%d renewals after the service was tight", after-before)
	}
}

// Guards against a generation whose need stays counted after it could not be placed or its server
// broke it off.
func TestNeedEndsWithTheGeneration(t *testing.T) {
	rooms := &testRooms{answer: decideAll(serviceroom.Decision{Admit: true})}
	h, _ := newRoomHarness(t, rooms, true, breakingServer(t, 3))
	if _, _, err := h.generate(longTokens); err == nil {
		t.Error("a broken stream looks whole")
	}
	rooms.await(t, "the end of a broken one", func(r serviceroom.Renewal) bool { return sum(r.Running) == 0 && r.Ended == longNeed })
	h.fleet.set(func(f *testFleet) {
		view := *f.view
		view.Servers = view.Servers[:0:0]
		f.view = &view
	})
	if status, _, err := h.generate(longTokens); err != nil || status != 503 {
		t.Errorf("without servers: %d %v", status, err)
	}
	rooms.await(t, "the end of one without a server", func(r serviceroom.Renewal) bool {
		return sum(r.Running) == 0 && r.Ended == 2*longNeed
	})
}

// BenchmarkTakeRoom measures what a generation costs at a service that is not tight, with and without
// service-wide admission.
func BenchmarkTakeRoom(b *testing.B) {
	for _, on := range []bool{false, true} {
		b.Run(fmt.Sprint("on ", on), func(b *testing.B) {
			h := newHarness(b, nil)
			state := *h.fleet.view.Table.State
			state.Services = []desired.Service{{Name: "s", Engine: &desired.Engine{MemoryTokens: 30000}}}
			h.fleet.view.Table = desired.NewTable(&state)
			g := h.gateway
			if on {
				g.options.Rooms = &testRooms{}
				g.rooms = newRoomBoard(&g.options)
			}
			for i := range 100 {
				g.times.observeGeneration("stream", 3000, 700, time.Duration(400+i*37%100)*time.Millisecond, 7*time.Second)
			}
			route := h.fleet.view.Table.Route("h.example", "/stream/x")
			r := &request{arrived: time.Now()}
			b.ReportAllocs()
			for b.Loop() {
				x := &exchange{g: g, r: r, route: route, service: "s", expectedTokens: 700, metadata: RequestMetadata{PromptTokens: 3000}}
				if _, ok := x.takeRoom(context.Background()); !ok {
					b.Fatal("refused")
				}
				x.releaseRoom()
			}
		})
	}
}
