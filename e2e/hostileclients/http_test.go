package hostileclients

import (
	"debug/elf"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"arbutusmast.example/arbutusmast/e2e/crowd"
	"arbutusmast.example/arbutusmast/platform"
)

const (
	// machineMB is the memory of a machine of the platform.
	machineMB = 134
	// runtimeMB is the memory limit of the Go runtime of INI daemons, 70 % of the machine, which
	// is the share that platform daemons set themselves.
	runtimeMB = machineMB * 7 / 10
	// connections is the size of most crowds.
	connections = 48
	// descriptorLimit is lower than the number of idle connections.
	descriptorLimit, idleConnections = 200, 260
	// idleDescriptors is the bound with an idle crowd. The rest is left for calls of the process.
	idleDescriptors = 190
	maxHeaderBytes  = 16 << 10
)

// check is what must hold of a process while a crowd presses, and afterwards.
func check(t *testing.T, p *process, sampler *crowd.Sampler, maxDescriptors int, call func() error) {
	t.Helper()
	eventually(t, "an ordinary call is answered", call)
	seen := sampler.Stop()
	t.Logf("peak memory %d MiB, %d descriptors", seen.PeakBytes>>20, seen.Descriptors)
	if !seen.Alive || !p.isAlive() {
		t.Errorf("the process %s has ended", p.name)
	}
	if seen.PeakBytes > machineMB<<20 {
		t.Errorf("peak memory of %s is %d MiB, the machine has %d", p.name, seen.PeakBytes>>20, machineMB)
	}
	if seen.Descriptors > maxDescriptors {
		t.Errorf("%s had %d descriptors open, want at most %d", p.name, seen.Descriptors, maxDescriptors)
	}
}

// maxDescriptors is what a process may have open besides its share of the crowd.
const maxDescriptors = connections + 100

// press sends a crowd of a kind to a listener and checks the process.
func press(t *testing.T, p *process, target crowd.Target, kind crowd.Kind, call func() error) {
	t.Helper()
	sampler := crowd.Watch(p.pid())
	c := crowd.Start(target, kind, connections)
	defer c.Close()
	c.Settle()
	t.Logf("%d bytes sent, %d of %d clients refused", c.Sent(), c.Refused(), connections)
	check(t, p, sampler, maxDescriptors, call)
}

// httpListener starts the process of a listener.
type httpListener func(t *testing.T, l limits) (*process, crowd.Target, func() error)

func operators(t *testing.T, l limits) (*process, crowd.Target, func() error) {
	m, version := startPlatform(t, "control", l), 1
	return m.process, crowd.Target{Address: m.operators, Path: platform.PutStatePath, MaxBodyBytes: 8 << 20, MaxHeaderBytes: maxHeaderBytes},
		func() error { version++; return m.publish(version, 0) }
}

func controlMetrics(t *testing.T, l limits) (*process, crowd.Target, func() error) {
	m := startPlatform(t, "control", l)
	return m.process, crowd.Target{Address: m.metrics, Path: "/metrics", MaxBodyBytes: 1 << 20, MaxHeaderBytes: maxHeaderBytes},
		func() error { return ordinaryCall("GET", "http://"+m.metrics+"/metrics", "", http.StatusOK) }
}

// readiness needs no control member: an entry that is not ready answers too.
func readiness(t *testing.T, l limits) (*process, crowd.Target, func() error) {
	m := startPlatform(t, "entry", l)
	return m.process, crowd.Target{Address: m.ready, Path: "/readiness", MaxBodyBytes: 1 << 20, MaxHeaderBytes: maxHeaderBytes},
		func() error {
			return ordinaryCall("GET", "http://"+m.ready+"/readiness", "", http.StatusServiceUnavailable)
		}
}

func entryCallers(t *testing.T, l limits) (*process, crowd.Target, func() error) {
	c := startINI(t, limits{runtimeMB, l.descriptors}, "")
	return c.entry, c.callersTarget(), c.call
}

// callersTarget returns the target of clients that know the key of a caller.
func (c *iniCluster) callersTarget() crowd.Target {
	return crowd.Target{Address: c.callers, Path: "/services/book-desk/swaps", MaxBodyBytes: 4 << 20,
		MaxHeaderBytes: maxHeaderBytes, Header: http.Header{"Authorization": {"Bearer demo-key"}}}
}

// unknownCallers have no key, so that their bodies are not read by the handler.
func unknownCallers(t *testing.T, l limits) (*process, crowd.Target, func() error) {
	p, target, call := entryCallers(t, l)
	target.Header = nil
	return p, target, call
}

func entryOperators(t *testing.T, l limits) (*process, crowd.Target, func() error) {
	c := startINI(t, limits{runtimeMB, l.descriptors}, "")
	return c.entry, crowd.Target{Address: c.ops, Path: "/debug/pprof/symbol", MaxBodyBytes: 1 << 20, MaxHeaderBytes: maxHeaderBytes},
		func() error { return ordinaryCall("GET", "http://"+c.ops+"/readyz", "", http.StatusOK) }
}

