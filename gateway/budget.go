package gateway

import (
	"io"

	"github.com/pkg/errors"
)

const (
	// unbudgetedBytes is what each request may hold of a response even if the budget is used
	// up. Nearly all responses and events are smaller, so responses without an end cost only
	// large responses.
	unbudgetedBytes = 64 << 10
	// defaultBufferBytes bounds what all responses hold beyond that.
	defaultBufferBytes = 32 << 20
	// maxPartBytes limits the parts in which a body is read.
	maxPartBytes = 256 << 10
	// budgetStep is the least number of bytes that is taken from the budget.
	budgetStep = 64 << 10
)

// errBufferBudget is returned for a response that exceeds the memory for all responses.
var errBufferBudget = errors.New("the responses being read take too much memory")

// budgetShare is what the response to one request takes from the budget.
type budgetShare struct {
	budget *memoryBudget
	// forced are the bytes up to unbudgetedBytes, which are counted but never refused.
	forced, taken int64
}

// hold makes the request hold n bytes, and returns false if the budget is used up.
func (s *budgetShare) hold(n int) bool {
	if more := min(int64(n), unbudgetedBytes) - s.forced; more > 0 {
		s.budget.force(more)
		s.forced += more
	}
	needed := int64(n) - unbudgetedBytes - s.taken
	if needed <= 0 {
		return true
	}
	needed = max(needed, budgetStep)
	if !s.budget.takeResponse(needed) {
		return false
	}
	s.taken += needed
	return true
}

// release returns the share to the budget.
func (s *budgetShare) release() {
	if s.forced > 0 {
		s.budget.returnResponse(s.forced, s.taken)
		s.forced, s.taken = 0, 0
	}
}

// readAll reads a body of at most limit bytes into memory, in parts.
func (s *budgetShare) readAll(body io.Reader, limit int) (parts [][]byte, err error) {
	var part []byte
	total, held, size := 0, 0, upstreamBufferBytes
	for {
		if len(part) == cap(part) {
			if held += size; !s.hold(held) {
				return nil, errBufferBudget
			}
			part = make([]byte, 0, size)
			parts = append(parts, part)
			size = min(2*size, maxPartBytes)
		}
		n, err := body.Read(part[len(part):cap(part)])
		part = part[:len(part)+n]
		parts[len(parts)-1] = part
		if total += n; total > limit {
			return nil, errors.Errorf("response body exceeds %d bytes", limit)
		}
		if errors.Is(err, io.EOF) {
			return parts, nil
		}
		if err != nil {
			return nil, err
		}
	}
}
