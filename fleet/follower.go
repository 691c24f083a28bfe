package fleet

import (
	"context"
	"math/rand"
	"sync"
	"sync/atomic"
	"time"

	"arbutusmast.example/arbutusmast/core/backend"
	"arbutusmast.example/arbutusmast/core/desired"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/wire"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

const (
	// watchWait is how long a member holds a watch without news. A lost member is
	// noticed after watchWait and watchGrace.
	watchWait  = 400 * time.Millisecond
	watchGrace = 500 * time.Millisecond
	lazyWait   = 1500 * time.Millisecond
	// failedLife is how long a member whose watch failed is not preferred.
	failedLife = 3 * time.Second
	// watchRetry is the pause after a failed watch.
	watchRetry = 50 * time.Millisecond
	// staleConfirmation is the age of a member's last quorum confirmation from
	// which another member is asked, because this one may be cut off.
	staleConfirmation = time.Second
	// listFallbackAge is the age of the list from which a daemon reads the
	// platform itself, and listFallbackInterval the pause between such readings.
	listFallbackAge      = 2500 * time.Millisecond
	listFallbackInterval = time.Second
	listTimeout          = 800 * time.Millisecond
)

// View is a daemon's copy of the fleet's state. It does not change.
type View struct {
	// Table is nil until a desired state is known.
	Table   *desired.Table
	Version uint64
	// Servers are the backend servers, with the leaving marks of the reports.
	Servers []backend.Server
	Reports map[string]backend.Report
	// Members and Leader are peer addresses of the control group.
	Members []string
	Leader  string

	list   Stamp
	packed []byte
	// told are the suspected requests as of a reading of Elapsed.
	told   []message.Quarantine
	toldAt time.Duration
}

// Quarantined tells whether a request is suspected of crashing backend servers,
// and for how much longer it is held back.
func (v *View) Quarantined(digest string) (held time.Duration, suspect bool) {
	for _, q := range v.told {
		if left := q.For - (SinceBoot() - v.toldAt); q.Digest == digest && left > 0 {
			if q.Suspect {
				return 0, true
			}
			return left, true
		}
	}
	return 0, false
}

// HasSuspects tells whether any request is suspected.
func (v *View) HasSuspects() bool { return len(v.told) > 0 }

// WatcherOptions holds the parameters of a Follower.
type WatcherOptions struct {
	// Seeds returns the peer addresses to begin with.
	Seeds func() []string
	Codec Codec
	// Directory is read when the control group has no fresh list. It may be nil.
	Directory Directory
	Pool      *wire.Pool
	Logger    *zap.Logger
	// FailureDomain is the own one; members there are preferred, because bytes
	// between failure domains are dear.
	FailureDomain string
	// Lazy is set for a daemon that needs loads only now and then.
	Lazy bool
	// MemberAddress is the own peer address of a control member. Such a follower watches
	// only the leader.
	MemberAddress string
}

// Watcher keeps the copy of the fleet's state of one daemon.
type Watcher struct {
	options WatcherOptions
	rng     *rand.Rand
	view    atomic.Pointer[View]
	// confirmed and listRead are readings of Elapsed, 0 before the first.
	confirmed, listRead atomic.Int64
	asked               string
	// domains are the failure domains of the members that answered.
	domains map[string]string
	// failed are the times at which watches of members failed.
	failed map[string]time.Duration
	lost   bool
	lostAt time.Duration

	mu        sync.Mutex
	listeners []func(*View)
}

// NewWatcher returns a Follower; Run starts it.
func NewWatcher(options WatcherOptions) *Watcher {
	f := &Watcher{options: options, domains: map[string]string{}, failed: map[string]time.Duration{}, rng: rand.New(rand.NewSource(time.Now().UnixNano()))}
	f.view.Store(&View{})
	return f
}

// View returns the newest copy.
func (f *Watcher) View() *View { return f.view.Load() }

// OnChange calls a function with each new copy.
func (f *Watcher) OnChange(listener func(*View)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listeners = append(f.listeners, listener)
}

// ConfirmedAge returns how long ago at most a quorum confirmed that no newer
// desired state was in force.
func (f *Watcher) ConfirmedAge() (time.Duration, bool) { return age(&f.confirmed) }

// ListAge returns how long ago at most the platform's list was read.
func (f *Watcher) ListAge() (time.Duration, bool) { return age(&f.listRead) }

func age(reading *atomic.Int64) (time.Duration, bool) {
	at := reading.Load()
	if at == 0 {
		return 0, false
	}
	return SinceBoot() - time.Duration(at), true
}

func raise(reading *atomic.Int64, to time.Duration) bool {
	for {
		old := reading.Load()
		if int64(to) <= old {
			return false
		}
		if reading.CompareAndSwap(old, int64(to)) {
			return true
		}
	}
}

// Run watches the control group until ctx ends.
func (f *Watcher) Run(ctx context.Context) {
	if f.options.Directory != nil {
		go f.runFallback(ctx)
	}
	for ctx.Err() == nil {
		address := f.next()
		if address != "" {
			err := f.watch(ctx, address)
			f.logContact(address, err)
			if err == nil {
				continue
			}
			f.failed[address] = SinceBoot()
			f.asked = ""
		}
		select {
		case <-ctx.Done():
		case <-time.After(watchRetry):
		}
	}
}

// logContact writes one line for each lost and regained contact.
func (f *Watcher) logContact(address string, err error) {
	if err != nil && !f.lost {
		f.lost, f.lostAt = true, SinceBoot()
		f.options.Logger.Warn("lost contact with a control member", zap.String("member", address), zap.Error(err))
	}
	if err == nil && f.lost {
		f.lost = false
		f.options.Logger.Info("regained contact with the control group", zap.String("member", address),
			zap.Duration("lost_for_seconds", SinceBoot()-f.lostAt))
	}
}

// next returns the member to watch: the one that answered last, or one drawn
// from the known members and the seeds. It is empty while none is known, and
// for the leader's own follower.
func (f *Watcher) next() string {
	v := f.view.Load()
	if f.options.MemberAddress != "" {
		if v.Leader == f.options.MemberAddress {
			return ""
		}
		return v.Leader
	}
	if f.asked != "" {
		return f.asked
	}
	for _, member := range v.Members {
		if f.domains[member] == f.options.FailureDomain && f.options.FailureDomain != "" && !f.failedLately(member) {
			f.asked = member
			return f.asked
		}
	}
	candidates := append(append([]string(nil), v.Members...), f.options.Seeds()...)
	if len(candidates) == 0 {
		return ""
	}
	f.asked = candidates[f.rng.Intn(len(candidates))]
	return f.asked
}

// failedLately tells whether a watch of a member failed a moment ago. A member
// without power costs each watch about a second.
func (f *Watcher) failedLately(member string) bool {
	at, failed := f.failed[member]
	return failed && SinceBoot()-at < failedLife
}

// watch makes one call and takes over what is newer.
func (f *Watcher) watch(ctx context.Context, address string) error {
	v := f.view.Load()
	wait := watchWait
	if f.options.Lazy {
		wait = lazyWait
	}
	request := &WatchRequest{Version: v.Version, List: v.list, Wait: wait, Lazy: f.options.Lazy}
	if v.Table == nil {
		request.Version = 0
	}
	sent := SinceBoot()
	var reply WatchReply
	callCtx, cancel := context.WithTimeout(ctx, wait+watchGrace)
	defer cancel()
	if err := f.options.Pool.Call(callCtx, address, ServiceName+".Watch", request, &reply); err != nil {
		return err
	}
	if err := f.take(&reply, sent); err != nil {
		return err
	}
	f.domains[address] = reply.FailureDomain
	f.lookNearer(v, reply.FailureDomain)
	if !reply.Confirmed || reply.ConfirmedAge > staleConfirmation {
		return errors.Errorf("the member has no confirmation of a quorum, or one of %v ago", reply.ConfirmedAge)
	}
	return nil
}

// Refresh takes over the newest list with its loads from the leader now.
func (f *Watcher) Refresh(ctx context.Context) error {
	v := f.view.Load()
	sent := SinceBoot()
	var reply WatchReply
	if err := f.options.Pool.Call(ctx, v.Leader, ServiceName+".Watch", &WatchRequest{Version: v.Version, List: v.list}, &reply); err != nil {
		return err
	}
	return f.take(&reply, sent)
}

// lookNearer makes the next watch go to a member that did not answer yet, while
// none of the own failure domain did.
func (f *Watcher) lookNearer(v *View, answered string) {
	if answered == f.options.FailureDomain || f.options.FailureDomain == "" || f.options.MemberAddress != "" {
		return
	}
	for _, member := range v.Members {
		domain, known := f.domains[member]
		if (!known || domain == f.options.FailureDomain) && !f.failedLately(member) {
			f.asked = member
			f.domains[member] = domain
			return
		}
	}
}

// take merges a reply. Nothing older replaces something newer.
func (f *Watcher) take(reply *WatchReply, sent time.Duration) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.view.Load()
	next := *old
	changed := false
	if reply.Document != nil && (old.Table == nil || reply.Version > old.Version) {
		table, err := f.decode(reply.Document)
		if err != nil {
			return err
		}
		next.Table, next.Version, next.packed = table, reply.Version, reply.Document
		changed = true
		f.options.Logger.Info("desired state put in force", zap.Uint64("revision", reply.Version),
			zap.Uint64("previous_revision", old.Version), zap.Int("routes", len(table.State.Routes)))
	}
	// The member's clock readings are shifted to this clock by the time at which
	// the request was sent, which is before it arrived.
	if reply.HasList && raise(&f.listRead, sent+reply.Held-reply.ListAge) && reply.Servers != nil {
		list := backend.List{Servers: reply.Servers, Reports: reply.Reports}
		next.Servers, next.Reports, next.list = list.Merge(), reply.Reports, reply.List
		next.told, next.toldAt = reply.Quarantine, SinceBoot()
		changed = true
	}
	if len(reply.Members) > 0 {
		next.Members = reply.Members
	}
	if reply.Leader != "" {
		next.Leader = reply.Leader
	}
	f.view.Store(&next)
	if reply.Confirmed && next.Table != nil && next.Version >= reply.Version {
		raise(&f.confirmed, sent+reply.Held-reply.ConfirmedAge)
	}
	if changed {
		for _, listener := range f.listeners {
			listener(&next)
		}
	}
	return nil
}

