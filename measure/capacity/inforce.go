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

// percentile returns the smallest value that at least the given percentage of the
// values do not exceed.
func percentile(values []float64, percent float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	if len(sorted) == 0 {
		return math.NaN()
	}
	return sorted[max(0, int(math.Ceil(percent/100*float64(len(sorted))))-1)]
}

// inForceCallers is small because all peers of this measurement share the
// processors of one machine. measureConfiguration measures the time that one
// daemon takes to validate a large configuration.
const inForceCallers = 10

// measureInForce measures the time from the acceptance of a change until it is in
// force at all peers. The peers are those of daemons and use the heartbeat interval
// of production.
func measureInForce(b *bench) error {
	var median, p99, longest []Point
	changes := 2
	if b.quick {
		changes = 1
	}
	for _, n := range b.sizes([]int{10, 50, 100, 200, 400}, []int{2, 3, 4}) {
		times, err := changeDelays(b.ctx, n, changes)
		if err != nil {
			return err
		}
		median = append(median, Point{float64(n), percentile(times, 50)})
		p99 = append(p99, Point{float64(n), percentile(times, 99)})
		longest = append(longest, Point{float64(n), percentile(times, 100)})
	}
	b.addSlope(inForceP50, "daemons", "s from accepted to in force, median", median)
	b.addSlope(inForceP99, "daemons", "s, 99 in 100", p99)
	b.addSlope(inForceMax, "daemons", "s, last daemon", longest)
	return nil
}

// changeDelays applies changes and returns the time that each took at each of n
// peers.
func changeDelays(ctx context.Context, n, changes int) ([]float64, error) {
	leader, err := startControlLeader()
	if err != nil {
		return nil, err
	}
	defer leader.close()
	declared := sections(inForceCallers, 20, 40, fleetModels)
	if err := leader.applySections("whole", declared); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	states, err := startPeers(ctx, n, leader.address)
	if err != nil {
		return nil, err
	}
	if _, err := waitForRevision(ctx, states, 1); err != nil {
		return nil, err
	}
	var times []float64
	for i := range changes {
		// Changes come at different times within the heartbeat interval.
		time.Sleep(time.Duration(i) * 570 * time.Millisecond)
		change := map[string]map[string]string{"caller team-00001": {
			"key_sha256": declared["caller team-00001"]["key_sha256"], "weight": fmt.Sprint(i + 3),
		}}
		if err := leader.applySections(fmt.Sprintf("change-%d", i), registry.ApplyDelta(declared, change, nil)); err != nil {
			return nil, err
		}
		delays, err := waitForRevision(ctx, states, message.Revision(i+2))
		if err != nil {
			return nil, err
		}
		times = append(times, delays...)
	}
	return times, nil
}

// startPeers starts the peers of n daemons, spread over one heartbeat interval.
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
		withRole(roleDaemon, func() {
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

// waitForRevision polls until all peers have the revision, and returns the seconds
// that each took.
func waitForRevision(ctx context.Context, states []*peer.State, revision message.Revision) ([]float64, error) {
	started := time.Now()
	times := make([]float64, len(states))
	for pending := len(states); pending > 0; time.Sleep(2 * time.Millisecond) {
		elapsed := time.Since(started)
		if elapsed > time.Minute || ctx.Err() != nil {
			return nil, errors.Errorf("revision %d is not in force at %d of %d daemons after %s", revision, pending,
				len(states), elapsed)
		}
		for i, s := range states {
			if times[i] == 0 && s.Revision() >= revision {
				times[i] = elapsed.Seconds()
				pending--
			}
		}
	}
	return times, nil
}
