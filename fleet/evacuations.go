package fleet

import (
	"context"
	"strings"
	"time"

	"arbutusmast.example/arbutusmast/core/failuredomain"
	"arbutusmast.example/arbutusmast/core/verdict"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

const (
	// evacuationSettleDelay is the delay before an order is proposed. An operator that gave up has
	// closed its connection. If the connection or this process was held up, the order and the end
	// of the connection arrive together, and the order must not be taken for a new one.
	evacuationSettleDelay = 20 * time.Millisecond
	// leaderCheckInterval is the interval at which a member that waits for the leader's reply checks
	// that it still leads. Operators wait for a second, so the next leader has to be asked at once.
	leaderCheckInterval = 30 * time.Millisecond
	// evacuateTimeout limits the leader's attempt to commit an order for another member.
	evacuateTimeout = time.Second
	// unconfirmedHold is how long a daemon that has just started waits for a desired state from a
	// member whose state, with all evacuations, a quorum has confirmed. After that it accepts what
	// any member knows.
	unconfirmedHold = 3 * time.Second
)

// EvacuateRequest asks the leader to commit an order.
type EvacuateRequest struct{ Order failuredomain.Order }

// EvacuateReply holds the outcome of an order, or why the leader refuses it.
type EvacuateReply struct {
	Outcome failuredomain.Outcome
	Refused string
}

// StartEvacuation commits on a quorum that the backend servers of a failure domain get nothing
// more. It is idempotent. Failed attempts are retried until ctx ends.
func (c *Control) StartEvacuation(ctx context.Context, domain string) error {
	return c.takeOrder(ctx, domain, true)
}

// EndEvacuation withdraws StartEvacuation in the same way.
func (c *Control) EndEvacuation(ctx context.Context, domain string) error {
	return c.takeOrder(ctx, domain, false)
}

// takeOrder commits an operator's order, counts it and logs what became of it.
func (c *Control) takeOrder(ctx context.Context, domain string, evacuate bool) error {
	// A name that is refused may be as long as the head of an operator's call.
	logger := c.options.Logger.With(
		zap.String("failure_domain", domain[:min(len(domain), failuredomain.MaxNameBytes)]), zap.Bool("evacuate", evacuate))
	order, err := c.newOrder(domain, evacuate)
	var outcome failuredomain.Outcome
	if err == nil {
		outcome, err = c.commitOrder(ctx, order)
	}
	switch {
	case err == nil:
		c.metrics.evacuationsAcknowledged.Add(1)
		logger.Info("evacuation order acknowledged", zap.Bool("changed", outcome.Changed),
			zap.Uint64("domain_revision", outcome.Revision))
	case errors.Is(err, failuredomain.ErrUnknown):
		c.metrics.evacuationsRefused.Add(1)
		logger.Info("evacuation order refused", zap.Error(err))
	default:
		c.metrics.evacuationsUnanswered.Add(1)
		logger.Warn("evacuation order not acknowledged", zap.Error(err))
	}
	return err
}

// commitOrder commits an order on a quorum, again with a new base after a conflict. Failed attempts
// are retried until ctx ends. The order is newer than one that it conflicts with, because the
// operator's call is still open.
func (c *Control) commitOrder(ctx context.Context, order failuredomain.Order) (failuredomain.Outcome, error) {
	var err error
	for delay := evacuationSettleDelay; ; {
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
		if ctx.Err() != nil {
			if err == nil {
				err = verdict.Wrap(ctx.Err(), verdict.MayHaveRun, verdict.ReasonTimeout, "the operator's call has ended")
			}
			return failuredomain.Outcome{}, err
		}
		var reply EvacuateReply
		reply, err = c.tryEvacuate(ctx, order)
		delay = putRetryInterval
		switch {
		case err != nil:
		case reply.Refused != "":
			return failuredomain.Outcome{}, errors.Wrap(failuredomain.ErrUnknown, reply.Refused)
		case reply.Outcome.Conflict:
			order.Base, delay = reply.Outcome.Revision, 0
		default:
			return reply.Outcome, nil
		}
	}
}

// newOrder returns an order that is based on what this member knows, or an error that wraps
// failuredomain.ErrUnknown.
func (c *Control) newOrder(domain string, evacuate bool) (failuredomain.Order, error) {
	order := failuredomain.Order{Domain: domain, Evacuate: evacuate}
	if err := c.checkDomain(domain); err != nil {
		return order, err
	}
	if c.options.DataFolder == "" {
		order.Base = c.watcher.View().evacuationStates[domain].Revision
	} else {
		c.stateMachine.withEvacuations(func(e *failuredomain.Evacuations) { order.Base = e.DomainRevision(domain) })
	}
	return order, nil
}

// checkDomain returns an error that wraps failuredomain.ErrUnknown unless orders may name a failure
// domain.
func (c *Control) checkDomain(domain string) error {
	var known []string
	if c.options.FailureDomains != nil {
		known = c.options.FailureDomains()
	}
	var err error
	c.stateMachine.withEvacuations(func(e *failuredomain.Evacuations) { err = e.Check(domain, known) })
	return err
}

// tryEvacuate makes one attempt to commit an order, locally if this member leads, else by
// a call to the leader.
func (c *Control) tryEvacuate(ctx context.Context, order failuredomain.Order) (EvacuateReply, error) {
	leader, self := c.leader()
	if self {
		return c.proposeOrder(ctx, order)
	}
	if leader == "" || leader == c.options.Address {
		return EvacuateReply{}, verdict.New(verdict.NotRun, verdict.ReasonNoQuorum, "no leader is known")
	}
	var reply EvacuateReply
	// A lost leader does not end the call, and a slow one must not, because every attempt after the
	// first would wait for the disk as long.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go every(ctx, leaderCheckInterval, func() {
		if now, _ := c.leader(); now != leader {
			cancel()
		}
	})
	err := c.options.Pool.Call(ctx, leader, ServiceName+".Evacuate", &EvacuateRequest{Order: order}, &reply)
	return reply, err
}

