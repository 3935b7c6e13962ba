// Package journaler records the executions of a stand-in, so that a test can
// count double executions and requests that were refused as not run but ran.
//
// Invariants: an execution is recorded, and written to the journal file if there
// is one, before it has any effect, so that the file also covers a stand-in that
// is killed; the file is append-only, so that it also covers earlier runs of the
// stand-in. Counts are bounded by MaxKeys; beyond that the journal reports that
// it is incomplete, and a check that relies on it must fail.
package journaler

import (
	"encoding/json"
	"io"
	"maps"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// MaxKeys bounds the counted keys and the counted workspaces, MaxEntries the
// entries in memory.
const (
	MaxKeys    = 1 << 20
	MaxEntries = 1 << 14
)

// Verb is the event of a journal entry.
type Verb string

// The events of a request at an endpoint, and Ordered for an order that an engine
// obeyed.
const (
	Received  Verb = "received"
	Started   Verb = "started"
	Finished  Verb = "finished"
	Cancelled Verb = "cancelled"
	Refused   Verb = "refused"
	Ordered   Verb = "ordered"
)

// Entry is one line of the journal, encoded as JSON.
type Entry struct {
	At        time.Time `json:"at"`
	Verb      Verb      `json:"verb"`
	Request   string    `json:"request,omitempty"`
	Key       string    `json:"key,omitempty"`
	Workspace string    `json:"workspace,omitempty"`
	From      int       `json:"from,omitempty"`  // first token of a resumed answer
	Units     int       `json:"units,omitempty"` // tokens sent, or milliseconds of busy time
	Fence     uint64    `json:"fence,omitempty"`
}

// Identity returns the key by which executions are counted: the idempotency key,
// or the request id if there is none.
func (e Entry) Identity() string {
	if e.Key != "" {
		return e.Key
	}
	return e.Request
}

// Executions is the answer to GET /control/executions: the number of executions
// of each key, and the number of requests that run.
type Executions struct {
	Executions map[string]int `json:"executions"`
	Running    int            `json:"running"`
	Incomplete bool           `json:"incomplete,omitempty"`
}

// Service is the answer to GET /control/service: the units of service that each
// workspace has received so far, tokens for models and milliseconds for plain
// services.
type Service struct {
	Workspaces map[string]int64 `json:"workspaces"`
}

// Journaler keeps the journal of one stand-in. It is safe for concurrent use.
type Journaler struct {
	Clock clockwork.Clock
	File  io.Writer // nil for a journal in memory only

	lock       sync.Mutex
	counts     map[string]int
	entries    []Entry
	running    int
	incomplete bool
	units      map[string]int64
}

// CountUnits adds to the units of service that a workspace has received.
func (j *Journaler) CountUnits(workspace string, units int) {
	j.lock.Lock()
	defer j.lock.Unlock()
	if j.units == nil {
		j.units = make(map[string]int64)
	}
	if _, known := j.units[workspace]; !known && len(j.units) >= MaxKeys {
		j.incomplete = true
		return
	}
	j.units[workspace] += int64(units)
}

// Service returns the units of service that each workspace has received so far.
func (j *Journaler) Service() Service {
	j.lock.Lock()
	defer j.lock.Unlock()
	return Service{Workspaces: maps.Clone(j.units)}
}

// Add records an entry with the current time. An entry that cannot be written to
// the file marks the journal as incomplete.
func (j *Journaler) Add(entry Entry) {
	j.lock.Lock()
	defer j.lock.Unlock()
	entry.At = j.Clock.Now()
	j.count(entry)
	j.entries = append(j.entries, entry)
	if len(j.entries) > MaxEntries {
		j.entries = append([]Entry(nil), j.entries[MaxEntries/2:]...)
	}
	if j.File == nil {
		return
	}
	line, err := json.Marshal(entry)
	if err == nil {
		_, err = j.File.Write(append(line, '\n'))
	}
	if err != nil {
		j.incomplete = true
	}
}

func (j *Journaler) count(entry Entry) {
	switch entry.Verb {
	case Started:
		j.running++
	case Finished, Cancelled:
		j.running--
		return
	default:
		return
	}
	if j.counts == nil {
		j.counts = make(map[string]int)
	}
	if _, known := j.counts[entry.Identity()]; !known && len(j.counts) >= MaxKeys {
		j.incomplete = true
		return
	}
	j.counts[entry.Identity()]++
}

// Executions returns the executions counted so far.
func (j *Journaler) Executions() Executions {
	j.lock.Lock()
	defer j.lock.Unlock()
	return Executions{Executions: maps.Clone(j.counts), Running: j.running, Incomplete: j.incomplete}
}

// Entries returns the newest entries, oldest first.
func (j *Journaler) Entries() []Entry {
	j.lock.Lock()
	defer j.lock.Unlock()
	return append([]Entry(nil), j.entries...)
}
