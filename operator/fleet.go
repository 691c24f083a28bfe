package operator

import (
	"context"
	"net/netip"
	"strconv"
	"time"

	"arbutusmast.example/arbutusmast/core/message"
	"github.com/pkg/errors"
)

type fleetFlags struct {
	backendServer string
	undo          bool
	wait          time.Duration
}

// memberPollInterval is the interval at which replace checks whether the new member
// is a voter.
const memberPollInterval = 500 * time.Millisecond

const defaultMemberWait = 5 * time.Minute

var drainCommand = command{
	name: "drain", arguments: "[HOST]", summary: "mark a host or a backend server as leaving, or undo that",
	examples: []string{
		"arbutusctl drain -credential-file operator.key host-7",
		"arbutusctl drain -backend-server coach-3",
		"arbutusctl drain -undo host-7",
	},
	addFlags: func(inv *invocation) {
		inv.addChangeFlags()
		inv.flagSet.StringVar(&inv.fleet.backendServer, "backend-server", "",
			"drain only the backend server with this `name`")
		inv.flagSet.BoolVar(&inv.fleet.undo, "undo", false, "clear the mark")
	},
	run: runDrain,
}

func runDrain(ctx context.Context, inv *invocation) error {
	ctx, cancel := context.WithTimeout(ctx, inv.timeout)
	defer cancel()
	request := &message.LeavingRequest{
		Header: requestHeader, BackendServer: inv.fleet.backendServer, Leaving: !inv.fleet.undo, Operator: inv.operatorName,
	}
	target := "backend server " + inv.fleet.backendServer
	if inv.fleet.backendServer == "" {
		if err := inv.requireArgs(1); err != nil {
			return err
		}
		request.Host, target = inv.args[0], "host "+inv.args[0]
	} else if err := inv.requireArgs(0); err != nil {
		return err
	}
	var err error
	if request.Credential, err = inv.readCredential(); err != nil {
		return err
	}
	client, err := inv.newControlClient()
	if err != nil {
		return err
	}
	defer client.close()
	reply, err := callLeader[message.LeavingReply](ctx, client, "SetLeaving", request)
	if err != nil {
		return err
	}
	if inv.asJSON {
		inv.printJSON(struct {
			Host          string `json:"host,omitempty"`
			BackendServer string `json:"backend_server,omitempty"`
			Leaving       bool   `json:"leaving"`
			Sequence      uint64 `json:"sequence"`
		}{request.Host, request.BackendServer, request.Leaving, reply.Sequence})
		return nil
	}
	if request.Leaving {
		inv.printf("%s is leaving: it gets no new work after a few seconds and finishes what runs\n", target)
	} else {
		inv.printf("%s is no longer leaving\n", target)
	}
	return nil
}

var membersCommand = command{
	name: "members", arguments: "list | add ID IP:PORT | remove ID | replace OLD_ID NEW_ID IP:PORT",
	summary: "list and change the members of the control group",
	examples: []string{
		"arbutusctl members list",
		"arbutusctl members add 4 127.0.0.1:7400",
		"arbutusctl members replace 2 4 127.0.0.1:7400    # member 2 lost its disk; ids are never reused",
	},
	addFlags: func(inv *invocation) {
		inv.addChangeFlags()
		inv.flagSet.DurationVar(&inv.fleet.wait, "wait", defaultMemberWait,
			"how long replace waits for the new member to become a voter")
	},
	run: runMembers,
}

func runMembers(ctx context.Context, inv *invocation) error {
	if len(inv.args) == 0 {
		return usageErrorf("one of list, add, remove, replace is needed")
	}
	client, err := inv.newControlClient()
	if err != nil {
		return err
	}
	defer client.close()
	action := inv.args[0]
	inv.args = inv.args[1:]
	runAction, ok := map[string]func(context.Context, *invocation, *controlClient) ([]message.ControlMember, error){
		"list": listMembers, "add": addMember, "remove": removeMember, "replace": replaceMember,
	}[action]
	if !ok {
		return usageErrorf("%q is not one of list, add, remove, replace", action)
	}
	group, err := runAction(ctx, inv, client)
	if err != nil {
		return err
	}
	if !inv.asJSON {
		inv.printGroup(group)
		return nil
	}
	type member struct {
		ID            uint64  `json:"id"`
		Address       string  `json:"address"`
		Voter         bool    `json:"voter"`
		Match         uint64  `json:"match_index"`
		SilentSeconds float64 `json:"silent_seconds"`
	}
	list := []member{}
	for _, m := range group {
		list = append(list, member{m.ID, m.Address, m.Voter, m.Match, m.Silent.Seconds()})
	}
	inv.printJSON(list)
	return nil
}

func listMembers(ctx context.Context, inv *invocation, client *controlClient) ([]message.ControlMember, error) {
	if err := inv.requireArgs(0); err != nil {
		return nil, err
	}
	return inv.currentMembers(ctx, client)
}

