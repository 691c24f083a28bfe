package control

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"encoding/hex"
	"strings"
	"sync"
	"time"

	"arbutusmast.example/arbutusmast/core/host"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/peerstate"
	"arbutusmast.example/arbutusmast/core/registry"
	"arbutusmast.example/arbutusmast/core/verdict"
	"arbutusmast.example/arbutusmast/observe"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// ServiceName is the name of the service in net/rpc.
const ServiceName = "Control"

// Limits of the service.
const (
	// MaxProposals bounds proposals that wait for the log.
	MaxProposals = 1024
	// MaxApplies bounds configuration changes at work: each holds a whole
	// configuration, several megabytes at 18,000 callers.
	MaxApplies = 2
	// ProposalTimeout bounds the wait for a commit. It is longer than an
	// election, so that a change of leader does not fail every proposal.
	ProposalTimeout = 3 * time.Second
	// ConfirmTimeout bounds the wait for a quorum before a read.
	ConfirmTimeout = time.Second
	// proposalRetryAfter is about the time in which a full queue drains.
	proposalRetryAfter = 500 * time.Millisecond
)

// Options of a Service.
type Options struct {
	Log     Log
	Machine *Machine
	// Group changes the members of the control group; nil for a group without a
	// replicated log.
	Group Group
	// Header returns host, incarnation and peer address of this daemon.
	Header func() message.Header
	// OperatorKeySHA256 is the digest of the operators' credential in
	// hexadecimal. Without it no operator request is accepted.
	OperatorKeySHA256 string
	Logger            *zap.Logger
	// Elapsed returns the time since any fixed moment and never goes back. Nil
	// means the time since NewService.
	Elapsed func() time.Duration
	// Metrics takes the counters. It may be nil.
	Metrics *observe.Metrics
}

// Service serves the other daemons and operators at one member of the control
// group. Only its RPC methods take a request and a reply.
type Service struct {
	options   Options
	proposer  uint64
	proposals chan struct{}
	applies   chan struct{}
	wake      chan struct{}
	metrics   serviceMetrics

	mu          sync.Mutex
	monitor     *host.Monitor          // nil while this member does not lead
	pending     map[string]host.Report // reports that wait for a proposal
	confirmed   bool                   // a quorum confirmed this member at confirmedAt
	confirmedAt time.Duration
	snapshot    []byte
	snapshotOf  message.Revision
}

// NewService returns a service. Run does the duties of the leader.
func NewService(o Options) *Service {
	if o.Elapsed == nil {
		start := time.Now()
		o.Elapsed = func() time.Duration { return time.Since(start) }
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	var id [8]byte
	// crypto/rand does not fail on supported systems.
	_, _ = rand.Read(id[:])
	s := &Service{
		options: o, proposer: binary.BigEndian.Uint64(id[:]) | 1, proposals: make(chan struct{}, MaxProposals),
		applies: make(chan struct{}, MaxApplies), wake: make(chan struct{}, 1), pending: map[string]host.Report{},
	}
	s.metrics = newServiceMetrics(o.Metrics, s)
	return s
}

// header returns the header of a reply with the newest applied revision.
func (s *Service) header(r *registry.Registry) message.Header {
	h := s.options.Header()
	h.Revision = r.Revision()
	return h
}

func (s *Service) replyHeader() message.Header {
	var h message.Header
	s.options.Machine.View(func(r *registry.Registry) { h = s.header(r) })
	return h
}

func notLeader(address string) error {
	return errors.New(strings.TrimSpace(peerstate.NotLeaderPrefix + " " + address))
}

// remote returns the form of err that crosses net/rpc.
func remote(err error) error {
	if err == nil || strings.HasPrefix(err.Error(), peerstate.NotLeaderPrefix) {
		return err
	}
	return errors.New(verdict.Encode(err))
}

// submit hands a command to the log and returns its result. At most
// MaxProposals wait; a further one is refused at once. The verdict of an error
// is about the command: NotRun only when it can not be committed any more.
func submit[T any](s *Service, command *registry.Command) (T, error) {
	var zero T
	if address, self := s.options.Log.Leader(); !self {
		return zero, notLeader(address)
	}
	select {
	case s.proposals <- struct{}{}:
	default:
		s.metrics.refused.Add(1)
		return zero, verdict.New(verdict.NotRun, verdict.ReasonOverloaded, "%d proposals are waiting", MaxProposals).
			WithRetryAfter(proposalRetryAfter)
	}
	defer func() { <-s.proposals }()
	command.Time, command.Proposer = s.options.Elapsed(), s.proposer
	encoded, err := registry.EncodeCommand(command)
	if err != nil {
		return zero, verdict.Wrap(err, verdict.NotRun, verdict.ReasonInvalid, "encode command")
	}
	s.metrics.proposals.Add(1)
	ctx, cancel := context.WithTimeout(context.Background(), ProposalTimeout)
	defer cancel()
	result, err := s.options.Log.Propose(ctx, encoded)
	if err != nil {
		s.metrics.failed.Add(1)
		if verdict.Of(err) != verdict.NotRun {
			s.metrics.unknown.Add(1)
		}
		// An error without a verdict proves nothing about the command.
		reason := verdict.From(err).Reason
		if reason != verdict.ReasonOverloaded {
			reason = verdict.ReasonNoQuorum
		}
		return zero, verdict.Wrap(err, verdict.Of(err), reason, "propose").WithRetryAfter(proposalRetryAfter)
	}
	switch r := result.(type) {
	case T:
		return r, nil
	case error:
		return zero, r
	}
	return zero, verdict.New(verdict.MayHaveRun, verdict.ReasonInternal, "unexpected result %T", result)
}

// authorize compares digests, so that neither length nor content of the
// credential shows in the time that it takes.
func (s *Service) authorize(credential string) error {
	want, err := hex.DecodeString(s.options.OperatorKeySHA256)
	got := sha256.Sum256([]byte(credential))
	if err != nil || len(want) != len(got) || subtle.ConstantTimeCompare(want, got[:]) != 1 {
		return remote(verdict.New(verdict.NotRun, verdict.ReasonUnauthorized, "the operators' credential is wrong"))
	}
	return nil
}

func (s *Service) barrier() error {
	ctx, cancel := context.WithTimeout(context.Background(), ConfirmTimeout)
	defer cancel()
	return s.options.Log.Barrier(ctx)
}
