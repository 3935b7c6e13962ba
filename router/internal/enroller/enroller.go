// Package enroller obtains slots for the relayer from the schedulers of the pools. It
// adapts the coordinator, whose enlisters speak the protocol with the schedulers, to
// the relayer's interfaces Enroller and Slot.
//
// Invariants: a request that is withdrawn while its grant arrives returns the slot;
// a slot is returned once; progress reaches the control goroutine at most once per
// progressInterval, however many tokens stream.
package enroller

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"

	"shallotkeel.example/lib/enlister"
	"shallotkeel.example/lib/scheduler"
	"shallotkeel.example/router/internal/coordinator"
	"shallotkeel.example/router/internal/relayer"
)

// ErrStopped is the kind of the error after the control goroutine has ended.
var ErrStopped = merry.Sentinel("this router has stopped")

// progressInterval is the minimum time between two progress reports of a slot. The
// scheduler gets about one a second; a call per token would cost more than the
// token.
const progressInterval = 200 * time.Millisecond

// Enroller implements relayer.Enroller.
type Enroller struct {
	Coordinator *coordinator.Coordinator
	Clock       clockwork.Clock
}

// Enrol waits for a slot until the context ends.
func (e *Enroller) Enrol(ctx context.Context, waiting relayer.WaitingRequest) (relayer.Slot, error) {
	waiter := e.Coordinator.Enrol(ctx, waiting.Service, scheduler.Ticket{
		Workspace: waiting.Workspace, Model: waiting.Model, Hint: waiting.Hint, Prompt: waiting.Prompt,
		Prefix: waiting.Prefix, Waited: waiting.Waited, Avoid: waiting.Avoid, Alone: waiting.Alone,
	})
	if waiter == nil {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		return nil, merry.Errorf("%w; send the request to another router", ErrStopped)
	}
	select {
	case outcome := <-waiter.Outcome:
		return e.answer(waiter, outcome)
	case <-ctx.Done():
		// If the grant is in flight, this returns its slot unused.
		waiter.Finish(scheduler.Finish{Ending: scheduler.Cancelled})
		return nil, ctx.Err()
	}
}

func (e *Enroller) answer(waiter *coordinator.Waiter, outcome enlister.Outcome) (relayer.Slot, error) {
	switch o := outcome.(type) {
	case enlister.Granted:
		return &slot{waiter: waiter, granted: o, clock: e.Clock}, nil
	case enlister.Refused:
		return nil, &relayer.Refused{Code: o.Reason, Retry: o.Retry}
	default:
		return nil, merry.Errorf("%w; send the request to another router", ErrStopped)
	}
}

// slot implements relayer.Slot.
type slot struct {
	waiter         *coordinator.Waiter
	granted        enlister.Granted
	clock          clockwork.Clock
	progressSentAt time.Time
	once           sync.Once
}

// Endpoint returns the ID of the endpoint to send the request to.
func (s *slot) Endpoint() string { return s.granted.Endpoint }

// Incarnation returns the endpoint's incarnation.
func (s *slot) Incarnation() uint64 { return s.granted.Incarnation }

// Address returns the address at which the endpoint listens.
func (s *slot) Address() netip.AddrPort { return s.granted.Address }

// Progress reports the total units used so far, at most once per progressInterval.
func (s *slot) Progress(charged uint32) {
	now := s.clock.Now()
	if now.Sub(s.progressSentAt) < progressInterval {
		return
	}
	s.progressSentAt = now
	s.waiter.Progress(charged)
}

// Finish returns the slot. Further calls have no effect.
func (s *slot) Finish(finish scheduler.Finish) {
	s.once.Do(func() { s.waiter.Finish(finish) })
}
