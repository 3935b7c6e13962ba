package balancer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"shallotkeel.example/lib/lister"
)

func deskListing(id string) lister.Listing {
	return lister.Listing{ID: id, Service: "desk", State: lister.Ready}
}

// Guards against a backoff that another event ends early, and against a backoff that never ends.
func TestBackoffLastsAsLongAsWasAsked(t *testing.T) {
	const backoff = 3 * time.Second
	tests := map[string]func(b *Balancer, first *Slot, now time.Time){
		"nothing": func(*Balancer, *Slot, time.Time) {},
		"an earlier request is answered": func(_ *Balancer, first *Slot, now time.Time) {
			first.End(now, Served)
		},
		"an earlier request fails": func(_ *Balancer, first *Slot, now time.Time) {
			first.End(now, ConnectionBroken)
		},
		"a shorter backoff is requested": func(_ *Balancer, first *Slot, now time.Time) {
			first.BackOff(now, backoff/10)
		},
		"a heartbeat arrives": func(b *Balancer, _ *Slot, _ time.Time) {
			b.Update(deskListing("a"))
		},
	}
	for name, happens := range tests {
		t.Run(name, func(t *testing.T) {
			b := &Balancer{}
			b.Update(deskListing("a"))
			first := b.Pick(start, "desk", &Work{}, nil)
			second := b.Pick(start, "desk", &Work{}, nil)
			require.True(t, second.BackOff(start, backoff))
			second.End(start, Full)
			happens(b, first, start.Add(backoff/4))
			for passed := time.Duration(0); passed < backoff; passed += backoff / 16 {
				require.Nil(t, b.Pick(start.Add(passed), "desk", &Work{}, nil), "after %s", passed)
				require.Equal(t, backoff-passed, b.BackoffRemaining(start.Add(passed), "desk", &Work{}))
				require.False(t, first.StillAccepts(start.Add(passed)))
			}
			require.NotNil(t, b.Pick(start.Add(backoff), "desk", &Work{}, nil))
			require.Zero(t, b.BackoffRemaining(start.Add(backoff), "desk", &Work{}))
		})
	}
}

// Guards against a burst of requests at the end of a backoff: a single request probes whether the
// endpoint accepts work again.
func TestOneRequestProbesAfterABackoff(t *testing.T) {
	b := &Balancer{}
	b.Update(deskListing("a"))
	b.Update(deskListing("b"))
	only := func(id string) func(string) bool { return func(other string) bool { return other != id } }
	refused := b.Pick(start, "desk", &Work{}, only("a"))
	refused.BackOff(start, time.Second)
	refused.End(start, Full)
	later := start.Add(time.Second)
	require.Equal(t, "a", b.Pick(later, "desk", &Work{}, only("a")).ID)
	for range 10 {
		require.Equal(t, "b", b.Pick(later, "desk", &Work{}, nil).ID)
	}
}

func TestBackoffEndsWithARestart(t *testing.T) {
	b := &Balancer{}
	b.Update(deskListing("a"))
	b.Pick(start, "desk", &Work{}, nil).BackOff(start, time.Hour)
	again := deskListing("a")
	again.Started = start.Add(time.Second)
	require.True(t, b.Update(again))
	require.NotNil(t, b.Pick(start.Add(time.Second), "desk", &Work{}, nil))
	require.Zero(t, b.CountBackedOff(start.Add(time.Second)))
}

// Guards against an endpoint that stays idle after its pause or backoff until the long answer to
// its probe is complete.
func TestProbeEndsWithTheFirstPartOfItsAnswer(t *testing.T) {
	tests := map[string]func(s *Slot){
		"after a pause":   func(s *Slot) { s.End(start, Full) },
		"after a backoff": func(s *Slot) { s.BackOff(start, time.Second); s.End(start, Full) },
	}
	for name, refused := range tests {
		t.Run(name, func(t *testing.T) {
			b := &Balancer{}
			b.Update(deskListing("a"))
			refused(b.Pick(start, "desk", &Work{}, nil))
			b.Update(deskListing("b"))
			later := start.Add(time.Second)
			picked := map[string]int{}
			for range 4 {
				slot := b.Pick(later, "desk", &Work{}, nil)
				picked[slot.ID]++
				if slot.ID == "a" {
					slot.NoteResponse(later)
				}
			}
			require.Equal(t, map[string]int{"a": 2, "b": 2}, picked)
		})
	}
}

// Guards against sequences of events after which an endpoint receives a request during the backoff
// that it asked for, or after it announced that it leaves.
func TestNoOrderOfEventsEndsABackoff(t *testing.T) {
	ids := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		b, now := &Balancer{}, start
		started := map[string]time.Time{}
		blockedUntil := map[string]time.Time{} // the time before which each endpoint must not be picked
		var slots []*Slot
		update := func(id string) {
			listing := deskListing(id)
			listing.Started = started[id]
			listing.Silent = rapid.Bool().Draw(t, "silent")
			b.Update(listing)
		}
		for _, id := range ids {
			update(id)
		}
		drawn := func() *Slot { return slots[rapid.IntRange(0, len(slots)-1).Draw(t, "slot")] }
		for range rapid.IntRange(1, 80).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "pause")) * time.Millisecond)
			slot := b.Pick(now, "desk", &Work{}, nil)
			if slot != nil {
				require.False(t, now.Before(blockedUntil[slot.ID]), "%s at %s", slot.ID, now)
				slots = append(slots, slot)
			}
			event := rapid.IntRange(0, 5).Draw(t, "event")
			if len(slots) == 0 || event == 0 {
				update(rapid.SampledFrom(ids).Draw(t, "id"))
				continue
			}
			s := drawn()
			current := s.endpoint == b.byID[s.ID]
			switch event {
			case 1:
				length := time.Duration(rapid.IntRange(1, 4000).Draw(t, "length")) * time.Millisecond
				s.BackOff(now, length)
				if until := now.Add(length); current && until.After(blockedUntil[s.ID]) {
					blockedUntil[s.ID] = until
				}
			case 2:
				s.MarkLeaving()
				if current {
					blockedUntil[s.ID] = now.Add(time.Hour)
				}
			case 3:
				s.NoteResponse(now)
			case 4:
				s.End(now, Outcome(rapid.IntRange(int(Served), int(Cancelled)).Draw(t, "outcome")))
			case 5:
				started[s.ID] = now
				delete(blockedUntil, s.ID)
				update(s.ID)
			}
		}
	})
}