func (f *Watcher) decode(packed []byte) (*desired.Table, error) {
	document, err := unpack(packed)
	if err != nil {
		return nil, err
	}
	state, err := f.options.Codec.Decode(document)
	if err != nil {
		return nil, err
	}
	return desired.NewTable(state), nil
}

// SetLeader tells a member's follower whom to watch.
func (f *Watcher) SetLeader(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := *f.view.Load()
	next.Leader = address
	f.view.Store(&next)
}

// runFallback reads the platform's list while the control group has none that
// is fresh.
func (f *Watcher) runFallback(ctx context.Context) {
	for ctx.Err() == nil {
		pause := listFallbackInterval + time.Duration(rand.Int63n(int64(listFallbackInterval/2)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		if age, ok := f.ListAge(); ok && age < listFallbackAge {
			continue
		}
		began := SinceBoot()
		callCtx, cancel := context.WithTimeout(ctx, listTimeout)
		servers, err := f.options.Directory.List(callCtx)
		cancel()
		if err != nil {
			f.options.Logger.Warn("could not read the list of backend servers", zap.Error(err))
			continue
		}
		f.takeList(servers, began)
	}
}

// takeList takes a list that this daemon read itself.
func (f *Watcher) takeList(servers []backend.Server, began time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !raise(&f.listRead, began) {
		return
	}
	next := *f.view.Load()
	next.Servers, next.list = backend.List{Servers: servers, Reports: next.Reports}.Merge(), Stamp{}
	f.view.Store(&next)
	f.options.Logger.Info("list of backend servers read without the control group", zap.Int("servers", len(servers)))
	for _, listener := range f.listeners {
		listener(&next)
	}
}
