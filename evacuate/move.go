package evacuate

import (
	"context"
	"slices"
	"time"

	"arbutusmast.example/arbutusmast/core/backend"
	"arbutusmast.example/arbutusmast/core/evacuation"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// move copies a generation while it runs, and then stops it to copy the rest, so that
// the caller sees a pause of only milliseconds.
func (a *Agent) move(ctx context.Context, m evacuation.Move, state *moveState, end time.Time) {
	defer close(state.done)
	agentCtx := ctx
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	select {
	case a.moveSlots <- struct{}{}:
		defer func() { <-a.moveSlots }()
	case <-ctx.Done():
		return
	}
	start := time.Now()
	copiedAt, err := a.preCopy(ctx, &m, end)
	var c Copy
	if err == nil {
		// The generation stops in any case. Its copy may arrive after the planned exit of the server, and a
		// server may exit later.
		stopCtx, cancelStop := context.WithDeadline(agentCtx, end.Add(locateTimeout))
		defer cancelStop()
		c, err = a.stop(stopCtx, m.Generation.ID, m.Destination)
	}
	if err == nil || c.Name != "" {
		a.mu.Lock()
		state.address, state.copy, state.events = m.Destination, c.Name, c.Events
		if err != nil {
			// The final copy failed. The source keeps the memory of the generation that
			// it stopped.
			state.address = a.options.Address
		}
		a.mu.Unlock()
	} else if !errors.Is(err, ErrNotRunning) {
		// The next planMoves plans again, without this destination.
		a.mu.Lock()
		delete(a.moves, m.Generation.ID)
		a.refusedAt[m.Destination] = time.Now()
		a.mu.Unlock()
	}
	if err != nil {
		a.metrics.movesFailed.Add(1)
	} else {
		a.metrics.moved.Add(1)
		a.metrics.preCopyTime.Record(copiedAt.Sub(start))
		a.metrics.stopTime.Record(time.Since(copiedAt))
	}
	a.options.Logger.Info("generation moved", zap.String("request_id", m.Generation.ID),
		zap.String("destination", m.Destination), zap.Int("tokens", m.Generation.Tokens),
		zap.Duration("copy_seconds", copiedAt.Sub(start)), zap.Duration("stop_seconds", time.Since(copiedAt)),
		zap.Int("events", c.Events), zap.Duration("left_seconds", time.Until(end)), zap.Error(err))
}

// preCopy copies a running generation repeatedly, until a copy takes at most
// maxFinalCopy or the server exits soon. If the destination refuses, or its failure domain
// was evacuated, it tries another one. It returns the time at which the last copy ended.
func (a *Agent) preCopy(ctx context.Context, m *evacuation.Move, end time.Time) (time.Time, error) {
	for refusals := 0; ; {
		if a.isEvacuated(m.Destination) && !a.replan(m, time.Until(end)) {
			return time.Now(), errDestinationEvacuated
		}
		start := time.Now()
		_, err := a.options.Engine.Move(ctx, m.Generation.ID, m.Destination, false)
		now := time.Now()
		if err != nil && ctx.Err() == nil && !errors.Is(err, ErrNotRunning) && refusals < maxRefusals {
			refusals++
			if a.replan(m, end.Sub(now)) {
				continue
			}
		}
		if err == nil && a.isEvacuated(m.Destination) {
			continue
		}
		if err != nil || now.Sub(start) <= maxFinalCopy || end.Sub(now) <= forceStopMargin {
			return now, err
		}
	}
}

// errDestinationEvacuated is the error of a move that ends before the generation is stopped,
// because there is no destination outside evacuated failure domains.
var errDestinationEvacuated = errors.New("the failure domain of the destination is evacuated, and no other server has room")

// isEvacuated reports whether the server at an address is in an evacuated failure domain.
func (a *Agent) isEvacuated(address string) bool {
	v := a.options.Fleet.View()
	return len(v.Evacuations) > 0 && slices.ContainsFunc(v.Servers, func(s backend.Server) bool {
		return s.Address == address && v.IsEvacuated(s.FailureDomain)
	})
}

// replan chooses another destination for a move whose destination refused it or was
// evacuated. It returns false if there is none.
func (a *Agent) replan(m *evacuation.Move, remaining time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refusedAt[m.Destination] = time.Now()
	moves := evacuation.Plan([]evacuation.Generation{m.Generation}, a.destinations(), a.link(), remaining)
	if len(moves) == 0 {
		return false
	}
	m.Destination = moves[0].Destination
	return true
}
