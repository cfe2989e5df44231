package logs

import (
	"fmt"
	"io"
	"strings"
	"time"

	klog "github.com/go-kratos/kratos/v2/log"
	"github.com/rs/zerolog"
)

type (
	// kratosLogger writes the events of kratos to the log.
	kratosLogger struct{ log zerolog.Logger }

	// libraryWriter writes the text of the standard logger to the log.
	libraryWriter struct{ log zerolog.Logger }
)

// The default format has whole seconds, which cannot order the lines of one request.
func init() { zerolog.TimeFieldFormat = time.RFC3339Nano }

// New returns a logger that writes events of at least the given level to w.
func New(w io.Writer, level zerolog.Level) zerolog.Logger {
	return zerolog.New(&lineWriter{out: w}).Level(level).With().Timestamp().Logger()
}

// NewKratosLogger returns a kratos logger that writes to log.
func NewKratosLogger(log zerolog.Logger) klog.Logger { return kratosLogger{log: log} }

// NewLibraryWriter returns an output for the standard logger, to which net/http writes some of its errors.
func NewLibraryWriter(log zerolog.Logger) io.Writer { return libraryWriter{log: log} }

// Write logs one text without the bytes of a response that net/http quotes in it.
func (l libraryWriter) Write(line []byte) (int, error) {
	text, _, _ := strings.Cut(string(line), " starting with ")
	l.log.Warn().Str("text", strings.TrimSpace(text)).Msg("http-library")
	return len(line), nil
}

// Log writes one event of kratos to the log: warnings and errors at warn level, all others at debug level.
func (k kratosLogger) Log(level klog.Level, pairs ...any) error {
	event := k.log.Debug()
	if level >= klog.LevelWarn {
		event = k.log.Warn()
	}
	for i := 0; i+1 < len(pairs); i += 2 {
		key := fmt.Sprint(pairs[i])
		if key == "msg" {
			key = "text"
		}
		event = event.Str(key, fmt.Sprint(pairs[i+1]))
	}
	event.Msg("http-library")
	return nil
}
