package balancer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"shallotkeel.example/lib/lister"
)

func desk(id string) lister.Listing {
	return lister.Listing{ID: id, Service: "desk", State: lister.Ready}
}

// Guards against a backoff that something else ends, and against one that never does.
func TestBackoffLastsAsLongAsWasAsked(t *testing.T) {
	const backoff = 3 * time.Second
	tests := map[string]func(b *Balancer, first *Slot, now time.Time){
		"nothing": func(*Balancer, *Slot, time.Time) {},
		"an answer of before is whole": func(_ *Balancer, first *Slot, now time.Time) {
			first.End(now, Served)
		},
		"an answer of before fails": func(_ *Balancer, first *Slot, now time.Time) {
			first.End(now, Broken)
		},
		"a shorter backoff is asked for": func(_ *Balancer, first *Slot, now time.Time) {
			first.BackOff(now, backoff/10)
		},
		"a heartbeat comes": func(b *Balancer, _ *Slot, _ time.Time) {
			b.Update(desk("a"))
		},
	}
	for name, happens := range tests {
		t.Run(name, func(t *testing.T) {
			b := &Balancer{}
			b.Update(desk("a"))
			first := b.Pick(start, "desk", &Work{}, nil)
			second := b.Pick(start, "desk", &Work{}, nil)
			require.True(t, second.BackOff(start, backoff))
			second.End(start, Full)
			happens(b, first, start.Add(backoff/4))
			for passed := time.Duration(0); passed < backoff; passed += backoff / 16 {
				require.Nil(t, b.Pick(start.Add(passed), "desk", &Work{}, nil), "after %s", passed)
				require.Equal(t, backoff-passed, b.BackoffLeft(start.Add(passed), "desk", &Work{}))
				require.False(t, first.Open(start.Add(passed)))
			}
			require.NotNil(t, b.Pick(start.Add(backoff), "desk", &Work{}, nil))
			require.Zero(t, b.BackoffLeft(start.Add(backoff), "desk", &Work{}))
		})
	}
}

// Guards against a crowd at the end of a backoff: one request finds out whether it is over.
func TestOneRequestFindsOutWhetherABackoffIsOver(t *testing.T) {
	b := &Balancer{}
	b.Update(desk("a"))
	b.Update(desk("b"))
	only := func(id string) func(string) bool { return func(other string) bool { return other != id } }
	asked := b.Pick(start, "desk", &Work{}, only("a"))
	asked.BackOff(start, time.Second)
	asked.End(start, Full)
	later := start.Add(time.Second)
	require.Equal(t, "a", b.Pick(later, "desk", &Work{}, only("a")).ID)
	for range 10 {
		require.Equal(t, "b", b.Pick(later, "desk", &Work{}, nil).ID)
	}
}

func TestBackoffIsOfOneLife(t *testing.T) {
	b := &Balancer{}
	b.Update(desk("a"))
	b.Pick(start, "desk", &Work{}, nil).BackOff(start, time.Hour)
	again := desk("a")
	again.Started = start.Add(time.Second)
	require.True(t, b.Update(again))
	require.NotNil(t, b.Pick(start.Add(time.Second), "desk", &Work{}, nil))
	require.Zero(t, b.BackedOff(start.Add(time.Second)))
}

// Guards against an endpoint that is idle after its pause or backoff until a long answer ends.
func TestProbeIsOverWithTheFirstPartOfItsAnswer(t *testing.T) {
	tests := map[string]func(s *Slot){
		"after a pause":   func(s *Slot) { s.End(start, Full) },
		"after a backoff": func(s *Slot) { s.BackOff(start, time.Second); s.End(start, Full) },
	}
	for name, refused := range tests {
		t.Run(name, func(t *testing.T) {
			b := &Balancer{}
			b.Update(desk("a"))
			refused(b.Pick(start, "desk", &Work{}, nil))
			b.Update(desk("b"))
			later := start.Add(time.Second)
			picked := map[string]int{}
			for range 4 {
				slot := b.Pick(later, "desk", &Work{}, nil)
				picked[slot.ID]++
				if slot.ID == "a" {
					slot.Heard(later)
				}
			}
			require.Equal(t, map[string]int{"a": 2, "b": 2}, picked)
		})
	}
}

// Guards against any order of events after which an endpoint gets a request within the backoff
// that it has asked for, or after it has said that it leaves.
func TestNoOrderOfEventsEndsABackoff(t *testing.T) {
	ids := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		b, now := &Balancer{}, start
		started := map[string]time.Time{}
		closed := map[string]time.Time{} // until when each takes nothing
		var slots []*Slot
		update := func(id string) {
			listing := desk(id)
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
				require.False(t, now.Before(closed[slot.ID]), "%s at %s", slot.ID, now)
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
				if until := now.Add(length); current && until.After(closed[s.ID]) {
					closed[s.ID] = until
				}
			case 2:
				s.Leave()
				if current {
					closed[s.ID] = now.Add(time.Hour)
				}
			case 3:
				s.Heard(now)
			case 4:
				s.End(now, Outcome(rapid.IntRange(int(Served), int(Withdrawn)).Draw(t, "outcome")))
			case 5:
				started[s.ID] = now
				delete(closed, s.ID)
				update(s.ID)
			}
		}
	})
}
