package server

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

// Symptom: at the start of a large fleet a keeper answers nobody for seconds. Sequence:
// thousands of endpoints announce themselves within a second. Cause: each of them was told
// by itself to each of hundreds of followers.
func TestNewsOfManyChangesIsGathered(t *testing.T) {
	const changes, step = 1000, time.Millisecond
	tests := map[string]struct {
		readers int
		urgent  bool
		most    int // wake-ups
	}{
		"a small fleet hears of each":     {10, false, changes},
		"a large one some times":          {80, false, 3},
		"one of hundreds seldom":          {220, false, 1},
		"a larger one seldom":             {2000, false, 1},
		"and of endpoints that leave":     {220, true, 4},
		"a larger one as often as that":   {2000, true, 3},
		"nobody waits for longer than it": {20_000, true, 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			b := &bulletin{clock: clock, readers: func() int { return test.readers }}
			woken, woke := 0, b.next()
			see := func() {
				select {
				case <-woke:
					woken, woke = woken+1, b.next()
				default:
				}
			}
			for range changes {
				b.wake(test.urgent)
				see()
				require.Positive(t, woken, "the first change is told at once")
				clock.Advance(step)
				require.Eventually(t, func() bool {
					b.mutex.Lock()
					defer b.mutex.Unlock()
					return b.gathering.IsZero() || clock.Now().Before(b.gathering)
				}, patience, 10*time.Microsecond)
				see()
			}
			require.LessOrEqual(t, woken, test.most)
			require.GreaterOrEqual(t, woken, test.most-1, "and nobody waits longer than the pause")
			clock.Advance(calmPause)
			require.Eventually(t, func() bool { see(); b.mutex.Lock(); defer b.mutex.Unlock(); return b.gathering.IsZero() }, patience, time.Millisecond, "the last change is told")
		})
	}
}

// Guards against an endpoint that leaves and is told of only with the next calm news.
func TestUrgentNewsGoesFirst(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := &bulletin{clock: clock, readers: func() int { return 2000 }}
	b.wake(false)
	calm := b.next()
	b.wake(false)
	b.wake(true)
	clock.Advance(mostPause)
	select {
	case <-calm:
	case <-t.Context().Done():
	}
	woke := b.next()
	clock.Advance(calmPause)
	b.tell()
	select {
	case <-woke:
		require.Fail(t, "what was gathered has been told")
	default:
	}
	b.wake(false)
	<-woke
}
