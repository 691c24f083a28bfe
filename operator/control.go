package operator

import (
	"context"
	"strings"
	"time"

	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/verdict"
	"arbutusmast.example/arbutusmast/wire"
	"github.com/pkg/errors"
)

const (
	// callTimeout bounds one call, so that an unresponsive member does not use up
	// the time for the others.
	callTimeout   = 3 * time.Second
	retryInterval = 200 * time.Millisecond
)

// requestHeader is the header of all requests of the tool.
var requestHeader = message.Header{Host: "arbutusctl"}

// controlClient calls the members of the control group. It caches the address of
// the confirmed leader.
type controlClient struct {
	addresses []string
	pool      *wire.Pool
	leader    string
}

func (inv *invocation) newControlClient() (*controlClient, error) {
	addresses, err := parseAddresses("control", inv.control)
	if err != nil {
		return nil, err
	}
	dial, err := inv.peerDialer()
	if err != nil {
		return nil, err
	}
	return &controlClient{addresses: addresses, pool: wire.NewPool(dial)}, nil
}

func (c *controlClient) close() { c.pool.Close() }

func (c *controlClient) call(ctx context.Context, address, method string, request, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.pool.Call(ctx, address, "Control."+method, request, reply)
}

// memberStatus is the status reply of one control member, or the error of the
// call.
type memberStatus struct {
	address string
	reply   message.StatusReply
	err     error
}

// fetchStatuses calls all given members concurrently, and then the leaders that
// they name if those are not among the given ones.
func (c *controlClient) fetchStatuses(ctx context.Context) []memberStatus {
	results := make(chan memberStatus, len(c.addresses))
	for _, address := range c.addresses {
		go func() { results <- c.fetchStatus(ctx, address) }()
	}
	byAddress := map[string]memberStatus{}
	leaders := map[string]bool{}
	for range c.addresses {
		s := <-results
		byAddress[s.address] = s
		if s.err == nil && s.reply.Leader != "" {
			leaders[s.reply.Leader] = true
		}
	}
	ordered := make([]memberStatus, 0, len(byAddress)+1)
	for _, address := range c.addresses {
		ordered = append(ordered, byAddress[address])
	}
	for leader := range leaders {
		if _, ok := byAddress[leader]; !ok {
			ordered = append(ordered, c.fetchStatus(ctx, leader))
		}
	}
	return ordered
}

func (c *controlClient) fetchStatus(ctx context.Context, address string) memberStatus {
	s := memberStatus{address: address}
	s.err = c.call(ctx, address, "Status", &message.StatusRequest{Header: requestHeader}, &s.reply)
	return s
}

// confirmedLeader returns the status of the leader that a quorum has confirmed.
func confirmedLeader(statuses []memberStatus) (memberStatus, bool) {
	for _, s := range statuses {
		if s.err == nil && s.reply.Leading && s.reply.Current {
			return s, true
		}
	}
	return memberStatus{}, false
}

// callLeader calls a method of the leader and retries it until ctx ends. The method
// must be idempotent, because after a lost reply it is unknown whether it ran. Each
// attempt decodes into a new reply.
func callLeader[Reply any](ctx context.Context, c *controlClient, method string, request any) (Reply, error) {
	var lastErr error
	for {
		if c.leader == "" {
			statuses := c.fetchStatuses(ctx)
			if s, ok := confirmedLeader(statuses); ok {
				c.leader = s.address
			} else if lastErr == nil {
				lastErr = noLeaderError(statuses)
			}
		}
		if c.leader != "" {
			var reply Reply
			err := c.call(ctx, c.leader, method, request, &reply)
			if err == nil || isPermanent(err) {
				return reply, err
			}
			lastErr, c.leader = err, ""
		}
		if !sleep(ctx, retryInterval) {
			var none Reply
			return none, &exitError{
				code: ExitNoQuorum, err: errors.Wrap(lastErr, "no control member answered with a quorum in time"),
			}
		}
	}
}

// noLeaderError returns an error that holds the reason of each member.
func noLeaderError(statuses []memberStatus) error {
	var reasons []string
	for _, s := range statuses {
		if s.err != nil {
			reasons = append(reasons, s.err.Error())
			continue
		}
		reasons = append(reasons, s.address+" does not lead with a quorum")
	}
	return errors.New(strings.Join(reasons, "; "))
}

// isPermanent reports whether a retry cannot succeed. net/rpc transmits errors of
// the server only as text, so it searches the text for the reason of the verdict.
func isPermanent(err error) bool {
	for _, reason := range []verdict.Reason{verdict.ReasonUnauthorized, verdict.ReasonInvalid} {
		if strings.Contains(err.Error(), "("+string(reason)+", ") {
			return true
		}
	}
	return strings.Contains(err.Error(), "rpc: can't find")
}
