package fleet

import (
	"context"
	"math/rand"
	"sync"
	"sync/atomic"
	"time"

	"arbutusmast.example/arbutusmast/core/desired"
	"arbutusmast.example/arbutusmast/wire"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

const (
	// watchHold is how long a member may hold a watch before it replies without
	// changes. A lost member is detected after watchHold plus watchGrace.
	watchHold     = 400 * time.Millisecond
	watchGrace    = 500 * time.Millisecond
	lazyWatchHold = 1500 * time.Millisecond
	// failedMemberBackoff is how long a member is not preferred after a failed watch.
	failedMemberBackoff = 3 * time.Second
	// watchRetryInterval is the delay after a failed watch.
	watchRetryInterval = 50 * time.Millisecond
	// maxConfirmationAge is the age of a member's last quorum confirmation above which the
	// watcher changes to another member, because this one may be partitioned.
	maxConfirmationAge = time.Second
	// listFallbackAge is the age of the list at which a daemon without contact to the control
	// group starts to read it from the platform itself. With contact, it waits for
	// contactFallbackAge, because reads of all daemons would take the calls that the leader
	// needs. listFallbackInterval is the least delay between two such reads.
	listFallbackAge      = 2500 * time.Millisecond
	contactFallbackAge   = 6 * time.Second
	listFallbackInterval = time.Second
	// listTimeout limits one read of all pages of the list.
	listTimeout = 10 * time.Second
)

// WatcherOptions holds the parameters of a Watcher.
type WatcherOptions struct {
	// Seeds returns the peer addresses of the members to contact first.
	Seeds func() []string
	Codec Codec
	// Directory is read when the control group provides no recent list. It may be nil.
	Directory Directory
	Pool      *wire.Pool
	Logger    *zap.Logger
	// FailureDomain is the failure domain of this daemon. Members in it are
	// preferred, because traffic between failure domains is expensive.
	FailureDomain string
	// LeaderOnly is set for a process that only forwards calls to the leader.
	LeaderOnly bool
	// Lazy is set for a daemon that needs the current loads only occasionally.
	Lazy bool
	// Entry is the name under which this daemon places requests, empty on other daemons.
	Entry string
	// MemberAddress is the peer address of the control member that this watcher
	// serves, empty on other daemons. A control member watches only the leader.
	MemberAddress string
	// WantsTight is set on daemons that need to know which services are tight.
	WantsTight bool
}

// Watcher keeps a daemon's copy of the desired state and the server list up to date.
type Watcher struct {
	options WatcherOptions
	rng     *rand.Rand
	view    atomic.Pointer[View]
	// confirmed is the time since boot at which a quorum last confirmed the desired state,
	// and listRead that of the last read of the list; 0 before the first.
	confirmed, listRead atomic.Int64
	// startedAt is the time since boot at which this watcher was made.
	startedAt time.Duration
	// watched is the peer address of the member to watch, empty while none is chosen.
	watched string
	// memberDomains maps members that replied to their failure domains.
	memberDomains map[string]string
	// failedAt maps members to the times at which their watches last failed.
	failedAt       map[string]time.Duration
	disconnected   bool
	disconnectedAt time.Duration

	// evacuationLogger logs evacuations that begin and end. Entries and agents do that themselves,
	// where they act on it.
	evacuationLogger *zap.Logger

	mu        sync.Mutex
	listeners []func(*View)
}

// NewWatcher returns a Watcher. Run starts it.
func NewWatcher(options WatcherOptions) *Watcher {
	w := &Watcher{options: options, memberDomains: map[string]string{}, failedAt: map[string]time.Duration{},
		rng: rand.New(rand.NewSource(time.Now().UnixNano())), evacuationLogger: zap.NewNop(),
		startedAt: SinceBoot()}
	if options.LeaderOnly {
		w.evacuationLogger = options.Logger
	}
	w.view.Store(&View{})
	return w
}

// View returns the newest view.
func (w *Watcher) View() *View { return w.view.Load() }

// OnChange registers a function that is called with each changed view.
func (w *Watcher) OnChange(listener func(*View)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.listeners = append(w.listeners, listener)
}

// ConfirmedAge returns an upper bound of the time since a quorum confirmed that no
// newer desired state was in force. It returns false before the first confirmation.
func (w *Watcher) ConfirmedAge() (time.Duration, bool) { return readingAge(&w.confirmed) }

// ListAge returns an upper bound of the time since the platform's list was read. It
// returns false before the first read.
func (w *Watcher) ListAge() (time.Duration, bool) { return readingAge(&w.listRead) }

// readingAge returns the time since a stored reading of SinceBoot, false if there is none.
func readingAge(reading *atomic.Int64) (time.Duration, bool) {
	at := reading.Load()
	if at == 0 {
		return 0, false
	}
	return SinceBoot() - time.Duration(at), true
}

// storeMax stores value if it is later than the stored reading of SinceBoot, else it returns false.
func storeMax(reading *atomic.Int64, value time.Duration) bool {
	for {
		old := reading.Load()
		if int64(value) <= old {
			return false
		}
		if reading.CompareAndSwap(old, int64(value)) {
			return true
		}
	}
}

// Run watches the control group until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	if w.options.Directory != nil {
		go w.runListFallback(ctx)
	}
	for ctx.Err() == nil {
		address := w.nextMember()
		if address != "" {
			err := w.watch(ctx, address)
			w.logContact(address, err)
			if err == nil {
				continue
			}
			w.failedAt[address] = SinceBoot()
			w.watched = ""
		}
		select {
		case <-ctx.Done():
		case <-time.After(watchRetryInterval):
		}
	}
}