// leader returns the peer address of the leader that this member knows, empty if none, and whether
// it is this member.
func (c *Control) leader() (address string, self bool) {
	if node := c.node.Load(); node != nil {
		return node.Leader()
	}
	return c.watcher.View().Leader, false
}

// proposeOrder commits an order through the consensus log. An order that asks for the state that
// holds is committed as well, because it has to overtake older orders in transit.
func (c *Control) proposeOrder(ctx context.Context, order failuredomain.Order) (EvacuateReply, error) {
	result, err := c.node.Load().Propose(ctx, order.Encode())
	if err != nil {
		return EvacuateReply{}, err
	}
	if failure, failed := result.(error); failed {
		return EvacuateReply{}, failure
	}
	return EvacuateReply{Outcome: result.(failuredomain.Outcome)}, nil
}

// Evacuate commits an order on the leader.
func (s *service) Evacuate(request *EvacuateRequest, reply *EvacuateReply) error {
	c := s.control
	if !c.leads() {
		return rpcError(verdict.New(verdict.NotRun, verdict.ReasonNoQuorum, "this member does not lead"))
	}
	if err := c.checkUnlisted(request.Order.Domain); err != nil {
		// The member that took the order wraps ErrUnknown again.
		reply.Refused = strings.TrimSuffix(err.Error(), ": "+failuredomain.ErrUnknown.Error())
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), evacuateTimeout)
	defer cancel()
	var err error
	*reply, err = c.proposeOrder(ctx, request.Order)
	return rpcError(err)
}

// checkUnlisted checks the number of failure domains where the settings name none. Names in the
// settings are checked only by the member that takes an order, because the leader's settings may
// be older.
func (c *Control) checkUnlisted(domain string) error {
	if c.options.FailureDomains != nil && len(c.options.FailureDomains()) > 0 {
		return nil
	}
	return c.checkDomain(domain)
}

