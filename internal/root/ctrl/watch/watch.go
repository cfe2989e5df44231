package watch

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/fsnotify/fsnotify"

	"github.com/buckthornpitch/buckthornpitch/internal/clock"
)

// settle is how long a changed file has to stay unchanged, because editors write in several steps.
const settle = 100 * time.Millisecond

type (
	// File is the rules file as it was read.
	File struct {
		Path string
		Text []byte
		Err  error // why it could not be read
	}

	// Watcher follows one file, which may be replaced by rename.
	Watcher struct {
		Path    string
		MaxSize int64 // bytes
		Clock   clock.Clock
		// Report receives each new content; it may block.
		Report func(File)
	}
)

// ErrTooLarge reports a file above the limit.
var ErrTooLarge = errors.New("rules file is too large")

// Run reports the file now and after each change until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	events, err := fsnotify.NewWatcher()
	if err != nil {
		return fmt.Errorf("watch rules file: %w", err)
	}
	defer func() { _ = events.Close() }()
	// The folder is watched because an editor's rename replaces the file.
	if err := events.Add(filepath.Dir(w.Path)); err != nil {
		return fmt.Errorf("watch rules file: %w", err)
	}
	last := w.read()
	w.Report(last)
	timer := w.Clock.NewTimer(settle)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case event := <-events.Events:
			if filepath.Clean(event.Name) == filepath.Clean(w.Path) {
				timer.Reset(settle)
			}
		case err := <-events.Errors:
			return fmt.Errorf("watch rules file: %w", err)
		case <-timer.C():
			current := w.read()
			if changed(last, current) {
				w.Report(current)
			}
			last = current
		}
	}
}

// changed reports whether the content, or the reason why there is none, differs.
func changed(last, current File) bool {
	if last.Err != nil && current.Err != nil {
		return last.Err.Error() != current.Err.Error()
	}
	return (last.Err == nil) != (current.Err == nil) || !bytes.Equal(last.Text, current.Text)
}

func (w *Watcher) read() File {
	out := File{Path: w.Path}
	file, err := os.Open(w.Path)
	if err != nil {
		out.Err = fmt.Errorf("read rules file: %w", err)
		return out
	}
	defer func() { _ = file.Close() }()
	out.Text, err = io.ReadAll(io.LimitReader(file, w.MaxSize+1))
	switch {
	case err != nil:
		out.Err = fmt.Errorf("read rules file: %w", err)
	case int64(len(out.Text)) > w.MaxSize:
		out.Err = fmt.Errorf("%w: more than %d bytes", ErrTooLarge, w.MaxSize)
	}
	return out
}
