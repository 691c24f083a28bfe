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

// ledgerClients is the number of entries that record calls concurrently.
const ledgerClients = 20

// recordedBodyBytes is the size of a typical recorded response: a confirmation or
// a receipt in JSON.
const recordedBodyBytes = 300

// beginRequest returns the request that begins the n-th non-repeatable call.
func beginRequest(n int64) message.BeginCallRequest {
	_, digest := callerKey(int(n))
	return message.BeginCallRequest{
		Header: message.Header{Host: "entry-01", Incarnation: 1785000000000000, Revision: 1200,
			PeerAddress: "10.20.1.1:7400"},
		Key: message.CallKey{Caller: fmt.Sprintf("team-%05d", n%18000),
			Key: fmt.Sprintf("4f7d2c1e-93a0-4c55-9d51-%012x", n)},
		BodyDigest: digest, Request: message.NewRequestID("entry-01", 1785000000000000, uint64(n)),
		Retention: 24 * time.Hour,
	}
}

func finishRequest(begin message.BeginCallRequest) message.FinishCallRequest {
	return message.FinishCallRequest{
		Header: begin.Header, Key: begin.Key, Request: begin.Request, Verdict: verdict.Ran,
		Response: message.RecordedResponse{
			Status: 200, HTTPHeader: map[string][]string{"Content-Type": {"application/json"}},
			Body: make([]byte, recordedBodyBytes),
		},
	}
}

// measureLedger measures calls at a leader whose ledger already holds records.
func measureLedger(b *bench) error {
	var cpu, payload, memory, snapshot, logBytes []Point
	for _, records := range b.sizes([]int{10_000, 40_000, 120_000}, []int{50, 100, 200}) {
		before := liveBytes()
		leader, err := startControlLeader()
		if err != nil {
			return err
		}
		if err := leader.fill(int64(records)); err != nil {
			return err
		}
		size := float64(records)
		memory = append(memory, Point{size, liveBytes() - before})
		calls, u, bytes, err := leader.recordCalls(b, int64(records), b.duration(phaseDuration))
		if err != nil {
			return err
		}
		cpu = append(cpu, Point{size, microsecondsPerOperation(u.cpuSecondsByRole[roleLeader], calls)})
		payload = append(payload, Point{size, float64(bytes) / float64(calls)})
		snapshot = append(snapshot, Point{size, medianMilliseconds(b, func() { _, err = leader.machine.Snapshot() })})
		leader.close()
		if err != nil {
			return err
		}
		bytes, err = callLogBytes()
		if err != nil {
			return err
		}
		logBytes = append(logBytes, Point{size, float64(bytes)})
	}
	b.addSlope(ledgerCallLeaderCPU, "records", "µs/call at the leader, without replication", cpu)
	b.addSlope(ledgerCallBytes, "records", "bytes/call between entry and leader", payload)
	b.addSlope(ledgerCallLogBytes, "records", "bytes/call in the log", logBytes)
	b.addSlope(ledgerRecordMemory, "records", "bytes at a control member", memory)
	b.addSlope(ledgerSnapshotTime, "records", "ms to encode a snapshot", snapshot)
	return nil
}

// fill records finished calls directly at the service, without a connection.
func (l *controlLeader) fill(records int64) error {
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

// recordCalls sends calls from ledgerClients entries for the duration d. The calls
// are numbered from firstSequence+1 on.
func (l *controlLeader) recordCalls(b *bench, firstSequence int64, d time.Duration) (calls int64, u usage,
	payload int64, err error) {
	var sequence, completed, failures atomic.Int64
	sequence.Store(firstSequence)
	var clientTraffic traffic
	u, err = b.measurePhase(func() error {
		ctx, cancel := context.WithTimeout(b.ctx, d)
		defer cancel()
		var wg sync.WaitGroup
		withRole(roleEntry, func() {
			for range ledgerClients {
				wg.Go(func() {
					client := wire.NewClient(l.address, clientTraffic.dialer())
					defer client.Close()
					for ctx.Err() == nil {
						if recordCall(b.ctx, client, sequence.Add(1)) != nil {
							failures.Add(1)
							return
						}
						completed.Add(1)
						time.Sleep(10 * time.Millisecond)
					}
				})
			}
		})
		wg.Wait()
		return nil
	})
	if err == nil && failures.Load() > 0 {
		err = errors.Errorf("%d simulated entries failed", failures.Load())
	}
	return completed.Load(), u, clientTraffic.total(), err
}

func recordCall(ctx context.Context, client *wire.Client, n int64) error {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	begin := beginRequest(n)
	var beginReply message.BeginCallReply
	if err := client.Call(ctx, "Control.BeginCall", begin, &beginReply); err != nil {
		return err
	}
	if beginReply.State != message.CallNew {
		return errors.Errorf("call %d is not new: state %d", n, beginReply.State)
	}
	return client.Call(ctx, "Control.FinishCall", finishRequest(begin), &message.FinishCallReply{})
}

// callLogBytes returns the encoded size of the two log commands of a call.
func callLogBytes() (int64, error) {
	begin := beginRequest(1)
	finish := finishRequest(begin)
	sum := 0
	for _, c := range []*registry.Command{
		{Time: time.Hour, Proposer: 1 << 63, BeginCall: &registry.BeginCall{
			Caller: begin.Key.Caller, Key: begin.Key.Key, BodyDigest: begin.BodyDigest, Request: begin.Request,
			Retention: begin.Retention}},
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
