package recorder

import (
	"io/fs"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"

	"github.com/ansel1/merry/v2"
)

// ErrInjected is the kind of every error that a Memory returns for FailSyncs or
// FailAfter.
var ErrInjected = merry.Sentinel("injected fault")

// Memory is a FileSystem in memory with fault injection, for tests and benchmarks.
// A Crash loses data that was not synced. It is safe for concurrent use.
type Memory struct {
	lock  sync.Mutex
	files map[string]*content
	// durable holds the folder's files as of the last Sync.
	durable map[string]*content
	// pending holds the changes of the folder since the last Sync, in order.
	pending []folderChange

	// Capacity is the maximum total size of all files in bytes; 0 means no limit.
	Capacity int64
	// FailSyncs makes every sync of a file fail.
	FailSyncs bool
	// FailAfter is the number of further operations that succeed. All later ones
	// fail, as if the process had been killed at that point. A negative number
	// disables this.
	FailAfter int
}

// content holds the bytes of a file. Those after the first synced bytes may be lost
// in a crash.
type content struct {
	data   []byte
	synced int
}

// folderChange adds, renames or removes a file in a folder.
type folderChange func(map[string]*content)

// NewMemory returns an empty folder without capacity limit or injected faults.
func NewMemory() *Memory {
	return &Memory{files: make(map[string]*content), durable: make(map[string]*content), FailAfter: -1}
}

// Crash simulates a crash. Of the unsynced bytes of each file a random prefix
// remains, parts of it as zeros; of the unsynced changes of the folder a random
// number of the first ones remain. Then it ends all injected faults.
func (m *Memory) Crash(random *rand.Rand) {
	m.lock.Lock()
	defer m.lock.Unlock()
	for _, apply := range m.pending[:random.IntN(len(m.pending)+1)] {
		apply(m.durable)
	}
	m.files = make(map[string]*content, len(m.durable))
	for name, file := range m.durable {
		file.tear(random)
		m.files[name] = file
	}
	m.durable = cloneNames(m.files)
	m.pending = nil
	m.FailAfter = -1
	m.FailSyncs = false
}

// tear keeps a random prefix of the unsynced bytes. Random sectors of it, which the
// disk had not written yet, become zeros.
func (c *content) tear(random *rand.Rand) {
	kept := c.synced + random.IntN(len(c.data)-c.synced+1)
	c.data = slices.Clone(c.data[:kept])
	for at := c.synced; at < kept; {
		end := min(kept, (at/sectorSize+1)*sectorSize)
		if random.IntN(3) == 0 {
			clear(c.data[at:end])
		}
		at = end
	}
	c.synced = kept
}

// FlipBit flips one bit of a file.
func (m *Memory) FlipBit(name string, byteAt int, bit uint8) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.files[name].data[byteAt] ^= 1 << bit
}

// Cut shortens a file to a size in bytes, as a torn write does.
func (m *Memory) Cut(name string, size int) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.files[name].data = m.files[name].data[:size]
	m.files[name].synced = min(m.files[name].synced, size)
}

// countOperation counts an operation and returns ErrInjected if FailAfter has been
// reached.
func (m *Memory) countOperation() error {
	if m.FailAfter == 0 {
		return ErrInjected
	}
	if m.FailAfter > 0 {
		m.FailAfter--
	}
	return nil
}

func cloneNames(names map[string]*content) map[string]*content {
	clone := make(map[string]*content, len(names))
	for name, file := range names {
		clone[name] = file
	}
	return clone
}

// applyChange applies a change to the folder. It becomes durable at the next Sync.
func (m *Memory) applyChange(apply folderChange) {
	apply(m.files)
	m.pending = append(m.pending, apply)
}

// Create creates a file, or empties an existing one, and opens it for appending.
func (m *Memory) Create(name string) (File, error) {
	m.lock.Lock()
	defer m.lock.Unlock()
	if err := m.countOperation(); err != nil {
		return nil, err
	}
	file := &content{}
	m.applyChange(func(names map[string]*content) { names[name] = file })
	return &memoryFile{memory: m, content: file}, nil
}

