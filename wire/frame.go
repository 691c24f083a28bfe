package wire

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"slices"
	"time"

	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/netlimit"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// MaxFrameBytes limits the size of one frame on the token link.
const MaxFrameBytes = 1 << 20

const (
	frameHeaderBytes = 4
	bufferBytes      = 16 << 10
	keptBodyBytes    = 16 << 10
)

// ErrFrameTooLarge is returned for a frame that exceeds MaxFrameBytes.
var ErrFrameTooLarge = errors.New("frame is larger than the limit")

// FrameWriter writes length-prefixed CBOR frames. It is not safe for concurrent
// use.
type FrameWriter struct {
	conn    net.Conn
	out     *bufio.Writer
	timeout time.Duration
}

// NewFrameWriter returns a writer whose writes to conn each fail after timeout.
func NewFrameWriter(conn net.Conn, timeout time.Duration) *FrameWriter {
	w := &FrameWriter{conn: conn, timeout: timeout}
	w.out = bufio.NewWriterSize(deadlineWriter{conn, timeout}, bufferBytes)
	return w
}

// deadlineWriter sets a deadline for each write to a connection.
type deadlineWriter struct {
	conn    net.Conn
	timeout time.Duration
}

func (w deadlineWriter) Write(p []byte) (int, error) {
	if err := w.conn.SetWriteDeadline(time.Now().Add(w.timeout)); err != nil {
		return 0, err
	}
	return w.conn.Write(p)
}

// Write encodes and buffers one frame.
func (w *FrameWriter) Write(f *message.Frame) error {
	body, err := cbor.Marshal(f)
	if err != nil {
		return errors.Wrap(err, "encode frame")
	}
	if len(body) > MaxFrameBytes {
		return ErrFrameTooLarge
	}
	var header [frameHeaderBytes]byte
	binary.BigEndian.PutUint32(header[:], uint32(len(body)))
	if _, err := w.out.Write(header[:]); err != nil {
		return errors.Wrap(err, "write frame header")
	}
	_, err = w.out.Write(body)
	return errors.Wrap(err, "write frame")
}

// Flush sends the buffered frames.
func (w *FrameWriter) Flush() error { return errors.Wrap(w.out.Flush(), "flush frames") }

// FrameReader reads length-prefixed CBOR frames. It fails if no complete frame
// arrives within the timeout, because some network paths drop packets without
// closing the connection. It is not safe for concurrent use.
type FrameReader struct {
	conn    net.Conn
	in      *bufio.Reader
	timeout time.Duration
	// body is the buffer for frames of up to keptBodyBytes.
	body []byte
	// budget is nil if memory is not counted.
	budget *netlimit.Budget
}

// NewFrameReader returns a reader whose reads of a frame each fail after timeout.
func NewFrameReader(conn net.Conn, timeout time.Duration) *FrameReader {
	return &FrameReader{conn: conn, in: bufio.NewReaderSize(conn, bufferBytes), timeout: timeout}
}

// Limit makes the reader count the memory of frames.
func (r *FrameReader) Limit(budget *netlimit.Budget) { r.budget = budget }

// readBody reads the body of a frame. A large one takes memory as its bytes arrive, until release is
// called when it is decoded.
func (r *FrameReader) readBody(size int) (body []byte, release func(), err error) {
	release = func() {}
	if size <= keptBodyBytes {
		if cap(r.body) < size {
			r.body = make([]byte, size)
		}
		_, err := io.ReadFull(r.in, r.body[:size])
		return r.body[:size], release, err
	}
	if r.budget != nil {
		holding := r.budget.Open(r.conn.RemoteAddr(), func() { _ = r.conn.SetReadDeadline(time.Unix(1, 0)) })
		parts, err := netlimit.ReadSegments(holding, r.in, int64(size))
		if err == nil {
			err = holding.Grow(int64(size))
		}
		if err == nil {
			// It is not refused while it is decoded.
			err = holding.Complete()
		}
		if err != nil {
			holding.Close()
			return nil, release, err
		}
		body, held := slices.Concat(parts...), int64(0)
		for _, part := range parts {
			held += int64(cap(part))
		}
		holding.Shrink(held)
		return body, holding.Close, nil
	}
	var buffer bytes.Buffer
	_, err = io.CopyN(&buffer, r.in, int64(size))
	return buffer.Bytes(), release, err
}

// next reads the body of the next frame.
func (r *FrameReader) next() (body []byte, release func(), err error) {
	if err := r.conn.SetReadDeadline(time.Now().Add(r.timeout)); err != nil {
		return nil, nil, errors.Wrap(err, "set read deadline")
	}
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r.in, header[:]); err != nil {
		return nil, nil, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > MaxFrameBytes {
		return nil, nil, ErrFrameTooLarge
	}
	body, release, err = r.readBody(int(size))
	return body, release, errors.Wrap(err, "read frame")
}

// Read reads and decodes the next frame.
func (r *FrameReader) Read() (*message.Frame, error) {
	body, release, err := r.next()
	if err != nil {
		return nil, err
	}
	defer release()
	var f message.Frame
	if err := cbor.Unmarshal(body, &f); err != nil {
		return nil, errors.Wrap(err, "decode frame")
	}
	return &f, nil
}
