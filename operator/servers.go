package operator

import (
	"context"
	"fmt"
	"text/tabwriter"

	"arbutusmast.example/arbutusmast/fleet"
	"github.com/pkg/errors"
)

var serversCommand = command{
	name:     "servers",
	summary:  "list the backend servers that fail or are suspected of it, with the evidence",
	examples: []string{"arbutusctl servers -control 10.1.0.20:7380"},
	addFlags: (*invocation).addControlFlags,
	run:      runServers,
}

func runServers(ctx context.Context, inv *invocation) error {
	ctx, cancel := context.WithTimeout(ctx, inv.timeout)
	defer cancel()
	if len(inv.args) > 0 {
		return usageErrorf("expected no argument")
	}
	client, err := inv.newControlClient()
	if err != nil {
		return err
	}
	defer client.close()
	var reply fleet.StandingsReply
	if err := client.callFleet(ctx, "Standings", &fleet.StandingsRequest{}, &reply); err != nil {
		return err
	}
	if inv.asJSON {
		inv.printJSON(reply.Services)
		return nil
	}
	w := tabwriter.NewWriter(inv.app.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "service\tbackend server\tstate\tfailed\tsamples\tscore (nats)")
	for _, service := range reply.Services {
		for _, s := range service.Servers {
			fmt.Fprintf(w, "%s\t%s\t%v\t%d\t%d\t%.1f\n", service.Service, s.Server, s.State, s.Failed, s.Samples, s.Score)
		}
	}
	return errors.Wrap(w.Flush(), "print the servers")
}
