// Package state implements the replicated state machine of the control group: configuration revisions,
// idempotency records and quarantined fingerprints. It performs no I/O and reads no clock: each command
// contains its time, and machines that apply the same commands at the same indexes have the same state and
// encode to the same bytes.
//
// The machine time is the latest time of all applied commands. A command with an earlier time is applied at
// the machine time, so that a clock that steps back neither restores nor extends an entry.
package state
