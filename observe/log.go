// Package observe provides a daemon's log, its metrics and the operators'
// listener.
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

// Limits of one log line, so that texts from callers or long chains of errors
// cannot fill the disk of a small host. With all limits reached and every byte
// escaped as \u00XX, a line has about 110 KiB.
const (
	MaxTextBytes = 1 << 10
	MaxFields    = 16
)

// Of equal messages within a second, the first sampleFirst are logged, and then
// one of every sampleThereafter, because a fault under load repeats for each
// request.
const (
	sampleFirst      = 100
	sampleThereafter = 100
)

// NewLogger returns a logger that writes one JSON object per line. The level is
// debug, info, warn or error.
func NewLogger(out io.Writer, level string) (*zap.Logger, error) {
	minLevel, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "create logger")
	}
	core := zapcore.NewCore(newEncoder(), zapcore.Lock(zapcore.AddSync(out)), minLevel)
	core = zapcore.NewSamplerWithOptions(&truncatingCore{core, 0}, time.Second, sampleFirst, sampleThereafter)
	return zap.New(core), nil
}

func newEncoder() zapcore.Encoder {
	config := zap.NewProductionEncoderConfig()
	config.TimeKey = "time"
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.EncodeDuration = zapcore.SecondsDurationEncoder
	return zapcore.NewJSONEncoder(config)
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

// truncatingCore truncates messages and fields before it passes them on.
type truncatingCore struct {
	zapcore.Core
	// fields is the number of fields added by With.
	fields int
}

func (c *truncatingCore) With(fields []zapcore.Field) zapcore.Core {
	truncated := truncateFields(fields, MaxFields-c.fields)
	return &truncatingCore{c.Core.With(truncated), c.fields + len(truncated)}
}

func (c *truncatingCore) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return ce.AddCore(e, c)
	}
	return ce
}

func (c *truncatingCore) Write(e zapcore.Entry, fields []zapcore.Field) error {
	e.Message = truncate(e.Message)
	e.Stack = truncate(e.Stack)
	return c.Core.Write(e, truncateFields(fields, MaxFields-c.fields))
}

func truncateFields(fields []zapcore.Field, limit int) []zapcore.Field {
	if len(fields) > limit {
		fields = fields[:max(limit, 0)]
	}
	truncated := make([]zapcore.Field, len(fields))
	for i, f := range fields {
		truncated[i] = truncateField(f)
	}
	return truncated
}

// truncateField truncates the key and value of a field. It formats values of
// arbitrary length as text, so that their length is known.
func truncateField(f zapcore.Field) zapcore.Field {
	f.Key = truncate(f.Key)
	switch f.Type {
	case zapcore.StringType:
		f.String = truncate(f.String)
	case zapcore.ErrorType, zapcore.StringerType, zapcore.ReflectType, zapcore.ByteStringType, zapcore.BinaryType,
		zapcore.ArrayMarshalerType, zapcore.ObjectMarshalerType, zapcore.InlineMarshalerType:
		return zap.String(f.Key, truncate(formatValue(f.Interface)))
	}
	return f
}

// formatValue formats a value with fmt, which recovers from methods that panic on
// a nil pointer.
func formatValue(v any) string {
	if text, ok := v.([]byte); ok {
		return string(text)
	}
	return fmt.Sprint(v)
}

func truncate(s string) string {
	if len(s) <= MaxTextBytes {
		return s
	}
	return strings.ToValidUTF8(s[:MaxTextBytes], "") + "..."
}
