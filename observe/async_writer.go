package observe

import (
	"context"
	"io"
	"sync/atomic"

	"arbutusmast.example/arbutusmast/ring"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// maxQueuedLines is the number of log lines that are buffered for a slow reader.
const maxQueuedLines = 2048

// AsyncWriter writes log lines from a separate goroutine. It drops and counts
// lines when the underlying writer is too slow, so that logging never blocks. It
// implements zapcore.WriteSyncer.
type AsyncWriter struct {
	queue *ring.Queue[[]byte]
	// unreportedDrops is the number of lines dropped since the last warning in the
	// log.
	unreportedDrops atomic.Int64
	totalDrops      atomic.Int64
	done            chan struct{}
}

// NewAsyncWriter returns an AsyncWriter that writes to out, and starts its
// goroutine.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{queue: ring.New[[]byte](maxQueuedLines), done: make(chan struct{})}
	go w.run(out)
	return w
}

func (w *AsyncWriter) run(out io.Writer) {
	defer close(w.done)
	for {
		line, ok := w.queue.Pop(context.Background())
		if !ok {
			return
		}
		if n := w.unreportedDrops.Swap(0); n > 0 {
			warning := zapcore.Entry{
				Level: zapcore.WarnLevel, Message: "log lines dropped, because nobody read them in time",
			}
			if text, err := newEncoder().EncodeEntry(warning, []zapcore.Field{zap.Int64("lines", n)}); err == nil {
				_, _ = out.Write(text.Bytes())
			}
		}
		// A failed write cannot be logged, so it is only counted.
		if _, err := out.Write(line); err != nil {
			w.totalDrops.Add(1)
		}
	}
}

// Write implements zapcore.WriteSyncer. It never blocks.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	if !w.queue.TryPush(append([]byte(nil), line...)) {
		w.unreportedDrops.Add(1)
		w.totalDrops.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (w *AsyncWriter) Sync() error { return nil }

// Dropped returns the number of lines that were dropped or could not be written.
func (w *AsyncWriter) Dropped() int64 { return w.totalDrops.Load() }

// Close writes the remaining lines and stops the goroutine.
func (w *AsyncWriter) Close() {
	w.queue.Close()
	<-w.done
}