// logContact logs the first failed watch and the first successful one after it.
func (w *Watcher) logContact(address string, err error) {
	if err != nil && !w.disconnected {
		w.disconnected, w.disconnectedAt = true, SinceBoot()
		w.options.Logger.Warn("lost contact with a control member", zap.String("member", address), zap.Error(err))
	}
	if err == nil && w.disconnected {
		w.disconnected = false
		w.options.Logger.Info("regained contact with the control group", zap.String("member", address),
			zap.Duration("lost_for_seconds", SinceBoot()-w.disconnectedAt))
	}
}

// nextMember returns the member to watch: the current one, else a known member in this
// daemon's failure domain, else a random known member or seed. A control member's watcher
// always gets the leader. It is empty while no member is known, and on the leader itself.
func (w *Watcher) nextMember() string {
	v := w.view.Load()
	if w.options.MemberAddress != "" {
		if v.Leader == w.options.MemberAddress {
			return ""
		}
		return v.Leader
	}
	if w.watched != "" {
		return w.watched
	}
	for _, member := range v.Members {
		if w.memberDomains[member] == w.options.FailureDomain && w.options.FailureDomain != "" && !w.failedRecently(member) {
			w.watched = member
			return w.watched
		}
	}
	candidates := append(append([]string(nil), v.Members...), w.options.Seeds()...)
	if len(candidates) == 0 {
		return ""
	}
	w.watched = candidates[w.rng.Intn(len(candidates))]
	return w.watched
}

// failedRecently reports whether a watch of a member failed within failedMemberBackoff. Each
// watch of a member whose host has no power takes about a second to fail.
func (w *Watcher) failedRecently(member string) bool {
	at, known := w.failedAt[member]
	return known && SinceBoot()-at < failedMemberBackoff
}

// watch makes one Watch call and merges the reply. It returns an error if the member
// has no recent confirmation by a quorum.
func (w *Watcher) watch(ctx context.Context, address string) error {
	v := w.view.Load()
	wait := watchHold
	if w.options.Lazy {
		wait = lazyWatchHold
	}
	request := &WatchRequest{Version: v.Version, List: v.listStamp, Wait: wait, Lazy: w.options.Lazy, Entry: w.options.Entry,
		LeaderOnly: w.options.LeaderOnly, WantsEvacuations: w.wantsEvacuations(), Evacuations: v.evacuationRevision,
		AcceptsUnconfirmed: SinceBoot()-w.startedAt > unconfirmedHold,
		WantsLimits:        true, Limits: v.limitsStamp, WantsParts: w.wantsParts(), Parts: v.partsStamp,
		WantsStandings: true, Standings: v.standingsStamp, WantsTight: w.options.WantsTight, Tight: v.TightStamp}
	if v.Table == nil {
		request.Version = 0
	}
	sent := SinceBoot()
	var reply WatchReply
	callCtx, cancel := context.WithTimeout(ctx, wait+watchGrace)
	defer cancel()
	if err := w.options.Pool.Call(callCtx, address, ServiceName+".Watch", request, &reply); err != nil {
		return err
	}
	if err := w.mergeReply(&reply, sent); err != nil {
		return err
	}
	w.memberDomains[address] = reply.FailureDomain
	w.preferOwnDomain(v, reply.FailureDomain)
	if !reply.Confirmed || reply.ConfirmedAge > maxConfirmationAge {
		return errors.Errorf("the member has no quorum confirmation, or only one from %v ago", reply.ConfirmedAge)
	}
	return nil
}

