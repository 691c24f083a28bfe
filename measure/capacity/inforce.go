package capacity

import (
	"context"
	"fmt"
	"math"
	"slices"
	"time"

	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/registry"
	"arbutusmast.example/arbutusmast/peer"
	"arbutusmast.example/arbutusmast/settings"
	"arbutusmast.example/arbutusmast/wire"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// percentile returns the value that as many percent of the values do not
// exceed.
func percentile(values []float64, percent float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	if len(sorted) == 0 {
		return math.NaN()
	}
	return sorted[max(0, int(math.Ceil(percent/100*float64(len(sorted))))-1)]
}

// inForceCallers is small, because all peers of this measurement share the
// processors of one machine. The time to validate a large configuration at one
// daemon is measured on its own.
const inForceCallers = 10

// measureInForce measures the time from the acceptance of a change until it is
// in force at all peers, which are those of daemons with their real interval.
func measureInForce(b *bench) error {
	var median, p99, most []Point
	changes := 2
	if b.quick {
		changes = 1
	}
	for _, n := range b.sizes([]int{10, 50, 100, 200, 400}, []int{2, 3, 4}) {
		times, err := inForce(b.ctx, n, changes)
		if err != nil {
			return err
		}
		median = append(median, Point{float64(n), percentile(times, 50)})
		p99 = append(p99, Point{float64(n), percentile(times, 99)})
		most = append(most, Point{float64(n), percentile(times, 100)})
	}
	b.slope(inForceMedian, "daemons", "s from accepted to in force, median", median)
	b.slope(inForceP99, "daemons", "s, 99 in 100", p99)
	b.slope(inForceMax, "daemons", "s, last daemon", most)
	return nil
}

// inForce returns the times of all peers for some changes.
func inForce(ctx context.Context, n, changes int) ([]float64, error) {
	l, err := startLeader()
	if err != nil {
		return nil, err
	}
	defer l.close()
	whole := sections(inForceCallers, 20, 40, fleetModels)
	if err := l.declare("whole", whole); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	states, err := startPeers(ctx, n, l.address)
	if err != nil {
		return nil, err
	}
	if _, err := waitInForce(ctx, states, 1); err != nil {
		return nil, err
	}
	var times []float64
	for i := range changes {
		// The moment of a change falls anywhere between heartbeats.
		time.Sleep(time.Duration(i) * 570 * time.Millisecond)
		change := map[string]map[string]string{"caller team-00001": {"key_sha256": whole["caller team-00001"]["key_sha256"], "weight": fmt.Sprint(i + 3)}}
		if err := l.declare(fmt.Sprintf("change-%d", i), registry.ApplyDelta(whole, change, nil)); err != nil {
			return nil, err
		}
		part, err := waitInForce(ctx, states, message.Revision(i+2))
		if err != nil {
			return nil, err
		}
		times = append(times, part...)
	}
	return times, nil
}

// startPeers starts the peers of daemons, spread over one heartbeat interval.
func startPeers(ctx context.Context, n int, control string) ([]*peer.State, error) {
	var states []*peer.State
	for i := range n {
		s := settings.Settings{}
		s.Daemon = settings.Daemon{
			Host: hostName(i), FailureDomain: fmt.Sprintf("domain-%d", i%6), Roles: []settings.Role{settings.RoleAgent},
			PeerListen: fmt.Sprintf("127.0.0.1:%d", 30000+i), ControlAddresses: []string{control},
		}
		pool := wire.NewPool(nil)
		context.AfterFunc(ctx, pool.Close)
		var state *peer.State
		var err error
		as(roleDaemon, func() {
			state, err = peer.Start(ctx, peer.Options{
				Settings: s, Pool: pool, Incarnation: message.Incarnation(time.Now().UnixMicro()), Logger: zap.NewNop(),
				AgentAddress: s.Daemon.PeerListen, LinkAddress: s.Daemon.PeerListen,
			})
		})
		if err != nil {
			return nil, err
		}
		states = append(states, state)
		time.Sleep(2 * time.Second / time.Duration(n))
	}
	return states, nil
}

// waitInForce polls until all peers have a revision and returns the time of
// each in seconds.
func waitInForce(ctx context.Context, states []*peer.State, revision message.Revision) ([]float64, error) {
	started := time.Now()
	times := make([]float64, len(states))
	for left := len(states); left > 0; time.Sleep(2 * time.Millisecond) {
		passed := time.Since(started)
		if passed > time.Minute || ctx.Err() != nil {
			return nil, errors.Errorf("revision %d is not in force at %d of %d daemons after %s", revision, left, len(states), passed)
		}
		for i, s := range states {
			if times[i] == 0 && s.Revision() >= revision {
				times[i] = passed.Seconds()
				left--
			}
		}
	}
	return times, nil
}
