package limit

import "time"

// Holder is the control loop's side of a daemon's cells; the control loop owns it.
type Holder struct {
	// Cells is replaced, never modified, so that it may be published to traffic goroutines.
	Cells map[string]*Cell
}

// NewHolder returns a holder without accounts; boot differs for each start of the daemon.
func NewHolder(now time.Time, boot uint64) *Holder { return &Holder{} }

// Step applies one event and returns what to send and which waiting requests to answer.
func (h *Holder) Step(now time.Time, ev HolderEvent) []HolderAction { return nil }

// Deadline returns when the next Wake is due; false means that none is.
func (h *Holder) Deadline() (time.Time, bool) { return time.Time{}, false }
