package peer

import (
	"context"
	"time"

	"arbutusmast.example/arbutusmast/core/message"
	"go.uber.org/zap"
)

// Evacuations returns the set of evacuated failure domains. The caller must not modify
// it. While the control group cannot be reached, it is the last known set.
func (s *State) Evacuations() message.EvacuationSet { return *s.evacuations.Load() }

// OnEvacuations registers f to be called with the set of evacuated failure domains and
// after each change of it, in order and from one goroutine. f must not block.
func (s *State) OnEvacuations(ctx context.Context, f func(message.EvacuationSet)) {
	s.events.Push(ctx, func(time.Duration) {
		s.onEvacuations = append(s.onEvacuations, f)
		f(s.Evacuations())
	})
}

// publishEvacuations makes a changed set visible and logs which evacuations took effect
// or ended.
func (s *State) publishEvacuations(next message.EvacuationSet) {
	previous := s.Evacuations()
	if next.Revision == previous.Revision {
		return
	}
	s.evacuations.Store(&next)
	for _, domain := range next.Domains {
		if !previous.Contains(domain) {
			s.options.Logger.Info("evacuation takes effect", zap.String("failure_domain", domain),
				zap.Uint64("evacuations_revision", next.Revision))
		}
	}
	for _, domain := range previous.Domains {
		if !next.Contains(domain) {
			s.options.Logger.Info("evacuation ended", zap.String("failure_domain", domain),
				zap.Uint64("evacuations_revision", next.Revision))
		}
	}
	for _, f := range s.onEvacuations {
		f(next)
	}
}
