// Package inspector finds out what a fleet really did: what stand-ins
// executed, what service each workspace received, and what the processes'
// metrics say; and holds it against what callers were told.
//
// Invariants: executions are read from the journals, which outlive a killed
// stand-in; a journal that cannot be read or is incomplete is an error, never
// a zero.
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

// ErrInspect is the kind of every error about an inspection.
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

// The verbs that are looked at.
const (
	verbReceived = "received"
	verbStarted  = "started"
	verbRefused  = "refused"
)

// onTheWay is how long after an endpoint's answer requests may still arrive that were sent
// before its router had the answer.
const onTheWay = 500 * time.Millisecond

// Executions is what all stand-ins executed.
type Executions struct {
	// ByIdentity counts by idempotency key, or by request id where there was none.
	ByIdentity map[string]int
	// Started holds the request ids that an endpoint started.
	Started map[string]bool
	Entries []Entry
}

// Read reads the journals of every stand-in of the fleet.
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

// Ask asks every stand-in, all of which must run, what it executed.
func Ask(ctx context.Context, fleet *launcher.Fleet) (map[string]int, error) {
	sums := make(map[string]int)
	for _, standin := range fleet.Of(launcher.Standin) {
		var told struct {
			Executions map[string]int `json:"executions"`
			Incomplete bool           `json:"incomplete"`
		}
		if err := get(ctx, standin.URL()+"/control/executions", "", &told); err != nil {
			return nil, err
		}
		if told.Incomplete {
			return nil, merry.Errorf("%w: %s counts only a part; shorten the load", ErrInspect, standin.Name)
		}
		for identity, n := range told.Executions {
			sums[identity] += n
		}
	}
	return sums, nil
}

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

// Verdict counts what callers were told and what of it was not true.
type Verdict struct {
	Requests    int `json:"requests"`
	Answered    int `json:"answered"`
	NotRun      int `json:"not_run"`
	Unknown     int `json:"unknown"`
	Cut         int `json:"cut"`     // visibly cut short
	Lost        int `json:"lost"`    // the connection failed before an answer
	Unsent      int `json:"unsent"`  // no router took a connection
	Invalid     int `json:"invalid"` // refused for what the request is
	Wrong       int `json:"wrong"`   // ended cleanly and is not whole or not the request's own
	Missing     int `json:"missing"`
	Double      int `json:"double"`        // not repeatable, and executed more than once
	FalseNotRun int `json:"false_not_run"` // refused as not run, and executed
	Phantom     int `json:"phantom"`       // answered, and not executed
}

// Judge holds what callers were told against what was executed.
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

func (v *Verdict) count(ending caller.Ending) {
	counters := map[caller.Ending]*int{
		caller.Answered: &v.Answered, caller.NotRun: &v.NotRun, caller.Unknown: &v.Unknown, caller.Cut: &v.Cut,
		caller.Lost: &v.Lost, caller.Unsent: &v.Unsent, caller.Invalid: &v.Invalid, caller.Wrong: &v.Wrong, caller.Missing: &v.Missing,
	}
	*counters[ending]++
}

// Broken counts what must never happen, whatever fails.
func (v Verdict) Broken() int {
	return v.Wrong + v.Missing + v.Double + v.FalseNotRun + v.Phantom
}

// InBackoff returns the most requests that a stand-in got from one router within a backoff of that
// length, which each refusal asks for, less those that were on their way. Routers are told
// apart by the ids that they give to requests.
func (e Executions) InBackoff(standin string, length time.Duration) (backoffs, most int) {
	type span struct {
		begun time.Time
		got   int
	}
	open := make(map[string]*span)
	for _, entry := range e.Entries {
		if entry.Standin != standin || entry.Verb != verbRefused && entry.Verb != verbReceived {
			continue
		}
		router, _, _ := strings.Cut(entry.Request, "-")
		known := open[router]
		if known != nil && entry.At.Sub(known.begun) < length {
			if entry.At.Sub(known.begun) > onTheWay {
				known.got++
				most = max(most, known.got)
			}
			continue
		}
		if entry.Verb == verbRefused {
			open[router] = &span{begun: entry.At}
			backoffs++
		}
	}
	return backoffs, most
}

// LastWork returns how many requests a stand-in received before a moment, and
// how long after it the last one came.
func (e Executions) LastWork(standin string, moment time.Time) (before int, after time.Duration) {
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
