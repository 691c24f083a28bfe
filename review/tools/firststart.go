package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	// removedAfter is the time from the first start to the loss of a machine, and successorAfter
	// the time until an empty one is added.
	removedAfter   = 100 * time.Millisecond
	successorAfter = time.Second
	// observed is the time for which orders and requests are sent after the core is stable.
	observed = 45 * time.Second
)

// playFirstStart starts a deployment of four machines with disks for the first time. With
// trouble, one of them is removed for good at once and another one added in its place.
func playFirstStart(p *platform, trouble bool) (bool, error) {
	if _, err := p.addReplica(101, "desk", "hall-1", 20*time.Millisecond); err != nil {
		return false, err
	}
	core, err := p.startCore(4)
	if err != nil {
		return false, err
	}
	started := time.Now()
	lastEvent := started
	front := core[0]
	if _, err := p.start(front, "entry", true); err != nil {
		return false, err
	}
	running := core
	if trouble {
		time.Sleep(removedAfter - time.Since(started))
		lost := core[1]
		for _, process := range p.processes {
			if process.machine == lost {
				process.signal(syscall.SIGKILL)
				<-process.done
			}
		}
		p.record.note("platform", "%s is gone for good", lost.name)
		time.Sleep(successorAfter)
		running = []*machine{core[0], core[2], core[3]}
		p.seeds = running
		successor := p.addMachine(5, lost.zone, true)
		if _, err := p.start(successor, "control", false); err != nil {
			return false, err
		}
		running = append(running, successor)
		lastEvent = time.Now()
	}
	// From here on the core counts as stable: all its machines run and are connected.
	time.Sleep(contactWindow - time.Since(lastEvent))
	stable := time.Now()
	p.record.note("case", "the core is stable: %d of %d machines run and are connected", len(running), len(running))
	acked := time.Duration(0)
	orders, requests, served := 0, 0, 0
	for end := stable.Add(observed); time.Now().Before(end); {
		if acked == 0 {
			m := running[orders%len(running)]
			status, text := p.put(m, plainState(1))
			p.record.note("operator", "desired state 1 to %s: %d %s", m.name, status, text)
			orders++
			if status == http.StatusOK {
				acked = time.Since(stable)
			}
		} else if time.Since(stable) > acked+5*time.Second {
			break
		}
		id := fmt.Sprintf("r%d", requests)
		a := p.consume(front, http.MethodPost, "desk.example", "/hold/slot", id, key, http.NoBody, 0, 1500*time.Millisecond)
		p.record.note("consumer", "%s: %s", id, a.text())
		if requests++; a.status == http.StatusOK {
			served++
		}
		time.Sleep(400 * time.Millisecond)
	}
	for _, process := range p.processes {
		if !process.running() && !(trouble && process.machine == core[1]) {
			return false, fmt.Errorf("%s on %s has ended", process.role, process.machine.name)
		}
	}
	p.record.say("%d orders in %.0f s with a stable core, %d requests, %d served", orders, time.Since(stable).Seconds(), requests, served)
	if acked == 0 {
		p.record.say("the first desired state was never acknowledged (allowed: %v)", ackTime)
		return true, nil
	}
	p.record.say("the first desired state was acknowledged after %v (allowed: %v)", acked.Round(time.Millisecond), ackTime)
	return acked > ackTime, nil
}