// Append opens an existing file for appending.
func (m *Memory) Append(name string) (File, error) {
	m.lock.Lock()
	defer m.lock.Unlock()
	if err := m.countOperation(); err != nil {
		return nil, err
	}
	file, found := m.files[name]
	if !found {
		return nil, fs.ErrNotExist
	}
	return &memoryFile{memory: m, content: file}, nil
}

// Read returns the content of a file.
func (m *Memory) Read(name string) ([]byte, error) {
	m.lock.Lock()
	defer m.lock.Unlock()
	file, found := m.files[name]
	if !found {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(file.data), nil
}

// Rename renames a file atomically and replaces an existing file of the new name.
func (m *Memory) Rename(from, to string) error {
	m.lock.Lock()
	defer m.lock.Unlock()
	if err := m.countOperation(); err != nil {
		return err
	}
	file := m.files[from]
	m.applyChange(func(names map[string]*content) {
		delete(names, from)
		names[to] = file
	})
	return nil
}

// Remove deletes a file.
func (m *Memory) Remove(name string) error {
	m.lock.Lock()
	defer m.lock.Unlock()
	if err := m.countOperation(); err != nil {
		return err
	}
	m.applyChange(func(names map[string]*content) { delete(names, name) })
	return nil
}

// List returns the names of all files in sorted order.
func (m *Memory) List() ([]string, error) {
	m.lock.Lock()
	defer m.lock.Unlock()
	names := make([]string, 0, len(m.files))
	for name := range m.files {
		names = append(names, name)
	}
	slices.Sort(names)
	return names, nil
}

// Sync makes the folder's changes durable.
func (m *Memory) Sync() error {
	m.lock.Lock()
	defer m.lock.Unlock()
	if err := m.countOperation(); err != nil {
		return err
	}
	m.durable = cloneNames(m.files)
	m.pending = nil
	return nil
}

// Free returns the remaining capacity in bytes, or 1 TiB if Capacity is 0.
func (m *Memory) Free() (uint64, error) {
	m.lock.Lock()
	defer m.lock.Unlock()
	if m.Capacity == 0 {
		return 1 << 40, nil
	}
	return uint64(max(0, m.Capacity-m.used())), nil
}

// used returns the total size of all files in bytes.
func (m *Memory) used() int64 {
	total := int64(0)
	for _, file := range m.files {
		total += int64(len(file.data))
	}
	return total
}

// memoryFile is an open File of a Memory.
type memoryFile struct {
	memory  *Memory
	content *content
}

// Write appends data. If the capacity does not suffice, it writes as much as fits
// and returns ENOSPC.
func (f *memoryFile) Write(data []byte) (int, error) {
	f.memory.lock.Lock()
	defer f.memory.lock.Unlock()
	if err := f.memory.countOperation(); err != nil {
		return 0, err
	}
	size := len(data)
	if f.memory.Capacity > 0 {
		size = int(min(int64(size), max(0, f.memory.Capacity-f.memory.used())))
	}
	f.content.data = append(f.content.data, data[:size]...)
	if size < len(data) {
		return size, syscall.ENOSPC
	}
	return size, nil
}

// Sync makes everything written durable.
func (f *memoryFile) Sync() error {
	f.memory.lock.Lock()
	defer f.memory.lock.Unlock()
	if err := f.memory.countOperation(); err != nil {
		return err
	}
	if f.memory.FailSyncs {
		return ErrInjected
	}
	f.content.synced = len(f.content.data)
	return nil
}

// Truncate shortens the file to a size in bytes.
func (f *memoryFile) Truncate(size int64) error {
	f.memory.lock.Lock()
	defer f.memory.lock.Unlock()
	if err := f.memory.countOperation(); err != nil {
		return err
	}
	f.content.data = f.content.data[:size]
	f.content.synced = min(f.content.synced, int(size))
	return nil
}

// Close does nothing.
func (f *memoryFile) Close() error {
	return nil
}
