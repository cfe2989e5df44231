// Package raft decides for one member of the consensus group: elections, replication, commitment,
// membership and boot numbers. It is pure: Step receives the time and an event and returns actions;
// encoding is in package codec, files in package disk, sockets in the transport.
//
// The control loop owns the Node. It calls Step(now, Tick{}) when Deadline has passed, hands Persist
// and PersistSnapshot to the disk goroutine in the order received, and posts Persisted,
// SnapshotPersisted or PersistFailed back. The time must come from a monotonic clock.
package raft
