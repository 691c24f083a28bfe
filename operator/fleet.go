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

// memberPoll is how often replace looks whether the new member votes.
const memberPoll = 500 * time.Millisecond

const defaultMemberWait = 5 * time.Minute

var drainCommand = command{
	name: "drain", arguments: "[HOST]", summary: "mark a host or a backend server as leaving, or undo that",
	examples: []string{
		"arbutusctl drain -credential-file operator.key host-7",
		"arbutusctl drain -backend-server coach-3",
		"arbutusctl drain -undo host-7",
	},
	flags: func(c *call) {
		c.changeFlags()
		c.set.StringVar(&c.fleet.backendServer, "backend-server", "", "drain only the backend server with this `name`")
		c.set.BoolVar(&c.fleet.undo, "undo", false, "clear the mark")
	},
	run: drain,
}

func drain(ctx context.Context, c *call) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	request := &message.LeavingRequest{Header: header, BackendServer: c.fleet.backendServer, Leaving: !c.fleet.undo, Operator: c.operator}
	what := "backend server " + c.fleet.backendServer
	if c.fleet.backendServer == "" {
		if err := c.exactArgs(1); err != nil {
			return err
		}
		request.Host, what = c.args[0], "host "+c.args[0]
	} else if err := c.exactArgs(0); err != nil {
		return err
	}
	var err error
	if request.Credential, err = c.credential(); err != nil {
		return err
	}
	client, err := c.controlClient()
	if err != nil {
		return err
	}
	defer client.close()
	reply, err := atLeader[message.LeavingReply](ctx, client, "SetLeaving", request)
	if err != nil {
		return err
	}
	if c.asJSON {
		c.printJSON(struct {
			Host          string `json:"host,omitempty"`
			BackendServer string `json:"backend_server,omitempty"`
			Leaving       bool   `json:"leaving"`
			Sequence      uint64 `json:"sequence"`
		}{request.Host, request.BackendServer, request.Leaving, reply.Sequence})
		return nil
	}
	if request.Leaving {
		c.printf("%s is leaving: it gets no new work after a few seconds and finishes what runs\n", what)
	} else {
		c.printf("%s is no longer leaving\n", what)
	}
	return nil
}

var membersCommand = command{
	name: "members", arguments: "list | add ID IP:PORT | remove ID | replace OLD_ID NEW_ID IP:PORT",
	summary: "list and change the members of the control group",
	examples: []string{
		"arbutusctl members list",
		"arbutusctl members add 4 127.0.0.1:7400",
		"arbutusctl members replace 2 4 127.0.0.1:7400    # member 2 lost its disk; an id is never used again",
	},
	flags: func(c *call) {
		c.changeFlags()
		c.set.DurationVar(&c.fleet.wait, "wait", defaultMemberWait, "how long replace waits for the new member to vote")
	},
	run: members,
}

func members(ctx context.Context, c *call) error {
	if len(c.args) == 0 {
		return usage("one of list, add, remove, replace is needed")
	}
	client, err := c.controlClient()
	if err != nil {
		return err
	}
	defer client.close()
	action := c.args[0]
	c.args = c.args[1:]
	run, ok := map[string]func(context.Context, *call, *controlClient) ([]message.ControlMember, error){
		"list": listMembers, "add": addMember, "remove": removeMember, "replace": replaceMember,
	}[action]
	if !ok {
		return usage("%q is not one of list, add, remove, replace", action)
	}
	group, err := run(ctx, c, client)
	if err != nil {
		return err
	}
	if !c.asJSON {
		c.printGroup(group)
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
	c.printJSON(list)
	return nil
}

func listMembers(ctx context.Context, c *call, client *controlClient) ([]message.ControlMember, error) {
	if err := c.exactArgs(0); err != nil {
		return nil, err
	}
	return c.currentMembers(ctx, client)
}

func (c *call) currentMembers(ctx context.Context, client *controlClient) ([]message.ControlMember, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	reply, err := atLeader[message.MembersReply](ctx, client, "Members", &message.MembersRequest{Header: header})
	if err == nil && !reply.Current {
		err = fail(ExitNoQuorum, "%s can not confirm the members", client.leader)
	}
	return reply.Group, err
}

func addMember(ctx context.Context, c *call, client *controlClient) ([]message.ControlMember, error) {
	if err := c.exactArgs(2); err != nil {
		return nil, err
	}
	id, err := memberID(c.args[0])
	if err != nil {
		return nil, err
	}
	return c.add(ctx, client, id, c.args[1])
}

func (c *call) add(ctx context.Context, client *controlClient, id uint64, address string) ([]message.ControlMember, error) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, usage("%q is not an IP address with a port", address)
	}
	credential, err := c.credential()
	if err != nil {
		return nil, err
	}
	return c.changeMembers(ctx, client, "AddMember", &message.AddMemberRequest{
		Header: header, ID: id, Address: address, Operator: c.operator, Credential: credential,
	})
}