func (inv *invocation) currentMembers(ctx context.Context, client *controlClient) ([]message.ControlMember, error) {
	ctx, cancel := context.WithTimeout(ctx, inv.timeout)
	defer cancel()
	reply, err := callLeader[message.MembersReply](ctx, client, "Members", &message.MembersRequest{Header: requestHeader})
	if err == nil && !reply.Current {
		err = exitErrorf(ExitNoQuorum, "%s cannot confirm the members with a quorum", client.leader)
	}
	return reply.Group, err
}

func addMember(ctx context.Context, inv *invocation, client *controlClient) ([]message.ControlMember, error) {
	if err := inv.requireArgs(2); err != nil {
		return nil, err
	}
	id, err := memberID(inv.args[0])
	if err != nil {
		return nil, err
	}
	return inv.requestAdd(ctx, client, id, inv.args[1])
}

func (inv *invocation) requestAdd(
	ctx context.Context, client *controlClient, id uint64, address string,
) ([]message.ControlMember, error) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, usageErrorf("%q is not an IP address with a port", address)
	}
	credential, err := inv.readCredential()
	if err != nil {
		return nil, err
	}
	return inv.changeMembers(ctx, client, "AddMember", &message.AddMemberRequest{
		Header: requestHeader, ID: id, Address: address, Operator: inv.operatorName, Credential: credential,
	})
}

func removeMember(ctx context.Context, inv *invocation, client *controlClient) ([]message.ControlMember, error) {
	if err := inv.requireArgs(1); err != nil {
		return nil, err
	}
	id, err := memberID(inv.args[0])
	if err != nil {
		return nil, err
	}
	return inv.requestRemove(ctx, client, id)
}

func (inv *invocation) requestRemove(
	ctx context.Context, client *controlClient, id uint64,
) ([]message.ControlMember, error) {
	credential, err := inv.readCredential()
	if err != nil {
		return nil, err
	}
	return inv.changeMembers(ctx, client, "RemoveMember", &message.RemoveMemberRequest{
		Header: requestHeader, ID: id, Operator: inv.operatorName, Credential: credential,
	})
}

func (inv *invocation) changeMembers(
	ctx context.Context, client *controlClient, method string, request any,
) ([]message.ControlMember, error) {
	ctx, cancel := context.WithTimeout(ctx, inv.timeout)
	defer cancel()
	reply, err := callLeader[message.ChangeMembersReply](ctx, client, method, request)
	if err == nil && reply.Refused != "" {
		err = exitErrorf(ExitConflict, "%s", reply.Refused)
	}
	return reply.Group, err
}

// replaceMember adds the new member and removes the old one only when the new one
// is a voter, so that the data is never on the disks of fewer members than before.
// In a group with the maximum number of voters it has to remove the old one first.
func replaceMember(ctx context.Context, inv *invocation, client *controlClient) ([]message.ControlMember, error) {
	if err := inv.requireArgs(3); err != nil {
		return nil, err
	}
	oldID, err := memberID(inv.args[0])
	if err != nil {
		return nil, err
	}
	newID, err := memberID(inv.args[1])
	if err != nil {
		return nil, err
	}
	if oldID == newID {
		return nil, usageErrorf(
			"the new member needs an id of its own, because a host that lost its disk must not vote under the old one")
	}
	group, err := inv.currentMembers(ctx, client)
	if err != nil {
		return nil, err
	}
	groupFull := countVoters(group) >= maxVoters
	if groupFull {
		// A learner cannot become a voter while the group has maxVoters voters.
		if _, err := inv.requestRemove(ctx, client, oldID); err != nil {
			return nil, err
		}
	}
	if _, err := inv.requestAdd(ctx, client, newID, inv.args[2]); err != nil {
		return nil, err
	}
	if err := inv.waitForVoter(ctx, client, newID); err != nil {
		return nil, errors.Wrapf(err, "member %d is not a voter yet; repeat the command to continue", newID)
	}
	if groupFull {
		return inv.currentMembers(ctx, client)
	}
	return inv.requestRemove(ctx, client, oldID)
}

// maxVoters is the maximum number of voters in a control group.
const maxVoters = 5

func countVoters(group []message.ControlMember) int {
	count := 0
	for _, m := range group {
		if m.Voter {
			count++
		}
	}
	return count
}

func (inv *invocation) waitForVoter(ctx context.Context, client *controlClient, id uint64) error {
	ctx, cancel := context.WithTimeout(ctx, inv.fleet.wait)
	defer cancel()
	var lastErr error
	for {
		group, err := inv.currentMembers(ctx, client)
		for _, m := range group {
			if m.ID == id && m.Voter && err == nil {
				return nil
			}
		}
		if ctx.Err() == nil {
			lastErr = err
		}
		if sleep(ctx, memberPollInterval) {
			continue
		}
		if lastErr != nil {
			return errors.Wrapf(lastErr, "member %d did not become a voter within %v", id, inv.fleet.wait)
		}
		return errors.Errorf("member %d did not become a voter within %v", id, inv.fleet.wait)
	}
}

func memberID(text string) (uint64, error) {
	id, err := strconv.ParseUint(text, 10, 64)
	if err != nil || id == 0 {
		return 0, usageErrorf("%q is not a member id; it must be a whole number of at least 1", text)
	}
	return id, nil
}
