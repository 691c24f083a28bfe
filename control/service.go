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

// ServiceName is the net/rpc service name of Service.
const ServiceName = "Control"

// Limits of the service.
const (
	// MaxPendingProposals bounds the proposals that wait to be committed.
	MaxPendingProposals = 1024
	// MaxConcurrentApplies bounds the configuration changes in progress. Each holds a
	// whole configuration in memory, several megabytes with 18,000 callers.
	MaxConcurrentApplies = 2
	// ProposalTimeout bounds the wait for a commit. It is longer than an election, so
	// that not every proposal fails during a change of leader.
	ProposalTimeout = 3 * time.Second
	// ConfirmTimeout bounds the wait for a quorum to confirm the leader.
	ConfirmTimeout = time.Second
	// proposalRetryAfter is the retry delay suggested to refused callers, about the
	// time in which a full queue of proposals drains.
	proposalRetryAfter = 500 * time.Millisecond
)

// Options holds the parameters of a Service.
type Options struct {
	Log     Log
	Machine *RegistryMachine
	// Group reads and changes the membership of the control group. It is nil if there
	// is no replicated log.
	Group Group
	// Header returns the host, incarnation and peer address of this daemon.
	Header func() message.Header
	// OperatorKeySHA256 is the hexadecimal SHA-256 digest of the operators' credential.
	// If it is empty, all operator requests are refused.
	OperatorKeySHA256 string
	Logger            *zap.Logger
	// Elapsed returns the monotonic time since an arbitrary fixed moment. The default
	// is the time since NewService.
	Elapsed func() time.Duration
	// Metrics is the set to which the service adds its metrics. It may be nil.
	Metrics *observe.Metrics
}

// Service serves the RPC requests of daemons and operators on a member of the
// control group. Exported methods with the parameters request and reply are exposed
// by net/rpc; other methods must not have this signature.
type Service struct {
	options        Options
	proposer       uint64
	proposalSlots  chan struct{}
	applySlots     chan struct{}
	reportsPending chan struct{}
	metrics        serviceMetrics

	mu              sync.Mutex
	monitor         *host.Monitor          // nil while this member does not lead
	pendingReports  map[string]host.Report // reports to propose, by host
	confirmed       bool                   // whether a quorum confirmed this leader at confirmedAt
	confirmedAt     time.Duration
	encodedConfig   []byte
	encodedRevision message.Revision
}

// NewService returns a service. Run must be called for the tasks of the leader.
func NewService(o Options) *Service {
	if o.Elapsed == nil {
		start := time.Now()
		o.Elapsed = func() time.Duration { return time.Since(start) }
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	var proposer [8]byte
	// crypto/rand does not fail on supported systems.
	_, _ = rand.Read(proposer[:])
	s := &Service{
		options: o, proposer: binary.BigEndian.Uint64(proposer[:]) | 1,
		proposalSlots:  make(chan struct{}, MaxPendingProposals),
		applySlots:     make(chan struct{}, MaxConcurrentApplies),
		reportsPending: make(chan struct{}, 1), pendingReports: map[string]host.Report{},
	}
	s.metrics = newServiceMetrics(o.Metrics, s)
	return s
}

// header returns a reply header with the latest applied revision.
func (s *Service) header(r *registry.Registry) message.Header {
	h := s.options.Header()
	h.Revision = r.Revision()
	return h
}

// replyHeader is like header, but reads the registry itself, under its lock.
func (s *Service) replyHeader() message.Header {
	var h message.Header
	s.options.Machine.View(func(r *registry.Registry) { h = s.header(r) })
	return h
}

// notLeader returns the error of a member that is not the leader. It contains the
// leader's peer address if that is known.
func notLeader(address string) error {
	return errors.New(strings.TrimSpace(peerstate.NotLeaderPrefix + " " + address))
}

// rpcError encodes the verdict of an error in its text, because net/rpc transfers
// only the text. It does not change a notLeader error.
func rpcError(err error) error {
	if err == nil || strings.HasPrefix(err.Error(), peerstate.NotLeaderPrefix) {
		return err
	}
	return errors.New(verdict.Encode(err))
}

// submit proposes a command and returns its result. It refuses the command at once
// if MaxPendingProposals are waiting. The verdict of an error is NotRun only if the
// command was not and will not be committed.
func submit[T any](s *Service, command *registry.Command) (T, error) {
	var zero T
	if address, self := s.options.Log.Leader(); !self {
		return zero, notLeader(address)
	}
	select {
	case s.proposalSlots <- struct{}{}:
	default:
		s.metrics.refused.Add(1)
		return zero, verdict.New(verdict.NotRun, verdict.ReasonOverloaded, "%d proposals are waiting",
			MaxPendingProposals).WithRetryAfter(proposalRetryAfter)
	}
	defer func() { <-s.proposalSlots }()
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
		// An error without a verdict does not prove that the command was not committed.
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

// authorize checks the operators' credential. It compares digests in constant time,
// so that the duration reveals neither the length nor the content of the credential.
func (s *Service) authorize(credential string) error {
	want, err := hex.DecodeString(s.options.OperatorKeySHA256)
	got := sha256.Sum256([]byte(credential))
	if err != nil || len(want) != len(got) || subtle.ConstantTimeCompare(want, got[:]) != 1 {
		return rpcError(verdict.New(verdict.NotRun, verdict.ReasonUnauthorized, "the operators' credential is wrong"))
	}
	return nil
}

// barrier waits for a quorum for at most ConfirmTimeout.
func (s *Service) barrier() error {
	ctx, cancel := context.WithTimeout(context.Background(), ConfirmTimeout)
	defer cancel()
	return s.options.Log.Barrier(ctx)
}
