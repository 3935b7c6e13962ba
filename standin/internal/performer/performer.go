// Package performer is a plain service: it runs calls of any method and path,
// some of which may not be repeated, and counts each execution.
//
// Invariants: an execution is in the journal before the answer's first byte;
// calls beyond the slots wait in the order in which they arrived; a call that
// is refused was not executed, and the answer says so; a call that was
// started runs to its end also when the caller goes away, as bookings do.
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

// MaxBody bounds a call's body.
const MaxBody = 16 << 20

// hangCheck is how often a hung call looks whether the fault is over.
const hangCheck = 20 * time.Millisecond

// Performer runs calls.
type Performer struct {
	Clock   clockwork.Clock
	Failer  *failer.Failer
	Journal *journaler.Journaler
	Busy    time.Duration // how long a call takes
	slots   chan struct{}
	load    atomic.Int64
}

// New returns a performer with that many slots.
func New(clock clockwork.Clock, faults *failer.Failer, journal *journaler.Journaler, slots int, busy time.Duration) *Performer {
	return &Performer{Clock: clock, Failer: faults, Journal: journal, Busy: busy, slots: make(chan struct{}, slots)}
}

// Load returns how many calls run or wait.
func (p *Performer) Load() int { return int(p.load.Load()) }

// ServeHTTP runs a call.
func (p *Performer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBody))
	if err != nil {
		return // the router went away while sending
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
	p.perform(w, r, text, entry)
}

func (p *Performer) refuse(w http.ResponseWriter, entry journaler.Entry) {
	entry.Verb = journaler.Refused
	p.Journal.Add(entry)
	w.Header().Set("X-Started", "no")
	p.Failer.Faults().AskForBackoff(w.Header())
	http.Error(w, "come back later; this endpoint did not start the call", http.StatusServiceUnavailable)
}

func (p *Performer) perform(w http.ResponseWriter, r *http.Request, text []byte, entry journaler.Entry) {
	entry.Verb = journaler.Started
	p.Journal.Add(entry)
	if p.Failer.Crashes(text) {
		p.Failer.Exit()
		return
	}
	p.work(r.Context())
	entry.Verb, entry.Units = journaler.Finished, int(p.Busy.Milliseconds())
	p.Journal.Add(entry)
	p.Journal.Serve(entry.Workspace, entry.Units)
	if p.Failer.Faults().Mute {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = io.WriteString(w, answerer.Plain(r.Method, r.URL.RequestURI(), text))
}

// work takes the call's time. Only a hung call ends early when its caller
// goes away, so that it does not hold a slot for ever.
func (p *Performer) work(ctx context.Context) {
	slow := max(1, p.Failer.Faults().Slow)
	p.Clock.Sleep(time.Duration(float64(p.Busy) * slow))
	for p.Failer.Faults().Hang && ctx.Err() == nil {
		p.Clock.Sleep(hangCheck)
	}
}
