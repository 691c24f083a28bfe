// Package link numbers the tokens of a stream between an agent and an entry,
// so that each token is delivered once and in order across broken connections.
package link

import "arbutusmast.example/arbutusmast/core/message"

// Limits of one stream.
const (
	// MaxUnacked bounds the tokens that the entry has not acknowledged. Past it
	// the agent stops reading from the engine for this stream.
	MaxUnacked = 1024
	// MaxReplayBytes bounds the text kept for one execution, so that a host with
	// many long answers stays within its memory.
	MaxReplayBytes = 512 << 10
	// tokenOverheadBytes is the cost of a token beside its text.
	tokenOverheadBytes = 16
)

// Window is the agent's side of one stream: the tokens that may be sent again.
//
// Invariant: tokens[i] has index first+i, and first <= acked <= Next().
type Window struct {
	first  uint64
	acked  uint64
	tokens []message.Token
	bytes  int
}

// NewWindow returns the window of a stream whose tokens before first were sent
// by another agent.
func NewWindow(first uint64) Window { return Window{first: first, acked: first} }

// Next returns the index of the next token to append.
func (w *Window) Next() uint64 { return w.first + uint64(len(w.tokens)) }

// Bytes returns the memory that the window counts for its tokens.
func (w *Window) Bytes() int { return w.bytes }

// Full tells whether the reader of the engine must wait for acknowledgements.
func (w *Window) Full() bool { return w.Next()-w.acked >= MaxUnacked }

// Append adds the next token and drops acknowledged ones above the limit.
func (w *Window) Append(token message.Token) {
	w.tokens = append(w.tokens, token)
	w.bytes += len(token.Text) + tokenOverheadBytes
	if w.bytes > MaxReplayBytes {
		// Trimming below the limit keeps the copy in trim from running for each
		// token.
		w.trim(MaxReplayBytes * 3 / 4)
	}
}

// trim drops acknowledged tokens until at most limit bytes are kept.
func (w *Window) trim(limit int) {
	drop := 0
	for w.bytes > limit && drop < len(w.tokens) && w.first+uint64(drop) < w.acked {
		w.bytes -= len(w.tokens[drop].Text) + tokenOverheadBytes
		drop++
	}
	if drop == 0 {
		return
	}
	w.first += uint64(drop)
	w.tokens = append([]message.Token(nil), w.tokens[drop:]...)
}

// DropAcked drops all acknowledged tokens.
func (w *Window) DropAcked() { w.trim(0) }

// Ack records that the entry has delivered all tokens before next.
func (w *Window) Ack(next uint64) {
	if next > w.Next() {
		next = w.Next()
	}
	if next > w.acked {
		w.acked = next
	}
}

// CanResumeFrom tells whether the token at an index can still be sent.
func (w *Window) CanResumeFrom(from uint64) bool { return from >= w.first && from <= w.Next() }

// TokensFrom returns at most limit tokens from an index on. The caller must not
// change them.
func (w *Window) TokensFrom(from uint64, limit int) []message.Token {
	if !w.CanResumeFrom(from) {
		return nil
	}
	rest := w.tokens[from-w.first:]
	if len(rest) > limit {
		rest = rest[:limit]
	}
	return rest[:len(rest):len(rest)]
}

// Receiver is the entry's side of one stream: it lets each token pass once.
type Receiver struct {
	next uint64
}

// NewReceiver returns a receiver that expects the token at an index.
func NewReceiver(next uint64) *Receiver { return &Receiver{next: next} }

// Next returns the index of the token that the receiver expects.
func (r *Receiver) Next() uint64 { return r.next }

// Accept returns the tokens of a frame that are new. It reports false when the
// frame leaves a gap, so that the entry must subscribe again from Next.
func (r *Receiver) Accept(first uint64, tokens []message.Token) ([]message.Token, bool) {
	if first > r.next {
		return nil, false
	}
	skip := r.next - first
	if skip >= uint64(len(tokens)) {
		return nil, true
	}
	fresh := tokens[skip:]
	r.next += uint64(len(fresh))
	return fresh, true
}
