// Package disk stores the log and the snapshots of a member of the consensus group in one data folder. The
// log is a sequence of segment files of checksummed records, with one write and one sync per batch. A
// snapshot is written to a temporary file, synced and renamed.
package disk
