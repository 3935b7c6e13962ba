package balancer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against new requests that wait at an engine that has gone dark, each until its client leaves, and
// against a sound engine that is kept away because a client left.
func TestEngineThatSendsNothingIsPaused(t *testing.T) {
	others := func(id string) bool { return id != "i-1" }
	tests := map[string]struct {
		run    func(b *Balancer, slot *Slot) // until the client leaves
		work   *Work
		left   time.Duration // when the client leaves
		paused bool
	}{
		"nothing came":           {left: silenceLimit, paused: true},
		"the client leaves soon": {left: silenceLimit - time.Millisecond},
		"it prefills":            {run: func(_ *Balancer, slot *Slot) { slot.ExpectedWait = time.Second }, left: silenceLimit},
		"it answers":             {run: func(_ *Balancer, slot *Slot) { slot.NoteResponse(start.Add(time.Millisecond)) }, left: time.Minute},
		"it answers another": {run: func(b *Balancer, _ *Slot) {
			b.Pick(start, "engines", prompt(1, 3), others).NoteResponse(start.Add(time.Millisecond))
		}, left: 2 * time.Second},
		"a request without parts": {work: &Work{}, left: time.Minute},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := fleet(2)
			work := test.work
			if work == nil {
				work = prompt(1, 2)
			}
			slot := b.Pick(start, "engines", work, others)
			slot.ExpectedWait = 0
			if test.run != nil {
				test.run(b, slot)
			}
			now := start.Add(test.left)
			slot.End(now, Cancelled)
			require.Equal(t, test.paused, b.healthPenalty(now, b.byID["i-1"]) != penaltyNone)
			require.Zero(t, b.byID["i-1"].failureShare)
		})
	}
}

// Guards against an engine that goes on after a silence and still gets no requests.
func TestFirstDataEndsThePauseOfASilentEngine(t *testing.T) {
	b := fleet(2)
	others := func(id string) bool { return id != "i-1" }
	left, stays := b.Pick(start, "engines", prompt(1, 2), others), b.Pick(start, "engines", prompt(1, 3), others)
	left.ExpectedWait = 0
	now := start.Add(2 * time.Second)
	left.End(now, Cancelled)
	e := b.byID["i-1"]
	require.Equal(t, penaltyFailing, b.healthPenalty(now, e))
	stays.NoteResponse(now)
	require.Equal(t, penaltyNone, b.healthPenalty(now, e))
	require.Zero(t, e.consecutiveFailures)
}
