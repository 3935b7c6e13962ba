// Package performer implements a fake plain service: it executes calls of any
// method and path, some of which may not be repeated, and counts each execution.
//
// Invariants: an execution is in the journal before the first byte of its answer;
// calls beyond the slots wait in order of arrival; a refused call was not
// executed, and the answer says so; a started call runs to its end even if the
// caller disconnects, as a booking does.
package performer

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"shallotkeel.example/lib/answerer"
	"shallotkeel.example/standin/internal/failer"
	"shallotkeel.example/standin/internal/journaler"
)

// MaxBodyBytes bounds the body of a call.
const MaxBodyBytes = 16 << 20

// hangPollInterval is the pause between two checks of a hung call whether the
// fault was cleared.
const hangPollInterval = 20 * time.Millisecond

// Performer executes plain calls, as many at a time as it has slots.
type Performer struct {
	Clock   clockwork.Clock
	Failer  *failer.Failer
	Journal *journaler.Journaler
	Busy    time.Duration // duration of a call without faults
	slots   chan struct{}
	load    atomic.Int64
}

// New returns a performer with that many slots, whose calls take busy.
func New(clock clockwork.Clock, faults *failer.Failer, journal *journaler.Journaler, slots int, busy time.Duration) *Performer {
	return &Performer{Clock: clock, Failer: faults, Journal: journal, Busy: busy, slots: make(chan struct{}, slots)}
}

// Load returns the number of calls that run or wait.
func (p *Performer) Load() int { return int(p.load.Load()) }

// ServeHTTP executes or refuses a call.
func (p *Performer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	if err != nil {
		return // the router disconnected while sending
	}
	entry := journaler.Entry{
		Request: r.Header.Get("X-Request-Id"), Key: r.Header.Get("Idempotency-Key"), Workspace: r.Header.Get("X-Workspace"),
	}
	w.Header().Set("X-Request-Id", entry.Request)
	if p.Failer.Faults().Refuse {
		p.refuse(w, entry)
		return
	}
	p.load.Add(1)
	defer p.load.Add(-1)
	select {
	case p.slots <- struct{}{}:
		defer func() { <-p.slots }()
	case <-r.Context().Done():
		p.refuse(w, entry)
		return
	}
	p.execute(w, r, text, entry)
}

func (p *Performer) refuse(w http.ResponseWriter, entry journaler.Entry) {
	entry.Verb = journaler.Refused
	p.Journal.Add(entry)
	w.Header().Set("X-Started", "no")
	p.Failer.Faults().SetRetryAfter(w.Header())
	http.Error(w, "come back later; this endpoint did not start the call", http.StatusServiceUnavailable)
}

func (p *Performer) execute(w http.ResponseWriter, r *http.Request, text []byte, entry journaler.Entry) {
	entry.Verb = journaler.Started
	p.Journal.Add(entry)
	if p.Failer.Crashes(text) {
		p.Failer.Exit()
		return
	}
	p.simulateWork(r.Context())
	entry.Verb, entry.Units = journaler.Finished, int(p.Busy.Milliseconds())
	p.Journal.Add(entry)
	p.Journal.CountUnits(entry.Workspace, entry.Units)
	if p.Failer.Faults().Mute {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = io.WriteString(w, answerer.Plain(r.Method, r.URL.RequestURI(), text))
}

// simulateWork blocks for the duration of a call. Only a hung call ends early
// when its caller disconnects, so that it does not hold its slot forever.
func (p *Performer) simulateWork(ctx context.Context) {
	slow := max(1, p.Failer.Faults().Slow)
	p.Clock.Sleep(time.Duration(float64(p.Busy) * slow))
	for p.Failer.Faults().Hang && ctx.Err() == nil {
		p.Clock.Sleep(hangPollInterval)
	}
}
