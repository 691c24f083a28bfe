package capacity

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/registry"
	"arbutusmast.example/arbutusmast/core/verdict"
	"arbutusmast.example/arbutusmast/wire"
	"github.com/pkg/errors"
)

// ledgerClients is the number of entries that record calls at the same time.
const ledgerClients = 20

// recordedBody is the size of a typical recorded response: a confirmation or a
// receipt in JSON.
const recordedBody = 300

// beginRequest returns the start of the n-th call that may not be repeated.
func beginRequest(n int64) message.BeginCallRequest {
	_, digest := callerKey(int(n))
	return message.BeginCallRequest{
		Header:     message.Header{Host: "entry-01", Incarnation: 1785000000000000, Revision: 1200, PeerAddress: "10.20.1.1:7400"},
		Key:        message.CallKey{Caller: fmt.Sprintf("team-%05d", n%18000), Key: fmt.Sprintf("4f7d2c1e-93a0-4c55-9d51-%012x", n)},
		BodyDigest: digest, Request: message.NewRequestID("entry-01", 1785000000000000, uint64(n)), Retention: 24 * time.Hour,
	}
}

func finishRequest(begin message.BeginCallRequest) message.FinishCallRequest {
	return message.FinishCallRequest{
		Header: begin.Header, Key: begin.Key, Request: begin.Request, Verdict: verdict.Ran,
		Response: message.RecordedResponse{
			Status: 200, HTTPHeader: map[string][]string{"Content-Type": {"application/json"}}, Body: make([]byte, recordedBody),
		},
	}
}

// measureLedger measures calls at the leader with a ledger that already holds
// records.
func measureLedger(b *bench) error {
	var cpu, payload, memory, snapshot, inLog []Point
	for _, records := range b.sizes([]int{10_000, 40_000, 120_000}, []int{50, 100, 200}) {
		before := heldBytes()
		l, err := startLeader()
		if err != nil {
			return err
		}
		if err := l.fill(int64(records)); err != nil {
			return err
		}
		size := float64(records)
		memory = append(memory, Point{size, heldBytes() - before})
		calls, u, bytes, err := l.callAll(b, int64(records), b.lasting(phaseTime))
		if err != nil {
			return err
		}
		cpu = append(cpu, Point{size, perOperation(u.byRole[roleLeader], calls)})
		payload = append(payload, Point{size, float64(bytes) / float64(calls)})
		snapshot = append(snapshot, Point{size, milliseconds(b, func() { _, err = l.machine.Snapshot() })})
		l.close()
		if err != nil {
			return err
		}
		bytes, err = logBytesOfCall()
		if err != nil {
			return err
		}
		inLog = append(inLog, Point{size, float64(bytes)})
	}
	b.slope(ledgerCPU, "records", "µs/call at the leader, without replication", cpu)
	b.slope(ledgerBytes, "records", "bytes/call between entry and leader", payload)
	b.slope(ledgerLogBytes, "records", "bytes/call in the log", inLog)
	b.slope(ledgerMemory, "records", "bytes at a control member", memory)
	b.slope(ledgerSnapshot, "records", "ms to encode a snapshot", snapshot)
	return nil
}

// fill records finished calls without a connection.
func (l *leader) fill(records int64) error {
	for n := range records {
		begin := beginRequest(n)
		var reply message.BeginCallReply
		if err := l.service.BeginCall(&begin, &reply); err != nil {
			return err
		}
		finish := finishRequest(begin)
		if err := l.service.FinishCall(&finish, &message.FinishCallReply{}); err != nil {
			return err
		}
	}
	return nil
}

// callAll sends calls from several entries for a time.
func (l *leader) callAll(b *bench, first int64, d time.Duration) (calls int64, u usage, payload int64, err error) {
	var sequence, done, failures atomic.Int64
	sequence.Store(first)
	var t traffic
	u, err = b.phase(func() error {
		ctx, cancel := context.WithTimeout(b.ctx, d)
		defer cancel()
		var all sync.WaitGroup
		as(roleEntry, func() {
			for range ledgerClients {
				all.Go(func() {
					client := wire.NewClient(l.address, t.dialer())
					defer client.Close()
					for ctx.Err() == nil {
						if recordCall(b.ctx, client, sequence.Add(1)) != nil {
							failures.Add(1)
							return
						}
						done.Add(1)
						time.Sleep(10 * time.Millisecond)
					}
				})
			}
		})
		all.Wait()
		return nil
	})
	if err == nil && failures.Load() > 0 {
		err = errors.Errorf("%d stand-in entries failed", failures.Load())
	}
	return done.Load(), u, t.total(), err
}

func recordCall(ctx context.Context, client *wire.Client, n int64) error {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	begin := beginRequest(n)
	var begun message.BeginCallReply
	if err := client.Call(ctx, "Control.BeginCall", begin, &begun); err != nil {
		return err
	}
	if begun.State != message.CallNew {
		return errors.Errorf("call %d has state %d", n, begun.State)
	}
	return client.Call(ctx, "Control.FinishCall", finishRequest(begin), &message.FinishCallReply{})
}

// logBytesOfCall returns the size of the two commands of a call.
func logBytesOfCall() (int64, error) {
	begin := beginRequest(1)
	finish := finishRequest(begin)
	sum := 0
	for _, c := range []*registry.Command{
		{Time: time.Hour, Proposer: 1 << 63, BeginCall: &registry.BeginCall{
			Caller: begin.Key.Caller, Key: begin.Key.Key, BodyDigest: begin.BodyDigest, Request: begin.Request, Retention: begin.Retention}},
		{Time: time.Hour, Proposer: 1 << 63, FinishCall: &registry.FinishCall{
			Caller: begin.Key.Caller, Key: begin.Key.Key, Request: begin.Request, Response: finish.Response}},
	} {
		encoded, err := registry.EncodeCommand(c)
		if err != nil {
			return 0, err
		}
		sum += len(encoded)
	}
	return int64(sum), nil
}
