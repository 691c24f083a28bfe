package fleet

import (
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
)

// EvacuationLog logs when evacuations of failure domains take effect or end in a process.
type EvacuationLog struct {
	logger *zap.Logger

	mu    sync.Mutex
	known map[string]time.Duration
}

// NewEvacuationLog returns an EvacuationLog that knows of no evacuation.
func NewEvacuationLog(logger *zap.Logger) *EvacuationLog { return &EvacuationLog{logger: logger} }

// Update logs what changed since the view of the previous call.
func (l *EvacuationLog) Update(v *View) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(v.Evacuations)) {
		if _, known := l.known[name]; !known {
			l.logger.Info("evacuation of a failure domain in effect", zap.String("failure_domain", name),
				zap.Duration("learned_ago_seconds", SinceBoot()-v.Evacuations[name]))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(l.known)) {
		if !v.IsEvacuated(name) {
			l.logger.Info("evacuation of a failure domain ended", zap.String("failure_domain", name))
		}
	}
	l.known = v.Evacuations
}