func removeMember(ctx context.Context, c *call, client *controlClient) ([]message.ControlMember, error) {
	if err := c.exactArgs(1); err != nil {
		return nil, err
	}
	id, err := memberID(c.args[0])
	if err != nil {
		return nil, err
	}
	return c.remove(ctx, client, id)
}

func (c *call) remove(ctx context.Context, client *controlClient, id uint64) ([]message.ControlMember, error) {
	credential, err := c.credential()
	if err != nil {
		return nil, err
	}
	return c.changeMembers(ctx, client, "RemoveMember", &message.RemoveMemberRequest{
		Header: header, ID: id, Operator: c.operator, Credential: credential,
	})
}

func (c *call) changeMembers(ctx context.Context, client *controlClient, method string, request any) ([]message.ControlMember, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	reply, err := atLeader[message.ChangeMembersReply](ctx, client, method, request)
	if err == nil && reply.Refused != "" {
		err = fail(ExitConflict, "%s", reply.Refused)
	}
	return reply.Group, err
}

// replaceMember removes the old member only after the new one votes, so that
// the group never has fewer members than before on its disks. In a group with
// the largest number of voters the old one has to go first.
func replaceMember(ctx context.Context, c *call, client *controlClient) ([]message.ControlMember, error) {
	if err := c.exactArgs(3); err != nil {
		return nil, err
	}
	old, err := memberID(c.args[0])
	if err != nil {
		return nil, err
	}
	id, err := memberID(c.args[1])
	if err != nil {
		return nil, err
	}
	if old == id {
		return nil, usage("the new member needs an id of its own, because a host that lost its disk must not vote under the old one")
	}
	group, err := c.currentMembers(ctx, client)
	if err != nil {
		return nil, err
	}
	full := voters(group) >= maxVoters
	if full {
		// A learner can not vote before there is room.
		if _, err := c.remove(ctx, client, old); err != nil {
			return nil, err
		}
	}
	if _, err := c.add(ctx, client, id, c.args[2]); err != nil {
		return nil, err
	}
	if err := c.waitForVoter(ctx, client, id); err != nil {
		return nil, errors.Wrapf(err, "member %d does not vote yet; repeat the command to go on", id)
	}
	if full {
		return c.currentMembers(ctx, client)
	}
	return c.remove(ctx, client, old)
}

// maxVoters is the number of members that may vote in a control group.
const maxVoters = 5

func voters(group []message.ControlMember) int {
	n := 0
	for _, m := range group {
		if m.Voter {
			n++
		}
	}
	return n
}

func (c *call) waitForVoter(ctx context.Context, client *controlClient, id uint64) error {
	ctx, cancel := context.WithTimeout(ctx, c.fleet.wait)
	defer cancel()
	for {
		group, err := c.currentMembers(ctx, client)
		for _, m := range group {
			if m.ID == id && m.Voter && err == nil {
				return nil
			}
		}
		if !pause(ctx, memberPoll) {
			return errors.Errorf("member %d did not vote within %v", id, c.fleet.wait)
		}
	}
}

func memberID(text string) (uint64, error) {
	id, err := strconv.ParseUint(text, 10, 64)
	if err != nil || id == 0 {
		return 0, usage("%q is not a member id, a whole number of at least 1", text)
	}
	return id, nil
}
