// Package disk keeps a member's durable log and snapshots in one data folder: segment files of
// checksummed records with one write and one sync per batch, and snapshots written to a temporary
// file, synced and renamed.
package disk
