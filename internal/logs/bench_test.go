package logs

import (
	"io"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// logLine writes the log line of a failed request.
func logLine(log zerolog.Logger) {
	log.Info().Str("request", "0a206dcd3bcae9cd").Str("reason", "queue-full").Str("outcome", "not-run").
		Uint64("revision", 160).Dur("revision-age", 464*time.Millisecond).Str("account", "pocket-reader").Bool("reached", false).
		Strs("tried", []string{"10.1.0.6:7080/10.1.0.6:8023", "10.3.0.36:7080/10.3.0.36:8023"}).Int("sends", 0).
		Dur("took", 2*time.Millisecond).Str("route", "r-vt85tgs").Str("service", "reader").Msg("request-failed")
}

// BenchmarkLine measures a line that is written, BenchmarkLineLeftOut one that the budget drops.
func BenchmarkLine(b *testing.B) {
	queue := NewQueue(io.Discard)
	log := New(queue, zerolog.InfoLevel).With().Str("daemon", "d1").Logger()
	for b.Loop() {
		logLine(log)
		queue.write(<-queue.lines)
	}
}

func BenchmarkLineLeftOut(b *testing.B) {
	now := time.Unix(1_000_000, 0)
	budget := NewBudget(func() time.Time { return now })
	log := New(NewQueue(io.Discard), zerolog.InfoLevel).Sample(budget)
	for budget.Sample(zerolog.InfoLevel) { // until the budget is used up
	}
	for b.Loop() {
		logLine(log)
	}
}
