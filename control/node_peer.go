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

// ConsensusServiceName is the net/rpc service name for calls between control
// members.
const ConsensusServiceName = "Consensus"

// snapshotPartBytes is the size above which a snapshot is sent in parts of this
// size, so that heartbeats are not delayed until the whole snapshot is sent.
const snapshotPartBytes = 256 << 10

// maxSnapshotBytes bounds the memory for the received parts of a snapshot. It equals
// the maximum size of a record in the write-ahead log.
const maxSnapshotBytes = 1 << 30

// The timeout of a Step call is stepTimeout plus stepTimeoutPerByte for each byte
// of its payload, which is 1 s per MiB, because a snapshot takes longer than a
// heartbeat.
const (
	stepTimeout        = time.Second
	stepTimeoutPerByte = time.Second / (1 << 20)
)

// StepRequest contains messages from one member to another. Address is the peer
// address of the sender, for receivers that do not know the membership yet.
type StepRequest struct {
	From     consensus.MemberID
	Address  string
	Messages []consensus.Message
	// Part is a part of the snapshot that a later message refers to.
	Part *SnapshotPart
}

// SnapshotPart is a part of a snapshot's data. The parts are sent in order, followed
// by the snapshot message without data.
type SnapshotPart struct {
	Index, Term uint64
	Offset      int
	Data        []byte
}

// StepReply is the reply to a StepRequest. Accepted is false if the receiver dropped
// the messages because it is overloaded.
type StepReply struct {
	Accepted bool
}

// stepService serves Step calls over net/rpc.
type stepService struct{ node *Node }

// Step passes messages to the main goroutine.
func (s *stepService) Step(request *StepRequest, reply *StepReply) error {
	reply.Accepted = s.node.inbox.TryPush(request)
	if !reply.Accepted {
		s.node.counters.messagesDropped.Add(uint64(len(request.Messages)))
	}
	return nil
}

// Register registers the node's RPC service on a server.
func (n *Node) Register(server *wire.Server) error {
	return server.Register(ConsensusServiceName, &stepService{n})
}

// peerSender sends messages to one address. Messages are dropped if the queue is
// full; the consensus protocol retransmits them.
type peerSender struct {
	address  string
	messages *ring.Queue[consensus.Message]
	client   *wire.Client
}

// queueMessage queues a message for its receiver. It creates the receiver's sender,
// and replaces it if the receiver's address has changed.
func (n *Node) queueMessage(msg consensus.Message) {
	address := n.peerAddress(msg.To)
	if address == "" {
		return
	}
	sender := n.senders[msg.To]
	if sender == nil || sender.address != address {
		if sender != nil {
			sender.messages.Close()
		}
		sender = &peerSender{address: address, messages: ring.New[consensus.Message](peerCapacity),
			client: wire.NewClient(address, n.config.Dial)}
		n.senders[msg.To] = sender
		n.start(func() { n.runSender(sender) })
	}
	if !sender.messages.TryPush(msg) {
		n.counters.messagesDropped.Add(1)
	}
}

// closeUnusedSenders closes the senders to ids that are neither members nor the
// leader.
func (n *Node) closeUnusedSenders() {
	members := n.raft.Members()
	for id, sender := range n.senders {
		if _, ok := members.Find(id); !ok && id != n.status.Load().Leader {
			sender.messages.Close()
			delete(n.senders, id)
		}
	}
}

// runSender sends all queued messages in one call. The messages of a failed call are
// dropped.
func (n *Node) runSender(sender *peerSender) {
	defer sender.client.Close()
	unreachable := false
	for {
		msg, ok := sender.messages.Pop(n.ctx)
		if !ok || n.ctx.Err() != nil {
			return
		}
		var err error
		if msg.Kind == consensus.KindSnapshot && len(msg.Snapshot.Data) > snapshotPartBytes {
			err = n.sendSnapshotParts(sender, msg)
		} else {
			err = n.callStep(sender, nil, msg)
		}
		if (err != nil) != unreachable && n.ctx.Err() == nil {
			unreachable = err != nil
			n.logger.Info("peer reachability changed", zap.String("peer", sender.address),
				zap.Bool("reachable", !unreachable), zap.Error(err))
		}
	}
}

