// Package observe is how a daemon shows what it does: its log, its metrics and
// the operators' listener.
package observe

import (
	"fmt"
	"io"
	"strings"
	"time"

	"arbutusmast.example/arbutusmast/core/message"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Bounds of one log line. A caller's text or a long chain of errors must not
// fill the disk of a small host. With all bounds reached and every byte
// escaped as \u00XX, a line has about 110 KiB.
const (
	MaxTextBytes = 1 << 10
	MaxFields    = 16
)

// Equal messages beyond the first sampleFirst of a second are logged only once
// in sampleThereafter, because a fault under load repeats for each request.
const (
	sampleFirst      = 100
	sampleThereafter = 100
)

// NewLogger returns a logger that writes one JSON object a line. The level is
// debug, info, warn or error.
func NewLogger(out io.Writer, level string) (*zap.Logger, error) {
	lowest, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "create logger")
	}
	core := zapcore.NewCore(newEncoder(), zapcore.Lock(zapcore.AddSync(out)), lowest)
	core = zapcore.NewSamplerWithOptions(&boundedCore{core, 0}, time.Second, sampleFirst, sampleThereafter)
	return zap.New(core), nil
}

func newEncoder() zapcore.Encoder {
	encoding := zap.NewProductionEncoderConfig()
	encoding.TimeKey = "time"
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoding.EncodeDuration = zapcore.SecondsDurationEncoder
	return zapcore.NewJSONEncoder(encoding)
}

// RequestID is the log field for a request.
func RequestID(id message.RequestID) zap.Field { return zap.String("request_id", string(id)) }

// Caller is the log field for the caller of a request.
func Caller(name string) zap.Field { return zap.String("caller", name) }

// BackendServer is the log field for a backend server.
func BackendServer(name string) zap.Field { return zap.String("backend_server", name) }

// FailureDomain is the log field for a failure domain.
func FailureDomain(name string) zap.Field { return zap.String("failure_domain", name) }

// Revision is the log field for a configuration revision.
func Revision(r message.Revision) zap.Field { return zap.Uint64("revision", uint64(r)) }

// boundedCore shortens what it passes on. Fields counts those added by With.
type boundedCore struct {
	zapcore.Core
	fields int
}

func (c *boundedCore) With(fields []zapcore.Field) zapcore.Core {
	bounded := boundFields(fields, MaxFields-c.fields)
	return &boundedCore{c.Core.With(bounded), c.fields + len(bounded)}
}

func (c *boundedCore) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return ce.AddCore(e, c)
	}
	return ce
}

func (c *boundedCore) Write(e zapcore.Entry, fields []zapcore.Field) error {
	e.Message = bound(e.Message)
	e.Stack = bound(e.Stack)
	return c.Core.Write(e, boundFields(fields, MaxFields-c.fields))
}

func boundFields(fields []zapcore.Field, room int) []zapcore.Field {
	if len(fields) > room {
		fields = fields[:max(room, 0)]
	}
	bounded := make([]zapcore.Field, len(fields))
	for i, f := range fields {
		bounded[i] = boundField(f)
	}
	return bounded
}

// boundField renders fields of arbitrary length as text here, so that their
// length is known.
func boundField(f zapcore.Field) zapcore.Field {
	f.Key = bound(f.Key)
	switch f.Type {
	case zapcore.StringType:
		f.String = bound(f.String)
	case zapcore.ErrorType, zapcore.StringerType, zapcore.ReflectType, zapcore.ByteStringType, zapcore.BinaryType,
		zapcore.ArrayMarshalerType, zapcore.ObjectMarshalerType, zapcore.InlineMarshalerType:
		return zap.String(f.Key, bound(renderInterface(f.Interface)))
	}
	return f
}

// renderInterface uses fmt, which survives methods that panic on a nil pointer.
func renderInterface(v any) string {
	if text, ok := v.([]byte); ok {
		return string(text)
	}
	return fmt.Sprint(v)
}

func bound(s string) string {
	if len(s) <= MaxTextBytes {
		return s
	}
	return strings.ToValidUTF8(s[:MaxTextBytes], "") + "..."
}
