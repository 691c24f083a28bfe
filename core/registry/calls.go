package registry

import (
	"container/heap"
	"time"

	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/verdict"
)

// Bounds of the call ledger.
const (
	MaxCalls = 1 << 20
	// MaxResponseBytes bounds one recorded response, including its header.
	MaxResponseBytes = 16 << 10
	// MaxResponseBytesTotal bounds all recorded responses together. Above it,
	// responses are recorded without header and body.
	MaxResponseBytesTotal = 128 << 20
	MaxCallKeyBytes       = 1024
	DefaultRetention      = 24 * time.Hour
	MaxRetention          = 7 * 24 * time.Hour
	// maxExpiredPerCommand bounds the expired records that one command removes. It
	// is above one, so that the ledger shrinks even if every command adds a record.
	maxExpiredPerCommand = 8
)

// callKey identifies a call: the caller and its idempotency key.
type callKey struct{ caller, key string }

// call is the record of a call. Until its retention ends, a call that has started
// and whose outcome is unknown is not dispatched again.
type call struct {
	Caller     string                    `cbor:"1,keyasint"`
	Key        string                    `cbor:"2,keyasint"`
	BodyDigest string                    `cbor:"3,keyasint"`
	Request    message.RequestID         `cbor:"4,keyasint"`
	Expires    time.Duration             `cbor:"5,keyasint"`
	Finished   bool                      `cbor:"6,keyasint,omitempty"`
	Response   *message.RecordedResponse `cbor:"7,keyasint,omitempty"`

	// heapIndex is the index of the call in the expiry heap.
	heapIndex int
}

// ledger holds the records of calls by key and ordered by expiry.
type ledger struct {
	records       map[callKey]*call
	expiry        expiryHeap
	responseBytes int
}

func newLedger() ledger { return ledger{records: map[callKey]*call{}} }

func (l *ledger) insert(c *call) {
	l.records[callKey{c.Caller, c.Key}] = c
	heap.Push(&l.expiry, c)
	if c.Response != nil {
		l.responseBytes += responseBytes(c.Response)
	}
}

func (l *ledger) remove(c *call) {
	delete(l.records, callKey{c.Caller, c.Key})
	heap.Remove(&l.expiry, c.heapIndex)
	if c.Response != nil {
		l.responseBytes -= responseBytes(c.Response)
	}
}

// removeExpired removes up to maxExpiredPerCommand expired records.
func (l *ledger) removeExpired(now time.Duration) {
	for n := 0; n < maxExpiredPerCommand && len(l.expiry) > 0 && l.expiry[0].Expires <= now; n++ {
		l.remove(l.expiry[0])
	}
}

// find returns the record of a key, or nil if there is none. A record whose
// retention has ended is removed.
func (l *ledger) find(now time.Duration, key callKey) *call {
	c, known := l.records[key]
	if known && c.Expires <= now {
		l.remove(c)
		return nil
	}
	return c
}

func (l *ledger) begin(now time.Duration, b *BeginCall) any {
	if b.Key == "" || b.Request == "" || len(b.Caller)+len(b.Key)+len(b.BodyDigest)+len(b.Request) > MaxCallKeyBytes {
		return verdict.New(verdict.NotRun, verdict.ReasonInvalid,
			"a call needs a key and a request id of at most %d bytes in all", MaxCallKeyBytes)
	}
	if c := l.find(now, callKey{b.Caller, b.Key}); c != nil {
		return c.beginReply(b)
	}
	if len(l.records) >= MaxCalls {
		return verdict.New(verdict.NotRun, verdict.ReasonOverloaded, "the call ledger is full").
			WithRetryAfter(fullRetryAfter)
	}
	retention := b.Retention
	if retention <= 0 {
		retention = DefaultRetention
	}
	l.insert(&call{
		Caller: b.Caller, Key: b.Key, BodyDigest: b.BodyDigest, Request: b.Request,
		Expires: now + min(retention, MaxRetention),
	})
	return message.BeginCallReply{State: message.CallNew, Request: b.Request}
}

// beginReply returns the reply to a BeginCall for an existing record. The request
// that owns the record gets CallNew again, because the first reply may have been
// lost.
func (c *call) beginReply(b *BeginCall) message.BeginCallReply {
	reply := message.BeginCallReply{Request: c.Request}
	switch {
	case c.BodyDigest != b.BodyDigest:
		reply.State = message.CallConflict
	case c.Finished:
		reply.State = message.CallFinished
		reply.Response = *c.Response
	case c.Request == b.Request:
		reply.State = message.CallNew
	default:
		reply.State = message.CallStarted
	}
	return reply
}

func (l *ledger) finish(now time.Duration, f *FinishCall) any {
	c := l.find(now, callKey{f.Caller, f.Key})
	switch {
	case c == nil && f.Release:
		// A repeated release, or one after the retention has ended.
		return message.FinishCallReply{}
	case c == nil:
		return verdict.New(verdict.NotRun, verdict.ReasonInvalid, "the ledger has no record of the call")
	case c.Request != f.Request:
		return verdict.New(verdict.NotRun, verdict.ReasonInvalid, "the call belongs to request %q", c.Request)
	case c.Finished && f.Release:
		return verdict.New(verdict.Ran, verdict.ReasonInvalid, "the call has finished and can not be released")
	case c.Finished:
		return message.FinishCallReply{}
	case f.Release:
		l.remove(c)
		return message.FinishCallReply{}
	}
	response := f.Response
	if size := responseBytes(&response); size > MaxResponseBytes || l.responseBytes+size > MaxResponseBytesTotal {
		response = message.RecordedResponse{Status: response.Status, Truncated: true}
	}
	// An Image may still read the old record, so the record is replaced.
	finished := *c
	finished.Finished, finished.Response = true, &response
	l.records[callKey{c.Caller, c.Key}] = &finished
	l.expiry[c.heapIndex] = &finished
	l.responseBytes += responseBytes(&response)
	return message.FinishCallReply{}
}

func responseBytes(r *message.RecordedResponse) int {
	n := len(r.Body)
	for name, values := range r.HTTPHeader {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return n
}

// expiryHeap is a heap of calls ordered by expiry and then by key, so that every
// member removes the same calls at the same command.
type expiryHeap []*call

func (h expiryHeap) Len() int { return len(h) }

func (h expiryHeap) Less(i, j int) bool { return h[i].expiresBefore(h[j]) }

// expiresBefore reports whether a comes before b in the order of expiry.
func (a *call) expiresBefore(b *call) bool {
	if a.Expires != b.Expires {
		return a.Expires < b.Expires
	}
	if a.Caller != b.Caller {
		return a.Caller < b.Caller
	}
	return a.Key < b.Key
}

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	c := x.(*call)
	c.heapIndex = len(*h)
	*h = append(*h, c)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	c := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return c
}
