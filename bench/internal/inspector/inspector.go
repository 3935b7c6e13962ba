// Package inspector determines what a fleet did: the requests that stand-ins executed, the
// service that each workspace received, and the metrics of the processes. It compares the
// executions with the results that callers got.
//
// Invariants: executions are read from the journals, which survive the kill of a
// stand-in; a journal that cannot be read or is incomplete is an error and never
// counts as zero.
package inspector

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"os"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"shallotkeel.example/bench/internal/launcher"
	"shallotkeel.example/lib/caller"
)

// ErrInspect is wrapped by every error about an inspection.
var ErrInspect = merry.Sentinel("fleet cannot be inspected")

// Entry is one line of a stand-in's journal.
type Entry struct {
	Verb      string    `json:"verb"`
	Request   string    `json:"request"`
	Key       string    `json:"key"`
	Workspace string    `json:"workspace"`
	At        time.Time `json:"at"`
	Standin   string    `json:"-"`
}

// The verbs of entries that are evaluated.
const (
	verbReceived = "received"
	verbStarted  = "started"
	verbRefused  = "refused"
)

// inFlightGrace is the time after an endpoint's refusal in which requests may still arrive
// that the router sent before it received the refusal.
const inFlightGrace = 500 * time.Millisecond

// Executions holds the journals of all stand-ins.
type Executions struct {
	// ByIdentity counts executions by idempotency key, or by request id if there is none.
	ByIdentity map[string]int
	// Started holds the ids of the requests that an endpoint started.
	Started map[string]bool
	Entries []Entry
}

// Read reads the journals of all stand-ins of the fleet.
func Read(fleet *launcher.Fleet) (Executions, error) {
	executions := Executions{ByIdentity: make(map[string]int), Started: make(map[string]bool)}
	for _, standin := range fleet.Of(launcher.Standin) {
		text, err := os.ReadFile(fleet.JournalOf(standin))
		if err != nil {
			return executions, merry.Errorf("%w: %v", ErrInspect, err)
		}
		if err := executions.read(standin.Name, text); err != nil {
			return executions, err
		}
	}
	return executions, nil
}

// QueryExecutions queries all stand-ins for their execution counts by identity and adds
// them up. All of them must be running.
func QueryExecutions(ctx context.Context, fleet *launcher.Fleet) (map[string]int, error) {
	sums := make(map[string]int)
	for _, standin := range fleet.Of(launcher.Standin) {
		var response struct {
			Executions map[string]int `json:"executions"`
			Incomplete bool           `json:"incomplete"`
		}
		if err := get(ctx, standin.URL()+"/control/executions", "", &response); err != nil {
			return nil, err
		}
		if response.Incomplete {
			return nil, merry.Errorf("%w: %s counts only a part; shorten the load", ErrInspect, standin.Name)
		}
		for identity, n := range response.Executions {
			sums[identity] += n
		}
	}
	return sums, nil
}

// read adds the entries of a stand-in's journal.
func (e *Executions) read(standin string, text []byte) error {
	lines := bufio.NewScanner(bytes.NewReader(text))
	for lines.Scan() {
		var entry Entry
		if err := json.Unmarshal(lines.Bytes(), &entry); err != nil {
			return merry.Errorf("%w: the journal of %s is damaged: %v", ErrInspect, standin, err)
		}
		entry.Standin = standin
		e.add(entry)
	}
	return lines.Err()
}

// add adds one entry and counts it if it is the start of an execution.
func (e *Executions) add(entry Entry) {
	e.Entries = append(e.Entries, entry)
	if entry.Verb != verbStarted {
		return
	}
	e.Started[entry.Request] = true
	identity := entry.Key
	if identity == "" {
		identity = entry.Request
	}
	e.ByIdentity[identity]++
}

// Verdict counts the results of calls, and those that contradict the executions.
type Verdict struct {
	Requests    int `json:"requests"`
	Answered    int `json:"answered"`
	NotRun      int `json:"not_run"`
	Unknown     int `json:"unknown"`
	Cut         int `json:"cut"`           // visibly cut short
	Lost        int `json:"lost"`          // the connection failed before any answer
	Unsent      int `json:"unsent"`        // no router accepted a connection
	Invalid     int `json:"invalid"`       // refused because the request itself is invalid
	Wrong       int `json:"wrong"`         // ended cleanly, but is incomplete or belongs to another request
	Missing     int `json:"missing"`       // no final answer before the caller's timeout
	Double      int `json:"double"`        // not repeatable, but executed more than once
	FalseNotRun int `json:"false_not_run"` // refused as not run, but executed
	Phantom     int `json:"phantom"`       // answered, but not executed
}

// Judge compares the results that callers got with the executions. A request that may not
// be repeated and was executed more than once counts once, however many results it has.
func Judge(results []caller.Result, executions Executions) Verdict {
	verdict := Verdict{Requests: len(results)}
	counted := make(map[string]bool)
	for _, result := range results {
		verdict.count(result.Ending)
		if result.Ending == caller.NotRun && executions.Started[result.ID] {
			verdict.FalseNotRun++
		}
		if !result.Request.Once {
			continue
		}
		n := executions.ByIdentity[result.Request.Key]
		if result.Ending == caller.Answered && n == 0 {
			verdict.Phantom++
		}
		if n > 1 && !counted[result.Request.Key] {
			verdict.Double++
			counted[result.Request.Key] = true
		}
	}
	return verdict
}

// count counts a result under its ending.
func (v *Verdict) count(ending caller.Ending) {
	counters := map[caller.Ending]*int{
		caller.Answered: &v.Answered, caller.NotRun: &v.NotRun, caller.Unknown: &v.Unknown, caller.Cut: &v.Cut,
		caller.Lost: &v.Lost, caller.Unsent: &v.Unsent, caller.Invalid: &v.Invalid, caller.Wrong: &v.Wrong, caller.Missing: &v.Missing,
	}
	*counters[ending]++
}

// Violations returns the number of results that must not occur under any fault.
func (v Verdict) Violations() int {
	return v.Wrong + v.Missing + v.Double + v.FalseNotRun + v.Phantom
}

// InBackoff returns the number of backoffs that a stand-in asked for, and the largest number
// of requests that it received from one router within one of them. A refusal asks for a
// backoff of the given length. Requests that arrive within inFlightGrace do not count.
// Routers are distinguished by the prefix of the ids that they give to requests.
func (e Executions) InBackoff(standin string, length time.Duration) (backoffs, maxRequests int) {
	type backoff struct {
		started  time.Time
		requests int
	}
	current := make(map[string]*backoff) // by router
	for _, entry := range e.Entries {
		if entry.Standin != standin || entry.Verb != verbRefused && entry.Verb != verbReceived {
			continue
		}
		router, _, _ := strings.Cut(entry.Request, "-")
		last := current[router]
		if last != nil && entry.At.Sub(last.started) < length {
			if entry.At.Sub(last.started) > inFlightGrace {
				last.requests++
				maxRequests = max(maxRequests, last.requests)
			}
			continue
		}
		if entry.Verb == verbRefused {
			current[router] = &backoff{started: entry.At}
			backoffs++
		}
	}
	return backoffs, maxRequests
}

// LastReceived returns the number of requests that a stand-in received before a moment,
// and the time from that moment until the last request, zero if there was none after it.
func (e Executions) LastReceived(standin string, moment time.Time) (before int, after time.Duration) {
	for _, entry := range e.Entries {
		if entry.Standin != standin || entry.Verb != verbReceived {
			continue
		}
		if entry.At.Before(moment) {
			before++
			continue
		}
		after = max(after, entry.At.Sub(moment))
	}
	return before, after
}
