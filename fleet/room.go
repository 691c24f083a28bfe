package fleet

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"arbutusmast.example/arbutusmast/core/consensus"
	"arbutusmast.example/arbutusmast/core/serviceroom"
	"arbutusmast.example/arbutusmast/core/verdict"
	"go.uber.org/zap"
)

// roomTimeout limits one renewal of a lease. A late answer still has decisions, and an entry sends
// the next renewal meanwhile.
const roomTimeout = serviceroom.LeaseLifetime

// roomTable grants the memory of services to entries while this member leads, and knows which
// services are tight, which the other members copy.
type roomTable struct {
	// source identifies this member's process.
	source string
	// notify wakes the watches that wait for a change.
	notify func()
	logger *zap.Logger

	mu    sync.Mutex
	stamp Stamp
	// tight are the services that are published as tight, in order.
	tight []string
	// ledgers is nil unless this member leads. It belongs to one term, because another leader may
	// have granted leases between two terms.
	ledgers map[string]*serviceroom.Ledger
	// capacities are those that the ledgers were last given.
	capacities map[string]serviceroom.Capacity
	term       uint64
	// termSource is the source of stamps in the term.
	termSource string
	// measured are the services that have metrics.
	measured map[string]bool
	// grantsFrom is when the leases of the previous leader have ended. Until then the services that
	// it published as tight stay so.
	grantsFrom time.Duration
	metrics    roomMetrics
}

// lead makes this member grant in a term.
func (t *roomTable) lead(now time.Duration, term uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ledgers != nil && t.term == term {
		return
	}
	t.ledgers, t.capacities = map[string]*serviceroom.Ledger{}, map[string]serviceroom.Capacity{}
	t.termSource = fmt.Sprint(t.source, "/", term)
	t.term, t.grantsFrom = term, now+serviceroom.LeaseLifetime
}

// setCapacities sets the capacities of all services, forgets other services, and publishes which
// services are tight if that changed. It has no effect on a member that does not lead.
func (t *roomTable) setCapacities(now time.Duration, capacities map[string]serviceroom.Capacity) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ledgers == nil {
		return
	}
	for service, capacity := range capacities {
		if t.ledgers[service] == nil {
			t.ledgers[service] = serviceroom.NewLedger(t.grantsFrom)
		}
		t.ledgers[service].SetCapacity(now, capacity)
	}
	for service := range t.ledgers {
		if _, known := capacities[service]; !known {
			delete(t.ledgers, service)
		}
	}
	t.capacities = capacities
	t.publishLocked(now)
	t.updateMetricsLocked(now)
}

// renew renews the lease of an entry. It returns false on a member that does not lead, and for a
// service whose capacity is not known.
func (t *roomTable) renew(now time.Duration, service string, r serviceroom.Renewal) (serviceroom.Grant, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ledger := t.ledgers[service]
	if ledger == nil {
		return serviceroom.Grant{}, false
	}
	grant := ledger.Renew(now, r)
	t.publishLocked(now)
	t.logRefusals(now, service, r, grant)
	return grant, true
}

// logRefusals logs the generations that a renewal refuses, with what the decision followed from.
func (t *roomTable) logRefusals(now time.Duration, service string, r serviceroom.Renewal, grant serviceroom.Grant) {
	capacity := t.capacities[service]
	for _, d := range r.Waiting {
		decision, decided := grant.Decisions[d.ID]
		if !decided || decision.Admit {
			continue
		}
		t.logger.Info("no room for a generation", zap.String("service", service), zap.String("entry", r.Entry),
			zap.String("caller", d.Caller), zap.Int("need_tokens", d.Need), zap.Int("priority", d.Priority),
			zap.Stringer("cause", decision.Reason), zap.Int("caller_tokens", decision.Share),
			zap.Int("room_tokens", decision.Room), zap.Int("lease_tokens", grant.Lease),
			zap.Int("service_tokens", capacity.Total), zap.Int("used_tokens", capacity.Used),
			zap.Duration("waited_seconds", d.Age), zap.Duration("patience_seconds", d.Patience),
			zap.Duration("retry_after_seconds", decision.RetryAfter))
	}
}

// publishLocked publishes which services are tight, if that changed or a new leader has learned
// it. Before that, what its predecessor published holds. The caller holds t.mu.
func (t *roomTable) publishLocked(now time.Duration) {
	if now < t.grantsFrom {
		return
	}
	var tight []string
	for service, ledger := range t.ledgers {
		isTight := ledger.Tight(now)
		if isTight {
			tight = append(tight, service)
		}
		if was := slices.Contains(t.tight, service); isTight != was {
			t.logTight(now, service, isTight)
		}
	}
	slices.Sort(tight)
	if slices.Equal(tight, t.tight) && t.stamp.Source == t.termSource {
		return
	}
	t.tight, t.stamp = tight, Stamp{Source: t.termSource, Number: t.stamp.Number + 1}
	t.notify()
}

