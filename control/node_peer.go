package control

import (
	"context"
	"time"

	"arbutusmast.example/arbutusmast/core/consensus"
	"arbutusmast.example/arbutusmast/ring"
	"arbutusmast.example/arbutusmast/wire"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// ConsensusServiceName is the net/rpc service between control members.
const ConsensusServiceName = "Consensus"

// partBytes is the size above which a snapshot is sent in parts, so that
// heartbeats do not wait for all of it.
const partBytes = 256 << 10

// maxSnapshotBytes bounds the memory that parts of a snapshot can take. It is
// the largest record of the write-ahead log.
const maxSnapshotBytes = 1 << 30

// A Step call may take stepTimeout and stepTimeoutPerByte, which is 1 s for
// each MiB: a snapshot takes longer than a heartbeat.
const (
	stepTimeout        = time.Second
	stepTimeoutPerByte = time.Second / (1 << 20)
)

// StepRequest carries messages from one member to another. Address is where the
// sender serves Step, for receivers that do not know the membership yet.
type StepRequest struct {
	From     consensus.MemberID
	Address  string
	Messages []consensus.Message
	// Part is a piece of the snapshot that a later message refers to.
	Part *SnapshotPart
}

// SnapshotPart is a piece of a snapshot's data. The parts of one snapshot come
// in order, and the message with the snapshot follows without data.
type SnapshotPart struct {
	Index, Term uint64
	Offset      int
	Data        []byte
}

// StepReply answers a StepRequest. Accepted is false when the receiver dropped
// the messages because it is overloaded.
type StepReply struct {
	Accepted bool
}

// stepService is the net/rpc receiver.
type stepService struct{ node *Node }

// Step hands messages to the main goroutine.
func (s *stepService) Step(request *StepRequest, reply *StepReply) error {
	reply.Accepted = s.node.inbox.TryPush(request)
	if !reply.Accepted {
		s.node.counters.dropped.Add(uint64(len(request.Messages)))
	}
	return nil
}

// Register adds the service to a server.
func (n *Node) Register(server *wire.Server) error {
	return server.Register(ConsensusServiceName, &stepService{n})
}

// peerLink sends messages to one address. Messages that do not fit are dropped;
// the protocol repeats them.
type peerLink struct {
	address  string
	messages *ring.Queue[consensus.Message]
	client   *wire.Client
}

// sendTo queues a message. A member whose address changed gets a new link.
func (n *Node) sendTo(msg consensus.Message) {
	address := n.addressOf(msg.To)
	if address == "" {
		return
	}
	p := n.peers[msg.To]
	if p == nil || p.address != address {
		if p != nil {
			p.messages.Close()
		}
		p = &peerLink{address: address, messages: ring.New[consensus.Message](peerCapacity),
			client: wire.NewClient(address, n.config.Dial)}
		n.peers[msg.To] = p
		n.start(func() { n.runPeer(p) })
	}
	if !p.messages.TryPush(msg) {
		n.counters.dropped.Add(1)
	}
}

// pruneLinks ends the links to ids that are neither members nor the leader.
func (n *Node) pruneLinks() {
	members := n.machine.Members()
	for id, p := range n.peers {
		if _, ok := members.Find(id); !ok && id != n.status.Load().Leader {
			p.messages.Close()
			delete(n.peers, id)
		}
	}
}

// runPeer sends what queued up in one call. A call that fails loses its
// messages.
func (n *Node) runPeer(p *peerLink) {
	defer p.client.Close()
	failing := false
	for {
		msg, ok := p.messages.Pop(n.ctx)
		if !ok || n.ctx.Err() != nil {
			return
		}
		var err error
		if msg.Kind == consensus.KindSnapshot && len(msg.Snapshot.Data) > partBytes {
			err = n.sendParts(p, msg)
		} else {
			err = n.callStep(p, nil, msg)
		}
		if (err != nil) != failing && n.ctx.Err() == nil {
			failing = err != nil
			n.logger.Info("peer reachability changed", zap.String("peer", p.address), zap.Bool("reachable", !failing), zap.Error(err))
		}
	}
}

// callStep sends messages, and with them others that wait.
func (n *Node) callStep(p *peerLink, part *SnapshotPart, messages ...consensus.Message) error {
	request := &StepRequest{From: n.config.ID, Address: n.address, Messages: messages, Part: part}
	for len(request.Messages) < maxEvents {
		msg, ok := p.messages.TryPop()
		if !ok {
			break
		}
		request.Messages = append(request.Messages, msg)
	}
	bytes := 0
	if part != nil {
		bytes = len(part.Data)
	}
	for _, msg := range request.Messages {
		bytes += messageBytes(msg)
	}
	ctx, cancel := context.WithTimeout(n.ctx, stepTimeout+time.Duration(bytes)*stepTimeoutPerByte)
	defer cancel()
	var reply StepReply
	if err := p.client.Call(ctx, ConsensusServiceName+".Step", request, &reply); err != nil {
		n.counters.callsFailed.Add(1)
		return err
	}
	if part != nil && !reply.Accepted {
		return errors.New("peer dropped a part of the snapshot")
	}
	return nil
}

// sendParts sends a large snapshot.
func (n *Node) sendParts(p *peerLink, msg consensus.Message) error {
	whole := *msg.Snapshot
	for offset := 0; offset < len(whole.Data); offset += partBytes {
		end := min(offset+partBytes, len(whole.Data))
		part := &SnapshotPart{Index: whole.Index, Term: whole.Term, Offset: offset, Data: whole.Data[offset:end]}
		if err := n.callStep(p, part); err != nil {
			return err
		}
	}
	whole.Data = nil
	msg.Snapshot = &whole
	return n.callStep(p, nil, msg)
}

// partial is a snapshot of which parts arrived.
type partial struct {
	index, term uint64
	data        []byte
}

// handle implements event.
func (r *StepRequest) handle(n *Node) {
	// A message may remove its sender from the membership, and is answered.
	n.learned[r.From] = r.Address
	if part := r.Part; part != nil {
		if part.Offset == 0 {
			n.partial = partial{index: part.Index, term: part.Term}
		}
		fits := part.Offset+len(part.Data) <= maxSnapshotBytes
		if fits && n.partial.index == part.Index && n.partial.term == part.Term && len(n.partial.data) == part.Offset {
			n.partial.data = append(n.partial.data, part.Data...)
		}
	}
	for _, msg := range r.Messages {
		if msg.Kind == consensus.KindSnapshot && msg.Snapshot != nil && msg.Snapshot.Size != len(msg.Snapshot.Data) {
			if !n.completeSnapshot(msg.Snapshot) {
				continue
			}
		}
		n.machine.Step(msg)
	}
}

// completeSnapshot adds the data that arrived in parts. It returns false when
// some is missing; the leader sends the snapshot again.
func (n *Node) completeSnapshot(s *consensus.Snapshot) bool {
	data := n.partial.data
	if n.partial.index != s.Index || n.partial.term != s.Term || len(data) != s.Size {
		n.logger.Warn("snapshot is incomplete", zap.Uint64("index", s.Index), zap.Int("bytes", len(data)), zap.Int("size", s.Size))
		return false
	}
	s.Data, n.partial = data, partial{}
	return true
}

// messageBytes is the payload of a message.
func messageBytes(msg consensus.Message) int {
	bytes := 0
	if msg.Snapshot != nil {
		bytes = len(msg.Snapshot.Data)
	}
	for i := range msg.Entries {
		bytes += len(msg.Entries[i].Data)
	}
	return bytes
}
