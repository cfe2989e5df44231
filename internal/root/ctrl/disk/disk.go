package disk

import (
	"errors"

	"github.com/buckthornpitch/buckthornpitch/internal/root/ctrl/raft"
)

var (
	// ErrStopped reports that an earlier write or sync failed; the writer accepts nothing more.
	ErrStopped = errors.New("disk writer stopped")
	// ErrDamaged reports a file whose content cannot be trusted; the message names file and offset.
	ErrDamaged = errors.New("damaged file")
	// ErrLocked reports a data folder that another process uses.
	ErrLocked = errors.New("data folder is in use")
	// ErrFormat reports a data folder of another format version.
	ErrFormat = errors.New("unknown data folder format")
)

type (
	// Storage is a member's durable state; one goroutine uses it.
	Storage interface {
		// Load returns the state of this start; it is called once, before Save.
		Load() (raft.Restored, error)
		// Save makes a batch durable before it returns; after an error the writer stays stopped.
		Save(batch raft.Batch) error
		// SaveSnapshot makes a snapshot durable and removes entries that are no longer kept.
		SaveSnapshot(snapshot raft.Snapshot) error
		// Close releases the folder.
		Close() error
	}
)
