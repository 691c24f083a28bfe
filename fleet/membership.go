package fleet

import (
	"context"
	"maps"
	"slices"
	"time"

	"arbutusmast.example/arbutusmast/control"
	"arbutusmast.example/arbutusmast/core/consensus"
	"arbutusmast.example/arbutusmast/core/roster"
	"arbutusmast.example/arbutusmast/core/verdict"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

const (
	// memberChangeTimeout limits the commit of one membership change.
	memberChangeTimeout = 700 * time.Millisecond
	// leaveRetryInterval is the delay before a stopping member repeats its request.
	leaveRetryInterval = 50 * time.Millisecond
)

// groupState returns the members of the group and how long each has been silent, as
// seen by the leader.
func (c *Control) groupState(ctx context.Context, node *control.Node) (roster.Group, error) {
	silence, err := node.TimeSinceReply(ctx)
	if err != nil {
		return roster.Group{}, err
	}
	g := roster.Group{MinVoters: c.options.MinVoters, MaxVoters: consensus.DefaultMaxVoters, MaxMembers: maxMembers}
	for _, m := range node.Members() {
		g.Members = append(g.Members, roster.Member{Member: m, Silent: silence[m.ID]})
	}
	return g, nil
}

// runMembership demotes silent voters to learners and removes lost learners while this
// member leads.
func (c *Control) runMembership(ctx context.Context) {
	every(ctx, membershipInterval, func() {
		if !c.leads() {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, memberChangeTimeout)
		defer cancel()
		node := c.node.Load()
		g, err := c.groupState(callCtx, node)
		if err != nil {
			c.options.Logger.Info("could not look at the control members", zap.Error(err))
			return
		}
		if id := g.VoterToDemote(); id != 0 {
			err := node.DemoteMember(callCtx, id)
			c.options.Logger.Info("took the vote of a silent control member", zap.Uint64("member", uint64(id)), zap.Error(err))
		} else if id := g.LearnerToRemove(); id != 0 {
			err := node.RemoveMember(callCtx, id)
			c.options.Logger.Info("removed a lost control member", zap.Uint64("member", uint64(id)), zap.Error(err))
		}
	})
}

// Leave asks the group to remove this member before the process stops. The group does
// so if enough voters remain; if not, Leave returns at once. While no leader is known
// or a replacement is still catching up, Leave retries until ctx ends.
func (c *Control) Leave(ctx context.Context) {
	node := c.node.Load()
	if node == nil {
		return
	}
	start := SinceBoot()
	var lastErr error
	for {
		departure, err := c.requestLeave(ctx, node)
		if err == nil && departure != roster.WaitForSuccessor {
			c.leftGroup.Store(departure == roster.LeaveGroup)
			c.options.Logger.Info("stopping as a control member", zap.Bool("left_the_group", departure == roster.LeaveGroup),
				zap.Duration("waited_seconds", SinceBoot()-start))
			return
		}
		if err != nil && lastErr == nil {
			c.options.Logger.Info("request to leave the control group failed; retrying", zap.Error(err))
		}
		lastErr = err
		select {
		case <-ctx.Done():
			c.options.Logger.Warn("stopping without an answer to the request to leave the control group", zap.Error(err))
			return
		case <-node.Done():
			return
		case <-time.After(leaveRetryInterval):
		}
	}
}

// requestLeave makes one attempt to leave, locally if this member leads, else by a call
// to the leader.
func (c *Control) requestLeave(ctx context.Context, node *control.Node) (roster.Departure, error) {
	address, self := node.Leader()
	if self {
		return c.handleLeave(ctx, node.Status().ID)
	}
	if address == "" {
		return roster.KeepMembership, verdict.New(verdict.NotRun, verdict.ReasonNoQuorum, "no leader is known")
	}
	callCtx, cancel := context.WithTimeout(ctx, memberChangeTimeout)
	defer cancel()
	var reply LeaveReply
	err := c.options.Pool.Call(callCtx, address, ServiceName+".Leave", &LeaveRequest{ID: node.Status().ID}, &reply)
	return reply.Departure, err
}

// handleLeave decides on the leader whether a stopping member leaves the group, and
// removes it if so.
func (c *Control) handleLeave(ctx context.Context, id consensus.MemberID) (roster.Departure, error) {
	node := c.node.Load()
	g, err := c.groupState(ctx, node)
	if err != nil {
		return roster.KeepMembership, err
	}
	departure := g.DepartureOf(id)
	if departure != roster.LeaveGroup {
		return departure, nil
	}
	err = node.RemoveMember(ctx, id)
	if errors.Is(err, consensus.ErrNoSuchMember) {
		err = nil
	}
	if err == nil {
		c.options.Logger.Info("removed a control member that stops", zap.Uint64("member", uint64(id)))
	}
	return departure, err
}

// Leave removes a stopping member if enough voters remain.
func (s *service) Leave(request *LeaveRequest, reply *LeaveReply) error {
	if !s.control.leads() {
		return rpcError(verdict.New(verdict.NotRun, verdict.ReasonNoQuorum, "this member does not lead"))
	}
	ctx, cancel := context.WithTimeout(context.Background(), memberChangeTimeout)
	defer cancel()
	departure, err := s.control.handleLeave(ctx, request.ID)
	reply.Departure = departure
	return rpcError(err)
}

// Join assigns an id to a new member and adds it to the group. A member that asks to
// join has no identity on disk, so an earlier member at its address lost its disk and
// is removed first.
func (s *service) Join(request *JoinRequest, reply *JoinReply) error {
	c := s.control
	node := c.node.Load()
	if node == nil && c.options.DataFolder == "" {
		reply.Leader = c.watcher.View().Leader
		return nil
	}
	if node == nil {
		return rpcError(verdict.New(verdict.NotRun, verdict.ReasonNotReady, "this member has not joined the group"))
	}
	if leader, self := node.Leader(); !self {
		reply.Leader = leader
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), memberChangeTimeout)
	defer cancel()
	c.mu.Lock()
	id, repeated := c.nonces[request.Nonce]
	c.mu.Unlock()
	for _, m := range node.Members() {
		if m.Address != request.Address {
			continue
		}
		if repeated && m.ID == id {
			reply.ID = id
			return nil
		}
		if err := node.RemoveMember(ctx, m.ID); err != nil {
			return rpcError(err)
		}
		c.options.Logger.Info("removed the previous control member at this address, because its disk was lost",
			zap.Uint64("member", uint64(m.ID)), zap.String("address", m.Address))
	}
	return rpcError(s.addMember(ctx, request, reply))
}

// addMember adds a member under the next unused id.
func (s *service) addMember(ctx context.Context, request *JoinRequest, reply *JoinReply) error {
	c := s.control
	node := c.node.Load()
	id := node.HighestID() + 1
	err := node.AddMember(ctx, id, request.Address)
	if err != nil {
		return err
	}
	c.rememberJoin(request.Nonce, id, node.Members())
	c.options.Logger.Info("added a control member",
		zap.Uint64("member", uint64(id)), zap.String("address", request.Address))
	reply.ID = id
	return nil
}

// rememberJoin remembers the id that a join request got, and forgets those of members that
// are gone.
func (c *Control) rememberJoin(nonce string, id consensus.MemberID, members []consensus.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.nonces, func(_ string, known consensus.MemberID) bool {
		return !slices.ContainsFunc(members, func(m consensus.Member) bool { return m.ID == known })
	})
	c.nonces[nonce] = id
}
