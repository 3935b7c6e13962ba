package balancer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	pausingEngines = 6
	pausingID      = "i-1"
	pauseBegins    = 6 * time.Second
	dialTimeout    = 200 * time.Millisecond
	firstTokenTime = 40 * time.Millisecond // until the first token, without prefill
	tokenPrefill   = 15 * time.Microsecond
	eventGap       = 50 * time.Millisecond // time between two events of a stream
	meanStream     = 4 * time.Second
)

// pausingFleet simulates the engines of one service of which one pauses and goes on. Each request
// needs a new connection, and dials during the pause time out.
type pausingFleet struct {
	random   *rand.Rand
	schedule schedule
	balancer *Balancer
	length   time.Duration // of the pause
	arrival  time.Duration // mean time between two requests
	after    map[string]int
}

func newPausingFleet(seed uint64) *pausingFleet {
	random := rand.New(rand.NewPCG(seed, 0))
	return &pausingFleet{
		random: random, balancer: fleet(pausingEngines), after: make(map[string]int),
		length:  300*time.Millisecond + time.Duration(random.IntN(2700))*time.Millisecond,
		arrival: time.Duration(10+random.IntN(40)) * time.Millisecond,
	}
}

func (f *pausingFleet) from() time.Time { return start.Add(pauseBegins) }
func (f *pausingFleet) to() time.Time   { return f.from().Add(f.length) }

func (f *pausingFleet) scheduleAt(at time.Time, action func(now time.Time)) {
	heap.Push(&f.schedule, event{at, action})
}

func (f *pausingFleet) run(until time.Time) {
	f.scheduleAt(start, f.arrive)
	f.scheduleAt(start, func(now time.Time) { // a stream that lasts beyond the pause
		slot := f.balancer.Pick(now, "engines", &Work{}, func(id string) bool { return id != pausingID })
		f.stream(now, slot, until.Sub(now))
	})
	for {
		next := heap.Pop(&f.schedule).(event)
		if next.at.After(until) {
			return
		}
		next.action(next.at)
	}
}

func (f *pausingFleet) arrive(now time.Time) {
	f.scheduleAt(now.Add(time.Duration(f.random.ExpFloat64()*float64(f.arrival))), f.arrive)
	f.send(now, make(map[string]bool))
}

// send sends a request to endpoints that were not tried, until one can be connected.
func (f *pausingFleet) send(now time.Time, tried map[string]bool) {
	work := prompt(f.random.Uint64N(12), f.random.Uint64())
	slot := f.balancer.Pick(now, "engines", work, func(id string) bool { return tried[id] })
	if slot == nil {
		return
	}
	tried[slot.ID] = true
	if !now.Before(f.to()) {
		f.after[slot.ID]++
	}
	if slot.ID == pausingID && !now.Before(f.from()) && now.Before(f.to()) {
		f.scheduleAt(now.Add(dialTimeout), func(now time.Time) {
			slot.End(now, ConnectFailed)
			f.send(now, tried)
		})
		return
	}
	f.stream(now, slot, time.Duration(f.random.ExpFloat64()*float64(meanStream)))
}

// stream schedules the events of a stream of the given length, and its end.
func (f *pausingFleet) stream(now time.Time, slot *Slot, length time.Duration) {
	first := firstTokenTime + time.Duration(slot.PrefillTokens)*tokenPrefill
	end := now.Add(first + length)
	for at := now.Add(first); at.Before(end); at = at.Add(eventGap) {
		f.scheduleAt(f.delayed(slot.ID, now, at), slot.NoteResponse)
	}
	f.scheduleAt(f.delayed(slot.ID, now, end), func(now time.Time) { slot.End(now, Served) })
}

// delayed returns when a request that was sent at a time gets what is due later: after the length of
// the pause in addition, if the request was under way when the pause began.
func (f *pausingFleet) delayed(id string, sent, due time.Time) time.Time {
	if id == pausingID && sent.Before(f.from()) && !due.Before(f.from()) {
		return due.Add(f.length)
	}
	return due
}

// Guards against an endpoint that was silent for a while and goes on, but gets no new requests for
// seconds, because the dials that failed in the meantime have doubled its pause.
func TestPauseEndsWithSilence(t *testing.T) {
	const (
		// A dial that began in the silence may fail, and so pause the endpoint again, until its timeout.
		longest = dialTimeout + 2*eventGap
		second  = time.Second
	)
	own, sum := 0, 0
	for seed := range uint64(60) {
		f := newPausingFleet(seed)
		t.Run(fmt.Sprintf("%d: %v, a request each %v", seed, f.length, f.arrival), func(t *testing.T) {
			f.scheduleAt(f.to().Add(longest), func(now time.Time) {
				e := f.balancer.byID[pausingID]
				require.False(t, now.Before(e.pausedUntil), "it is paused for another %v", e.pausedUntil.Sub(now))
			})
			f.run(f.to().Add(second))
		})
		for id, count := range f.after {
			sum += count
			if id == pausingID {
				own += count
			}
		}
	}
	require.GreaterOrEqual(t, 2*pausingEngines*own, sum, "half of its usual part, within a second")
}

// Guards against requests that each wait for a dial that times out, at an endpoint that accepts no new
// connections but goes on with its streams, however far apart their events are.
func TestDataOfOldConnectionsEndsNoPause(t *testing.T) {
	const (
		step = 5 * time.Millisecond
		// Pauses of 0.15 to 4 s follow one another; the first may be ended by data.
		mostProbes = 7
	)
	for _, gap := range []time.Duration{10 * time.Millisecond, eventGap, 2 * eventGap, 160 * time.Millisecond, 400 * time.Millisecond} {
		t.Run(fmt.Sprint("an event each ", gap), func(t *testing.T) {
			b := fleet(2)
			stream := b.Pick(start, "engines", &Work{}, func(id string) bool { return id != pausingID })
			for range 500 { // so that the other endpoint is chosen only if this one is paused
				b.Pick(start, "engines", &Work{}, func(id string) bool { return id == pausingID })
			}
			probes := 0
			failures := make(map[time.Time][]*Slot)
			for after := time.Duration(0); after < 10*time.Second; after += step {
				now := start.Add(after)
				if after%gap == 0 {
					stream.NoteResponse(now)
				}
				for _, failing := range failures[now] {
					failing.End(now, ConnectFailed)
				}
				slot := b.Pick(now, "engines", &Work{}, nil)
				if slot.ID != pausingID {
					slot.End(now, Cancelled)
					continue
				}
				if after > dialTimeout {
					probes++
				}
				failures[now.Add(dialTimeout)] = append(failures[now.Add(dialTimeout)], slot)
			}
			require.LessOrEqual(t, probes, mostProbes)
			require.NotZero(t, probes)
		})
	}
}
