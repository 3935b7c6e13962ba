// Package versioner remembers at which software version streams began.
//
// What two versions write does not fit together, so that a stream goes on only at the version that
// began it. A stream is known by the request that brought its first event, and to clients that do not
// name that one, by what it asks.
//
// Invariants: what is not remembered is not known, and never worked out from anything else; a
// stream of which two origins are told is not known any more; memory is bounded.
package versioner

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"shallotkeel.example/lib/messenger"
)

const (
	// Span is for how long a stream is remembered at least, and up to twice as long: longer than
	// streams last together with the patience of their clients.
	Span = 15 * time.Second
	// most bounds the records of one span, some 30 bytes each.
	most = 1 << 19
)

// Origin is where a stream began.
type Origin struct {
	Service string
	// Version is that of the software, never empty.
	Version string
}

// Name is by what a stream is known.
type Name struct {
	// Request is the id of the request that brought its first event, empty if its client does not
	// say.
	Request string
	// Content is a hash of what it asks. Streams that ask the same share it; where they began at
	// several versions it names none.
	Content uint64
}

// Stream returns what a stream is looked up by.
func (n Name) Stream() uint64 {
	if n.Request == "" {
		return n.Content
	}
	return xxhash.Sum64String(n.Request)
}

// Streams returns all that it may be looked up by.
func (n Name) Streams() []uint64 {
	return []uint64{n.Stream(), n.Content}
}

// Memory remembers streams. Its zero value remembers none. It is safe for concurrent use.
type Memory struct {
	mutex   sync.Mutex
	present span
	former  span
	turned  time.Time // when the present span began
}

// span is the streams that were told in one span of time. Their origins are few and shared.
type span struct {
	streams map[uint64]*Origin
	origins map[Origin]*Origin
}

// Note remembers a stream, and tells whether that is news.
func (m *Memory) Note(now time.Time, stream uint64, origin Origin) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.turn(now)
	known, found := m.find(stream)
	if found && (known == nil || *known == origin) {
		m.present.keep(stream, known)
		return false
	}
	if found {
		m.present.keep(stream, nil) // nobody knows which of the two it is
		return true
	}
	return m.present.keep(stream, &origin)
}

// Find returns where a stream began, if that is known.
func (m *Memory) Find(now time.Time, stream uint64) (Origin, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.turn(now)
	known, _ := m.find(stream)
	if known == nil {
		return Origin{}, false
	}
	return *known, true
}

// Size returns how many streams are remembered, those that were told in both spans twice.
func (m *Memory) Size() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return len(m.present.streams) + len(m.former.streams)
}

func (m *Memory) find(stream uint64) (*Origin, bool) {
	if known, found := m.present.streams[stream]; found {
		return known, true
	}
	known, found := m.former.streams[stream]
	return known, found
}

// turn begins another span when the present one is over.
func (m *Memory) turn(now time.Time) {
	passed := now.Sub(m.turned)
	if passed < Span {
		return
	}
	if passed < 2*Span {
		m.former = m.present
	} else {
		m.former = span{}
	}
	m.present, m.turned = span{}, now
}

// keep notes a stream, nil for an origin that is not known any more, and tells whether there was
// room for it.
func (s *span) keep(stream uint64, origin *Origin) bool {
	if s.streams == nil {
		s.streams, s.origins = make(map[uint64]*Origin), make(map[Origin]*Origin)
	}
	if _, found := s.streams[stream]; !found && len(s.streams) >= most {
		return false
	}
	if origin != nil {
		shared, found := s.origins[*origin]
		if !found {
			shared = origin
			s.origins[*origin] = shared
		}
		origin = shared
	}
	s.streams[stream] = origin
	return true
}

// Record is one stream and its origin.
type Record struct {
	Stream uint64
	Origin Origin
}

// ToWire groups records for a message.
func ToWire(records []Record) []*messenger.Begun {
	groups := make(map[Origin]*messenger.Begun)
	var told []*messenger.Begun
	for _, record := range records {
		group, found := groups[record.Origin]
		if !found {
			group = &messenger.Begun{Service: record.Origin.Service, Version: record.Origin.Version}
			groups[record.Origin] = group
			told = append(told, group)
		}
		group.Streams = append(group.Streams, record.Stream)
	}
	return told
}

// FromWire returns the records of a message. Groups without a version say nothing.
func FromWire(told []*messenger.Begun) []Record {
	var records []Record
	for _, group := range told {
		if group.GetVersion() == "" {
			continue
		}
		origin := Origin{Service: group.GetService(), Version: group.GetVersion()}
		for _, stream := range group.GetStreams() {
			records = append(records, Record{Stream: stream, Origin: origin})
		}
	}
	return records
}
