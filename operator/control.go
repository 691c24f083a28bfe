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
	// attemptTimeout bounds one call, so that a silent member leaves time for
	// the others.
	attemptTimeout = 3 * time.Second
	retryPause     = 200 * time.Millisecond
)

// header marks requests of the tool.
var header = message.Header{Host: "arbutusctl"}

// controlClient calls the leader of the control group.
type controlClient struct {
	addresses []string
	pool      *wire.Pool
	leader    string
}

func (c *call) controlClient() (*controlClient, error) {
	list, err := addresses("control", c.control)
	if err != nil {
		return nil, err
	}
	dial, err := c.dialer()
	if err != nil {
		return nil, err
	}
	return &controlClient{addresses: list, pool: wire.NewPool(dial)}, nil
}

func (c *controlClient) close() { c.pool.Close() }

func (c *controlClient) call(ctx context.Context, address, method string, request, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return c.pool.Call(ctx, address, "Control."+method, request, reply)
}

// statusOf is the answer of one control member.
type statusOf struct {
	address string
	reply   message.StatusReply
	err     error
}

// statuses asks all given members, and the leader if a member names one that
// is not given.
func (c *controlClient) statuses(ctx context.Context) []statusOf {
	results := make(chan statusOf, len(c.addresses))
	for _, address := range c.addresses {
		go func() { results <- c.status(ctx, address) }()
	}
	known := map[string]statusOf{}
	leaders := map[string]bool{}
	for range c.addresses {
		s := <-results
		known[s.address] = s
		if s.err == nil && s.reply.Leader != "" {
			leaders[s.reply.Leader] = true
		}
	}
	out := make([]statusOf, 0, len(known)+1)
	for _, address := range c.addresses {
		out = append(out, known[address])
	}
	for leader := range leaders {
		if _, ok := known[leader]; !ok {
			out = append(out, c.status(ctx, leader))
		}
	}
	return out
}

func (c *controlClient) status(ctx context.Context, address string) statusOf {
	s := statusOf{address: address}
	s.err = c.call(ctx, address, "Status", &message.StatusRequest{Header: header}, &s.reply)
	return s
}

// confirmed returns the leader that a quorum has just confirmed.
func confirmed(statuses []statusOf) (statusOf, bool) {
	for _, s := range statuses {
		if s.err == nil && s.reply.Leading && s.reply.Current {
			return s, true
		}
	}
	return statusOf{}, false
}

// atLeader calls a method at the leader and repeats it until ctx ends. The
// method must have the same effect when it runs twice, because a lost answer
// leaves open whether it ran. Each try gets a fresh reply.
func atLeader[Reply any](ctx context.Context, c *controlClient, method string, request any) (Reply, error) {
	var last error
	for {
		if c.leader == "" {
			statuses := c.statuses(ctx)
			if s, ok := confirmed(statuses); ok {
				c.leader = s.address
			} else if last == nil {
				last = unreached(statuses)
			}
		}
		if c.leader != "" {
			var reply Reply
			err := c.call(ctx, c.leader, method, request, &reply)
			if err == nil || final(err) {
				return reply, err
			}
			last, c.leader = err, ""
		}
		if !pause(ctx, retryPause) {
			var none Reply
			return none, &exitError{code: ExitNoQuorum, err: errors.Wrap(last, "no control member answered with a quorum in time")}
		}
	}
}

func unreached(statuses []statusOf) error {
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

// final tells whether another try can not succeed. net/rpc carries errors of
// the server as text only, so the reason is found in the text of a verdict.
func final(err error) bool {
	for _, reason := range []verdict.Reason{verdict.ReasonUnauthorized, verdict.ReasonInvalid} {
		if strings.Contains(err.Error(), "("+string(reason)+", ") {
			return true
		}
	}
	return strings.Contains(err.Error(), "rpc: can't find")
}
