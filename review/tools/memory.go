package main

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// bodyBytes is max-body-bytes, which consumers may send.
	bodyBytes = 4194304
	// usualUsers is the number of consumers that send at once at each front machine, and
	// burstUsers that during a burst, 1.69 times as many.
	usualUsers   = 13
	burstUsers   = 22
	waves        = 9
	wavePause    = 4 * time.Second
	restartDelay = 500 * time.Millisecond
	// faultEnds and faultMachines are the figures of the rule.
	faultEnds, faultMachines = 3, 2
)

// residentMB returns the memory that a process uses.
func residentMB(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kb / 1024
		}
	}
	return 0
}

// guard keeps an entry running as the platform does: it kills the process if it uses more
// than its memory, and starts it again.
type guard struct {
	p     *platform
	m     *machine
	peak  float64
	kills int
	// err is why the guard gave up.
	err  error
	stop chan struct{}
	done chan struct{}
}

func (p *platform) guardMemory(m *machine) (*guard, error) {
	process, err := p.start(m, "entry", true)
	if err != nil {
		return nil, err
	}
	g := &guard{p: p, m: m, stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(g.done)
		for {
			select {
			case <-g.stop:
				return
			case <-time.After(10 * time.Millisecond):
			}
			used := residentMB(process.cmd.Process.Pid)
			g.peak = max(g.peak, used)
			if !process.running() {
				g.err = fmt.Errorf("entry on %s ended by itself, not for its memory", m.name)
				return
			}
			if used <= memoryMB {
				continue
			}
			g.kills++
			p.record.note("platform", "entry on %s uses %.0f MB of %d MB and is killed", m.name, used, memoryMB)
			process.signal(syscall.SIGKILL)
			<-process.done
			time.Sleep(restartDelay)
			if process, err = p.start(m, "entry", false); err != nil {
				g.err = err
				return
			}
		}
	}()
	return g, nil
}

// playMemory sends requests with bodies as long as the limits allow, from as many consumers
// at once as usual, or with trouble from 1.7 times as many.
func playMemory(p *platform, trouble bool) (bool, error) {
	core, err := p.startCore(3)
	if err != nil {
		return false, err
	}
	for i := 1; i <= 4; i++ {
		r, err := p.addReplica(100+i, "desk", fmt.Sprintf("hall-%d", i), 100*time.Millisecond)
		if err != nil {
			return false, err
		}
		r.events = 12
		r.run = func(r *replica, id string, _ *http.Request, body []byte) bool {
			p.record.note(r.id, "runs %s with %d bytes", id, len(body))
			return false
		}
	}
	state := strings.NewReplacer(`"timeout-ms":800`, `"timeout-ms":6000`, `"kind":"unsafe"`, `"kind":"streaming"`).Replace(plainState(1))
	if !p.putUntilAcked(core, state, 15*time.Second) {
		return false, errors.New("the first desired state was not acknowledged")
	}
	users := usualUsers
	if trouble {
		users = burstUsers
	}
	var guards []*guard
	for _, m := range core {
		g, err := p.guardMemory(m)
		if err != nil {
			return false, err
		}
		guards = append(guards, g)
	}
	for _, g := range guards {
		if !p.waitReady(g.m, 15*time.Second) {
			return false, fmt.Errorf("%s did not become ready", g.m.name)
		}
	}
	time.Sleep(contactWindow)
	body := bytes.Repeat([]byte("season plan 1234"), bodyBytes/16)
	var sent, served atomic.Int64
	for wave := 0; wave < waves; wave++ {
		var wg sync.WaitGroup
		for i, g := range guards {
			for n := 0; n < users; n++ {
				wg.Add(1)
				go func() {
					defer wg.Done()
					id := fmt.Sprintf("w%d-%d-%d", wave, i+1, n)
					a := p.consume(g.m, http.MethodPost, "desk.example", "/hold/slot", id, key, bytes.NewReader(body),
						int64(len(body)), 6*time.Second)
					sent.Add(1)
					if a.err == nil && a.status == http.StatusOK {
						served.Add(1)
						p.record.note("consumer", "%s to %s: 200, %d bytes", id, g.m.name, len(a.body))
						return
					}
					p.record.note("consumer", "%s to %s: %s", id, g.m.name, a.text())
				}()
			}
		}
		wg.Wait()
		time.Sleep(wavePause)
	}
	machines := 0
	for _, g := range guards {
		close(g.stop)
		<-g.done
		if g.err != nil {
			return false, g.err
		}
		p.record.say("entry on %s: at most %.0f MB of %d MB, ended %d times", g.m.name, g.peak, memoryMB, g.kills)
		if g.kills >= faultEnds {
			machines++
		}
	}
	p.record.say("%d consumers at once at each front machine, %d requests sent, %d served; %d machines ended %d times or more (allowed %d)",
		users, sent.Load(), served.Load(), machines, faultEnds, faultMachines-1)
	return machines >= faultMachines, nil
}
