package fleet

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/core/serverlimit"
	"arbutusmast.example/arbutusmast/wire"
)

// limitOf returns what an entry knows after a response that names a limit.
func limitOf(perSecond float64) *serverlimit.Age {
	return &serverlimit.Age{Limited: true, PerSecond: perSecond, SentAgo: 2 * time.Millisecond}
}

// Guards against a limit that one entry learned and the others do not, against one that
// is forgotten when the leader is lost, and against one that stays after its end.
func TestLimitReachesDaemonsAndSurvivesTheLeader(t *testing.T) {
	const server = "i-1"
	g := newTestGroup(t, 3)
	for _, address := range g.seeds {
		g.start(address, true)
	}
	one, other := g.startWatcher(t), g.startWatcher(t)
	g.members[g.seeds[0]].put(t, document(1, "one"))
	eventually(t, "the daemons know the leader", func() bool {
		return one.View().Leader != "" && other.View().Leader != "" && len(one.View().Servers) == 1
	})
	now := SinceBoot()
	one.ReportLimit("e1", server, limitOf(3).At(now))
	limited := func(w *Watcher) bool { o := w.View().Limits[server]; return o.Limited && o.PerSecond == 3 }
	eventually(t, "both daemons know the limit", func() bool { return limited(one) && limited(other) })
	eventually(t, "a permit is granted", func() bool {
		reply, err := other.AcquirePermits(context.Background(), serverlimit.Request{Entry: "e2", Server: server, Want: 1})
		return err == nil && reply.Permits == 1
	})
	leader := one.View().Leader
	g.kill(leader)
	eventually(t, "another member leads", func() bool { v := other.View().Leader; return v != "" && v != leader })
	eventually(t, "the new leader grants a permit for the known limit", func() bool {
		reply, err := other.AcquirePermits(context.Background(), serverlimit.Request{Entry: "e2", Server: server, Want: 1})
		return err == nil && reply.Known != nil && reply.Permits == 1
	})
	now = SinceBoot()
	other.ReportLimit("e2", server, serverlimit.Observation{SentAt: now, ReceivedAt: now})
	eventually(t, "both daemons know the end", func() bool { return !limited(one) && !limited(other) })
}

// Guards against a permit that a member without a leader seems to grant, as while a new
// one is elected.
func TestNoPermitsWithoutALeader(t *testing.T) {
	g := newTestGroup(t, 3)
	for _, address := range g.seeds {
		g.start(address, true)
	}
	w := g.startWatcher(t)
	g.members[g.seeds[0]].put(t, document(1, "one"))
	leader := ""
	eventually(t, "the daemon knows the leader", func() bool { leader = w.View().Leader; return leader != "" })
	var remaining string
	for _, address := range g.seeds {
		if address != leader {
			remaining = address
		}
	}
	for _, address := range g.seeds {
		if address != remaining {
			g.kill(address)
		}
	}
	noLeader := func() bool { known, _ := g.members[remaining].node.Load().Leader(); return known == "" }
	eventually(t, "the remaining member has no leader", noLeader)
	w.SetLeader(remaining)
	request := serverlimit.Request{Entry: "e", Server: "i-1", Known: limitOf(2), Want: 1}
	if reply, err := w.AcquirePermits(context.Background(), request); err == nil {
		t.Errorf("replied %+v", reply)
	}
}

// Guards against two leaders that grant permits at the same time: a new one waits until
// the permission of the previous one has ended, also if it led before.
func TestNewLeaderWaitsBeforeItGrants(t *testing.T) {
	l := &limitTable{source: "m", notify: func() {}}
	request := serverlimit.Request{Entry: "e", Server: "i-1", Known: limitOf(100), Want: 1}
	now := time.Hour
	if _, leads := l.acquire(now, request); leads {
		t.Error("a member that does not lead granted a permit")
	}
	for term := uint64(3); term <= 4; term++ {
		l.lead(now, term)
		l.acquire(now, request)
		if reply, _ := l.acquire(now+maxConfirmationAge-time.Millisecond, request); reply.Permits != 0 {
			t.Errorf("term %d: a permit was granted at once", term)
		}
		now += 2 * maxConfirmationAge
		l.lead(now, term)
		if reply, _ := l.acquire(now, request); reply.Permits != 1 {
			t.Errorf("term %d: no permit was granted", term)
		}
	}
	l.copyFrom(&View{})
	if _, leads := l.acquire(now, request); leads {
		t.Error("a member that stopped leading granted a permit")
	}
}

// countingConn counts the bytes of a connection.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// permitService serves requests for permits from a table.
type permitService struct{ table *limitTable }

func (s *permitService) AcquirePermits(request *PermitRequest, reply *PermitReply) error {
	reply.Reply, reply.Decided = s.table.acquire(SinceBoot(), request.Request)
	return nil
}

// BenchmarkAcquirePermits measures the bytes of a request for permits and its reply, and
// the time of both sides on one host.
func BenchmarkAcquirePermits(b *testing.B) {
	table := &limitTable{source: "m", notify: func() {}}
	table.lead(0, 1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := wire.NewServer(l)
	if err := server.Register(ServiceName, &permitService{table}); err != nil {
		b.Fatal(err)
	}
	go server.Serve()
	defer server.Close()
	var transferred atomic.Int64
	pool := wire.NewPool(func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := wire.DialTCP(ctx, address)
		return countingConn{conn, &transferred}, err
	})
	defer pool.Close()
	for i := 0; b.Loop(); i++ {
		request := &PermitRequest{Request: serverlimit.Request{Entry: fmt.Sprint("front-hall-", i%26),
			Server: "i-ed304b004c", Known: limitOf(2.1), Want: 1}}
		if err := pool.Call(context.Background(), l.Addr().String(), ServiceName+".AcquirePermits", request, &PermitReply{}); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(transferred.Load())/float64(b.N), "bytes/op")
}

// BenchmarkPublishedLimits measures the bytes of the limits in a watch reply.
func BenchmarkPublishedLimits(b *testing.B) {
	for _, n := range []int{1, 10, 100} {
		b.Run(fmt.Sprint(n, " servers"), func(b *testing.B) {
			limits := map[string]serverlimit.Age{}
			for i := range n {
				limits[fmt.Sprintf("i-%010x", i)] = *limitOf(2.1)
			}
			size := 0
			for b.Loop() {
				var without, with bytes.Buffer
				if err := gob.NewEncoder(&without).Encode(&WatchReply{}); err != nil {
					b.Fatal(err)
				}
				if err := gob.NewEncoder(&with).Encode(&WatchReply{HasLimits: true, Limits: limits,
					LimitsStamp: Stamp{Source: "10.1.0.24:7200/0123456789abcdef", Number: 7}}); err != nil {
					b.Fatal(err)
				}
				size = with.Len() - without.Len()
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