// logTight logs that a service became tight or stopped being so.
func (t *roomTable) logTight(now time.Duration, service string, tight bool) {
	message := "service is no longer tight"
	if tight {
		message = "service is tight"
	}
	c, s := t.capacities[service], t.ledgers[service].Stats(now)
	t.logger.Info(message, zap.String("service", service), zap.Int("engines", c.Engines), zap.Int("service_tokens", c.Total),
		zap.Int("used_tokens", c.Used), zap.Int("leaving_tokens", c.Leaving), zap.Int("fullest_tokens", c.Fullest),
		zap.Int("grantable_tokens", s.Grantable), zap.Int("leased_tokens", s.Leased), zap.Int("moves_tokens", s.Headroom),
		zap.Int("short_tokens", s.ShortPeak))
}

// copyFrom replaces the tight services by the leader's, which this member's watcher received.
func (t *roomTable) copyFrom(v *View) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ledgers = nil
	t.updateMetricsLocked(0)
	if v.TightStamp == t.stamp || v.TightStamp == (Stamp{}) {
		return
	}
	t.stamp, t.tight = v.TightStamp, slices.Sorted(maps.Keys(v.Tight))
	t.notify()
}

// hasNewer reports whether the tight services differ from those with the known stamp.
func (t *roomTable) hasNewer(known Stamp) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stamp != known && t.stamp != (Stamp{})
}

// fillReply sets the tight services in a reply if their stamp differs from the known one.
func (t *roomTable) fillReply(known Stamp, reply *WatchReply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stamp == known || t.stamp == (Stamp{}) {
		return
	}
	reply.HasTight, reply.TightStamp, reply.Tight = true, t.stamp, t.tight
}

// RoomRequest renews an entry's lease of the memory of a service.
type RoomRequest struct {
	Service string
	Renewal serviceroom.Renewal
}

// RoomReply holds the grant if Decided is set. Else the request was sent to another member than
// the leader, and Leader is the leader if the member knows one.
type RoomReply struct {
	Decided bool
	Grant   serviceroom.Grant
	Leader  string
}

// AcquireRoom renews an entry's lease of the memory of a service. Other members than the leader
// return its address instead.
func (s *service) AcquireRoom(request *RoomRequest, reply *RoomReply) error {
	c := s.control
	node := c.node.Load()
	switch {
	case node == nil:
		return rpcError(verdict.New(verdict.NotRun, verdict.ReasonNotReady, "this member has not joined the group"))
	case c.rooms == nil:
		return rpcError(verdict.New(verdict.NotRun, verdict.ReasonNotReady, "this member's settings have no service-wide admission"))
	case node.Status().Role != consensus.Leader:
		reply.Leader, _ = node.Leader()
		return nil
	}
	term, ok := c.confirmedTerm()
	if !ok {
		return rpcError(verdict.New(verdict.NotRun, verdict.ReasonNoQuorum, "no quorum confirmed this leader lately"))
	}
	now := SinceBoot()
	c.rooms.lead(now, term)
	if reply.Grant, reply.Decided = c.rooms.renew(now, request.Service, request.Renewal); !reply.Decided {
		return rpcError(verdict.New(verdict.NotRun, verdict.ReasonNotReady, "the memory of the service is not known"))
	}
	c.rooms.metrics.countDecisions(reply.Grant)
	return nil
}

// AcquireRoom renews this entry's lease of the memory of a service.
func (w *Watcher) AcquireRoom(ctx context.Context, service string, r serviceroom.Renewal) (serviceroom.Grant, error) {
	ctx, cancel := context.WithTimeout(ctx, roomTimeout)
	defer cancel()
	leader := w.View().Leader
	for hop := 0; hop < maxLeaderHops && leader != ""; hop++ {
		var reply RoomReply
		err := w.options.Pool.Call(ctx, leader, ServiceName+".AcquireRoom", &RoomRequest{Service: service, Renewal: r}, &reply)
		if err != nil || reply.Decided {
			return reply.Grant, err
		}
		leader = reply.Leader
	}
	return serviceroom.Grant{}, verdict.New(verdict.NotRun, verdict.ReasonNoQuorum, "no leader is known")
}