// wantsParts reports whether this daemon needs the parts of prompts that may crash backend
// servers. Agents, whose watches are lazy, do not.
func (w *Watcher) wantsParts() bool { return !w.options.Lazy }

// wantsEvacuations reports whether this daemon learns of evacuations from members. Members have
// them in the replicated log.
func (w *Watcher) wantsEvacuations() bool { return w.options.MemberAddress == "" }

// Refresh gets the newest list with the current loads from the leader without a wait.
func (w *Watcher) Refresh(ctx context.Context) error {
	v := w.view.Load()
	sent := SinceBoot()
	var reply WatchReply
	if err := w.options.Pool.Call(ctx, v.Leader, ServiceName+".Watch",
		&WatchRequest{Version: v.Version, List: v.listStamp, Entry: w.options.Entry,
			WantsEvacuations: w.wantsEvacuations(), Evacuations: v.evacuationRevision, WantsLimits: true, Limits: v.limitsStamp,
			WantsParts: w.wantsParts(), Parts: v.partsStamp, WantsStandings: true, Standings: v.standingsStamp,
			WantsTight: w.options.WantsTight, Tight: v.TightStamp}, &reply); err != nil {
		return err
	}
	return w.mergeReply(&reply, sent)
}

// preferOwnDomain selects the next member to watch if the member that replied is in
// another failure domain: one that is in this daemon's failure domain, or one whose
// failure domain is not known yet.
func (w *Watcher) preferOwnDomain(v *View, answeredDomain string) {
	if answeredDomain == w.options.FailureDomain || w.options.FailureDomain == "" || w.options.MemberAddress != "" {
		return
	}
	for _, member := range v.Members {
		domain, known := w.memberDomains[member]
		if (!known || domain == w.options.FailureDomain) && !w.failedRecently(member) {
			w.watched = member
			w.memberDomains[member] = domain
			return
		}
	}
}

// mergeReply updates the view with a reply to a request that was sent at the given
// time since boot. It never replaces newer data by older data.
func (w *Watcher) mergeReply(reply *WatchReply, sent time.Duration) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	old := w.view.Load()
	next := *old
	changed := next.applyEvacuations(reply, SinceBoot(), w.evacuationLogger)
	if reply.Document != nil && (old.Table == nil || reply.Version > old.Version) {
		table, err := w.decodeDocument(reply.Document)
		if err != nil {
			// The evacuations are in force also at a daemon that cannot decode the desired state.
			if changed {
				w.view.Store(&next)
				w.notifyLocked(&next)
			}
			return err
		}
		next.Table, next.Version = table, reply.Version
		changed = true
		w.options.Logger.Info("desired state put in force", zap.Uint64("revision", reply.Version),
			zap.Uint64("previous_revision", old.Version), zap.Int("routes", len(table.State.Routes)))
	}
	// Ages are converted to times of this host's clock. The time at which the request
	// was sent stands for its arrival at the member, so data never seem newer than
	// they are.
	if reply.HasList {
		newer := storeMax(&w.listRead, sent+reply.Held-reply.ListAge)
		if (newer || reply.List.Source == old.listStamp.Source) && next.applyList(reply) {
			changed = true
		}
	}
	if next.applyTables(reply, sent+reply.Held) {
		changed = true
	}
	if len(reply.Members) > 0 {
		next.Members = reply.Members
	}
	if reply.Leader != "" {
		next.Leader = reply.Leader
	}
	w.view.Store(&next)
	if reply.Confirmed && next.Table != nil && next.Version >= reply.Version {
		storeMax(&w.confirmed, sent+reply.Held-reply.ConfirmedAge)
	}
	if changed {
		w.notifyLocked(&next)
	}
	return nil
}

// notifyLocked calls the listeners with a new view. The caller holds w.mu.
func (w *Watcher) notifyLocked(v *View) {
	for _, listener := range w.listeners {
		listener(v)
	}
}

// decodeDocument decodes a compressed document.
func (w *Watcher) decodeDocument(compressed []byte) (*desired.Table, error) {
	document, err := decompress(compressed)
	if err != nil {
		return nil, err
	}
	state, err := w.options.Codec.Decode(document)
	if err != nil {
		return nil, err
	}
	return desired.NewTable(state), nil
}

// SetLeader sets the leader, the only member that a control member's watcher watches.
func (w *Watcher) SetLeader(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	next := *w.view.Load()
	next.Leader = address
	w.view.Store(&next)
}
