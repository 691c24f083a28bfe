package fleet

import (
	"context"
	"math/rand"
	"time"

	"arbutusmast.example/arbutusmast/core/backend"
	"go.uber.org/zap"
)

// runListFallback reads the list directly from the platform while the control group provides
// no recent one: first the servers of this daemon's failure domain, then all. The interval is
// randomized, so that the daemons do not read it all at once.
func (w *Watcher) runListFallback(ctx context.Context) {
	started := SinceBoot()
	ownDomainRead := false
	for ctx.Err() == nil {
		pause := listFallbackInterval + time.Duration(rand.Int63n(int64(listFallbackInterval/2)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		if !w.needsFallback(SinceBoot() - started) {
			ownDomainRead = false
			continue
		}
		domain := w.options.FailureDomain
		if ownDomainRead {
			domain = ""
		}
		start := SinceBoot()
		callCtx, cancel := context.WithTimeout(ctx, listTimeout)
		servers, err := w.options.Directory.List(callCtx, domain)
		cancel()
		if err != nil {
			w.options.Logger.Warn("failed to read the platform's list of backend servers",
				zap.String("only_failure_domain", domain), zap.Error(err))
			continue
		}
		ownDomainRead = true
		w.setFallbackList(servers, domain, start)
	}
}

// needsFallback reports whether the list is too old to wait for the control group. A daemon
// that has no list or no contact yet counts from its start.
func (w *Watcher) needsFallback(sinceStart time.Duration) bool {
	ageOrUptime := func(age time.Duration, known bool) time.Duration {
		if !known {
			return sinceStart
		}
		return age
	}
	listAge := ageOrUptime(w.ListAge())
	return listAge >= contactFallbackAge || listAge >= listFallbackAge && ageOrUptime(w.ConfirmedAge()) >= listFallbackAge
}

// setFallbackList stores the servers of a failure domain, or all if it is empty, that this
// daemon read from the platform itself.
func (w *Watcher) setFallbackList(servers []backend.Server, failureDomain string, readAt time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	next := *w.view.Load()
	// Before the first whole list, the servers of other failure domains are not new but unknown.
	servers = backend.MarkCold(SinceBoot(), servers, next.Servers, w.listRead.Load() == 0, next.coldStart)
	if failureDomain == "" {
		if !storeMax(&w.listRead, readAt) {
			return
		}
	} else {
		for _, server := range next.Servers {
			if server.FailureDomain != failureDomain {
				servers = append(servers, server)
			}
		}
	}
	next.Servers, next.listStamp = backend.List{Servers: servers, Reports: next.Reports}.Merge(), Stamp{}
	w.view.Store(&next)
	w.options.Logger.Info("read the list of backend servers from the platform without the control group",
		zap.String("only_failure_domain", failureDomain), zap.Int("servers", len(servers)))
	w.notifyLocked(&next)
}
