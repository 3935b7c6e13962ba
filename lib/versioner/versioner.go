// Package versioner records the software version at which streams began.
//
// The outputs of two versions cannot be combined, so that a stream resumes only at the version that
// began it. A stream is identified by the request that brought its first event or, for clients that
// do not name that request, by the content of the request.
//
// Invariants: the origin of a stream that is not recorded is unknown and is never derived from
// anything else; a stream for which two different origins, or an unknown one, are reported becomes
// unknown; memory is bounded.
package versioner

import (
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"

	"shallotkeel.example/lib/messenger"
)

const (
	// Retention is the minimum time for which a stream is recorded; the maximum is twice as long.
	// It exceeds the duration of streams plus the time for which their clients keep retrying.
	Retention = 15 * time.Second
	// maxRecords bounds the records of one generation, some 30 bytes each.
	maxRecords = 1 << 19
)

// Errors of a search for the origin of a stream.
var (
	// ErrUnknown means that nobody has a record of the stream, or that it is ambiguous.
	ErrUnknown = merry.Sentinel("nobody here knows which software began the stream")
	// ErrUnconfirmed means that nobody could be asked who would know of all streams.
	ErrUnconfirmed = merry.Sentinel("no keeper could be asked which software began the stream")
)

// Origin is the service and version at which a stream began.
type Origin struct {
	Service string
	// Version is the version of the software, empty if it is unknown.
	Version string
}

// Known reports whether the origin is that of exactly one version.
func (o Origin) Known() bool {
	return o.Version != ""
}

// StreamID identifies a stream.
type StreamID struct {
	// Request is the id of the request that brought the stream's first event, empty if the client
	// does not name it.
	Request string
	// Content is a hash of the request's content. Streams of equal requests share it; if they began
	// at several versions, it identifies none of them.
	Content uint64
}

// Hash returns the key under which the stream is looked up.
func (n StreamID) Hash() uint64 {
	if n.Request == "" {
		return n.Content
	}
	return xxhash.Sum64String(n.Request)
}

// Hashes returns all keys under which the stream may be looked up.
func (n StreamID) Hashes() []uint64 {
	return []uint64{n.Hash(), n.Content}
}

// Store records the origins of streams. Its zero value is empty. It is safe for concurrent use.
type Store struct {
	mutex        sync.Mutex
	current      generation
	previous     generation
	currentStart time.Time // time at which the current generation began
}

// generation holds the streams that were recorded during one period of Retention. Their origins are
// few and shared.
type generation struct {
	streams map[uint64]*Origin
	origins map[Origin]*Origin
}

// Add records the origin of a stream, and reports whether other stores need the record: it changed
// what is known of the stream, or renewed a record that they would soon drop.
func (m *Store) Add(now time.Time, stream uint64, origin Origin) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.rotate(now)
	existing, found := m.find(stream)
	if found && (existing == nil || *existing == origin) {
		_, recent := m.current.streams[stream]
		return m.current.put(stream, existing) && !recent
	}
	if found || !origin.Known() {
		return m.current.put(stream, nil)
	}
	return m.current.put(stream, &origin)
}

// Find returns the origin of a stream, and whether the stream is recorded. The origin of a recorded
// stream is not known if several streams share the key and began at different versions, or one of them
// at an unknown version.
func (m *Store) Find(now time.Time, stream uint64) (Origin, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.rotate(now)
	origin, found := m.find(stream)
	if origin == nil {
		return Origin{}, found
	}
	return *origin, true
}

// Records returns all records.
func (m *Store) Records(now time.Time) []Record {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.rotate(now)
	records := make([]Record, 0, len(m.current.streams)+len(m.previous.streams))
	for stream, origin := range m.current.streams {
		records = append(records, recordOf(stream, origin))
	}
	for stream, origin := range m.previous.streams {
		if _, recent := m.current.streams[stream]; !recent {
			records = append(records, recordOf(stream, origin))
		}
	}
	return records
}

func recordOf(stream uint64, origin *Origin) Record {
	if origin == nil {
		return Record{Stream: stream}
	}
	return Record{Stream: stream, Origin: *origin}
}

// Size returns the number of records. Streams that are recorded in both generations count twice.
func (m *Store) Size() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return len(m.current.streams) + len(m.previous.streams)
}

func (m *Store) find(stream uint64) (*Origin, bool) {
	if origin, found := m.current.streams[stream]; found {
		return origin, true
	}
	origin, found := m.previous.streams[stream]
	return origin, found
}

// rotate begins a new generation when the current one is over.
func (m *Store) rotate(now time.Time) {
	passed := now.Sub(m.currentStart)
	if passed < Retention {
		return
	}
	if passed < 2*Retention {
		m.previous = m.current
	} else {
		m.previous = generation{}
	}
	m.current, m.currentStart = generation{}, now
}

// put records a stream, with a nil origin if it has become ambiguous, and reports whether there was
// capacity for it.
func (s *generation) put(stream uint64, origin *Origin) bool {
	if s.streams == nil {
		s.streams, s.origins = make(map[uint64]*Origin), make(map[Origin]*Origin)
	}
	if _, found := s.streams[stream]; !found && len(s.streams) >= maxRecords {
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

// Record is a stream and its origin.
type Record struct {
	Stream uint64
	Origin Origin
}

// ToWire groups records by origin for a message.
func ToWire(records []Record) []*messenger.Begun {
	byOrigin := make(map[Origin]*messenger.Begun)
	var groups []*messenger.Begun
	for _, record := range records {
		group, found := byOrigin[record.Origin]
		if !found {
			group = &messenger.Begun{Service: record.Origin.Service, Version: record.Origin.Version}
			byOrigin[record.Origin] = group
			groups = append(groups, group)
		}
		group.Streams = append(group.Streams, record.Stream)
	}
	return groups
}

// FromWire returns the records of a message. The origins of a group without a version are unknown.
func FromWire(groups []*messenger.Begun) []Record {
	var records []Record
	for _, group := range groups {
		origin := Origin{Service: group.GetService(), Version: group.GetVersion()}
		for _, stream := range group.GetStreams() {
			records = append(records, Record{Stream: stream, Origin: origin})
		}
	}
	return records
}