// evacuatedDomains returns the evacuated failure domains that this member knows, and the revision
// of their set.
func (c *Control) evacuatedDomains() (domains map[string]bool, revision uint64) {
	c.stateMachine.withEvacuations(func(e *failuredomain.Evacuations) {
		revision = e.Revision()
		if e.Count() == 0 {
			return
		}
		domains = map[string]bool{}
		for _, s := range e.List() {
			domains[s.Domain] = s.Evacuated
		}
	})
	return domains, revision
}

// evacuationRevision returns the number of changes of the set that this member knows.
func (c *Control) evacuationRevision() (revision uint64) {
	c.stateMachine.withEvacuations(func(e *failuredomain.Evacuations) { revision = e.Revision() })
	return revision
}

// countEvacuated returns the number of evacuated failure domains that this member knows.
func (c *Control) countEvacuated() (n int) {
	if c.options.DataFolder == "" {
		return len(c.watcher.View().Evacuations)
	}
	c.stateMachine.withEvacuations(func(e *failuredomain.Evacuations) { n = e.Count() })
	return n
}

// mayServeState reports whether the sender of a watch gets the desired state. A daemon that has
// none begins to serve with it, and then must know the evacuations. A member that restarted knows
// only those of its snapshot until a quorum has confirmed its state, and one that is cut off only
// those of before.
func (c *Control) mayServeState(request *WatchRequest) bool {
	return !c.options.ServesEvacuations || request.Version != 0 || request.AcceptsUnconfirmed || c.isSure()
}

// isSure reports whether a quorum has lately confirmed that this member's state is current.
func (c *Control) isSure() bool {
	age, ok := readingAge(&c.confirmed)
	return ok && age <= maxConfirmationAge
}

// fillEvacuations sets the set in a reply if the sender of a watch knows an older one.
func (c *Control) fillEvacuations(known uint64, reply *WatchReply) {
	c.stateMachine.withEvacuations(func(e *failuredomain.Evacuations) {
		if e.Revision() > known {
			reply.HasEvacuations, reply.EvacuationRevision, reply.Evacuations = true, e.Revision(), e.List()
		}
	})
}

// applyEvacuations applies the set in a reply, and reports whether the view changed. learned is the
// time since boot at which the reply arrived.
func (v *View) applyEvacuations(reply *WatchReply, learned time.Duration, logger *zap.Logger) bool {
	if !reply.HasEvacuations || reply.EvacuationRevision <= v.evacuationRevision {
		return false
	}
	evacuated, ended := map[string]time.Duration{}, map[string]uint64{}
	states := make(map[string]failuredomain.Status, len(reply.Evacuations))
	for _, s := range reply.Evacuations {
		old := v.evacuationStates[s.Domain]
		states[s.Domain] = s
		if s.Evacuated {
			evacuated[s.Domain] = learned
			if old.Evacuated && old.Changed == s.Changed {
				evacuated[s.Domain] = v.Evacuations[s.Domain]
			}
		} else if s.Changed > 0 {
			ended[s.Domain] = s.Changed
		}
		if s.Evacuated != old.Evacuated || s.Evacuated && s.Changed != old.Changed {
			logEvacuation(logger, s.Domain, s.Evacuated, s.Revision)
		}
	}
	v.Evacuations, v.EndedEvacuations = evacuated, ended
	v.evacuationStates, v.evacuationRevision = states, reply.EvacuationRevision
	return true
}

// logEvacuation logs that an evacuation begins or ends at this daemon.
func logEvacuation(logger *zap.Logger, domain string, evacuated bool, domainRevision uint64) {
	message := "evacuation of a failure domain ended"
	if evacuated {
		message = "evacuation of a failure domain in effect"
	}
	logger.Info(message, zap.String("failure_domain", domain), zap.Uint64("domain_revision", domainRevision))
}
