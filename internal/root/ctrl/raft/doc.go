// Package raft implements the Raft consensus algorithm for one member of a group: elections, replication,
// commitment, snapshots and membership changes. It also checks boot numbers, which exclude a member whose
// disk was restored to an older state.
//
// The package performs no I/O and reads no clock: Step receives the time and an event and returns actions.
// Package codec encodes messages, package disk stores files, and the transport owns the sockets.
//
// The control loop owns the Node. It calls Step(now, Tick{}) when Deadline has passed, passes Persist
// and PersistSnapshot to the disk goroutine in the order received, and passes Persisted,
// SnapshotPersisted or PersistFailed back as events. The time must come from a monotonic clock.
package raft
