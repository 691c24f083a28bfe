package observe

import (
	"context"
	"io"
	"sync/atomic"

	"arbutusmast.example/arbutusmast/ring"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// pipeLines is the number of lines that wait for a slow reader of the log.
const pipeLines = 2048

// Pipe passes log lines to a writer from a goroutine of its own. When the writer
// does not keep up, lines are dropped and counted, so that nobody who logs ever
// waits for it. It implements zapcore.WriteSyncer.
type Pipe struct {
	lines   *ring.Queue[[]byte]
	dropped atomic.Int64
	total   atomic.Int64
	done    chan struct{}
}

// NewPipe returns a Pipe to a writer.
func NewPipe(out io.Writer) *Pipe {
	p := &Pipe{lines: ring.New[[]byte](pipeLines), done: make(chan struct{})}
	go p.run(out)
	return p
}

func (p *Pipe) run(out io.Writer) {
	defer close(p.done)
	for {
		line, ok := p.lines.Pop(context.Background())
		if !ok {
			return
		}
		if n := p.dropped.Swap(0); n > 0 {
			note := zapcore.Entry{Level: zapcore.WarnLevel, Message: "log lines dropped, because nobody read them in time"}
			if text, err := newEncoder().EncodeEntry(note, []zapcore.Field{zap.Int64("lines", n)}); err == nil {
				_, _ = out.Write(text.Bytes())
			}
		}
		// Nothing can be told about a log that can not be written but by its
		// counter of dropped lines.
		if _, err := out.Write(line); err != nil {
			p.total.Add(1)
		}
	}
}

// Write implements zapcore.WriteSyncer. It never waits.
func (p *Pipe) Write(line []byte) (int, error) {
	if !p.lines.TryPush(append([]byte(nil), line...)) {
		p.dropped.Add(1)
		p.total.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (p *Pipe) Sync() error { return nil }

// Dropped returns the number of lines that were lost.
func (p *Pipe) Dropped() int64 { return p.total.Load() }

// Close passes on what waits and ends the goroutine.
func (p *Pipe) Close() {
	p.lines.Close()
	<-p.done
}