// TestUnfinishedRequests guards against a process that ends, exceeds the memory of its machine or
// answers nobody because of requests that do not end or exceed the limits.
func TestUnfinishedRequests(t *testing.T) {
	for _, l := range []struct {
		name  string
		start httpListener
	}{
		{"platform operators", operators}, {"platform metrics", controlMetrics}, {"platform readiness", readiness},
		{"entry callers", entryCallers}, {"entry callers without a key", unknownCallers}, {"entry operators", entryOperators},
	} {
		t.Run(l.name, func(t *testing.T) {
			for _, kind := range crowd.Kinds() {
				t.Run(kind.Name, func(t *testing.T) {
					p, target, call := l.start(t, limits{memoryMB: machineMB})
					press(t, p, target, kind, call)
				})
			}
			t.Run("long heads", func(t *testing.T) {
				p, target, call := l.start(t, limits{memoryMB: machineMB})
				pressRaw(t, p, target.Address, connections, call, func(w *rawClient) {
					w.writeString("GET " + target.Path + " HTTP/1.1\r\nHost: x\r\nX: ")
					w.writeBytes(1000 << 10)
				})
			})
			t.Run("many header lines", func(t *testing.T) {
				p, target, call := l.start(t, limits{memoryMB: machineMB})
				pressRaw(t, p, target.Address, connections, call, func(w *rawClient) {
					w.writeString("GET " + target.Path + " HTTP/1.1\r\nHost: x\r\n")
					for i := range 1000 {
						w.writeString(strings.Repeat(fmt.Sprintf("X%d: \r\n", i), 100))
					}
				})
			})
			t.Run("silent connections", func(t *testing.T) {
				p, target, call := l.start(t, limits{machineMB, descriptorLimit})
				pressRaw(t, p, target.Address, idleConnections, call, func(*rawClient) {})
			})
			t.Run("idle connections", func(t *testing.T) {
				p, target, call := l.start(t, limits{machineMB, descriptorLimit})
				pressRaw(t, p, target.Address, idleConnections, call, func(w *rawClient) {
					w.writeString("GET /none HTTP/1.1\r\nHost: x\r\n\r\n")
				})
			})
		})
	}
}

// Guards against answers that grow with a request body which does not end.
func TestSymbolLookupsWithoutEnd(t *testing.T) {
	file, err := elf.Open(daemonBinary)
	if err != nil {
		t.Fatal(err)
	}
	address := fmt.Sprintf("%#x+", file.Entry)
	_ = file.Close()
	p, target, call := entryOperators(t, limits{})
	chunk := strings.Repeat(address, 4000)
	pressRaw(t, p, target.Address, connections, call, func(w *rawClient) {
		w.writeString("POST /debug/pprof/symbol HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n")
		for range 100 {
			w.writeString(fmt.Sprintf("%x\r\n%s\r\n", len(chunk), chunk))
		}
	})
}

// Guards against limits that refuse the largest valid desired state although nothing presses.
func TestLargestDesiredState(t *testing.T) {
	m := startPlatform(t, "control", limits{memoryMB: machineMB})
	sampler := crowd.Watch(m.pid())
	check(t, m.process, sampler, maxDescriptors, func() error { return m.publish(2, 8<<20) })
}

// Guards against answers that nobody reads and that together exceed the memory of the machine.
func TestUnreadAnswers(t *testing.T) {
	m, version := startPlatform(t, "control", limits{memoryMB: machineMB}), 2
	if err := m.publish(version, 8<<20); err != nil {
		t.Fatal(err)
	}
	pressRaw(t, m.process, m.operators, connections, func() error { version++; return m.publish(version, 0) }, func(w *rawClient) {
		w.writeString(strings.Repeat("GET "+platform.GetStatePath+" HTTP/1.1\r\nHost: x\r\n\r\n", 2))
	})
}

// Guards against a process that exceeds its memory or does not end when it is stopped while hostile
// clients press.
func TestStopUnderPressure(t *testing.T) {
	for _, l := range []struct {
		name  string
		start httpListener
	}{{"platform operators", operators}, {"entry callers", entryCallers}} {
		t.Run(l.name, func(t *testing.T) {
			p, target, _ := l.start(t, limits{memoryMB: machineMB})
			sampler := crowd.Watch(p.pid())
			c := crowd.Start(target, crowd.LargeChunks, connections)
			defer c.Close()
			c.Settle()
			_ = p.cmd.Process.Signal(syscall.SIGTERM)
			more := crowd.Start(target, crowd.Announced, connections)
			defer more.Close()
			eventually(t, "the process has ended", func() error {
				if p.isAlive() {
					return errors.New("it runs")
				}
				return nil
			})
			seen := sampler.Stop()
			t.Logf("peak memory %d MiB, %d descriptors", seen.PeakBytes>>20, seen.Descriptors)
			if seen.PeakBytes > machineMB<<20 {
				t.Errorf("peak memory is %d MiB, the machine has %d", seen.PeakBytes>>20, machineMB)
			}
		})
	}
}
