package enlister

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/scheduler"
)

// steps are the moves that a random walk is made of. With faults the ends
// restart and the scheduler forgets routers that live.
func steps(w *world, faults bool) map[string]func(*rapid.T) {
	host := func(t *rapid.T) *host { return w.hosts[rapid.SampledFrom(w.names()).Draw(t, "router")] }
	moves := map[string]func(*rapid.T){
		"add": func(t *rapid.T) { w.add(rapid.SampledFrom(w.names()).Draw(t, "router")) },
		"withdraw": func(t *rapid.T) {
			h := host(t)
			if seq, some := pickSeq(t, h.waiting); some {
				h.finish(seq, scheduler.Cancelled)
			}
		},
		"finish": func(t *rapid.T) {
			h := host(t)
			if seq, some := pickSeq(t, h.running); some {
				h.finish(seq, scheduler.Done)
			}
		},
		"progress": func(t *rapid.T) {
			h := host(t)
			if seq, some := pickSeq(t, h.running); some {
				h.enlister.Progress(seq, rapid.Uint32Range(1, 9).Draw(t, "units"))
			}
		},
		"pass": func(t *rapid.T) {
			w.now = w.now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond)
			w.desk.Apply(w.now, scheduler.Tick{})
		},
		"expire": func(*rapid.T) { w.expire() },
		"arrive": func(t *rapid.T) { move(t, w, func(f flight) { w.arrive(f, true) }) },
		"lose":   func(t *rapid.T) { move(t, w, w.lose) },
		"lose answer": func(t *rapid.T) {
			move(t, w, func(f flight) { w.arrive(f, false) })
		},
		"repeat": func(t *rapid.T) {
			move(t, w, func(f flight) {
				w.flights = append(w.flights, f) // and once more, later
				w.arrive(f, true)
			})
		},
		"time out": func(t *rapid.T) {
			move(t, w, func(f flight) {
				w.lose(f)
				w.flights = append(w.flights, f) // it arrives after its caller gave up
			})
		},
	}
	if faults {
		moves["router restarts"] = func(t *rapid.T) { w.restartHost(rapid.SampledFrom(w.names()).Draw(t, "router")) }
		moves["scheduler restarts"] = func(*rapid.T) { w.restartDesk() }
		moves["router is wrongly held for dead"] = func(t *rapid.T) {
			w.desk.Gone(w.now, host(t).enlister.Router)
			w.forgave = true
		}
		moves["scheduler changes"] = func(*rapid.T) {
			w.restartDesk()
			for _, h := range w.hosts {
				h.enlister.Restart(w.now)
			}
		}
	}
	return moves
}

func move(t *rapid.T, w *world, how func(flight)) {
	if f, some := w.pick(t); some {
		how(f)
	}
}

func walk(faults bool) func(*rapid.T) {
	return func(t *rapid.T) {
		w := newWorld(2)
		moves := steps(w, faults)
		moves[""] = func(t *rapid.T) {
			if !w.forgave {
				require.LessOrEqual(t, w.running(), worldSlots, "a slot is used twice")
			}
			for _, h := range w.hosts {
				require.Equal(t, len(h.waiting), h.enlister.Waiting())
				require.Equal(t, len(h.running), h.enlister.Running())
				for seq, times := range h.granted {
					require.LessOrEqual(t, times, 1, "request %d was granted twice", seq)
				}
			}
		}
		t.Repeat(moves)
		w.settle(150 + 2*w.waiting())
		require.Zero(t, w.waiting(), "a waiting request was lost")
		require.Zero(t, w.running())
		w.settle(120)
		stats := w.desk.Pool.Stats(w.now)
		require.Zero(t, stats.Waiting, "the scheduler holds tickets of nobody")
		require.Zero(t, stats.Running, "the scheduler holds slots for nobody")
	}
}

// Symptom: a request waits for ever, or runs twice, or a slot is lost.
// Sequence: any calls lost, repeated, late and out of order.
// Cause: an end that believes a call arrived which did not, or the other way round.
func TestCallsInAnyOrder(t *testing.T) {
	rapid.Check(t, walk(false))
}

// Symptom: as above, after a crash, a takeover, or a router wrongly held for dead.
// Sequence: any of these between any calls.
// Cause: one end trusts what the other knew in its former life.
func TestRestartsInAnyOrder(t *testing.T) {
	rapid.Check(t, walk(true))
}

// enrolled returns a router with one waiting request that the scheduler knows.
func enrolled(t *testing.T, requests int) (*world, *host) {
	w := newWorld(2)
	h := w.hosts["r0"]
	for range requests {
		w.add("r0")
	}
	w.send()
	require.Len(t, w.flights, 1)
	f := w.flights[0]
	w.flights = nil
	w.arrive(f, true)
	return w, h
}

