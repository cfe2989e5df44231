package super

import (
	"runtime/debug"

	"github.com/rs/zerolog"
)

// Recover ends the panic of one unit of work, such as a request or a connection, and logs it with its stack, so
// that the process goes on. It must be deferred directly. The functions in cleanup run after a panic only.
func Recover(log *zerolog.Logger, work string, cleanup ...func()) {
	cause := recover()
	if cause == nil {
		return
	}
	log.Error().Str("work", work).Interface("cause", cause).Bytes("stack", debug.Stack()).Msg("work-panicked")
	for _, run := range cleanup {
		run()
	}
}
