package gateway

import (
	"bufio"
	"bytes"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Errors of reading a request head.
var (
	errHeadTooLarge = errors.New("the request head is larger than the limit")
	errMalformed    = errors.New("the request is malformed")
)

// framing describes how the body of a request is delimited.
type framing struct {
	chunked bool
	length  int64
}

const (
	// ordinaryHeadBytes is the size of a head that connectionBytes includes.
	ordinaryHeadBytes = 4 << 10
	// headCopies is how many times the bytes of a head are held while it is parsed: as read, as
	// text and in the headers.
	headCopies = 3
	// ordinaryHeadLines is the number of lines of a head that connectionBytes includes.
	ordinaryHeadLines = 32
	// headLineBytes is what each further line takes beside its text: an entry of the headers with
	// its strings. 92 bytes were measured for lines of six bytes.
	headLineBytes = 128
)

// readHead reads a request head up to and including the empty line. Lines must end
// in CRLF, because parsers that accept other line ends see different requests.
func readHead(r *bufio.Reader, limit int64, memory *requestMemory) ([]byte, error) {
	var head []byte
	counted, lines := ordinaryHeadBytes, 0
	for {
		line, err := r.ReadSlice('\n')
		head = append(head, line...)
		if int64(len(head)) > limit {
			return nil, errHeadTooLarge
		}
		if cap(head) > counted {
			if err := memory.take(int64(headCopies * (cap(head) - counted))); err != nil {
				return nil, err
			}
			counted = cap(head)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return head, err
		}
		if !bytes.HasSuffix(head, []byte("\r\n")) {
			return nil, errMalformed
		}
		lines++
		if bytes.HasSuffix(head, []byte("\r\n\r\n")) {
			if lines <= ordinaryHeadLines {
				return head, nil
			}
			return head, memory.take(int64(headLineBytes * (lines - ordinaryHeadLines)))
		}
		if len(head) == 2 {
			// An empty line before a request is ignored, as RFC 9112 recommends.
			head, lines = head[:0], 0
		}
	}
}

// parseHead parses a request head strictly. It rejects heads that another parser
// could frame differently, because part of the body could then be taken for another
// request (request smuggling).
func parseHead(head []byte) (*http.Request, framing, error) {
	lines := strings.Split(string(head[:len(head)-4]), "\r\n")
	for i, line := range lines {
		if strings.ContainsAny(line, "\r\n\x00") {
			return nil, framing{}, errMalformed
		}
		if i == 0 {
			continue
		}
		name, _, found := strings.Cut(line, ":")
		if !found || name == "" || strings.ContainsAny(name, " \t") {
			return nil, framing{}, errMalformed
		}
	}
	f, err := parseFraming(lines[1:])
	if err != nil {
		return nil, framing{}, err
	}
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	if err != nil {
		return nil, framing{}, errors.Wrap(errMalformed, err.Error())
	}
	if r.ProtoMajor != 1 || strings.HasPrefix(lines[0], r.Method+"  ") {
		return nil, framing{}, errMalformed
	}
	return r, f, nil
}

// parseFraming returns the framing that the header fields declare. It rejects
// repeated or contradictory declarations.
func parseFraming(fields []string) (framing, error) {
	f := framing{}
	lengths, encodings, hosts := 0, 0, 0
	for _, line := range fields {
		name, value, _ := strings.Cut(line, ":")
		value = strings.Trim(value, " \t")
		switch strings.ToLower(name) {
		case "content-length":
			lengths++
			n, err := strconv.ParseUint(value, 10, 63)
			if err != nil || strings.HasPrefix(value, "+") {
				return f, errMalformed
			}
			f.length = int64(n)
		case "transfer-encoding":
			encodings++
			if !strings.EqualFold(value, "chunked") {
				return f, errMalformed
			}
			f.chunked = true
		case "host":
			hosts++
		}
	}
	if lengths > 1 || encodings > 1 || lengths+encodings > 1 || hosts > 1 {
		return f, errMalformed
	}
	return f, nil
}
