package disk

import (
	"errors"
	"fmt"
	"io"
	"os"
	"syscall"
)

type (
	// FS is the file system that holds the data folder. Tests replace it to inject failures of writes and
	// syncs.
	FS interface {
		// MkdirAll creates a folder and its parents if they do not exist.
		MkdirAll(dir string) error
		// Lock takes an exclusive lock on a file and returns ErrLocked if another process holds it.
		Lock(name string) (io.Closer, error)
		// ReadDir returns the sorted names of the files in a folder.
		ReadDir(dir string) ([]string, error)
		// ReadFile returns the content of a file, or an error if it has more than limit bytes.
		ReadFile(name string, limit int64) ([]byte, error)
		// Create opens an empty file for writing. An existing file of this name loses its content.
		Create(name string) (File, error)
		// Append opens an existing file for writing at its end.
		Append(name string) (File, error)
		// Truncate shortens a file to size bytes and syncs it.
		Truncate(name string, size int64) error
		// Rename renames a file and replaces an existing file of the new name. SyncDir makes the change durable.
		Rename(oldName, newName string) error
		// Remove removes a file. SyncDir makes the change durable.
		Remove(name string) error
		// SyncDir makes creations, renames and removals in a folder durable.
		SyncDir(dir string) error
	}

	// File is a file that is open for writing. Written data is durable after Sync.
	File interface {
		io.WriteCloser
		// Sync makes the data that has been written durable.
		Sync() error
	}

	// OS is the file system of the operating system.
	OS struct{}
)

// MkdirAll creates a folder and its parents. Only their owner can access them.
func (OS) MkdirAll(dir string) error { return os.MkdirAll(dir, 0o700) }

// Lock takes an advisory lock on a file. The operating system releases it when the process ends.
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

// ReadDir returns the sorted names of the files in a folder.
func (OS) ReadDir(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, err
}

// ReadFile returns the content of a file, or an error if it has more than limit bytes.
func (OS) ReadFile(name string, limit int64) ([]byte, error) {
	info, err := os.Stat(name)
	if err != nil {
		return nil, err
	}
	if info.Size() > limit {
		return nil, fmt.Errorf("file %s has %d bytes, limit %d", name, info.Size(), limit)
	}
	return os.ReadFile(name)
}

// Create opens an empty file for writing.
func (OS) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
}

// Append opens an existing file for writing at its end.
func (OS) Append(name string) (File, error) {
	return os.OpenFile(name, os.O_WRONLY|os.O_APPEND, 0o600)
}

// Truncate shortens a file to size bytes and syncs it.
func (OS) Truncate(name string, size int64) error {
	f, err := os.OpenFile(name, os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	return errors.Join(f.Truncate(size), f.Sync(), f.Close())
}

// Rename renames a file and replaces an existing file of the new name.
func (OS) Rename(oldName, newName string) error { return os.Rename(oldName, newName) }

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
