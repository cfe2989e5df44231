// Package state is the replicated state machine: configuration history, idempotency records and
// quarantined fingerprints. It is pure: the time of a command travels in the command, and machines
// that apply the same commands at the same indexes hold the same state and produce the same bytes.
//
// The machine's time is the latest time that any command carried. A command whose time is earlier
// uses the machine's time, so that a clock that steps back neither revives nor extends an entry.
package state
