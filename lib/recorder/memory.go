package recorder

import (
	"io/fs"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"

	"github.com/ansel1/merry/v2"
)

// ErrInjected is the kind of every error that a Memory was told to return.
var ErrInjected = merry.Sentinel("injected fault")

// Memory is a FileSystem in memory that loses, at a Crash, what was not synced,
// and that fails when it is told to. Tests and measurements use it. It is safe
// for concurrent use.
type Memory struct {
	lock  sync.Mutex
	names map[string]*content
	// durable is the folder as of the last Sync.
	durable map[string]*content
	// pending are the folder's changes since then, in order.
	pending []change

	// Capacity bounds the bytes of all files; 0 is no bound.
	Capacity int64
	// FailSyncs makes every sync of a file fail.
	FailSyncs bool
	// FailAfter makes every operation fail once that many more have been done,
	// as if the process had been killed there; negative is never.
	FailAfter int
}

// content is one file's bytes; those behind synced may be lost.
type content struct {
	data   []byte
	synced int
}

type change func(map[string]*content)

// NewMemory returns an empty folder that never fails.
func NewMemory() *Memory {
	return &Memory{names: make(map[string]*content), durable: make(map[string]*content), FailAfter: -1}
}

// Crash forgets what was not synced: of each file a random part of it remains,
// some of it as zeros, and of the folder's changes the first few. Then
// everything works again.
func (m *Memory) Crash(random *rand.Rand) {
	m.lock.Lock()
	defer m.lock.Unlock()
	for _, apply := range m.pending[:random.IntN(len(m.pending)+1)] {
		apply(m.durable)
	}
	m.names = make(map[string]*content, len(m.durable))
	for name, file := range m.durable {
		file.tear(random)
		m.names[name] = file
	}
	m.durable = cloneNames(m.names)
	m.pending = nil
	m.FailAfter = -1
	m.FailSyncs = false
}

// tear keeps a random part of what was not synced. Sectors that the disk had
// not reached yet read as zeros.
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

// Flip flips one bit of a file.
func (m *Memory) Flip(name string, byteAt int, bit uint8) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.names[name].data[byteAt] ^= 1 << bit
}

// Cut shortens a file as a torn write would.
func (m *Memory) Cut(name string, size int) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.names[name].data = m.names[name].data[:size]
	m.names[name].synced = min(m.names[name].synced, size)
}

// step counts one operation.
func (m *Memory) step() error {
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

// edit changes the folder now, and durably at the next Sync.
func (m *Memory) edit(apply change) {
	apply(m.names)
	m.pending = append(m.pending, apply)
}

// Create makes an empty file and opens it for appending.
func (m *Memory) Create(name string) (File, error) {
	m.lock.Lock()
	defer m.lock.Unlock()
	if err := m.step(); err != nil {
		return nil, err
	}
	file := &content{}
	m.edit(func(names map[string]*content) { names[name] = file })
	return &memoryFile{memory: m, content: file}, nil
}

// Append opens an existing file for appending.
func (m *Memory) Append(name string) (File, error) {
	m.lock.Lock()
	defer m.lock.Unlock()
	if err := m.step(); err != nil {
		return nil, err
	}
	file, found := m.names[name]
	if !found {
		return nil, fs.ErrNotExist
	}
	return &memoryFile{memory: m, content: file}, nil
}

// Read returns a whole file.
func (m *Memory) Read(name string) ([]byte, error) {
	m.lock.Lock()
	defer m.lock.Unlock()
	file, found := m.names[name]
	if !found {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(file.data), nil
}

// Rename replaces the new name as one step.
func (m *Memory) Rename(from, to string) error {
	m.lock.Lock()
	defer m.lock.Unlock()
	if err := m.step(); err != nil {
		return err
	}
	file := m.names[from]
	m.edit(func(names map[string]*content) {
		delete(names, from)
		names[to] = file
	})
	return nil
}

// Remove deletes a file.
func (m *Memory) Remove(name string) error {
	m.lock.Lock()
	defer m.lock.Unlock()
	if err := m.step(); err != nil {
		return err
	}
	m.edit(func(names map[string]*content) { delete(names, name) })
	return nil
}

// List returns the names of all files in order.
func (m *Memory) List() ([]string, error) {
	m.lock.Lock()
	defer m.lock.Unlock()
	names := make([]string, 0, len(m.names))
	for name := range m.names {
		names = append(names, name)
	}
	slices.Sort(names)
	return names, nil
}

// Sync makes the folder's changes durable.
func (m *Memory) Sync() error {
	m.lock.Lock()
	defer m.lock.Unlock()
	if err := m.step(); err != nil {
		return err
	}
	m.durable = cloneNames(m.names)
	m.pending = nil
	return nil
}

// Free returns what is left of the capacity.
func (m *Memory) Free() (uint64, error) {
	m.lock.Lock()
	defer m.lock.Unlock()
	if m.Capacity == 0 {
		return 1 << 40, nil
	}
	return uint64(max(0, m.Capacity-m.used())), nil
}

func (m *Memory) used() int64 {
	total := int64(0)
	for _, file := range m.names {
		total += int64(len(file.data))
	}
	return total
}

type memoryFile struct {
	memory  *Memory
	content *content
}

// Write appends, and writes only a part when the capacity is reached.
func (f *memoryFile) Write(data []byte) (int, error) {
	f.memory.lock.Lock()
	defer f.memory.lock.Unlock()
	if err := f.memory.step(); err != nil {
		return 0, err
	}
	room := len(data)
	if f.memory.Capacity > 0 {
		room = int(min(int64(room), max(0, f.memory.Capacity-f.memory.used())))
	}
	f.content.data = append(f.content.data, data[:room]...)
	if room < len(data) {
		return room, syscall.ENOSPC
	}
	return room, nil
}

// Sync makes everything written durable.
func (f *memoryFile) Sync() error {
	f.memory.lock.Lock()
	defer f.memory.lock.Unlock()
	if err := f.memory.step(); err != nil {
		return err
	}
	if f.memory.FailSyncs {
		return ErrInjected
	}
	f.content.synced = len(f.content.data)
	return nil
}

// Truncate cuts the file.
func (f *memoryFile) Truncate(size int64) error {
	f.memory.lock.Lock()
	defer f.memory.lock.Unlock()
	if err := f.memory.step(); err != nil {
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
