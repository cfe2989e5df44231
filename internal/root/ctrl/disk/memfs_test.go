package disk

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"slices"
)

var (
	errCrash    = errors.New("simulated crash")
	errInjected = errors.New("simulated I/O error")
	errFull     = errors.New("simulated full disk")
)

type (
	// memFS is an in-memory file system that tracks which data is synced and which data a crash may lose.
	memFS struct {
		random    *rand.Rand
		files     map[string]*memData // present files by name
		durable   map[string]*memData // files by name as of the last sync of the folder
		pending   []func()            // unsynced changes of the folder, in order
		ops       int                 // number of writes, syncs and changes of the folder so far
		crashAt   int                 // number of the operation at which the machine crashes, 0 for none
		failAt    int                 // number of the operation that fails, 0 for none
		freeSpace int                 // bytes left, negative for unlimited
		locked    bool
		crashed   bool
	}

	// memData is the content of a file: as written, and as of the last sync. unsynced contains the offsets at which the
	// writes after it begin.
	memData struct {
		data, synced []byte
		unsynced     []int
	}

	// memFile is an open file of a memFS.
	memFile struct {
		fs   *memFS
		data *memData
	}

	// memLock is the lock of the data folder.
	memLock struct{ fs *memFS }
)

func newMemFS(seed uint64) *memFS {
	return &memFS{
		random: rand.New(rand.NewPCG(seed, 7)), freeSpace: -1,
		files: map[string]*memData{}, durable: map[string]*memData{},
	}
}

// countOperation counts one operation and returns the error that is injected into it.
func (m *memFS) countOperation() error {
	m.ops++
	switch {
	case m.crashed || m.ops == m.crashAt:
		m.crashed = true
		return errCrash
	case m.ops == m.failAt:
		return errInjected
	}
	return nil
}

// crash returns the file system after a power failure. Of the unsynced bytes of a file, all, none, a tail, random sectors
// or random writes are lost. Unsynced changes of the folder are lost from a random one on, or each by itself.
func (m *memFS) crash() *memFS {
	isOrdered := m.random.IntN(2) == 0
	kept := m.random.IntN(len(m.pending) + 1)
	for i, change := range m.pending {
		if isOrdered && i < kept || !isOrdered && m.random.IntN(2) == 0 {
			change()
		}
	}
	next := newMemFS(m.random.Uint64())
	for _, name := range slices.Sorted(maps.Keys(m.durable)) {
		f := m.durable[name]
		data := bytes.Clone(f.data)
		if base := len(f.synced); len(data) > base {
			switch m.random.IntN(5) {
			case 0:
				data = data[:base]
			case 1:
				data = data[:base+m.random.IntN(len(data)-base)]
			case 2:
				for offset := base; offset < len(data); offset = offset/sectorSize*sectorSize + sectorSize {
					if m.random.IntN(2) == 0 {
						clear(data[offset:min(offset/sectorSize*sectorSize+sectorSize, len(data))])
					}
				}
			case 3:
				data = m.loseWrites(data, f.unsynced)
			}
		}
		f = &memData{data: data, synced: bytes.Clone(data)}
		next.files[name], next.durable[name] = f, f
	}
	return next
}

// loseWrites removes random ones of the writes that begin at the given offsets: whole, or from a random byte on.
func (m *memFS) loseWrites(data []byte, offsets []int) []byte {
	for i, offset := range slices.Backward(offsets) {
		end := len(data)
		if i+1 < len(offsets) {
			end = min(offsets[i+1], len(data))
		}
		switch m.random.IntN(3) {
		case 0:
			continue
		case 1:
			offset += m.random.IntN(end - offset + 1)
		}
		if end == len(data) {
			data = data[:offset]
		} else {
			clear(data[offset:end])
		}
	}
	return data
}

// clone returns a copy of the durable data.
func (m *memFS) clone() *memFS {
	next := newMemFS(m.random.Uint64())
	for name, f := range m.durable {
		c := &memData{data: bytes.Clone(f.synced), synced: bytes.Clone(f.synced)}
		next.files[name], next.durable[name] = c, c
	}
	return next
}

// changeFolder changes the present files at once and the durable ones at the next sync of the folder.
func (m *memFS) changeFolder(apply func(dir map[string]*memData)) {
	apply(m.files)
	m.pending = append(m.pending, func() { apply(m.durable) })
}

func (m *memFS) find(name string) (*memData, error) {
	if f := m.files[name]; f != nil {
		return f, nil
	}
	return nil, fmt.Errorf("%s: %w", name, fs.ErrNotExist)
}

func (m *memFS) MkdirAll(string) error { return nil }

func (m *memFS) Lock(string) (io.Closer, error) {
	if m.locked {
		return nil, ErrLocked
	}
	m.locked = true
	return memLock{fs: m}, nil
}

func (m *memFS) ReadDir(string) ([]string, error) {
	var names []string
	for name := range m.files {
		names = append(names, filepath.Base(name))
	}
	slices.Sort(names)
	return names, nil
}

func (m *memFS) ReadFile(name string, _ int64) ([]byte, error) {
	f, err := m.find(name)
	if err != nil {
		return nil, err
	}
	return bytes.Clone(f.data), nil
}

func (m *memFS) Create(name string) (File, error) {
	if err := m.countOperation(); err != nil {
		return nil, err
	}
	f := &memData{}
	m.changeFolder(func(dir map[string]*memData) { dir[name] = f })
	return &memFile{fs: m, data: f}, nil
}

func (m *memFS) Append(name string) (File, error) {
	f, err := m.find(name)
	return &memFile{fs: m, data: f}, err
}

func (m *memFS) Truncate(name string, size int64) error {
	f, err := m.find(name)
	if err == nil {
		err = m.countOperation()
	}
	if err == nil {
		f.data = f.data[:size]
		f.sync()
	}
	return err
}

func (m *memFS) Rename(from, to string) error {
	f, err := m.find(from)
	if err == nil {
		err = m.countOperation()
	}
	if err == nil {
		m.changeFolder(func(dir map[string]*memData) { dir[to] = f; delete(dir, from) })
	}
	return err
}

func (m *memFS) Remove(name string) error {
	if err := m.countOperation(); err != nil {
		return err
	}
	m.changeFolder(func(dir map[string]*memData) { delete(dir, name) })
	return nil
}

func (m *memFS) SyncDir(string) error {
	if err := m.countOperation(); err != nil {
		return err
	}
	for _, change := range m.pending {
		change()
	}
	m.pending = nil
	return nil
}

func (f *memData) sync() { f.synced, f.unsynced = bytes.Clone(f.data), nil }

func (f *memFile) Write(p []byte) (int, error) {
	f.data.unsynced = append(f.data.unsynced, len(f.data.data))
	if err := f.fs.countOperation(); err != nil {
		f.data.data = append(f.data.data, p[:f.fs.random.IntN(len(p)+1)]...)
		return 0, err
	}
	if f.fs.freeSpace >= 0 && len(p) > f.fs.freeSpace {
		f.data.data = append(f.data.data, p[:f.fs.freeSpace]...)
		return f.fs.freeSpace, errFull
	}
	if f.fs.freeSpace >= 0 {
		f.fs.freeSpace -= len(p)
	}
	f.data.data = append(f.data.data, p...)
	return len(p), nil
}

func (f *memFile) Sync() error {
	if err := f.fs.countOperation(); err != nil {
		return err
	}
	f.data.sync()
	return nil
}

func (f *memFile) Close() error { return nil }

func (l memLock) Close() error {
	l.fs.locked = false
	return nil
}
