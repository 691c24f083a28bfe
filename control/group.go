package control

import (
	"context"
	"time"

	"arbutusmast.example/arbutusmast/core/consensus"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/verdict"
	"github.com/pkg/errors"
)

// Group is the part of a Node that the service uses to read and change the
// membership of the control group.
type Group interface {
	Status() consensus.Status
	Members() []consensus.Member
	AddMember(ctx context.Context, id consensus.MemberID, address string) error
	RemoveMember(ctx context.Context, id consensus.MemberID) error
}

var _ Group = (*Node)(nil)

// memberChangeTimeout bounds the wait for a membership change to be committed.
const memberChangeTimeout = 3 * time.Second

// groupMembers returns the members of the control group, nil without a replicated
// log.
func (s *Service) groupMembers() []message.ControlMember {
	if s.options.Group == nil {
		return nil
	}
	members := s.options.Group.Members()
	list := make([]message.ControlMember, len(members))
	for i, m := range members {
		list[i] = message.ControlMember{ID: uint64(m.ID), Address: m.Address, Voter: !m.Learner}
	}
	return list
}

// setGroupStatus sets the fields of a status that describe the replicated log.
func (s *Service) setGroupStatus(reply *message.StatusReply) {
	reply.Group = s.groupMembers()
	if s.options.Group == nil {
		return
	}
	status := s.options.Group.Status()
	reply.Member, reply.Term = uint64(status.ID), status.Term
	reply.Commit, reply.Applied = status.Commit, status.Applied
}

// Members returns the members of the control group.
func (s *Service) Members(_ *message.MembersRequest, reply *message.MembersReply) error {
	reply.Header = s.replyHeader()
	_, self := s.options.Log.Leader()
	reply.Current = self && s.barrier() == nil
	reply.Group = s.groupMembers()
	return nil
}

// AddMember adds a learner, which becomes a voter after it has caught up. Adding a
// member again with the same id and address succeeds.
func (s *Service) AddMember(request *message.AddMemberRequest, reply *message.ChangeMembersReply) error {
	for _, m := range s.groupMembers() {
		if m.ID == request.ID && m.Address == request.Address {
			return s.changeMembers(request.Credential, reply, nil)
		}
	}
	return s.changeMembers(request.Credential, reply, func(ctx context.Context) error {
		return s.options.Group.AddMember(ctx, consensus.MemberID(request.ID), request.Address)
	})
}

// RemoveMember removes a member of the control group. Removing an unknown member
// succeeds.
func (s *Service) RemoveMember(request *message.RemoveMemberRequest, reply *message.ChangeMembersReply) error {
	for _, m := range s.groupMembers() {
		if m.ID == request.ID {
			return s.changeMembers(request.Credential, reply, func(ctx context.Context) error {
				return s.options.Group.RemoveMember(ctx, consensus.MemberID(request.ID))
			})
		}
	}
	return s.changeMembers(request.Credential, reply, nil)
}

// changeMembers authorizes and runs a membership change on the leader. change is
// nil if the membership already has the requested state.
func (s *Service) changeMembers(
	credential string, reply *message.ChangeMembersReply, change func(context.Context) error,
) error {
	if err := s.authorize(credential); err != nil {
		return err
	}
	if s.options.Group == nil {
		return rpcError(verdict.New(verdict.NotRun, verdict.ReasonInvalid,
			"this control group has one member and no log"))
	}
	if address, self := s.options.Log.Leader(); !self {
		return notLeader(address)
	}
	if err := s.barrier(); err != nil {
		return rpcError(err)
	}
	if change != nil {
		ctx, cancel := context.WithTimeout(context.Background(), memberChangeTimeout)
		defer cancel()
		if err := change(ctx); err != nil {
			var refusal *verdict.Error
			if !errors.As(err, &refusal) || refusal.Verdict != verdict.NotRun {
				return rpcError(err)
			}
			reply.Refused = refusal.Message
		}
	}
	reply.Header, reply.Group = s.replyHeader(), s.groupMembers()
	return nil
}
