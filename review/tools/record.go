package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes record.txt: what was sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
}

func newRecorder() (*recorder, error) {
	f, err := os.Create("record.txt")
	if err != nil {
		return nil, err
	}
	return &recorder{start: time.Now(), file: f}, nil
}

// note writes one line with the time since the start.
func (r *recorder) note(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %-10s %s\n", time.Since(r.start).Seconds(), who, fmt.Sprintf(format, args...))
}

// say writes a line to the record and to standard output.
func (r *recorder) say(format string, args ...any) {
	r.note("result", format, args...)
	fmt.Printf(format+"\n", args...)
}
