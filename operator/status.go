package operator

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"arbutusmast.example/arbutusmast/core/message"
)

// maxListed bounds the hosts that the text form of status lists one by one.
const maxListed = 20

var statusCommand = command{
	name: "status", summary: "show the control group, the fleet and the configuration in force",
	examples: []string{"arbutusctl status -control 127.0.0.1:7100,127.0.0.1:7200", "arbutusctl status -json"},
	flags:    func(c *call) { c.controlFlags() },
	run: func(ctx context.Context, c *call) error {
		ctx, cancel := context.WithTimeout(ctx, c.timeout)
		defer cancel()
		if err := c.exactArgs(0); err != nil {
			return err
		}
		client, err := c.controlClient()
		if err != nil {
			return err
		}
		defer client.close()
		statuses := client.statuses(ctx)
		if c.asJSON {
			c.printJSON(newJSONStatus(statuses))
		} else {
			c.printStatus(statuses)
		}
		if _, ok := confirmed(statuses); !ok {
			return fail(ExitNoQuorum, "no control member leads with a quorum")
		}
		return nil
	},
}

type jsonStatus struct {
	Current  bool             `json:"current"`
	Leader   string           `json:"leader"`
	Revision message.Revision `json:"revision"`
	Control  []jsonMember     `json:"control"`
	Hosts    []jsonHost       `json:"hosts"`
}

type jsonMember struct {
	Address  string           `json:"address"`
	Error    string           `json:"error,omitempty"`
	Member   uint64           `json:"member,omitempty"`
	Leading  bool             `json:"leading"`
	Term     uint64           `json:"term"`
	Applied  uint64           `json:"applied_index"`
	Revision message.Revision `json:"revision"`
}

type jsonHost struct {
	Host           string           `json:"host"`
	FailureDomain  string           `json:"failure_domain"`
	Roles          []string         `json:"roles"`
	State          string           `json:"state"`
	Revision       message.Revision `json:"revision"`
	BackendServers []string         `json:"backend_servers"`
}

func newJSONStatus(statuses []statusOf) jsonStatus {
	leader, ok := confirmed(statuses)
	out := jsonStatus{Current: ok, Leader: leader.address, Revision: leader.reply.Revision, Hosts: []jsonHost{}}
	for _, s := range statuses {
		m := jsonMember{Address: s.address}
		if s.err != nil {
			m.Error = s.err.Error()
		} else {
			r := s.reply
			m.Member, m.Leading, m.Term, m.Applied, m.Revision = r.Member, r.Leading, r.Term, r.Applied, r.Revision
		}
		out.Control = append(out.Control, m)
	}
	for _, h := range leader.reply.Hosts {
		m := h.Member
		host := jsonHost{m.Host, m.FailureDomain, append([]string{}, m.Roles...), stateName(m.State), h.Revision, []string{}}
		for _, b := range m.BackendServers {
			host.BackendServers = append(host.BackendServers, b.Name+" "+backendState(b))
		}
		out.Hosts = append(out.Hosts, host)
	}
	return out
}

func (c *call) printStatus(statuses []statusOf) {
	tab := tabwriter.NewWriter(c.app.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tab, "control\tmember\tterm\tapplied\trevision\tstate")
	for _, s := range statuses {
		r := s.reply
		state := "follows " + r.Leader
		switch {
		case s.err != nil:
			fmt.Fprintf(tab, "%s\t-\t-\t-\t-\t%v\n", s.address, s.err)
			continue
		case r.Leading && r.Current:
			state = "leads with a quorum"
		case r.Leading:
			state = "leads without a quorum"
		case r.Leader == "":
			state = "knows no leader"
		}
		fmt.Fprintf(tab, "%s\t%d\t%d\t%d\t%d\t%s\n", s.address, r.Member, r.Term, r.Applied, r.Revision, state)
	}
	// Standard output may be closed; there is nowhere to report it.
	_ = tab.Flush()
	if leader, ok := confirmed(statuses); ok {
		c.printGroup(leader.reply.Group)
		c.printFleet(leader.reply)
	}
}

func (c *call) printGroup(group []message.ControlMember) {
	c.printf("\n")
	tab := tabwriter.NewWriter(c.app.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tab, "member\taddress\tkind\tlog index\tsilent for")
	for _, m := range group {
		kind := "learner"
		if m.Voter {
			kind = "voter"
		}
		fmt.Fprintf(tab, "%d\t%s\t%s\t%d\t%s\n", m.ID, m.Address, kind, m.Match, m.Silent.Round(time.Millisecond))
	}
	_ = tab.Flush()
}

// printFleet counts hosts by failure domain and state, and lists those that
// need attention.
func (c *call) printFleet(r message.StatusReply) {
	counts := map[string]map[string]int{}
	var notable []string
	for _, h := range r.Hosts {
		m := h.Member
		state := stateName(m.State)
		if counts[m.FailureDomain] == nil {
			counts[m.FailureDomain] = map[string]int{}
		}
		counts[m.FailureDomain][state]++
		if m.State != message.MemberLive {
			notable = append(notable, m.Host+" is "+state)
		} else if h.Revision < r.Revision {
			notable = append(notable, fmt.Sprintf("%s has revision %d", m.Host, h.Revision))
		}
		for _, b := range m.BackendServers {
			if s := backendState(b); s != "healthy" {
				notable = append(notable, fmt.Sprintf("%s at %s is %s", b.Name, m.Host, s))
			}
		}
	}
	c.printf("\nrevision %d, %d hosts, %d requests in quarantine or suspected\n", r.Revision, len(r.Hosts), len(r.Quarantine))
	for _, domain := range names(counts, nil) {
		var parts []string
		for _, state := range names(counts[domain], nil) {
			parts = append(parts, fmt.Sprintf("%d %s", counts[domain][state], state))
		}
		c.printf("  %s: %s\n", domain, strings.Join(parts, ", "))
	}
	sort.Strings(notable)
	for i, line := range notable {
		if i == maxListed {
			c.printf("  ... and %d more; see -json\n", len(notable)-i)
			break
		}
		c.printf("  %s\n", line)
	}
}

func stateName(s message.MemberState) string {
	switch s {
	case message.MemberLive:
		return "live"
	case message.MemberLeaving:
		return "leaving"
	case message.MemberDead:
		return "dead"
	}
	return "unknown"
}

func backendState(b message.BackendServerStatus) string {
	switch {
	case b.Leaving:
		return "leaving"
	case b.Healthy:
		return "healthy"
	}
	return "not healthy"
}
