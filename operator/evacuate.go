package operator

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"

	"arbutusmast.example/arbutusmast/core/message"
)

var evacuateCommand = command{
	name: "evacuate", arguments: "start DOMAIN | end DOMAIN | list",
	summary: "send no more requests to a failure domain, or undo that",
	examples: []string{
		"arbutusctl evacuate start -credential-file operator.key lake-north",
		"arbutusctl evacuate end lake-north",
		"arbutusctl evacuate list -json",
	},
	addFlags: func(inv *invocation) { inv.addChangeFlags() },
	run:      runEvacuate,
}

func runEvacuate(ctx context.Context, inv *invocation) error {
	if len(inv.args) == 0 {
		return usageErrorf("one of start, end, list is needed")
	}
	action := inv.args[0]
	inv.args = inv.args[1:]
	ctx, cancel := context.WithTimeout(ctx, inv.timeout)
	defer cancel()
	switch action {
	case "start", "end":
		return inv.runEvacuationOrder(ctx, action == "start")
	case "list":
		return inv.runEvacuationList(ctx)
	}
	return usageErrorf("%q is not one of start, end, list", action)
}

func (inv *invocation) runEvacuationOrder(ctx context.Context, evacuate bool) error {
	if err := inv.requireArgs(1); err != nil {
		return err
	}
	request := &message.EvacuateRequest{
		Header: requestHeader, Operator: inv.operatorName, Domain: inv.args[0], Evacuate: evacuate,
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
	reply, err := inv.sendEvacuation(ctx, client, request)
	if err != nil {
		return err
	}
	if inv.asJSON {
		inv.printJSON(struct {
			FailureDomain string `json:"failure_domain"`
			Evacuated     bool   `json:"evacuated"`
			Changed       bool   `json:"changed"`
			Revision      uint64 `json:"revision"`
		}{request.Domain, evacuate, reply.Changed, reply.Revision})
		return nil
	}
	switch {
	case evacuate && reply.Changed:
		inv.printf("failure domain %s is evacuated: after a few seconds it gets no new requests, and what runs is finished\n",
			request.Domain)
	case evacuate:
		inv.printf("failure domain %s was already evacuated\n", request.Domain)
	case reply.Changed:
		inv.printf("the evacuation of failure domain %s ended: it gets requests again after a few seconds\n", request.Domain)
	default:
		inv.printf("failure domain %s was not evacuated\n", request.Domain)
	}
	return nil
}

// sendEvacuation sends an order until it is acknowledged or ctx ends. The first base is
// read from the leader. After a conflict, which an earlier attempt with a lost reply may
// have caused as well, the order is sent again with the current revision. An attempt that
// is still in transit when ctx ends has no effect after a later order.
func (inv *invocation) sendEvacuation(
	ctx context.Context, client *controlClient, request *message.EvacuateRequest,
) (message.EvacuateReply, error) {
	states, err := inv.evacuationStates(ctx, client)
	if err != nil {
		return message.EvacuateReply{}, err
	}
	for _, s := range states {
		if s.Domain == request.Domain {
			request.Base = s.Revision
		}
	}
	for {
		reply, err := callLeader[message.EvacuateReply](ctx, client, "Evacuate", request)
		if err != nil || !reply.Conflict {
			return reply, err
		}
		request.Base = reply.Revision
		// The pause bounds the log entries of operators who overtake one another.
		if !sleep(ctx, retryInterval) {
			return reply, exitErrorf(ExitConflict, "other orders for failure domain %s are in progress", request.Domain)
		}
	}
}

// evacuationStates returns the known failure domains as a quorum confirmed them.
func (inv *invocation) evacuationStates(ctx context.Context, client *controlClient) ([]message.EvacuationState, error) {
	for {
		reply, err := callLeader[message.EvacuationsReply](ctx, client, "Evacuations",
			&message.EvacuationsRequest{Header: requestHeader})
		if err != nil || reply.Current {
			return reply.Domains, err
		}
		leader := client.leader
		client.leader = ""
		if !sleep(ctx, retryInterval) {
			return nil, exitErrorf(ExitNoQuorum, "%s cannot confirm the evacuations with a quorum", leader)
		}
	}
}

func (inv *invocation) runEvacuationList(ctx context.Context) error {
	if err := inv.requireArgs(0); err != nil {
		return err
	}
	client, err := inv.newControlClient()
	if err != nil {
		return err
	}
	defer client.close()
	states, err := inv.evacuationStates(ctx, client)
	if err != nil {
		return err
	}
	if inv.asJSON {
		type jsonState struct {
			FailureDomain string `json:"failure_domain"`
			Evacuated     bool   `json:"evacuated"`
			Revision      uint64 `json:"revision"`
		}
		list := []jsonState{}
		for _, s := range states {
			list = append(list, jsonState{s.Domain, s.Evacuated, s.Revision})
		}
		inv.printJSON(list)
		return nil
	}
	var evacuated []string
	table := tabwriter.NewWriter(inv.app.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "failure domain\tstate\trevision")
	for _, s := range states {
		state := "in service"
		if s.Evacuated {
			state = "evacuated"
			evacuated = append(evacuated, s.Domain)
		}
		fmt.Fprintf(table, "%s\t%s\t%d\n", s.Domain, state, s.Revision)
	}
	// A failed write to standard output cannot be reported anywhere else.
	_ = table.Flush()
	if len(evacuated) == 0 {
		inv.printf("no failure domain is evacuated\n")
	} else {
		inv.printf("evacuated: %s\n", strings.Join(evacuated, ", "))
	}
	return nil
}
