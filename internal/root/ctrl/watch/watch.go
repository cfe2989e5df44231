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

// settleTime is the time without further changes after which a changed file is read: editors write a file in
// several steps.
const settleTime = 100 * time.Millisecond

type (
	// File is the result of reading the rules file.
	File struct {
		Path string
		Text []byte
		Err  error // error of the failed read, or nil
	}

	// Watcher reports the content of one file, which may be replaced by a rename.
	Watcher struct {
		Path    string
		MaxSize int64 // bytes
		Clock   clock.Clock
		// Report is called with each new content; it may block.
		Report func(File)
	}
)

// ErrTooLarge reports a file that exceeds Watcher.MaxSize.
var ErrTooLarge = errors.New("rules file is too large")

// Run reports the file at once and after each change until ctx is done.
func (w *Watcher) Run(ctx context.Context) error {
	notifier, err := fsnotify.NewWatcher()
	if err != nil {
		return fmt.Errorf("watch rules file: %w", err)
	}
	defer func() { _ = notifier.Close() }()
	// The directory is watched because an editor may replace the file by a rename.
	if err := notifier.Add(filepath.Dir(w.Path)); err != nil {
		return fmt.Errorf("watch rules file: %w", err)
	}
	last := w.read()
	w.Report(last)
	timer := w.Clock.NewTimer(settleTime)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case event := <-notifier.Events:
			if filepath.Clean(event.Name) == filepath.Clean(w.Path) {
				timer.Reset(settleTime)
			}
		case err := <-notifier.Errors:
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

// changed reports whether the content or the read error differs.
func changed(last, current File) bool {
	if last.Err != nil && current.Err != nil {
		return last.Err.Error() != current.Err.Error()
	}
	return (last.Err == nil) != (current.Err == nil) || !bytes.Equal(last.Text, current.Text)
}

func (w *Watcher) read() File {
	result := File{Path: w.Path}
	file, err := os.Open(w.Path)
	if err != nil {
		result.Err = fmt.Errorf("read rules file: %w", err)
		return result
	}
	defer func() { _ = file.Close() }()
	result.Text, err = io.ReadAll(io.LimitReader(file, w.MaxSize+1))
	switch {
	case err != nil:
		result.Err = fmt.Errorf("read rules file: %w", err)
	case int64(len(result.Text)) > w.MaxSize:
		result.Err = fmt.Errorf("%w: more than %d bytes", ErrTooLarge, w.MaxSize)
	}
	return result
}
