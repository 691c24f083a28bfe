package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"
)

const requestStart = "POST /a/b HTTP/1.1\r\nHost: h.example\r\n"

// Guards against request smuggling: a request that contains another one because two
// parsers frame it differently.
func TestParseHeadRefusesAmbiguousFraming(t *testing.T) {
	for name, head := range map[string]string{
		"length and encoding":         requestStart + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
		"two lengths":                 requestStart + "Content-Length: 5\r\nContent-Length: 6\r\n\r\n",
		"two equal lengths":           requestStart + "Content-Length: 5\r\nContent-Length: 5\r\n\r\n",
		"list of lengths":             requestStart + "Content-Length: 5, 5\r\n\r\n",
		"signed length":               requestStart + "Content-Length: +5\r\n\r\n",
		"negative length":             requestStart + "Content-Length: -5\r\n\r\n",
		"hexadecimal length":          requestStart + "Content-Length: 0x5\r\n\r\n",
		"other encoding":              requestStart + "Transfer-Encoding: xchunked\r\n\r\n",
		"encoding list":               requestStart + "Transfer-Encoding: gzip, chunked\r\n\r\n",
		"two encodings":               requestStart + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n",
		"space before the colon":      requestStart + "Transfer-Encoding : chunked\r\n\r\n",
		"folded header":               requestStart + "X: a\r\n b: c\r\n\r\n",
		"bare carriage return":        requestStart + "X: a\rTransfer-Encoding: chunked\r\n\r\n",
		"two hosts":                   requestStart + "Host: other.example\r\n\r\n",
		"no name":                     requestStart + ": a\r\n\r\n",
		"zero byte":                   requestStart + "X: a\x00\r\n\r\n",
		"version of another protocol": "POST / HTTP/2.0\r\nHost: h\r\n\r\n",
		"no version":                  "POST /a/b\r\nHost: h\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			if _, _, err := parseHead([]byte(head)); !errors.Is(err, errMalformed) {
				t.Errorf("error %v", err)
			}
		})
	}
	r, f, err := parseHead([]byte(requestStart + "Content-Length: 5\r\n\r\n"))
	if err != nil || f.length != 5 || f.chunked || r.RequestURI != "/a/b" || r.Host != "h.example" {
		t.Errorf("a valid head: %+v, %v", f, err)
	}
}

// Guards against line ends that only some parsers accept as the end of a head, and
// against heads of unlimited size.
func TestReadHead(t *testing.T) {
	read := func(text string, limit int64) (string, error) {
		head, err := readHead(bufio.NewReaderSize(strings.NewReader(text), 32), limit, nil)
		return string(head), err
	}
	if _, err := read("GET / HTTP/1.1\nHost: h\n\n", 1000); !errors.Is(err, errMalformed) {
		t.Errorf("bare line feeds: %v", err)
	}
	if _, err := read(requestStart+"X: "+strings.Repeat("x", 1000)+"\r\n\r\n", 500); !errors.Is(err, errHeadTooLarge) {
		t.Errorf("a large head: %v", err)
	}
	if head, err := read("\r\n"+requestStart+"\r\nrest", 1000); err != nil || head != requestStart+"\r\n" {
		t.Errorf("an empty line before: %q, %v", head, err)
	}
}

// Guards against bytes of a body that are taken for the next request, and against
// bodies of unlimited size.
func TestReadBody(t *testing.T) {
	for _, c := range []struct {
		name, in string
		f        framing
		want     string
		err      error
		rest     string
	}{
		{"length", "hellorest", framing{length: 5}, "hello", nil, "rest"},
		{"chunks", "5;x=y\r\nhello\r\n3\r\n wo\r\n0\r\nTrailer: x\r\n\r\nrest", framing{chunked: true},
			"hello wo", nil, "rest"},
		{"too long", "hello", framing{length: 50}, "", errBodyTooLarge, "hello"},
		{"chunks too long", "ff\r\n", framing{chunked: true}, "", errBodyTooLarge, ""},
		{"chunk size with a sign", "+5\r\nhello\r\n0\r\n\r\n", framing{chunked: true}, "", errMalformed, ""},
		{"chunk longer than its size", "3\r\nhello\r\n0\r\n\r\n", framing{chunked: true}, "", errMalformed, ""},
		{"bare line feed", "5\nhello\r\n0\r\n\r\n", framing{chunked: true}, "", errMalformed, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			in := bufio.NewReader(strings.NewReader(c.in))
			content, err := readBody(in, c.f, bodyLimits{bytes: 20, framing: 20}, nil)
			body := bytes.Join(content.segments, nil)
			if !errors.Is(err, c.err) || string(body) != c.want && err == nil {
				t.Fatalf("%q, %v", body, err)
			}
			if rest, _ := in.ReadString(0); err == nil && rest != c.rest {
				t.Errorf("rest %q, want %q", rest, c.rest)
			}
		})
	}
}

// Guards against panics and against a head with two framings that is accepted.
func FuzzParseHead(f *testing.F) {
	f.Add([]byte(requestStart + "Content-Length: 5\r\n\r\n"))
	f.Add([]byte(requestStart + "Transfer-Encoding: chunked\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		head, err := readHead(bufio.NewReader(strings.NewReader(string(data))), 4096, nil)
		if err != nil {
			return
		}
		_, frame, err := parseHead(head)
		if err == nil && frame.chunked && frame.length != 0 {
			t.Error("a head with two framings was accepted")
		}
	})
}

// shortLines returns a head of at most size bytes whose lines are as short as possible, each with a name of its own.
func shortLines(size int) string {
	var b strings.Builder
	b.WriteString("POST /u/x HTTP/1.1\r\n")
	const letters = "abcdefghijklmnopqrstuvwxyz"
	for i := 0; b.Len()+7 < size; i++ {
		b.WriteString(string([]byte{letters[i%26], letters[i/26%26], letters[i/676%26]}) + ":\r\n")
	}
	return b.String() + "\r\n"
}

// Guards against heads of many short lines, whose headers take many times the memory that is counted for them.
func TestShortHeaderLinesAreCounted(t *testing.T) {
	const heads, size = 200, 16 << 10
	b := newMemoryBudget(1<<30, func() time.Duration { return 0 })
	text := shortLines(size)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var kept []*http.Request
	for range heads {
		m := b.begin("a", func() {})
		head, err := readHead(bufio.NewReaderSize(strings.NewReader(text), readBufferBytes), size, m)
		if err != nil {
			t.Fatal(err)
		}
		r, _, err := parseHead(head)
		if err != nil {
			t.Fatal(err)
		}
		kept = append(kept, r)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	held, counted := int64(after.HeapAlloc-before.HeapAlloc), b.inUse()+heads*connectionBytes
	t.Logf("%d bytes held for each head of %d lines, %d counted", held/heads, strings.Count(text, "\n"), counted/heads)
	if held > counted {
		t.Errorf("%d heads hold %d bytes, and %d are counted", heads, held, counted)
	}
	runtime.KeepAlive(kept)
}
