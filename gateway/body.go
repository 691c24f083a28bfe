package gateway

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

const (
	// minSegmentBytes and maxSegmentBytes bound the segments of a body. Segments grow with what
	// has arrived, so that an unfinished body holds at most twice that.
	minSegmentBytes = 4 << 10
	maxSegmentBytes = 256 << 10
	// maxChunkLineBytes bounds the size line of a chunk and each trailer line.
	maxChunkLineBytes = 256
	// maxChunkSizeDigits is the length of the longest size of a chunk without zeros before it.
	maxChunkSizeDigits = 16
)

// Errors of reading a request body.
var (
	// errBodyTooLarge is returned for a body that exceeds the limit.
	errBodyTooLarge = errors.New("the request body is larger than the limit")
	// errFramingTooLarge is returned for chunk extensions or trailers that exceed their limit.
	errFramingTooLarge = errors.New("the chunk extensions or trailers are larger than the limit")
)

// body is a request body in the segments in which it was read.
type body struct {
	segments [][]byte
	length   int64
}

// bodyLimits bounds what is read for a body.
type bodyLimits struct {
	// bytes bounds the body, and framing its trailers and, beside as many bytes as the body has,
	// its chunk extensions.
	bytes, framing int64
}

// bodyReader reads a body.
type bodyReader struct {
	in     *bufio.Reader
	limits bodyLimits
	memory *requestMemory
	// chunked is set if the length of the body is not announced.
	chunked bool
	body    body
	// extensions is the size of the chunk extensions.
	extensions int64
}

// readBody reads the complete body and leaves in at the start of the next request. What the body
// holds is taken from memory as it arrives.
func readBody(in *bufio.Reader, f framing, limits bodyLimits, memory *requestMemory) (body, error) {
	r := &bodyReader{in: in, limits: limits, memory: memory, chunked: f.chunked}
	var err error
	switch {
	case f.chunked:
		err = r.readChunks()
	case f.length > limits.bytes:
		err = errBodyTooLarge
	default:
		err = r.fill(f.length)
	}
	if err != nil {
		return body{}, err
	}
	return r.body, nil
}

// fill reads n more bytes of the body.
func (r *bodyReader) fill(n int64) error {
	for n > 0 {
		segment, err := r.room(n)
		if err != nil {
			return err
		}
		free := segment[len(segment):cap(segment)]
		read, err := r.in.Read(free[:min(n, int64(len(free)))])
		r.body.segments[len(r.body.segments)-1] = segment[:len(segment)+read]
		r.body.length += int64(read)
		r.memory.arrived(read)
		if n -= int64(read); err != nil && n > 0 {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return err
		}
	}
	return nil
}

// room returns a segment with room, the last or a new one. At least n more bytes are announced.
func (r *bodyReader) room(n int64) ([]byte, error) {
	if last := len(r.body.segments) - 1; last >= 0 {
		if s := r.body.segments[last]; len(s) < cap(s) {
			return s, nil
		}
	}
	size := min(max(minSegmentBytes, r.body.length), maxSegmentBytes)
	if r.chunked {
		size = min(size, r.limits.bytes-r.body.length)
	} else {
		size = min(size, n)
	}
	if err := r.memory.take(size); err != nil {
		return nil, err
	}
	s := make([]byte, 0, size)
	r.body.segments = append(r.body.segments, s)
	return s, nil
}

// readChunks reads a body in chunked encoding, including its trailers.
func (r *bodyReader) readChunks() error {
	for {
		line, err := r.readLine()
		if err != nil {
			return err
		}
		if r.extensions += int64(max(0, len(line)-maxChunkSizeDigits)); r.extensions > r.limits.framing+r.body.length {
			return errFramingTooLarge
		}
		digits, _, _ := bytes.Cut(line, []byte(";"))
		size, err := strconv.ParseUint(string(bytes.TrimRight(digits, " \t")), 16, 32)
		if err != nil {
			return errMalformed
		}
		if size == 0 {
			return r.skipTrailers()
		}
		if r.body.length+int64(size) > r.limits.bytes {
			return errBodyTooLarge
		}
		if err := r.fill(int64(size)); err != nil {
			return err
		}
		if line, err = r.readLine(); err != nil {
			return err
		}
		if len(line) > 0 {
			return errMalformed
		}
	}
}

// skipTrailers reads trailer lines up to and including the empty line.
func (r *bodyReader) skipTrailers() error {
	for size := int64(0); size <= r.limits.framing; {
		line, err := r.readLine()
		if err != nil || len(line) == 0 {
			return err
		}
		size += int64(len(line))
	}
	return errFramingTooLarge
}

// readLine reads a line that ends in CRLF and returns it without the line end. It is valid until
// the next read.
func (r *bodyReader) readLine() ([]byte, error) {
	line, err := r.in.ReadSlice('\n')
	if err != nil {
		if errors.Is(err, bufio.ErrBufferFull) {
			return nil, errMalformed
		}
		return nil, err
	}
	if len(line) > maxChunkLineBytes || len(line) < 2 || line[len(line)-2] != '\r' {
		return nil, errMalformed
	}
	return line[:len(line)-2], nil
}
