package crowd

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"strings"
)

// Kind is a kind of hostile client.
type Kind struct {
	Name   string
	script func(*writer)
}

const (
	// largeChunkBytes is the size of a large chunk.
	largeChunkBytes = 1 << 20
	// smallChunks is the number of one-byte chunks that a client sends, unless the limit of
	// bodies is smaller.
	smallChunks = 1 << 20
	// overLimitFactor is how many times the limit of bodies a client sends that exceeds it.
	overLimitFactor = 4
	// announcedFactor is how many times the limit of bodies such a client announces.
	announcedFactor = 1000
	// lineBytes is the size of a trailer line and of a chunk extension, and lines their number.
	lineBytes, lines = 200, 5000
	// batchLines is the number of short lines that are sent in one write, and batchChunks the
	// number of chunks of one byte.
	batchLines, batchChunks = 64, 4096
)

// Kinds of hostile clients. Most of them stop short of the end of their request and leave the
// connection open.
var (
	LargeChunks      = Kind{"chunks of 1 MiB", largeChunks}
	SmallChunks      = Kind{"chunks of one byte", oneByteChunks}
	Announced        = Kind{"announced and unfinished", announced}
	AnnouncedNothing = Kind{"announced and nothing sent", announcedNothing}
	OverAnnounced    = Kind{"announced far over the limit", overAnnounced}
	OverSent         = Kind{"sent far over the limit", overSent}
	OneHugeChunk     = Kind{"one chunk far over the limit", oneHugeChunk}
	Trailers         = Kind{"trailers without end", trailers}
	Extensions       = Kind{"chunk extensions without end", extensions}
	SlowHeads        = Kind{"heads byte by byte", slowHeads}
	Pipelined        = Kind{"pipelined unfinished bodies", pipelined}
)

// Kinds returns all kinds.
func Kinds() []Kind {
	return []Kind{LargeChunks, SmallChunks, Announced, AnnouncedNothing, OverAnnounced, OverSent, OneHugeChunk, Trailers,
		Extensions, SlowHeads, Pipelined}
}

// head returns the head of a request with further lines, without the empty line at its end.
func (t *Target) head(lines ...string) string {
	method, host := t.Method, t.Host
	if method == "" {
		method = http.MethodPost
	}
	if host == "" {
		host = t.Address
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, t.Path, host)
	_ = t.Header.Write(&b)
	for _, line := range lines {
		b.WriteString(line + "\r\n")
	}
	return b.String()
}

const chunkedLine = "Transfer-Encoding: chunked"

func lengthLine(n int) string { return fmt.Sprint("Content-Length: ", n) }

func (w *writer) startChunked() bool { return w.writeString(w.target.head(chunkedLine) + "\r\n") }

// largeChunks sends chunks of 1 MiB, or of a quarter of a smaller limit, and stops one byte short
// of the limit.
func largeChunks(w *writer) {
	chunk := min(largeChunkBytes, max(1, w.target.MaxBodyBytes/4))
	ok := w.startChunked()
	for left := w.target.MaxBodyBytes; ok && left > 0; left -= chunk {
		size := min(chunk, left)
		ok = w.writeString(fmt.Sprintf("%x\r\n", size))
		if left <= chunk {
			w.writeBytes(size - 1)
			return
		}
		ok = ok && w.writeBytes(size) && w.writeString("\r\n")
	}
}

// oneByteChunks sends chunks of one byte, without the last one.
func oneByteChunks(w *writer) {
	const chunk = "1\r\nx\r\n"
	batch := strings.Repeat(chunk, batchChunks)
	ok := w.startChunked()
	for left := min(smallChunks, w.target.MaxBodyBytes-1); ok && left > 0; left -= batchChunks {
		ok = w.writeString(batch[:len(chunk)*min(left, batchChunks)])
	}
}

// announced sends a body of the largest size without its last byte.
func announced(w *writer) {
	_ = w.writeString(w.target.head(lengthLine(w.target.MaxBodyBytes))+"\r\n") && w.writeBytes(w.target.MaxBodyBytes-1)
}

// announcedNothing announces a body of the largest size and sends one byte of it.
func announcedNothing(w *writer) {
	_ = w.writeString(w.target.head(lengthLine(w.target.MaxBodyBytes))+"\r\n") && w.writeBytes(1)
}

func overAnnounced(w *writer) {
	_ = w.writeString(w.target.head(lengthLine(announcedFactor*w.target.MaxBodyBytes))+"\r\n") &&
		w.writeBytes(overLimitFactor*w.target.MaxBodyBytes)
}

// overSent sends chunks beyond the limit without announcing the size.
func overSent(w *writer) {
	chunk := min(largeChunkBytes, w.target.MaxBodyBytes)
	ok := w.startChunked()
	for left := overLimitFactor * w.target.MaxBodyBytes; ok && left > 0; left -= chunk {
		ok = w.writeString(fmt.Sprintf("%x\r\n", chunk)) && w.writeBytes(chunk) && w.writeString("\r\n")
	}
}

// oneHugeChunk announces a chunk far over the limit and sends a part of it.
func oneHugeChunk(w *writer) {
	_ = w.startChunked() && w.writeString(fmt.Sprintf("%x\r\n", announcedFactor*w.target.MaxBodyBytes)) &&
		w.writeBytes(overLimitFactor*w.target.MaxBodyBytes)
}

// trailers sends a body and trailer lines without the empty line at their end.
func trailers(w *writer) {
	line := "X-Trailer: " + strings.Repeat("t", lineBytes) + "\r\n"
	batch := strings.Repeat(line, batchLines)
	ok := w.startChunked() && w.writeString("1\r\nx\r\n0\r\n")
	for left := lines / batchLines; ok && left > 0; left-- {
		ok = w.writeString(batch)
	}
}

// extensions sends chunks of one byte with long extensions, or on every other connection one
// extension without end.
func extensions(w *writer) {
	batch := strings.Repeat("1;x="+strings.Repeat("e", lineBytes)+"\r\nx\r\n", batchLines)
	ok := w.startChunked()
	if w.number%2 == 1 {
		ok = ok && w.writeString("1;x=")
		batch = strings.Repeat("e", batchLines*lineBytes)
	}
	for left := lines / batchLines; ok && left > 0; left-- {
		ok = w.writeString(batch)
	}
}

// slowHeads sends a head of nearly the largest size in writes of one byte, without its end.
func slowHeads(w *writer) {
	head := w.target.head()
	if room := w.target.MaxHeaderBytes - len(head) - len("X: \r\n\r\n"); room > 0 {
		head += "X: " + strings.Repeat("h", room)
	}
	for i := range len(head) {
		if !w.writeString(head[i : i+1]) {
			return
		}
	}
}

// pipelined sends a whole request and behind it an unfinished one, before the first is answered.
func pipelined(w *writer) {
	head := []byte(w.target.head(lengthLine(1)) + "\r\nx")
	second := []byte(w.target.head(lengthLine(w.target.MaxBodyBytes)) + "\r\n")
	_ = w.write(slices.Concat(head, head, second)) && w.writeBytes(w.target.MaxBodyBytes-1)
}
