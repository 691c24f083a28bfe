package crowd

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// sampleInterval is the interval at which a Sampler reads /proc.
const sampleInterval = 10 * time.Millisecond

// Sample is what was seen of a process.
type Sample struct {
	// Alive is false once the process has ended.
	Alive bool
	// PeakBytes is the largest resident memory (VmHWM) and Descriptors the largest number of
	// open descriptors.
	PeakBytes   int64
	Descriptors int
}

// Sampler samples a process until it is stopped.
type Sampler struct {
	pid  int
	stop chan struct{}
	done chan struct{}

	mu   sync.Mutex
	seen Sample
}

// Watch samples the process with an id.
func Watch(pid int) *Sampler {
	s := &Sampler{pid: pid, stop: make(chan struct{}), done: make(chan struct{}), seen: Sample{Alive: true}}
	s.sample()
	go func() {
		defer close(s.done)
		ticker := time.NewTicker(sampleInterval)
		defer ticker.Stop()
		for {
			select {
			case <-s.stop:
				return
			case <-ticker.C:
				s.sample()
			}
		}
	}()
	return s
}

// Sample samples once more and returns what was seen until now.
func (s *Sampler) Sample() Sample {
	s.sample()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seen
}

// Stop ends the sampling and returns what was seen.
func (s *Sampler) Stop() Sample {
	close(s.stop)
	<-s.done
	return s.Sample()
}

func (s *Sampler) sample() {
	s.mu.Lock()
	defer s.mu.Unlock()
	peak, alive := readStatus(s.pid)
	if !s.seen.Alive || !alive {
		// Another process may have the id by now.
		s.seen.Alive = false
		return
	}
	s.seen.PeakBytes = max(s.seen.PeakBytes, peak)
	if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", s.pid)); err == nil {
		s.seen.Descriptors = max(s.seen.Descriptors, len(entries))
	}
}

// readStatus returns the peak of the resident memory of a process and whether it runs. A zombie
// does not run.
func readStatus(pid int) (peak int64, alive bool) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, false
	}
	for line := range strings.Lines(string(text)) {
		name, value, _ := strings.Cut(line, ":")
		fields := strings.Fields(value)
		if len(fields) == 0 {
			continue
		}
		switch name {
		case "State":
			alive = fields[0] != "Z" && fields[0] != "X"
		case "VmHWM":
			kb, _ := strconv.ParseInt(fields[0], 10, 64)
			peak = kb << 10
		}
	}
	return peak, alive
}
