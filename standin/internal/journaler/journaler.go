// Package journaler records what a stand-in executed, so that a test can count
// double executions and requests that were refused as not run but ran.
//
// Invariants: an execution is recorded, and is in the journal file where there
// is one, before it has any effect, so that a stand-in that is killed still
// tells what it ran; the file is only appended to, so that it also covers the
// stand-in's earlier lives. Counts are bounded by MaxKeys; beyond that the
// journal says that it is incomplete, and a checker must fail.
package journaler

import (
	"encoding/json"
	"io"
	"maps"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// MaxKeys bounds the counted keys and MaxEntries the entries kept in memory.
const (
	MaxKeys    = 1 << 20
	MaxEntries = 1 << 14
)

// Verb says what happened to a request.
type Verb string

// What can happen to a request at an endpoint.
const (
	Received  Verb = "received"
	Started   Verb = "started"
	Finished  Verb = "finished"
	Cancelled Verb = "cancelled"
	Refused   Verb = "refused"
	Ordered   Verb = "ordered"
)

// Entry is one line of the journal.
type Entry struct {
	At        time.Time `json:"at"`
	Verb      Verb      `json:"verb"`
	Request   string    `json:"request,omitempty"`
	Key       string    `json:"key,omitempty"`
	Workspace string    `json:"workspace,omitempty"`
	From      int       `json:"from,omitempty"`  // first token of a resumed answer
	Units     int       `json:"units,omitempty"` // tokens yielded, or milliseconds of busy time
	Fence     uint64    `json:"fence,omitempty"`
}

// Identity is the key by which executions are counted: the idempotency key,
// or the request's own id where it has none.
func (e Entry) Identity() string {
	if e.Key != "" {
		return e.Key
	}
	return e.Request
}

// Executions answers GET /control/executions.
type Executions struct {
	Executions map[string]int `json:"executions"`
	Running    int            `json:"running"`
	Incomplete bool           `json:"incomplete,omitempty"`
}

// Service answers GET /control/service: the units that each workspace has
// received here so far, tokens for models and milliseconds for plain services.
type Service struct {
	Workspaces map[string]int64 `json:"workspaces"`
}

// Journaler keeps the journal of one stand-in.
type Journaler struct {
	Clock clockwork.Clock
	File  io.Writer // nil keeps the journal in memory only

	lock       sync.Mutex
	counts     map[string]int
	entries    []Entry
	running    int
	incomplete bool
	service    map[string]int64
}

// Serve counts units that a workspace received.
func (j *Journaler) Serve(workspace string, units int) {
	j.lock.Lock()
	defer j.lock.Unlock()
	if j.service == nil {
		j.service = make(map[string]int64)
	}
	if _, known := j.service[workspace]; !known && len(j.service) >= MaxKeys {
		j.incomplete = true
		return
	}
	j.service[workspace] += int64(units)
}

// Service returns the units that workspaces received so far.
func (j *Journaler) Service() Service {
	j.lock.Lock()
	defer j.lock.Unlock()
	return Service{Workspaces: maps.Clone(j.service)}
}

// Add records an entry. A journal that cannot be written is incomplete.
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

// Executions returns the counts so far.
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