// callStep sends messages together with other queued messages.
func (n *Node) callStep(sender *peerSender, part *SnapshotPart, messages ...consensus.Message) error {
	request := &StepRequest{From: n.config.ID, Address: n.address, Messages: messages, Part: part}
	for len(request.Messages) < maxEvents {
		msg, ok := sender.messages.TryPop()
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
		bytes += payloadBytes(msg)
	}
	ctx, cancel := context.WithTimeout(n.ctx, stepTimeout+time.Duration(bytes)*stepTimeoutPerByte)
	defer cancel()
	var reply StepReply
	if err := sender.client.Call(ctx, ConsensusServiceName+".Step", request, &reply); err != nil {
		n.counters.callsFailed.Add(1)
		return err
	}
	if part != nil && !reply.Accepted {
		return errors.New("peer dropped a snapshot part because it is overloaded")
	}
	return nil
}

// sendSnapshotParts sends the data of a large snapshot in parts, then the message
// without the data.
func (n *Node) sendSnapshotParts(sender *peerSender, msg consensus.Message) error {
	snapshot := *msg.Snapshot
	for offset := 0; offset < len(snapshot.Data); offset += snapshotPartBytes {
		end := min(offset+snapshotPartBytes, len(snapshot.Data))
		part := &SnapshotPart{
			Index: snapshot.Index, Term: snapshot.Term, Offset: offset, Data: snapshot.Data[offset:end],
		}
		if err := n.callStep(sender, part); err != nil {
			return err
		}
	}
	snapshot.Data = nil
	msg.Snapshot = &snapshot
	return n.callStep(sender, nil, msg)
}

// partialSnapshot holds the received parts of a snapshot.
type partialSnapshot struct {
	index, term uint64
	data        []byte
}

// handle implements event.
func (r *StepRequest) handle(n *Node) {
	// The address is needed for the reply if a message removes its sender from the
	// membership.
	n.senderAddresses[r.From] = r.Address
	if part := r.Part; part != nil {
		if part.Offset == 0 {
			n.incoming = partialSnapshot{index: part.Index, term: part.Term}
		}
		fits := part.Offset+len(part.Data) <= maxSnapshotBytes
		if fits && n.incoming.index == part.Index && n.incoming.term == part.Term &&
			len(n.incoming.data) == part.Offset {
			n.incoming.data = append(n.incoming.data, part.Data...)
		}
	}
	for _, msg := range r.Messages {
		if msg.Kind == consensus.KindSnapshot && msg.Snapshot != nil && msg.Snapshot.Size != len(msg.Snapshot.Data) {
			if !n.completeSnapshot(msg.Snapshot) {
				continue
			}
		}
		n.raft.Step(msg)
	}
}

// completeSnapshot sets the data of a snapshot that was received in parts. It
// returns false if a part is missing; the leader then sends the snapshot again.
func (n *Node) completeSnapshot(s *consensus.Snapshot) bool {
	data := n.incoming.data
	if n.incoming.index != s.Index || n.incoming.term != s.Term || len(data) != s.Size {
		n.logger.Warn("received snapshot is incomplete", zap.Uint64("index", s.Index),
			zap.Int("bytes", len(data)), zap.Int("size", s.Size))
		return false
	}
	s.Data, n.incoming = data, partialSnapshot{}
	return true
}

// payloadBytes returns the size of the entries and the snapshot in a message.
func payloadBytes(msg consensus.Message) int {
	bytes := 0
	if msg.Snapshot != nil {
		bytes = len(msg.Snapshot.Data)
	}
	for i := range msg.Entries {
		bytes += len(msg.Entries[i].Data)
	}
	return bytes
}
