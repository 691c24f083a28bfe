package entry

import (
	"context"
	"sync"

	"arbutusmast.example/arbutusmast/core/link"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/verdict"
)

const (
	// tokensPerAck is the number of delivered tokens that one acknowledgement covers.
	// The agent waits for an acknowledgement only after link.MaxUnacked tokens.
	tokensPerAck = link.MaxUnacked / 4
	// maxBufferedTokens bounds the tokens of one stream that wait for the caller. The
	// agent sends at most link.MaxUnacked unacknowledged tokens.
	maxBufferedTokens = link.MaxUnacked + 1
	// maxSpareTokens is the capacity of the largest token buffer that an idle stream
	// keeps. It limits the memory of many slow streams.
	maxSpareTokens = 16
)

// batch holds the tokens, and possibly the end, that one call of stream.next
// returns. The index of the first token is first.
type batch struct {
	first  uint64
	tokens []message.Token
	end    *message.End
}

// stream reads the tokens of one execution. It buffers tokens in a slice instead of
// a ring buffer, because a ring of link.MaxUnacked tokens would cost every idle
// stream tens of kilobytes.
type stream struct {
	id     message.ExecutionID
	caller string
	link   *agentLink
	ready  chan struct{}

	mu       sync.Mutex
	receiver link.Receiver
	tokens   []message.Token
	spare    []message.Token
	end      *message.End

	// The fields below are guarded by link.mu.
	ackedUpTo          uint64
	ackSentUpTo        uint64
	queued             bool
	subscribePending   bool
	unsubscribePending bool
	finalAckPending    bool
}

func newStream(l *agentLink, id message.ExecutionID, caller string, from uint64) *stream {
	return &stream{
		id: id, caller: caller, link: l, ready: make(chan struct{}, 1),
		receiver: *link.NewReceiver(from), ackedUpTo: from, ackSentUpTo: from, subscribePending: true,
	}
}

// next waits for tokens or the end of the stream. The returned tokens are valid
// until the next call.
func (s *stream) next(ctx context.Context) (batch, error) {
	for {
		s.mu.Lock()
		if len(s.tokens) > 0 || s.end != nil {
			b := batch{first: s.receiver.Next() - uint64(len(s.tokens)), tokens: s.tokens, end: s.end}
			s.tokens, s.spare = s.spare[:0], nil
			if cap(b.tokens) <= maxSpareTokens {
				s.spare = b.tokens
			}
			s.mu.Unlock()
			return b, nil
		}
		s.mu.Unlock()
		select {
		case <-s.ready:
		case <-ctx.Done():
			return batch{}, ctx.Err()
		}
	}
}

func (s *stream) notify() {
	select {
	case s.ready <- struct{}{}:
	default:
	}
}

// acceptTokens adds the tokens of a frame. It reports false if tokens before the
// frame are missing.
func (s *stream) acceptTokens(first uint64, tokens []message.Token) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.end != nil {
		return true
	}
	fresh, contiguous := s.receiver.Accept(first, tokens)
	if !contiguous {
		return false
	}
	s.tokens = append(s.tokens, fresh...)
	if len(s.tokens) > maxBufferedTokens {
		s.end = streamLostEnd(s.id, "the agent sent more tokens than the window allows")
	}
	s.notify()
	return true
}

// acceptEnd sets the end of the stream. It reports false if tokens before the end
// are missing.
func (s *stream) acceptEnd(e *message.End) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.end != nil {
		return true
	}
	if e.Count > s.receiver.Next() {
		return false
	}
	s.end = e
	s.notify()
	return true
}

func (s *stream) nextIndex() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.receiver.Next()
}

// acknowledge records that all tokens before index next were written to the caller.
func (s *stream) acknowledge(next uint64) {
	l := s.link
	l.mu.Lock()
	s.ackedUpTo = next
	if next-s.ackSentUpTo >= tokensPerAck {
		l.enqueue(s)
	}
	l.mu.Unlock()
}

// acknowledgeAll records that the caller has received the whole answer, so that the
// agent does not have to keep it.
func (s *stream) acknowledgeAll() {
	l := s.link
	l.mu.Lock()
	defer l.mu.Unlock()
	s.finalAckPending = true
	l.enqueue(s)
}

// close stops reading and unsubscribes from the execution, so that the agent does
// not run an execution without a reader for long.
func (s *stream) close() {
	l := s.link
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.streams[s.id] == s {
		delete(l.streams, s.id)
		s.unsubscribePending = true
		l.enqueue(s)
	}
}

func streamLostEnd(id message.ExecutionID, text string) *message.End {
	return &message.End{
		Execution: id, Started: true, Refusal: message.Refusal{Reason: verdict.ReasonStreamLost, Message: text},
	}
}

// supersededMessage is the error message for a reader that was replaced by another
// request of the same caller for the same stream.
const supersededMessage = "another request reads this stream"

func supersededEnd(id message.ExecutionID) *message.End {
	return &message.End{Execution: id, Started: true, Verdict: verdict.MayHaveRun,
		Refusal: message.Refusal{Reason: verdict.ReasonSuperseded, Message: supersededMessage}}
}
