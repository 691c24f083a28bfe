package wire

import (
	"bufio"
	"io"
	"net"
	"sync"
	"time"

	"arbutusmast.example/arbutusmast/netlimit"
	"github.com/pkg/errors"
)

// Limits bounds what the clients of a Server or of token links can make the process hold.
type Limits struct {
	// MaxConns limits the connections, MaxMessageBytes the size of a message.
	MaxConns        int
	MaxMessageBytes int64
	// FirstTimeout limits the time until the first message, with the TLS handshake. IdleTimeout
	// limits the time between two messages.
	FirstTimeout, IdleTimeout time.Duration
	// A message must arrive within MessageTimeout and the time that it takes at MinRate bytes a
	// second. A client must read a part of a reply within MessageTimeout.
	MessageTimeout time.Duration
	MinRate        int64
	// Budget is the memory of messages that are being received and decoded.
	Budget   *netlimit.Budget
	Reporter *netlimit.Reporter
}

const (
	// MinMessageBytes is the size of a message for which every process has room. The largest that
	// every deployment needs contains a desired state of 8 MiB.
	MinMessageBytes = 9 << 20
	// peerConnShare is the share of the process's descriptors for the connections of a server.
	peerConnShare       = 1. / 4
	peerFirstTimeout    = 10 * time.Second
	peerIdleTimeout     = 10 * time.Minute
	peerMessageTimeout  = 10 * time.Second
	peerMinRate         = 128 << 10
	messageCopiesFactor = 2.5
)

// DefaultLimits returns the limits of a listener for other daemons. They follow from the memory and
// the descriptors of the process.
func DefaultLimits(reporter *netlimit.Reporter) Limits {
	budget := netlimit.BudgetFor(MinMessageBytes)
	return Limits{
		MaxConns: netlimit.MaxPeerConns(peerConnShare), MaxMessageBytes: int64(float64(budget) / messageCopiesFactor),
		FirstTimeout: peerFirstTimeout, IdleTimeout: peerIdleTimeout, MessageTimeout: peerMessageTimeout, MinRate: peerMinRate,
		Budget: netlimit.NewBudget(budget), Reporter: reporter,
	}
}

// Admit counts a connection, or closes it if there is no room.
func (l *Limits) Admit(bound *netlimit.Conns, conn net.Conn) (*netlimit.Conn, bool) {
	counted, admission := bound.Add(func() { netlimit.CloseNow(conn) })
	switch admission {
	case netlimit.Admitted:
		return counted, true
	case netlimit.Displacing:
		l.Reporter.Refused(netlimit.ReasonDisplaced, conn.RemoteAddr().String())
		return counted, true
	}
	// These protocols have no answer before a request.
	l.Reporter.Refused(netlimit.ReasonTooManyConns, conn.RemoteAddr().String())
	counted.Remove()
	netlimit.CloseNow(conn)
	return nil, false
}

// ErrMessageTooLarge is returned for a message that exceeds the limit.
var ErrMessageTooLarge = errors.New("message is larger than the limit")

// ErrTypesTooLarge is returned for a message that defines types beyond the limit of its connection.
var ErrTypesTooLarge = errors.New("the definitions of types are larger than the limit")

const (
	// smallMessageBytes is the size of a message that is not counted. Its buffer belongs to the
	// connection.
	smallMessageBytes = 8 << 10
	// maxTypeBytes limits the definitions of types on one connection, which the decoder keeps until
	// the connection ends. Daemons sent at most 1,099 bytes of them in tests.
	maxTypeBytes = 32 << 10
	// maxLengthBytes is the size of the length of a gob message.
	maxLengthBytes = 9
)

// messageReader passes gob messages to a decoder. It reads each to its end before the decoder takes
// memory for it, because the decoder takes 10 MiB for a message that was only announced.
type messageReader struct {
	conn    net.Conn
	in      *bufio.Reader
	limits  *Limits
	counted *netlimit.Conn
	// holding is the memory of the message that is being received or decoded, nil if it is small.
	holding *netlimit.Holding
	pending [][]byte
	buffer  []byte
	first   bool
	// typeBytes is the size of the messages that define types.
	typeBytes int64

	mu sync.Mutex
	// receiving is set while a message arrives, and calls is the number of calls in progress.
	receiving bool
	calls     int
}

// setReceiving records whether a message arrives.
func (r *messageReader) setReceiving(receiving bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.receiving = receiving
	r.setPhase()
}

// addCalls records that a call began, or ended if n is negative.
func (r *messageReader) addCalls(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls += n
	r.setPhase()
}

// setPhase sets the phase of the connection. One with calls in progress is busy also while a message
// arrives, because its replies would be lost. The caller holds r.mu.
func (r *messageReader) setPhase() {
	switch {
	case r.calls > 0:
		r.counted.Set(netlimit.Busy)
	case r.receiving:
		r.counted.Set(netlimit.Receiving)
	default:
		r.counted.Set(netlimit.Idle)
	}
}

func newMessageReader(conn net.Conn, limits *Limits, counted *netlimit.Conn) *messageReader {
	return &messageReader{conn: conn, in: bufio.NewReader(conn), limits: limits, counted: counted, first: true}
}

