// Package link numbers the tokens of a stream between an agent and an entry, so
// that each token is delivered exactly once and in order despite reconnects.
package link

import "arbutusmast.example/arbutusmast/core/message"

// Limits of one stream.
const (
	// MaxUnacked limits the unacknowledged tokens. When the limit is reached, the
	// agent stops reading from the engine for this stream.
	MaxUnacked = 1024
	// MaxReplayBytes is the size of one execution's tokens above which acknowledged
	// ones are dropped, so that many long responses do not exhaust a host's memory.
	MaxReplayBytes = 512 << 10
	// tokenOverheadBytes is the memory of a token in addition to its text.
	tokenOverheadBytes = 16
)

// Window is the replay buffer of one stream at the agent. It holds the tokens
// that can be sent again.
//
// Invariant: tokens[i] has index first+i, and first <= acked <= Next().
type Window struct {
	first  uint64
	acked  uint64
	tokens []message.Token
	bytes  int
}

// NewWindow returns the window of a stream whose first token has index first. An
// earlier agent sent the tokens before it.
func NewWindow(first uint64) Window { return Window{first: first, acked: first} }

// Next returns the index of the next token to append.
func (w *Window) Next() uint64 { return w.first + uint64(len(w.tokens)) }

// Bytes returns the estimated memory of the tokens in the window.
func (w *Window) Bytes() int { return w.bytes }

// Full reports whether MaxUnacked is reached, so that the agent must wait for
// acknowledgements before it reads more from the engine.
func (w *Window) Full() bool { return w.Next()-w.acked >= MaxUnacked }

// Append adds the next token. Above MaxReplayBytes it drops acknowledged tokens.
func (w *Window) Append(token message.Token) {
	w.tokens = append(w.tokens, token)
	w.bytes += len(token.Text) + tokenOverheadBytes
	if w.bytes > MaxReplayBytes {
		// Trimming well below the limit avoids a copy in trim for each token.
		w.trim(MaxReplayBytes * 3 / 4)
	}
}

// trim drops the oldest acknowledged tokens until at most limit bytes remain or
// only unacknowledged tokens are left.
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

// Ack records that the entry has delivered all tokens before index next.
func (w *Window) Ack(next uint64) {
	if next > w.Next() {
		next = w.Next()
	}
	if next > w.acked {
		w.acked = next
	}
}

// CanResumeFrom reports whether the stream can be sent from an index on, which is
// so if no token at or after it was dropped.
func (w *Window) CanResumeFrom(from uint64) bool { return from >= w.first && from <= w.Next() }

// TokensFrom returns at most limit tokens from an index on, or nil if the stream
// cannot be resumed there. The caller must not modify them.
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

// Receiver is the receiving side of one stream at the entry. It drops duplicate
// tokens.
type Receiver struct {
	next uint64
}

// NewReceiver returns a receiver that expects the token with index next first.
func NewReceiver(next uint64) *Receiver { return &Receiver{next: next} }

// Next returns the index of the next token that the receiver expects.
func (r *Receiver) Next() uint64 { return r.next }

// Accept returns the new tokens of a frame whose first token has index first. It
// reports false if tokens before the frame are missing; the entry must then
// subscribe again from Next.
func (r *Receiver) Accept(first uint64, tokens []message.Token) ([]message.Token, bool) {
	if first > r.next {
		return nil, false
	}
	skip := r.next - first
	if skip >= uint64(len(tokens)) {
		return nil, true
	}
	newTokens := tokens[skip:]
	r.next += uint64(len(newTokens))
	return newTokens, true
}
