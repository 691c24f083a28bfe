package fleet

import (
	"context"
	"math/rand"
	"time"

	"arbutusmast.example/arbutusmast/core/backend"
	"go.uber.org/zap"
)

// runListFallback reads the list directly from the platform while the control group provides
// no recent one. The interval is randomized, so that the daemons do not read it all at once.
func (w *Watcher) runListFallback(ctx context.Context) {
	for ctx.Err() == nil {
		pause := listFallbackInterval + time.Duration(rand.Int63n(int64(listFallbackInterval/2)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		if age, ok := w.ListAge(); ok && age < listFallbackAge {
			continue
		}
		start := SinceBoot()
		callCtx, cancel := context.WithTimeout(ctx, listTimeout)
		servers, err := w.options.Directory.List(callCtx)
		cancel()
		if err != nil {
			w.options.Logger.Warn("failed to read the platform's list of backend servers", zap.Error(err))
			continue
		}
		w.setFallbackList(servers, start)
	}
}

// setFallbackList stores a list that this daemon read from the platform itself.
func (w *Watcher) setFallbackList(servers []backend.Server, readAt time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !storeMax(&w.listRead, readAt) {
		return
	}
	next := *w.view.Load()
	next.Servers, next.listStamp = backend.List{Servers: servers, Reports: next.Reports}.Merge(), Stamp{}
	w.view.Store(&next)
	w.options.Logger.Info("read the list of backend servers from the platform without the control group",
		zap.Int("servers", len(servers)))
	for _, listener := range w.listeners {
		listener(&next)
	}
}
