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

// maxNotableLines bounds the hosts and backend servers that the text form of status
// lists individually.
const maxNotableLines = 20

var statusCommand = command{
	name: "status", summary: "show the control group, the fleet and the configuration revision",
	examples: []string{"arbutusctl status -control 127.0.0.1:7100,127.0.0.1:7200", "arbutusctl status -json"},
	addFlags: func(inv *invocation) { inv.addControlFlags() },
	run: func(ctx context.Context, inv *invocation) error {
		ctx, cancel := context.WithTimeout(ctx, inv.timeout)
		defer cancel()
		if err := inv.requireArgs(0); err != nil {
			return err
		}
		client, err := inv.newControlClient()
		if err != nil {
			return err
		}
		defer client.close()
		statuses := client.fetchStatuses(ctx)
		if inv.asJSON {
			inv.printJSON(newJSONStatus(statuses))
		} else {
			inv.printStatus(statuses)
		}
		if _, ok := confirmedLeader(statuses); !ok {
			return exitErrorf(ExitNoQuorum, "no control member leads with a quorum")
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

func newJSONStatus(statuses []memberStatus) jsonStatus {
	leader, ok := confirmedLeader(statuses)
	status := jsonStatus{Current: ok, Leader: leader.address, Revision: leader.reply.Revision, Hosts: []jsonHost{}}
	for _, s := range statuses {
		m := jsonMember{Address: s.address}
		if s.err != nil {
			m.Error = s.err.Error()
		} else {
			r := s.reply
			m.Member, m.Leading, m.Term, m.Applied, m.Revision = r.Member, r.Leading, r.Term, r.Applied, r.Revision
		}
		status.Control = append(status.Control, m)
	}
	for _, h := range leader.reply.Hosts {
		m := h.Member
		host := jsonHost{
			m.Host, m.FailureDomain, append([]string{}, m.Roles...), stateName(m.State), h.Revision, []string{},
		}
		for _, b := range m.BackendServers {
			host.BackendServers = append(host.BackendServers, b.Name+" "+backendState(b))
		}
		status.Hosts = append(status.Hosts, host)
	}
	return status
}

func (inv *invocation) printStatus(statuses []memberStatus) {
	table := tabwriter.NewWriter(inv.app.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "control\tmember\tterm\tapplied\trevision\tstate")
	for _, s := range statuses {
		r := s.reply
		state := "follows " + r.Leader
		switch {
		case s.err != nil:
			fmt.Fprintf(table, "%s\t-\t-\t-\t-\t%v\n", s.address, s.err)
			continue
		case r.Leading && r.Current:
			state = "leads with a quorum"
		case r.Leading:
			state = "leads without a quorum"
		case r.Leader == "":
			state = "knows no leader"
		}
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%s\n", s.address, r.Member, r.Term, r.Applied, r.Revision, state)
	}
	// A failed write to standard output cannot be reported anywhere else.
	_ = table.Flush()
	if leader, ok := confirmedLeader(statuses); ok {
		inv.printGroup(leader.reply.Group)
		inv.printFleet(leader.reply)
	}
}

func (inv *invocation) printGroup(group []message.ControlMember) {
	inv.printf("\n")
	table := tabwriter.NewWriter(inv.app.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "member\taddress\tkind\tlog index\tsilent for")
	for _, m := range group {
		kind := "learner"
		if m.Voter {
			kind = "voter"
		}
		fmt.Fprintf(table, "%d\t%s\t%s\t%d\t%s\n", m.ID, m.Address, kind, m.Match, m.Silent.Round(time.Millisecond))
	}
	_ = table.Flush()
}

// printFleet prints the number of hosts by failure domain and state, and lists the
// hosts and backend servers that need attention.
func (inv *invocation) printFleet(r message.StatusReply) {
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
	inv.printf("\nrevision %d, %d hosts, %d requests in quarantine or suspected\n",
		r.Revision, len(r.Hosts), len(r.Quarantine))
	for _, domain := range sortedKeys(counts, nil) {
		var parts []string
		for _, state := range sortedKeys(counts[domain], nil) {
			parts = append(parts, fmt.Sprintf("%d %s", counts[domain][state], state))
		}
		inv.printf("  %s: %s\n", domain, strings.Join(parts, ", "))
	}
	sort.Strings(notable)
	for i, line := range notable {
		if i == maxNotableLines {
			inv.printf("  ... and %d more; see -json\n", len(notable)-i)
			break
		}
		inv.printf("  %s\n", line)
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
