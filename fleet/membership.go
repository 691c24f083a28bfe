package fleet

import (
	"context"
	"time"

	"arbutusmast.example/arbutusmast/control"
	"arbutusmast.example/arbutusmast/core/consensus"
	"arbutusmast.example/arbutusmast/core/roster"
	"arbutusmast.example/arbutusmast/core/verdict"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

const (
	// memberChange bounds the commit of one change of members.
	memberChange = 700 * time.Millisecond
	// leaveRetry is the pause before a stopping member asks again.
	leaveRetry = 50 * time.Millisecond
)

// group returns what this member knows of the group while it leads.
func (c *Control) group(ctx context.Context, node *control.Node) (roster.Group, error) {
	silence, err := node.Silence(ctx)
	if err != nil {
		return roster.Group{}, err
	}
	g := roster.Group{MinVoters: c.options.MinVoters, MaxVoters: consensus.DefaultMaxVoters, MaxMembers: maxMembers}
	for _, m := range node.Members() {
		g.Members = append(g.Members, roster.Member{Member: m, Silent: silence[m.ID]})
	}
	return g, nil
}

// runKeep takes the votes of silent members and removes lost ones while this
// member leads.
func (c *Control) runKeep(ctx context.Context) {
	every(ctx, keepInterval, func() {
		if !c.leads() {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, memberChange)
		defer cancel()
		node := c.node.Load()
		g, err := c.group(callCtx, node)
		if err != nil {
			c.options.Logger.Info("could not look at the control members", zap.Error(err))
			return
		}
		if id := g.Demote(); id != 0 {
			err := node.DemoteMember(callCtx, id)
			c.options.Logger.Info("took the vote of a silent control member", zap.Uint64("member", uint64(id)), zap.Error(err))
		} else if id := g.Forget(); id != 0 {
			err := node.RemoveMember(callCtx, id)
			c.options.Logger.Info("removed a lost control member", zap.Uint64("member", uint64(id)), zap.Error(err))
		}
	})
}

// Leave gives up the membership before a stop, if enough members vote without
// this one. It returns at once when they do not, and asks until ctx ends while
// no leader is known or a successor is still catching up.
func (c *Control) Leave(ctx context.Context) {
	node := c.node.Load()
	if node == nil {
		return
	}
	began := SinceBoot()
	var failed error
	for {
		departure, err := c.askToLeave(ctx, node)
		if err == nil && departure != roster.Wait {
			c.left.Store(departure == roster.Go)
			c.options.Logger.Info("stopping as a control member", zap.Bool("left_the_group", departure == roster.Go),
				zap.Duration("waited_seconds", SinceBoot()-began))
			return
		}
		if err != nil && failed == nil {
			c.options.Logger.Info("could not ask about leaving the control group yet", zap.Error(err))
		}
		failed = err
		select {
		case <-ctx.Done():
			c.options.Logger.Warn("stopping without an answer about leaving the control group", zap.Error(err))
			return
		case <-node.Done():
			return
		case <-time.After(leaveRetry):
		}
	}
}

// askToLeave makes one attempt, here or at the leader.
func (c *Control) askToLeave(ctx context.Context, node *control.Node) (roster.Departure, error) {
	address, self := node.Leader()
	if self {
		return c.depart(ctx, node.Status().ID)
	}
	if address == "" {
		return roster.Stay, verdict.New(verdict.NotRun, verdict.ReasonNoQuorum, "no leader is known")
	}
	callCtx, cancel := context.WithTimeout(ctx, memberChange)
	defer cancel()
	var reply LeaveReply
	err := c.options.Pool.Call(callCtx, address, ServiceName+".Leave", &LeaveRequest{ID: node.Status().ID}, &reply)
	return reply.Departure, err
}

// depart decides about a member that stops, and removes it.
func (c *Control) depart(ctx context.Context, id consensus.MemberID) (roster.Departure, error) {
	node := c.node.Load()
	g, err := c.group(ctx, node)
	if err != nil {
		return roster.Stay, err
	}
	departure := g.Depart(id)
	if departure != roster.Go {
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

// Leave removes a member that stops, if enough members vote without it.
func (s *service) Leave(request *LeaveRequest, reply *LeaveReply) error {
	if !s.control.leads() {
		return remote(verdict.New(verdict.NotRun, verdict.ReasonNoQuorum, "this member does not lead"))
	}
	ctx, cancel := context.WithTimeout(context.Background(), memberChange)
	defer cancel()
	departure, err := s.control.depart(ctx, request.ID)
	reply.Departure = departure
	return remote(err)
}

// Join gives an id to a new member and adds it to the group. An earlier member
// at the same address lost its disk, or it would not ask, and is removed first.
func (s *service) Join(request *JoinRequest, reply *JoinReply) error {
	c := s.control
	node := c.node.Load()
	if node == nil {
		return remote(verdict.New(verdict.NotRun, verdict.ReasonNotReady, "this member has not joined the group"))
	}
	if leader, self := node.Leader(); !self {
		reply.Leader = leader
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), memberChange)
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
			return remote(err)
		}
		c.options.Logger.Info("removed the member whose disk was lost", zap.Uint64("member", uint64(m.ID)), zap.String("address", m.Address))
	}
	return remote(s.add(ctx, request, reply))
}

// add adds a member under the next free id.
func (s *service) add(ctx context.Context, request *JoinRequest, reply *JoinReply) error {
	c := s.control
	node := c.node.Load()
	id := node.HighestID() + 1
	err := node.AddMember(ctx, id, request.Address)
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.nonces[request.Nonce] = id
	c.mu.Unlock()
	c.options.Logger.Info("added a control member", zap.Uint64("member", uint64(id)), zap.String("address", request.Address))
	reply.ID = id
	return nil
}
