package observe

import (
	"bytes"
	"strings"
	"testing"

	"go.uber.org/zap"
)

// blockedWriter blocks in Write until release is closed.
type blockedWriter struct {
	release chan struct{}
	bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return w.Buffer.Write(p)
}

// TestAsyncWriterNeverBlocks guards against requests that block because nobody
// reads the log, and against dropped lines that the log does not report.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	writer := NewAsyncWriter(out)
	logger, err := NewLogger(writer, "info")
	if err != nil {
		t.Fatal(err)
	}
	const lines = 3 * maxQueuedLines
	for i := 0; i < lines; i++ {
		logger.Info(strings.Repeat("x", i%50+1), zap.Int("i", i))
	}
	if writer.Dropped() == 0 {
		t.Error("nothing was dropped")
	}
	close(out.release)
	logger.Info("after")
	writer.Close()
	if !strings.Contains(out.String(), "log lines dropped") {
		t.Error("the log does not report the dropped lines")
	}
}
