package observe

import (
	"bytes"
	"strings"
	"testing"

	"go.uber.org/zap"
)

// stuckWriter blocks until it is released.
type stuckWriter struct {
	release chan struct{}
	bytes.Buffer
}

func (w *stuckWriter) Write(p []byte) (int, error) {
	<-w.release
	return w.Buffer.Write(p)
}

// Guards against requests that wait because nobody reads the log, and against
// lines that are lost without a word.
func TestPipeNeverBlocks(t *testing.T) {
	out := &stuckWriter{release: make(chan struct{})}
	pipe := NewAsyncWriter(out)
	logger, err := NewLogger(pipe, "info")
	if err != nil {
		t.Fatal(err)
	}
	const lines = 3 * pipeLines
	for i := 0; i < lines; i++ {
		logger.Info(strings.Repeat("x", i%50+1), zap.Int("i", i))
	}
	if pipe.Dropped() == 0 {
		t.Error("nothing was dropped")
	}
	close(out.release)
	logger.Info("after")
	pipe.Close()
	if !strings.Contains(out.String(), "log lines dropped") {
		t.Error("the loss is not told in the log")
	}
}
