package hostileclients

import (
	"bytes"
	"fmt"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/e2e/crowd"
)

const (
	// mixedClients is the number of clients of each kind when all kinds press at once.
	mixedClients = connections / 12
	// reloads is the number of SIGHUPs while they press.
	reloads = 5
)

// startMixed starts clients of all kinds, and returns how to wait until they have sent what they can and how to
// close them.
func startMixed(target crowd.Target) (settle, closeAll func()) {
	var clients []*crowd.Crowd
	for _, kind := range crowd.Kinds() {
		clients = append(clients, crowd.Start(target, kind, mixedClients))
	}
	each := func(do func(*crowd.Crowd)) func() {
		return func() {
			for _, c := range clients {
				do(c)
			}
		}
	}
	return each((*crowd.Crowd).Settle), each((*crowd.Crowd).Close)
}

// startFrames starts clients of a listener for other daemons that send unfinished messages.
func startFrames(t *testing.T, address string, length func(uint32) []byte) (settle, closeAll func()) {
	t.Helper()
	var done sync.WaitGroup
	var clients []*rawClient
	for i, script := range []func(*rawClient){
		func(*rawClient) {},
		func(w *rawClient) { w.write(length(1 << 30)); w.writeBytes(64 << 10) },
		func(w *rawClient) { w.write(length(1 << 20)); w.writeBytes(1<<20 - 1) },
		func(w *rawClient) { w.write(length(frameBytes)); w.writeBytes(frameBytes - 1) },
	} {
		for range connections / 4 {
			conn, err := dialRaw(address)
			if err != nil {
				t.Fatal(err)
			}
			w := &rawClient{conn: conn, number: i}
			clients = append(clients, w)
			done.Go(func() { script(w) })
		}
	}
	return done.Wait, func() {
		for _, w := range clients {
			_ = w.conn.Close()
		}
		done.Wait()
	}
}

// logged returns how often a line with a text is in the log of a process.
func (p *process) logged(text string) int {
	log, err := os.ReadFile(p.log)
	if err != nil {
		p.t.Error(err)
	}
	return bytes.Count(log, []byte(text))
}

// reloadUnderPressure signals a platform daemon while clients press, and checks that it loads its settings again,
// lives, stays within its memory and answers.
func reloadUnderPressure(t *testing.T, p *process, start func() (settle, closeAll func()), call func() error) {
	t.Helper()
	const line = `"signaled":true`
	sampler := crowd.Watch(p.pid())
	settle, closeAll := start()
	defer closeAll()
	for range reloads {
		_ = p.cmd.Process.Signal(syscall.SIGHUP)
		time.Sleep(100 * time.Millisecond)
	}
	settle()
	before := p.logged(line)
	_ = p.cmd.Process.Signal(syscall.SIGHUP)
	eventually(t, "the settings are loaded again", func() error {
		if p.logged(line) <= before {
			return fmt.Errorf("the log has %d lines about it", before)
		}
		return nil
	})
	check(t, p, sampler, maxDescriptors, call)
}

// Guards against a daemon on the platform that exceeds its memory, ends or answers nobody when its settings are
// loaded again while hostile clients press a listener other than that of callers.
func TestReloadUnderPressure(t *testing.T) {
	for _, l := range []struct {
		name  string
		start httpListener
	}{{"platform operators", operators}, {"platform metrics", controlMetrics}, {"platform readiness", readiness}} {
		t.Run(l.name, func(t *testing.T) {
			p, target, call := l.start(t, limits{memoryMB: machineMB})
			reloadUnderPressure(t, p, func() (settle, closeAll func()) { return startMixed(target) }, call)
		})
	}
	t.Run("platform calls", func(t *testing.T) {
		m, version := startPlatform(t, "control", limits{memoryMB: machineMB}), 1
		reloadUnderPressure(t, m.process, func() (settle, closeAll func()) { return startFrames(t, m.peers, gobLength) },
			func() error { version++; return m.publish(version, 0) })
	})
}

// hangUp sends SIGHUP to a process and checks that it ends by it.
func hangUp(t *testing.T, p *process) {
	t.Helper()
	_ = p.cmd.Process.Signal(syscall.SIGHUP)
	eventually(t, "the process has ended", func() error {
		if p.isAlive() {
			return fmt.Errorf("it runs")
		}
		return nil
	})
	status, ok := p.cmd.ProcessState.Sys().(syscall.WaitStatus)
	if !ok || !status.Signaled() || status.Signal() != syscall.SIGHUP {
		t.Errorf("the process ended with %v, want the signal", p.cmd.ProcessState)
	}
}

// INI daemons load no settings again: SIGHUP is not handled and ends them without a drain. Guards against a
// process that hangs instead, with its listeners open, because hostile clients press, against one that exceeds its
// memory meanwhile, and against a change that makes the signal do something else unnoticed.
func TestHangupUnderPressure(t *testing.T) {
	linkLength := func(n uint32) []byte { return []byte{byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)} }
	for _, l := range []struct {
		name  string
		start func(t *testing.T, c *iniCluster) (p *process, settle, closeAll func())
	}{
		{"entry callers", func(t *testing.T, c *iniCluster) (*process, func(), func()) {
			settle, closeAll := startMixed(c.callersTarget())
			return c.entry, settle, closeAll
		}},
		{"entry operators", func(t *testing.T, c *iniCluster) (*process, func(), func()) {
			settle, closeAll := startMixed(crowd.Target{Address: c.ops, Path: "/debug/pprof/symbol", MaxBodyBytes: 1 << 20,
				MaxHeaderBytes: maxHeaderBytes})
			return c.entry, settle, closeAll
		}},
		{"control calls", func(t *testing.T, c *iniCluster) (*process, func(), func()) {
			settle, closeAll := startFrames(t, c.controlPeers, gobLength)
			return c.control, settle, closeAll
		}},
		{"agent calls", func(t *testing.T, c *iniCluster) (*process, func(), func()) {
			settle, closeAll := startFrames(t, c.agentPeers, gobLength)
			return c.agent, settle, closeAll
		}},
		{"token links", func(t *testing.T, c *iniCluster) (*process, func(), func()) {
			settle, closeAll := startFrames(t, c.links, linkLength)
			return c.agent, settle, closeAll
		}},
	} {
		t.Run(l.name, func(t *testing.T) {
			c := startINI(t, limits{memoryMB: runtimeMB}, "")
			p, settle, closeAll := l.start(t, c)
			defer closeAll()
			sampler := crowd.Watch(p.pid())
			settle()
			if !p.isAlive() {
				t.Fatalf("%s ended before the signal", p.name)
			}
			hangUp(t, p)
			seen := sampler.Stop()
			t.Logf("peak memory %d MiB, %d descriptors", seen.PeakBytes>>20, seen.Descriptors)
			if seen.PeakBytes > machineMB<<20 {
				t.Errorf("peak memory is %d MiB, the machine has %d", seen.PeakBytes>>20, machineMB)
			}
		})
	}
}