// Read implements io.Reader.
func (r *messageReader) Read(p []byte) (int, error) {
	if len(r.pending) == 0 {
		if err := r.next(); err != nil {
			r.report(err)
			// The connection may stay for long, until its calls in progress end.
			r.release()
			return 0, err
		}
	}
	n := copy(p, r.pending[0])
	if r.pending[0] = r.pending[0][n:]; len(r.pending[0]) == 0 {
		r.pending[0] = nil
		r.pending = r.pending[1:]
	}
	return n, nil
}

// ReadByte implements io.ByteReader. Without it, the decoder would read ahead.
func (r *messageReader) ReadByte() (byte, error) {
	var b [1]byte
	_, err := io.ReadFull(r, b[:])
	return b[0], err
}

func (r *messageReader) report(err error) {
	client := r.conn.RemoteAddr().String()
	var timeout net.Error
	switch {
	case errors.Is(err, netlimit.ErrNoMemory), r.holding != nil && r.holding.IsRefused():
		r.limits.Reporter.Refused(netlimit.ReasonNoMemory, client)
	case errors.Is(err, ErrMessageTooLarge), errors.Is(err, ErrTypesTooLarge):
		r.limits.Reporter.Refused(netlimit.ReasonTooLarge, client)
	case errors.As(err, &timeout) && timeout.Timeout():
		r.limits.Reporter.Refused(netlimit.ReasonFrameTimeout, client)
	}
}

// release ends the counting of the message that was decoded.
func (r *messageReader) release() {
	if r.holding != nil {
		r.holding.Close()
		r.holding = nil
	}
}

// next receives the next message.
func (r *messageReader) next() error {
	r.release()
	if r.in.Buffered() == 0 {
		wait := r.limits.IdleTimeout
		if r.first {
			wait = r.limits.FirstTimeout
		} else {
			r.setReceiving(false)
		}
		_ = r.conn.SetReadDeadline(time.Now().Add(wait))
	}
	if _, err := r.in.Peek(1); err != nil {
		return err
	}
	if !r.first {
		r.setReceiving(true)
	}
	_ = r.conn.SetReadDeadline(time.Now().Add(r.limits.MessageTimeout))
	length, size, err := r.readLength()
	if err != nil {
		return err
	}
	if size > uint64(r.limits.MaxMessageBytes) {
		return ErrMessageTooLarge
	}
	if err := r.receive(length, int64(size)); err != nil {
		return err
	}
	r.first = false
	if len(r.pending) > 1 && definesType(r.pending[1]) {
		r.typeBytes += int64(size)
		if r.typeBytes > maxTypeBytes {
			return ErrTypesTooLarge
		}
	}
	return nil
}

// definesType reports whether a gob message defines a type: the number at its beginning, the id of
// the type, is negative then. A number has its sign in the lowest bit.
func definesType(message []byte) bool {
	last := 0
	if message[0] > 0x7f {
		// The first byte is the negated number of bytes that follow.
		last = -int(int8(message[0]))
	}
	return last < len(message) && message[last]&1 == 1
}

// readLength reads the length of a message, and returns its bytes too.
func (r *messageReader) readLength() ([]byte, uint64, error) {
	length := make([]byte, 1, maxLengthBytes)
	if _, err := io.ReadFull(r.in, length); err != nil {
		return nil, 0, err
	}
	if length[0] <= 0x7f {
		return length, uint64(length[0]), nil
	}
	// The first byte is the negated number of bytes that follow.
	count := -int(int8(length[0]))
	if count > maxLengthBytes-1 {
		return nil, 0, errors.New("the length of a message is not valid")
	}
	length = length[:1+count]
	if _, err := io.ReadFull(r.in, length[1:]); err != nil {
		return nil, 0, err
	}
	size := uint64(0)
	for _, b := range length[1:] {
		size = size<<8 | uint64(b)
	}
	return length, size, nil
}

// receive reads a message.
func (r *messageReader) receive(length []byte, size int64) error {
	r.pending = append(r.pending[:0], length)
	if size <= smallMessageBytes {
		if int64(cap(r.buffer)) < size {
			r.buffer = make([]byte, size)
		}
		body := r.buffer[:size]
		if _, err := io.ReadFull(r.in, body); err != nil {
			return err
		}
		if size > 0 {
			r.pending = append(r.pending, body)
		}
		return nil
	}
	r.holding = r.limits.Budget.Open(r.conn.RemoteAddr(), func() { _ = r.conn.SetReadDeadline(time.Unix(1, 0)) })
	parts, err := netlimit.ReadSegments(r.holding, &rateReader{reader: r, began: time.Now()}, size)
	if err != nil {
		return err
	}
	// The decoder copies the message.
	if err := r.holding.Grow(size); err != nil {
		return err
	}
	if err := r.holding.Complete(); err != nil {
		return err
	}
	r.pending = append(r.pending, parts...)
	return nil
}

// rateReader extends the deadline of a message as its bytes arrive.
type rateReader struct {
	reader             *messageReader
	began              time.Time
	received, extended int64
}

// Read implements io.Reader.
func (r *rateReader) Read(p []byte) (int, error) {
	n, err := r.reader.in.Read(p)
	r.received += int64(n)
	limits := r.reader.limits
	if err == nil && r.received-r.extended >= limits.MinRate {
		r.extended = r.received
		_ = r.reader.conn.SetReadDeadline(r.began.Add(limits.MessageTimeout + time.Duration(r.received/limits.MinRate)*time.Second))
		if r.reader.holding.IsRefused() {
			return n, netlimit.ErrNoMemory
		}
	}
	return n, err
}
