package fleet

import (
	"context"
	"fmt"
	"math/rand"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/quarantine"
	"arbutusmast.example/arbutusmast/wire"
	"go.uber.org/zap"
)

// recordCrashes records a report that is delivered when its ages are true.
func recordCrashes(l *serverList, r *CrashRequest, now time.Duration) {
	r.Reading.At = now
	l.recordCrashes(now, r)
}

// Guards against loss of a request's crash record at a change of the leader, and against
// counting one crash twice when several entries report it.
func TestCrashesOutliveTheLeader(t *testing.T) {
	old, next := newServerList("old"), newServerList("next")
	old.setServers(nil, time.Second)
	// The crash of i-1 is reported twice.
	for i, crashed := range []time.Duration{time.Second, time.Second, 2 * time.Second} {
		now := 2*time.Second + time.Duration(i)*time.Millisecond
		recordCrashes(old, &CrashRequest{Crashes: []Crash{{Server: []string{"i-1", "i-1", "i-2"}[i], Digest: "a",
			SentAgo: now - crashed + 30*time.Millisecond, CrashedAgo: now - crashed}}}, now)
	}
	var reply WatchReply
	old.fillReply(&WatchRequest{}, 2*time.Second, &reply)
	if len(reply.Quarantine) != 1 || !reply.Quarantine[0].Suspect {
		t.Fatalf("after two crashes: %+v, want one suspect", reply.Quarantine)
	}
	next.copyFrom(&View{listStamp: reply.List, quarantined: reply.Quarantine, quarantinedAt: 2 * time.Second}, 2*time.Second)
	// The second report comes again, late, to the new leader.
	recordCrashes(next, &CrashRequest{Crashes: []Crash{{Server: "i-2", Digest: "a", SentAgo: 430 * time.Millisecond,
		CrashedAgo: 400 * time.Millisecond}}}, 2500*time.Millisecond)
	reply = WatchReply{}
	next.fillReply(&WatchRequest{}, 2500*time.Millisecond, &reply)
	if len(reply.Quarantine) != 1 || !reply.Quarantine[0].Suspect {
		t.Fatalf("after a repeated report: %+v, want one suspect", reply.Quarantine)
	}
	recordCrashes(next, &CrashRequest{Crashes: []Crash{{Server: "i-3", Digest: "a"}}}, 3*time.Second)
	reply = WatchReply{}
	next.fillReply(&WatchRequest{}, 3*time.Second, &reply)
	if len(reply.Quarantine) != 1 || reply.Quarantine[0].Suspect {
		t.Fatalf("after the third crash: %+v, want it held back", reply.Quarantine)
	}
}

// Guards against a digest that stays suspected after a server completed a request with
// it.
func TestSuccessClearsASuspect(t *testing.T) {
	l := newServerList("b")
	l.setServers(nil, time.Second)
	for i, server := range []string{"i-1", "i-2"} {
		recordCrashes(l, &CrashRequest{Crashes: []Crash{{Server: server, Digest: "a"}}}, time.Duration(i+1)*time.Second)
	}
	if len(l.quarantined) != 1 {
		t.Fatalf("quarantined %+v after two crashes", l.quarantined)
	}
	recordCrashes(l, &CrashRequest{Cleared: []string{"a"}}, 3*time.Second)
	recordCrashes(l, &CrashRequest{Crashes: []Crash{{Server: "i-3", Digest: "a"}}}, 4*time.Second)
	var reply WatchReply
	l.fillReply(&WatchRequest{}, 3*time.Second, &reply)
	if len(reply.Quarantine) != 0 {
		t.Errorf("quarantined %+v after a success", reply.Quarantine)
	}
}

// Guards against a request that crashes servers again and again because these start again
// under the ids that they had (case 3 of the review).
func TestCrashesOfServersThatKeepTheirIDs(t *testing.T) {
	const pause = 3500 * time.Millisecond
	for _, c := range []struct {
		name string
		// crashes are the servers that crash, one list for each time that the request comes.
		crashes [][]string
		// want is the number of times after which the request is held back.
		want int
	}{
		{"one server", [][]string{{"1"}, {"1"}, {"1"}}, 3},
		{"two servers in turn", [][]string{{"1"}, {"2"}, {"1"}}, 3},
		{"three copies at once first", [][]string{{"1", "2", "3"}, {"1"}, {"2"}}, 3},
		{"three copies at once each time", [][]string{{"1", "2", "3"}, {"3", "1", "2"}, {"2", "3", "1"}}, 3},
		{"servers with new ids", [][]string{{"1"}, {"4"}, {"5"}}, 3},
	} {
		l := newServerList("c")
		l.setServers(nil, time.Second)
		for i, servers := range c.crashes {
			now := 10*time.Second + time.Duration(i)*pause
			for _, server := range servers {
				recordCrashes(l, &CrashRequest{Crashes: []Crash{{Server: server, Digest: "a", SentAgo: 90 * time.Millisecond,
					CrashedAgo: 60 * time.Millisecond}}}, now)
			}
			held := slices.ContainsFunc(l.quarantined, func(q message.Quarantine) bool { return !q.Suspect })
			if held != (i+1 >= c.want) {
				t.Errorf("%s: held back after %d times: %v", c.name, i+1, held)
			}
		}
	}
}

