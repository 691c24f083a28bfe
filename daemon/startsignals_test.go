package daemon

import (
	"fmt"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

// startSettings lacks the first port, which is one below the agent's, and the data folder.
const startSettings = `[daemon]
host = agent-1
role = agent
ip = 127.0.3.200
failure_domain = z
first_port = %d
seeds = 127.0.3.201:1
data_folder = %s
drain_seconds = 4
[failure_domains]
z = r
[platform]
list = 127.0.3.201:1
[backend_server]
address = 127.0.3.201:2
service = llm
`

// Guards against a daemon that a signal kills between its first log line and the time at which
// it handles signals.
func TestSignalsAtTheFirstLogLineAreHandled(t *testing.T) {
	for _, first := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP} {
		t.Run(first.String(), func(t *testing.T) { testSignalAtTheFirstLogLine(t, first) })
	}
}

func testSignalAtTheFirstLogLine(t *testing.T, first syscall.Signal) {
	free, err := net.Listen("tcp", "127.0.3.200:0")
	if err != nil {
		t.Fatal(err)
	}
	port := free.Addr().(*net.TCPAddr).Port
	_ = free.Close()
	path := filepath.Join(t.TempDir(), "settings.ini")
	if err := os.WriteFile(path, fmt.Appendf(nil, startSettings, port-1, t.TempDir()), 0o600); err != nil {
		t.Fatal(err)
	}
	// The test's own handler keeps the signals from ending the test, and tells when they
	// have been delivered to all handlers of that time.
	received := make(chan os.Signal, 1)
	signal.Notify(received, syscall.SIGTERM, syscall.SIGHUP)
	defer signal.Stop(received)
	send := func(s syscall.Signal) {
		if err := syscall.Kill(os.Getpid(), s); err != nil {
			t.Error(err)
		}
		<-received
	}
	core, logs := observer.New(zap.InfoLevel)
	logger := zap.New(core, zap.Hooks(func(entry zapcore.Entry) error {
		if entry.Message == "daemon started" {
			send(first)
		}
		return nil
	}))
	ended := make(chan error, 1)
	go func() { ended <- RunOnPlatform(path, logger) }()
	// The timeout only ends a test that hangs.
	timeout := time.After(10 * time.Second)
	if first == syscall.SIGHUP {
		for logs.FilterMessage("settings reloaded").FilterField(zap.Bool("signaled", true)).Len() == 0 {
			select {
			case <-timeout:
				t.Fatal("SIGHUP at the first log line did not reload the settings")
			case <-time.After(5 * time.Millisecond):
			}
		}
		send(syscall.SIGTERM)
	}
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-timeout:
		t.Fatal("SIGTERM did not stop the daemon")
	}
}
