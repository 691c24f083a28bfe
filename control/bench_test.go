package control

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"

	"arbutusmast.example/arbutusmast/core/host"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/registry"
	"arbutusmast.example/arbutusmast/wire"
)

// countingConn counts the bytes of a connection in both directions.
type countingConn struct {
	net.Conn
	sent, received *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}

// countTraffic replaces the client by one that counts the bytes of its connections.
func (f *fixture) countTraffic(sent, received *atomic.Int64) {
	address := f.client.Address()
	f.client = wire.NewClient(address, func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := wire.DialTCP(ctx, address)
		return countingConn{conn, sent, received}, err
	})
}

// newHeartbeat returns the heartbeat of host i with a number of backend servers.
func newHeartbeat(i, servers int, seen uint64) *message.HeartbeatRequest {
	h := &message.HeartbeatRequest{
		Header: message.Header{Host: fmt.Sprintf("gen-pinecrest-%d", i), Incarnation: 1764793000000000000,
			Revision: 100000, PeerAddress: "127.0.0.1:7001"},
		FailureDomain: "pinecrest", Roles: []string{"agent"},
		AgentAddress: "127.0.0.1:7001", LinkAddress: "127.0.0.1:7002",
		ConfigApplied: 100000, MembershipSeen: seen,
	}
	for s := range servers {
		h.BackendServers = append(h.BackendServers,
			message.BackendServerStatus{Name: fmt.Sprintf("generate-%d-%d", i, s), Healthy: true})
	}
	return h
}

// populate registers hosts with backend servers and returns the sequence number of
// the last change.
func (f *fixture) populate(b *testing.B, hosts, servers int) uint64 {
	b.Helper()
	for i := range hosts {
		if _, err := submit[message.LeavingReply](f.Service, &registry.Command{
			Reports: []host.Report{host.ReportFromHeartbeat(newHeartbeat(i, servers, 0))},
		}); err != nil {
			b.Fatal(err)
		}
	}
	return uint64(hosts)
}

// BenchmarkHeartbeat measures a heartbeat that neither reports nor returns changes:
// the processor time of the leader, and the bytes in each direction.
func BenchmarkHeartbeat(b *testing.B) {
	for _, size := range [][2]int{{410, 0}, {410, 2}, {410, 4}, {1640, 2}} {
		b.Run(fmt.Sprintf("hosts=%d/servers=%d", size[0], size[1]), func(b *testing.B) {
			f := newFixture(b)
			seen := f.populate(b, size[0], size[1])
			var sent, received atomic.Int64
			f.countTraffic(&sent, &received)
			if err := f.call("Heartbeat", newHeartbeat(0, size[1], seen), &message.HeartbeatReply{}); err != nil {
				b.Fatal(err)
			}
			sent.Store(0)
			received.Store(0)
			for range 100 {
				if err := f.call("Heartbeat", newHeartbeat(0, size[1], seen), &message.HeartbeatReply{}); err != nil {
					b.Fatal(err)
				}
			}
			requests := make([]*message.HeartbeatRequest, size[0])
			for i := range requests {
				requests[i] = newHeartbeat(i, size[1], seen)
			}
			b.ResetTimer()
			for i := range b.N {
				if err := f.Heartbeat(requests[i%len(requests)], &message.HeartbeatReply{}); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(sent.Load())/100, "request-B")
			b.ReportMetric(float64(received.Load())/100, "reply-B")
		})
	}
}

// BenchmarkHeartbeatCall measures a heartbeat over a connection. The time includes
// both ends and the kernel.
func BenchmarkHeartbeatCall(b *testing.B) {
	f := newFixture(b)
	request := newHeartbeat(0, 2, f.populate(b, 410, 2))
	for range b.N {
		if err := f.call("Heartbeat", request, &message.HeartbeatReply{}); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkChange measures a configuration change of one caller among many on a
// control member, and the bytes that each daemon then fetches.
func BenchmarkChange(b *testing.B) {
	for _, callers := range []int{4500, 18000} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			f := newFixture(b)
			var sent, received atomic.Int64
			f.countTraffic(&sent, &received)
			sections := map[string]map[string]string{}
			for i := range callers {
				sections[fmt.Sprint("caller team", i)] = map[string]string{
					"key_sha256": fmt.Sprintf("%064x", i), "weight": "2", "max_concurrent": "64"}
			}
			change := func(i int) {
				sections["caller team0"] = map[string]string{
					"key_sha256": fmt.Sprintf("%064x", 0), "weight": fmt.Sprint(i + 1), "max_concurrent": "64"}
				reply, err := f.ApplySections(&message.ApplyRequest{ChangeID: fmt.Sprint(i), Operator: "op",
					Expected: message.Revision(i), Sections: sections})
				if err != nil || !reply.Accepted {
					b.Fatal(reply, err)
				}
			}
			change(0)
			b.ResetTimer()
			for i := range b.N {
				change(i + 1)
			}
			b.StopTimer()
			for i := range 11 {
				if i == 1 {
					sent.Store(0)
					received.Store(0)
				}
				reply := &message.ConfigReply{}
				if err := f.call("Config",
					&message.ConfigRequest{From: message.Revision(b.N)}, reply); err != nil || len(reply.Deltas) != 1 {
					b.Fatal(err, len(reply.Deltas))
				}
			}
			b.ReportMetric(float64(sent.Load())/10, "request-B")
			b.ReportMetric(float64(received.Load())/10, "delta-B")
		})
	}
}
