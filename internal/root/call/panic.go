package call

import (
	"net/http"
	"runtime/debug"

	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
)

// startedWriter records whether a response has begun.
type startedWriter struct {
	http.ResponseWriter
	started bool
}

// WriteHeader writes the header of the response.
func (w *startedWriter) WriteHeader(status int) {
	w.started = true
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body, and the header first if that has not been written.
func (w *startedWriter) Write(part []byte) (int, error) {
	w.started = true
	return w.ResponseWriter.Write(part)
}

// Unwrap returns the writer of the connection for http.ResponseController.
func (w *startedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// refusePanicked returns a handler that refuses a request whose handler panics, with an unknown outcome. A response that
// has begun breaks off.
func (t *Traffic) refusePanicked(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		response := &startedWriter{ResponseWriter: w}
		defer func() {
			cause := recover()
			switch {
			case cause == nil:
				return
			case cause == http.ErrAbortHandler: // the response must not look complete
				panic(cause)
			}
			t.Log.Error().Str("work", "call").Interface("cause", cause).Bytes("stack", debug.Stack()).Msg("work-panicked")
			if response.started {
				panic(http.ErrAbortHandler)
			}
			writeRefusal(response, newToken(), retry.BackendLost{}, nil)
		}()
		handle(response, r)
	}
}
