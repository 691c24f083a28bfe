package operator

import (
	"cmp"
	"context"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"arbutusmast.example/arbutusmast/core/quarantine"
	"arbutusmast.example/arbutusmast/fleet"
	"github.com/pkg/errors"
)

var partsCommand = command{
	name: "parts", arguments: "[release PART]",
	summary: "list the parts of prompts that are held back or suspected because servers crashed, or serve one again",
	examples: []string{
		"arbutusctl parts -control 10.1.0.20:7380",
		"arbutusctl parts -control 10.1.0.20:7380,10.2.0.33:7380 release 5c1e07a2",
	},
	addFlags: (*invocation).addControlFlags,
	run:      runParts,
}

// partStates are the names of the states in the output.
var partStates = map[quarantine.PartState]string{
	quarantine.PartHeld: "held back", quarantine.PartSuspected: "suspected", quarantine.PartCleared: "cleared",
}

func runParts(ctx context.Context, inv *invocation) error {
	ctx, cancel := context.WithTimeout(ctx, inv.timeout)
	defer cancel()
	release := len(inv.args) == 2 && inv.args[0] == "release"
	if len(inv.args) > 0 && !release {
		return usageErrorf("expected no argument, or release and the ID of a part")
	}
	client, err := inv.newControlClient()
	if err != nil {
		return err
	}
	defer client.close()
	if release {
		return client.releasePart(ctx, inv, strings.ToLower(inv.args[1]))
	}
	var reply fleet.PartsReply
	if err := client.callFleet(ctx, "Parts", &fleet.PartsRequest{}, &reply); err != nil {
		return err
	}
	if inv.asJSON {
		inv.printJSON(reply.Parts)
		return nil
	}
	w := tabwriter.NewWriter(inv.app.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "part\tstate\tcrashes\tlast crash\theld for\tonly with\tcrashed servers")
	for _, s := range reply.Parts {
		heldFor := "-"
		if s.State == quarantine.PartHeld {
			heldFor = s.Until.Round(time.Second).String()
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%s ago\t%s\t%s\t%s\n", s.ID, partStates[s.State], s.Crashes,
			(-s.LastCrash).Round(time.Second), heldFor, cmp.Or(strings.Join(s.With, " "), "-"), strings.Join(s.Servers(), " "))
	}
	return errors.Wrap(w.Flush(), "print the parts")
}

// callFleet calls the first member that answers.
func (c *controlClient) callFleet(ctx context.Context, method string, request, reply any) error {
	var err error
	for _, address := range c.addresses {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err = c.pool.Call(callCtx, address, fleet.ServiceName+"."+method, request, reply)
		cancel()
		if err == nil {
			return nil
		}
	}
	return errors.Wrap(err, "call the control group")
}

// releasePart clears a part on the leader, to which another member refers.
func (c *controlClient) releasePart(ctx context.Context, inv *invocation, part string) error {
	var reply fleet.ReleasePartReply
	for hop := 0; ; hop++ {
		reply = fleet.ReleasePartReply{}
		if err := c.callFleet(ctx, "ReleasePart", &fleet.ReleasePartRequest{Part: part}, &reply); err != nil {
			return err
		}
		if reply.Leader == "" {
			break
		}
		if hop > 0 {
			return exitErrorf(ExitNoQuorum, "the leader of the control group changes; try again")
		}
		c.addresses = []string{reply.Leader}
	}
	if !reply.Released {
		return errors.Errorf("part %s is neither held back nor suspected", part)
	}
	fmt.Fprintf(inv.app.Stdout, "requests with part %s are served again\n", part)
	return nil
}
