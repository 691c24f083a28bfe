// Package hostileclients tests that hostile clients of the listeners other than the platform's
// entry can neither end nor fill a process. It starts real processes and checks only what does
// not depend on the speed of the machine.
package hostileclients

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// daemonBinary and ctlBinary are the paths of arbutusmast and arbutusctl.
var daemonBinary, ctlBinary string

func TestMain(m *testing.M) { os.Exit(run(m)) }

// run builds the programs. They are never built with the race detector, which multiplies their
// memory.
func run(m *testing.M) int {
	folder, err := os.MkdirTemp("", "arbutusmast-hostileclients")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(folder)
	daemonBinary, ctlBinary = filepath.Join(folder, "arbutusmast"), filepath.Join(folder, "arbutusctl")
	build := exec.Command("go", "build", "-o", folder, "arbutusmast.example/arbutusmast/cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// nextPort is the port that was tried last. Ports are below the range that the kernel uses for
// outgoing connections.
var nextPort atomic.Int32

func init() { nextPort.Store(14000 + int32(os.Getpid()%150)*100) }

// freePorts returns the first of count consecutive free ports of an address.
func freePorts(t *testing.T, ip string, count int) int {
	t.Helper()
	for range 1000 {
		first := int(nextPort.Add(int32(count))) - count + 1
		free := true
		for port := first; port < first+count && free; port++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if free = err == nil; free {
				_ = l.Close()
			}
		}
		if free {
			return first
		}
	}
	t.Fatal("no free ports")
	return 0
}

func freeAddress(t *testing.T) string {
	t.Helper()
	return fmt.Sprintf("127.0.0.1:%d", freePorts(t, "127.0.0.1", 1))
}

// limits are those under which a process is started. Zero means none.
type limits struct {
	// memoryMB becomes the memory limit of the Go runtime.
	memoryMB int
	// descriptors is the hard limit of open files.
	descriptors int
}

// process is one daemon process.
type process struct {
	t      *testing.T
	name   string
	cmd    *exec.Cmd
	log    string
	exited chan struct{}
}

// startProcess starts a daemon. At the end of the test it is killed, and the end of its log is
// printed if the test failed.
func startProcess(t *testing.T, folder, name string, l limits, env []string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, log: filepath.Join(folder, name+".log"), exited: make(chan struct{})}
	out, err := os.Create(p.log)
	if err != nil {
		t.Fatal(err)
	}
	defer out.Close()
	script := `exec "$0" "$@"`
	if l.descriptors > 0 {
		script = fmt.Sprintf(`ulimit -n %d && `, l.descriptors) + script
	}
	p.cmd = exec.Command("/bin/sh", append([]string{"-c", script, daemonBinary}, args...)...)
	p.cmd.Env = append(os.Environ(), env...)
	if l.memoryMB > 0 {
		p.cmd.Env = append(p.cmd.Env, fmt.Sprintf("GOMEMLIMIT=%dMiB", l.memoryMB))
	}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		<-p.exited
		if text, err := os.ReadFile(p.log); err == nil && t.Failed() {
			t.Logf("end of the log of %s:\n%s", name, text[max(0, len(text)-4000):])
		}
	})
	return p
}

func (p *process) pid() int { return p.cmd.Process.Pid }

func (p *process) isAlive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// eventually polls a condition and fails the test if it does not become true within half a minute,
// which only ends a test that hangs.
func eventually(t *testing.T, what string, condition func() error) {
	t.Helper()
	var err error
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if err = condition(); err == nil {
			return
		}
	}
	t.Fatalf("timed out waiting until %s: %v", what, err)
}

func writeFile(t *testing.T, folder, name, text string) string {
	t.Helper()
	path := filepath.Join(folder, name)
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(strings.TrimLeft(text, "\n")), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}