// crashReport is a report on its way to the leader.
type crashReport struct {
	request  CrashRequest
	received time.Duration
}

// Guards against the quarantine of a sound request because equal ones are in progress at
// several servers of a failure domain that is lost again and again, while the servers come
// back under their ids and reports come late, repeated and out of order.
func TestLostFailureDomainHoldsNoRequestBack(t *testing.T) {
	const (
		losses, servers, entries = 4, 3, 3
		lossInterval             = 3500 * time.Millisecond
		downTime                 = 2 * time.Second
		workTime                 = 200 * time.Millisecond
	)
	for seed := range int64(200) {
		rng := rand.New(rand.NewSource(seed))
		random := func(limit time.Duration) time.Duration { return time.Duration(rng.Int63n(int64(limit))) }
		var reports []crashReport
		for loss := range losses {
			for server := range servers {
				crashed := time.Duration(loss+1)*lossInterval + random(100*time.Millisecond)
				for range 1 + rng.Intn(2*entries) {
					sent := crashed - random(workTime)
					for try := range 1 + rng.Intn(2) {
						reported := crashed + random(100*time.Millisecond) + time.Duration(try)*crashRetryInterval
						reports = append(reports, crashReport{CrashRequest{
							Reading: ClockReading{At: reported - random(quarantine.MaxAgeError)},
							Crashes: []Crash{{Server: fmt.Sprint("i-", server), Digest: "a", SentAgo: reported - sent,
								CrashedAgo: reported - crashed}}}, reported + random(crashReportTimeout)})
					}
				}
			}
			// When servers are back, requests succeed, which is reported if they are suspected.
			reports = append(reports, crashReport{CrashRequest{Cleared: []string{"a"}},
				time.Duration(loss+1)*lossInterval + downTime + random(crashReportTimeout)})
		}
		slices.SortFunc(reports, func(a, b crashReport) int { return int(a.received - b.received) })
		l := newServerList("c")
		l.setServers(nil, time.Second)
		for _, r := range reports {
			l.recordCrashes(r.received, &r.request)
			if slices.ContainsFunc(l.quarantined, func(q message.Quarantine) bool { return !q.Suspect }) {
				t.Fatalf("seed %d: held back %v after the start", seed, r.received)
			}
		}
	}
}

// heldLink keeps what is sent over its connections while it is held, as a network does that
// repeats lost packets.
type heldLink struct {
	mu      sync.Mutex
	held    bool
	pending []func()
}

func (l *heldLink) dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := wire.DialTCP(ctx, address)
	if err != nil {
		return nil, err
	}
	return &heldConn{conn, l}, nil
}

// do runs f now, or when the link is released.
func (l *heldLink) do(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held {
		l.pending = append(l.pending, f)
		return
	}
	f()
}

func (l *heldLink) hold() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = true
}

func (l *heldLink) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range l.pending {
		f()
	}
	l.held, l.pending = false, nil
}

// heldConn is a connection over a heldLink.
type heldConn struct {
	net.Conn
	link *heldLink
}

func (c *heldConn) Write(p []byte) (int, error) {
	data := slices.Clone(p)
	c.link.do(func() { _, _ = c.Conn.Write(data) })
	return len(p), nil
}

func (c *heldConn) Close() error {
	c.link.do(func() { _ = c.Conn.Close() })
	return nil
}

// Guards against one crash that counts several times, because its report and the repeated
// ones are held up on the way and arrive together.
func TestHeldUpReportsOfOneCrashCountOnce(t *testing.T) {
	g := newTestGroup(t, 3)
	for _, address := range g.seeds {
		g.start(address, true)
	}
	link := new(heldLink)
	pool := wire.NewPool(link.dial)
	w := NewWatcher(WatcherOptions{Seeds: g.seedsOf(), Codec: testCodec{}, Pool: pool, Logger: zap.NewNop()})
	ctx, cancel := context.WithCancel(context.Background())
	defer pool.Close()
	defer cancel()
	go w.Run(ctx)
	g.members[g.seeds[0]].put(t, document(1, "one"))
	eventually(t, "the entry knows the leader", func() bool { return w.View().Leader != "" })
	leader := g.members[w.View().Leader]
	report := func(digest string) {
		w.Crashed(&CrashRequest{Crashes: []Crash{{Server: "i-1", Digest: digest, SentAgo: 90 * time.Millisecond,
			CrashedAgo: 60 * time.Millisecond}}})
	}
	crashesOf := func(digest string) int {
		leader.servers.mu.Lock()
		defer leader.servers.mu.Unlock()
		if leader.servers.suspects == nil {
			return 0
		}
		for _, e := range leader.servers.suspects.Snapshot().Entries {
			if e.Digest == digest {
				return e.Crashes
			}
		}
		return 0
	}
	report("before")
	eventually(t, "a report is recorded", func() bool { return crashesOf("before") == 1 })
	link.hold()
	report("held")
	time.Sleep(2200 * time.Millisecond)
	link.release()
	eventually(t, "the report is recorded", func() bool { return crashesOf("held") > 0 })
	time.Sleep(crashRetryInterval + crashReportTimeout)
	if n := crashesOf("held"); n != 1 {
		t.Errorf("one crash counts %d times", n)
	}
}