// Symptom: a request runs although another scheduler has given its slot away.
// Sequence: a scheduler freezes with a grant on its way, the router enrols with
// its successor, the old scheduler goes on.
// Cause: a grant that is taken whoever it comes from.
func TestGrantsOfAFormerSchedulerAreIgnored(t *testing.T) {
	w, h := enrolled(t, worldSlots+1)
	require.Len(t, h.running, worldSlots)
	frozen := w.desk
	seq := slices.Min(slices.Collect(maps.Keys(h.running)))
	frozen.Apply(w.now, scheduler.Declinations{Router: h.enlister.Router, Seqs: []uint64{seq}})
	calls := frozen.Calls(w.now)
	require.Len(t, calls, 1)

	w.restartDesk()
	h.enlister.Restart(w.now)
	batch := h.enlister.Next(w.now)
	require.True(t, batch.GetFull())
	response, outcomes := h.enlister.Grant(calls[0].Request)
	require.True(t, response.GetUnknown())
	require.Empty(t, outcomes)
	h.take(h.enlister.Answered(w.now, batch.GetNumber(), w.desk.Exchange(w.now, batch)))
	response, outcomes = h.enlister.Grant(calls[0].Request)
	require.True(t, response.GetUnknown())
	require.Empty(t, outcomes)
}

// Symptom: a slot stays taken for a request whose caller went away.
// Sequence: the caller gives up while the grant is on its way.
// Cause: the router drops the grant without a word.
func TestGrantForAWithdrawnRequestIsDeclined(t *testing.T) {
	w, h := enrolled(t, worldSlots+1)
	waiting := slices.Collect(maps.Keys(h.waiting))
	h.finish(slices.Min(slices.Collect(maps.Keys(h.running))), scheduler.Done)
	batch := h.enlister.Next(w.now)
	response := w.desk.Exchange(w.now, batch)
	require.Len(t, response.GetGrants(), 1)
	h.finish(waiting[0], scheduler.Cancelled)
	require.Empty(t, h.enlister.Answered(w.now, batch.GetNumber(), response))
	w.settle(5)
	require.Zero(t, w.desk.Pool.Stats(w.now).Running)
}

// Symptom: an endpoint runs more requests than it has slots.
// Sequence: a grant is on its way when the scheduler holds the router for dead;
// the router enrols again, then the grant arrives.
// Cause: a grant that rests on an enrolment which the scheduler has forgotten.
func TestLateGrantOfAFormerEnrolmentIsIgnored(t *testing.T) {
	w, h := enrolled(t, worldSlots+1)
	waiting := slices.Collect(maps.Keys(h.waiting))
	w.desk.Apply(w.now, scheduler.Declinations{Router: h.enlister.Router, Seqs: []uint64{1}})
	late := w.desk.Calls(w.now)
	require.Len(t, late, 1)
	require.Equal(t, waiting[0], late[0].Request.GetGrants()[0].GetSeq())
	w.desk.Gone(w.now, h.enlister.Router)
	w.now = w.now.Add(refreshEvery)
	for range 2 { // told that it is unknown, then everything
		batch := h.enlister.Next(w.now)
		h.take(h.enlister.Answered(w.now, batch.GetNumber(), w.desk.Exchange(w.now, batch)))
	}
	require.Len(t, h.running, worldSlots)
	response, outcomes := h.enlister.Grant(late[0].Request)
	require.True(t, response.GetUnknown())
	require.Empty(t, outcomes)
}

// Symptom: a slot stays taken for a request that never ran.
// Sequence: a grant that the router cannot use arrives in an answer.
// Cause: the router drops it without a word.
func TestUnusableGrantIsGivenBack(t *testing.T) {
	w, h := enrolled(t, 1)
	w.now = w.now.Add(refreshEvery)
	batch := h.enlister.Next(w.now)
	h.enlister.Answered(w.now, batch.GetNumber(), &messenger.ExchangeResponse{
		Scheduler: w.origin, Names: []string{"e2", "not an address"}, Grants: []*messenger.Grant{{Seq: 99, Endpoint: 2, Address: 3}},
	})
	batch = h.enlister.Next(w.now)
	require.Equal(t, messenger.Ending_ENDING_DECLINED, batch.GetFinished()[0].GetEnding())
}

func TestQuietRoutersSaySeldomSomething(t *testing.T) {
	w, h := enrolled(t, 1)
	sent := 0
	for range 100 {
		w.now = w.now.Add(100 * time.Millisecond)
		if batch := h.enlister.Next(w.now); batch != nil {
			sent++
			h.enlister.Answered(w.now, batch.GetNumber(), w.desk.Exchange(w.now, batch))
		}
	}
	require.LessOrEqual(t, sent, 10, "a refresh a second")
	require.GreaterOrEqual(t, sent, 9)
	h.finish(1, scheduler.Done)
	w.settle(1)
	require.True(t, h.enlister.Wake().IsZero(), "nothing to say without requests")
}

func FuzzExchange(f *testing.F) {
	f.Add(uint32(1), uint64(1), uint32(7), true)
	f.Add(uint32(0), uint64(2), uint32(0), false)
	f.Fuzz(func(_ *testing.T, session uint32, number uint64, index uint32, full bool) {
		w := newWorld(1)
		w.desk.Exchange(w.now, &messenger.ExchangeRequest{
			Router: "r0", Incarnation: 1, Session: session, Number: number, Full: full, Scheduler: w.origin,
			Tickets: []*messenger.Ticket{{Seq: 1, Workspace: index, Model: index, Avoid: []uint32{index}}},
			Running: []*messenger.Running{{Seq: 2, Workspace: index, Endpoint: index}},
		})
	})
}
