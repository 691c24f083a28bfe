package netlimit

import (
	"io"
	"net"
	"net/http"
	"os"
	"sync"

	"github.com/pkg/errors"
)

// connTable maps the connections of a server to their state.
type connTable struct {
	mu    sync.Mutex
	conns map[net.Conn]*httpConn
}

func newConnTable() *connTable { return &connTable{conns: map[net.Conn]*httpConn{}} }

func (t *connTable) get(conn net.Conn) *httpConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.conns[conn]
}

func (t *connTable) put(conn net.Conn, c *httpConn) {
	t.mu.Lock()
	t.conns[conn] = c
	t.mu.Unlock()
}

func (t *connTable) remove(conn net.Conn) {
	t.mu.Lock()
	delete(t.conns, conn)
	t.mu.Unlock()
}

const (
	firstSegment = 8 << 10
	maxSegment   = 256 << 10
)

// ReadBody reads the body of a request of at most limit bytes. Its memory is counted as it arrives
// and released when the handler returns. A refusal is sent with Answer.
func ReadBody(r *http.Request, limit int64) ([]byte, *BodyError) {
	state, _ := r.Context().Value(requestKey{}).(*request)
	if r.ContentLength > limit {
		return nil, state.refusal(r, &BodyError{http.StatusRequestEntityTooLarge, ReasonTooLarge, errTooLarge(limit)})
	}
	if state == nil {
		return readUncounted(r, limit)
	}
	state.conn.SetEnd(state.displace)
	state.conn.Set(Receiving)
	s := segments{holding: state.holding, announced: r.ContentLength}
	err := s.read(r.Body, limit)
	var body []byte
	if err == nil {
		body, err = s.join()
	}
	if err == nil {
		err = state.complete()
	}
	if err == nil {
		return body, nil
	}
	var failure *BodyError
	switch {
	case errors.As(err, &failure):
	case errors.Is(err, ErrNoMemory) || state.holding.IsRefused():
		failure = &BodyError{http.StatusServiceUnavailable, ReasonNoMemory, ErrNoMemory}
	case errors.Is(err, errDisplaced), state.displaced.Load():
		failure = &BodyError{http.StatusServiceUnavailable, ReasonDisplaced, errDisplaced}
	case errors.Is(err, os.ErrDeadlineExceeded):
		failure = &BodyError{http.StatusRequestTimeout, ReasonBodyTimeout, errors.New("the body did not arrive in time")}
	default:
		// The connection broke, or the body is not valid.
		failure = &BodyError{http.StatusBadRequest, ReasonBroken, err}
	}
	return nil, state.refusal(r, failure)
}

// errDisplaced means that a request was refused because its connection was given up for another one.
var errDisplaced = errors.New("too many connections")

// complete ends the time in which the request can be refused. It fails if the request was chosen
// before: the end of its read, which may come later, would end the request while it is served.
func (r *request) complete() error {
	if err := r.holding.Complete(); err != nil {
		return err
	}
	if !r.conn.Serve() {
		return errDisplaced
	}
	return nil
}

// refusal releases the memory of a request that is refused.
func (r *request) refusal(of *http.Request, e *BodyError) *BodyError {
	if r != nil {
		r.failed.Store(true)
		r.holding.Close()
		r.guard.reporter.Refused(e.Reason, of.RemoteAddr)
	}
	return e
}

// Reserve counts n bytes for the answer of a request in addition to its body, until the handler
// returns.
func Reserve(r *http.Request, n int64) *BodyError {
	state, _ := r.Context().Value(requestKey{}).(*request)
	if state == nil || n <= 0 {
		return nil
	}
	err := state.holding.Complete()
	if err == nil {
		err = state.holding.Grow(n)
	}
	if err != nil {
		state.guard.reporter.Refused(ReasonNoMemory, r.RemoteAddr)
		return &BodyError{http.StatusServiceUnavailable, ReasonNoMemory, err}
	}
	return nil
}

// Release ends the counting of n bytes that Reserve counted.
func Release(r *http.Request, n int64) {
	if state, _ := r.Context().Value(requestKey{}).(*request); state != nil && n > 0 {
		state.holding.Shrink(n)
	}
}

// readUncounted reads a body where no limits are enforced, as in tests of handlers.
func readUncounted(r *http.Request, limit int64) ([]byte, *BodyError) {
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	switch {
	case err != nil:
		return nil, &BodyError{http.StatusBadRequest, ReasonBroken, err}
	case int64(len(body)) > limit:
		return nil, &BodyError{http.StatusRequestEntityTooLarge, ReasonTooLarge, errTooLarge(limit)}
	}
	return body, nil
}

// segments receives bytes into memory that is taken as they arrive and is not copied until the end.
type segments struct {
	holding *Holding
	full    [][]byte
	last    []byte
	size    int64
	// announced is the number of bytes that the client announced, or negative if it did not.
	announced int64
}

// add takes memory for another segment, not more than the announced rest: otherwise a small request
// would count as much larger than it is when intake.Choose compares it with others.
func (s *segments) add() error {
	n := min(maxSegment, max(firstSegment, 2*cap(s.last)))
	if rest := s.announced - s.size; rest > 0 {
		n = int(min(int64(n), rest))
	}
	if err := s.holding.Grow(int64(n)); err != nil {
		return err
	}
	if len(s.last) > 0 {
		s.full = append(s.full, s.last)
	}
	s.last = make([]byte, 0, n)
	return nil
}

// read reads until the end of the reader, which must come within limit bytes.
func (s *segments) read(from io.Reader, limit int64) error {
	// Memory is taken after the first byte has arrived.
	var first [1]byte
	n, err := from.Read(first[:])
	for ; n == 0 && err == nil; n, err = from.Read(first[:]) {
	}
	if n > 0 {
		s.holding.Progress(n)
		if limit < 1 {
			return &BodyError{http.StatusRequestEntityTooLarge, ReasonTooLarge, errTooLarge(limit)}
		}
		if growErr := s.add(); growErr != nil {
			return growErr
		}
		s.last, s.size = append(s.last, first[0]), 1
	}
	for err == nil {
		if s.size == s.announced {
			// Nothing but the end may follow, for which no memory is taken.
			if n, err = from.Read(first[:]); n > 0 {
				return errors.New("more bytes arrived than were announced")
			}
			continue
		}
		if len(s.last) == cap(s.last) {
			if err := s.add(); err != nil {
				return err
			}
		}
		n, err = from.Read(s.last[len(s.last):cap(s.last)])
		s.last = s.last[:len(s.last)+n]
		if s.size += int64(n); s.size > limit {
			return &BodyError{http.StatusRequestEntityTooLarge, ReasonTooLarge, errTooLarge(limit)}
		}
		if n > 0 {
			s.holding.Progress(n)
		}
	}
	if err == io.EOF {
		return nil
	}
	return err
}

// join returns the bytes as one slice.
func (s *segments) join() ([]byte, error) {
	if len(s.full) == 0 {
		return s.last, nil
	}
	if err := s.holding.Grow(s.size); err != nil {
		return nil, err
	}
	body, held := make([]byte, 0, s.size), int64(0)
	for i, segment := range append(s.full, s.last) {
		body = append(body, segment...)
		held += int64(cap(segment))
		if i < len(s.full) {
			s.full[i] = nil
		}
	}
	s.full, s.last = nil, nil
	s.holding.Shrink(held)
	return body, nil
}
