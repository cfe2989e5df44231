package disk

import (
	"errors"
	"fmt"
	"io"
	"os"
	"syscall"
)

type (
	// FS is the file system below the data folder; tests replace it to make writes and syncs fail.
	FS interface {
		// MkdirAll creates a folder and its parents.
		MkdirAll(dir string) error
		// Lock takes an exclusive lock on a file and returns ErrLocked if another process holds it.
		Lock(name string) (io.Closer, error)
		// ReadDir returns the names in a folder, sorted.
		ReadDir(dir string) ([]string, error)
		// ReadFile returns a file's content, or an error if it exceeds limit bytes.
		ReadFile(name string, limit int64) ([]byte, error)
		// Create opens an empty file for writing; Append opens an existing one at its end.
		Create(name string) (File, error)
		Append(name string) (File, error)
		// Truncate cuts a file to size bytes and syncs it.
		Truncate(name string, size int64) error
		Rename(from, to string) error
		Remove(name string) error
		// SyncDir makes creations, renames and removals in a folder durable.
		SyncDir(dir string) error
	}

	// File is an open file; what was written is durable after Sync.
	File interface {
		io.WriteCloser
		Sync() error
	}

	// OS is the file system of the machine.
	OS struct{}
)

// MkdirAll creates a folder that only its owner can read.
func (OS) MkdirAll(dir string) error { return os.MkdirAll(dir, 0o700) }

// Lock takes an advisory lock that ends with the process.
func (OS) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(name, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		closeErr := f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			err = ErrLocked
		}
		return nil, errors.Join(err, closeErr)
	}
	return f, nil
}

// ReadDir returns the names in a folder, sorted.
func (OS) ReadDir(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, err
}

// ReadFile returns a file's content, or an error if it exceeds limit bytes.
func (OS) ReadFile(name string, limit int64) ([]byte, error) {
	info, err := os.Stat(name)
	if err != nil {
		return nil, err
	}
	if info.Size() > limit {
		return nil, fmt.Errorf("%s has %d bytes, limit %d", name, info.Size(), limit)
	}
	return os.ReadFile(name)
}

// Create opens an empty file for writing.
func (OS) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
}

// Append opens an existing file at its end.
func (OS) Append(name string) (File, error) {
	return os.OpenFile(name, os.O_WRONLY|os.O_APPEND, 0o600)
}

// Truncate cuts a file to size bytes and syncs it.
func (OS) Truncate(name string, size int64) error {
	f, err := os.OpenFile(name, os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	return errors.Join(f.Truncate(size), f.Sync(), f.Close())
}

// Rename replaces the file to by the file from.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove removes a file.
func (OS) Remove(name string) error { return os.Remove(name) }

// SyncDir makes creations, renames and removals in a folder durable.
func (OS) SyncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}
