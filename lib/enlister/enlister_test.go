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

// walkSteps returns the steps of a random walk. With faults, both ends restart and
// the scheduler declares live routers dead.
func walkSteps(w *simulation, faults bool) map[string]func(*rapid.T) {
	router := func(t *rapid.T) *simRouter { return w.routers[rapid.SampledFrom(w.names()).Draw(t, "router")] }
	steps := map[string]func(*rapid.T){
		"add": func(t *rapid.T) { w.add(rapid.SampledFrom(w.names()).Draw(t, "router")) },
		"withdraw": func(t *rapid.T) {
			r := router(t)
			if seq, some := pickSeq(t, r.waiting); some {
				r.finish(seq, scheduler.Cancelled)
			}
		},
		"finish": func(t *rapid.T) {
			r := router(t)
			if seq, some := pickSeq(t, r.running); some {
				r.finish(seq, scheduler.Done)
			}
		},
		"progress": func(t *rapid.T) {
			r := router(t)
			if seq, some := pickSeq(t, r.running); some {
				r.enlister.Progress(seq, rapid.Uint32Range(1, 9).Draw(t, "units"))
			}
		},
		"pass": func(t *rapid.T) {
			w.now = w.now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond)
			w.registrar.Apply(w.now, scheduler.Tick{})
		},
		"expire": func(*rapid.T) { w.expireSessions() },
		"arrive": func(t *rapid.T) { withCall(t, w, func(f pendingCall) { w.arrive(f, true) }) },
		"lose":   func(t *rapid.T) { withCall(t, w, w.lose) },
		"lose answer": func(t *rapid.T) {
			withCall(t, w, func(f pendingCall) { w.arrive(f, false) })
		},
		"repeat": func(t *rapid.T) {
			withCall(t, w, func(f pendingCall) {
				w.calls = append(w.calls, f) // the copy arrives later
				w.arrive(f, true)
			})
		},
		"time out": func(t *rapid.T) {
			withCall(t, w, func(f pendingCall) {
				w.lose(f)
				w.calls = append(w.calls, f) // it arrives after its caller gave up
			})
		},
	}
	if faults {
		steps["router restarts"] = func(t *rapid.T) { w.restartRouter(rapid.SampledFrom(w.names()).Draw(t, "router")) }
		steps["scheduler restarts"] = func(*rapid.T) { w.restartRegistrar() }
		steps["router is wrongly declared dead"] = func(t *rapid.T) {
			w.registrar.RouterGone(w.now, router(t).enlister.Router)
			w.lostRunning = true
		}
		steps["scheduler changes"] = func(*rapid.T) {
			w.restartRegistrar()
			for _, r := range w.routers {
				r.enlister.Restart(w.now)
			}
		}
	}
	return steps
}

// withCall applies a step to a random pending call, if there is one.
func withCall(t *rapid.T, w *simulation, step func(pendingCall)) {
	if f, some := w.pick(t); some {
		step(f)
	}
}

// randomWalk checks after every step that no slot and no request is granted twice,
// and at the end that no request and no slot is lost.
func randomWalk(faults bool) func(*rapid.T) {
	return func(t *rapid.T) {
		w := newSimulation(2)
		steps := walkSteps(w, faults)
		steps[""] = func(t *rapid.T) {
			if !w.lostRunning {
				require.LessOrEqual(t, w.running(), testSlots, "a slot is used twice")
			}
			for _, r := range w.routers {
				require.Equal(t, len(r.waiting), r.enlister.Waiting())
				require.Equal(t, len(r.running), r.enlister.Running())
				for seq, times := range r.granted {
					require.LessOrEqual(t, times, 1, "request %d was granted twice", seq)
				}
			}
		}
		t.Repeat(steps)
		w.runToCompletion(150 + 2*w.waiting())
		require.Zero(t, w.waiting(), "a waiting request was lost")
		require.Zero(t, w.running())
		w.runToCompletion(120)
		stats := w.registrar.Pool.Stats(w.now)
		require.Zero(t, stats.Waiting, "the scheduler still has tickets that no router has")
		require.Zero(t, stats.Running, "the scheduler still has slots taken that no router uses")
	}
}

// Guards against requests that wait forever or run twice and against lost slots, when
// calls are lost, repeated, late or out of order and one end is wrong about whether a
// call arrived.
func TestCallsInAnyOrder(t *testing.T) {
	rapid.Check(t, randomWalk(false))
}

// Guards against the same failures after a crash, a takeover or a router wrongly
// declared dead between any calls: one end relies on state that the other lost with
// its former incarnation.
func TestRestartsInAnyOrder(t *testing.T) {
	rapid.Check(t, randomWalk(true))
}

// enrolled returns a simulation in which router r0 has enrolled with a number of
// requests and received the response.
func enrolled(t *testing.T, requests int) (*simulation, *simRouter) {
	w := newSimulation(2)
	r := w.routers["r0"]
	for range requests {
		w.add("r0")
	}
	w.send()
	require.Len(t, w.calls, 1)
	f := w.calls[0]
	w.calls = nil
	w.arrive(f, true)
	return w, r
}

// Guards against a request in a slot that another scheduler has granted since: a
// scheduler is paused with a grant in flight, the router enrols with its successor,
// the old scheduler resumes, and the router accepts the grant whatever its sender.
func TestGrantsOfAFormerSchedulerAreIgnored(t *testing.T) {
	w, r := enrolled(t, testSlots+1)
	require.Len(t, r.running, testSlots)
	frozen := w.registrar
	seq := slices.Min(slices.Collect(maps.Keys(r.running)))
	frozen.Apply(w.now, scheduler.Declinations{Router: r.enlister.Router, Seqs: []uint64{seq}})
	calls := frozen.Calls(w.now)
	require.Len(t, calls, 1)

	w.restartRegistrar()
	r.enlister.Restart(w.now)
	batch := r.enlister.Next(w.now)
	require.True(t, batch.GetFull())
	response, outcomes := r.enlister.Grant(calls[0].Request)
	require.True(t, response.GetUnknown())
	require.Empty(t, outcomes)
	r.accept(r.enlister.Answered(w.now, batch.GetNumber(), w.registrar.Exchange(w.now, batch)))
	response, outcomes = r.enlister.Grant(calls[0].Request)
	require.True(t, response.GetUnknown())
	require.Empty(t, outcomes)
}

// Guards against a slot that stays taken after its caller cancelled while the grant
// was in flight, because the router drops the grant without declining it.
func TestGrantForAWithdrawnRequestIsDeclined(t *testing.T) {
	w, r := enrolled(t, testSlots+1)
	waiting := slices.Collect(maps.Keys(r.waiting))
	r.finish(slices.Min(slices.Collect(maps.Keys(r.running))), scheduler.Done)
	batch := r.enlister.Next(w.now)
	response := w.registrar.Exchange(w.now, batch)
	require.Len(t, response.GetGrants(), 1)
	r.finish(waiting[0], scheduler.Cancelled)
	require.Empty(t, r.enlister.Answered(w.now, batch.GetNumber(), response))
	w.runToCompletion(5)
	require.Zero(t, w.registrar.Pool.Stats(w.now).Running)
}

// Guards against more requests than slots at an endpoint: a grant is in flight when
// the scheduler declares the router dead, the router enrols again, and then the grant
// of the forgotten enrolment arrives and is accepted.
func TestLateGrantOfAFormerEnrolmentIsIgnored(t *testing.T) {
	w, r := enrolled(t, testSlots+1)
	waiting := slices.Collect(maps.Keys(r.waiting))
	w.registrar.Apply(w.now, scheduler.Declinations{Router: r.enlister.Router, Seqs: []uint64{1}})
	late := w.registrar.Calls(w.now)
	require.Len(t, late, 1)
	require.Equal(t, waiting[0], late[0].Request.GetGrants()[0].GetSeq())
	w.registrar.RouterGone(w.now, r.enlister.Router)
	w.now = w.now.Add(refreshInterval)
	for range 2 { // the first response asks for a full batch, the second answers it
		batch := r.enlister.Next(w.now)
		r.accept(r.enlister.Answered(w.now, batch.GetNumber(), w.registrar.Exchange(w.now, batch)))
	}
	require.Len(t, r.running, testSlots)
	response, outcomes := r.enlister.Grant(late[0].Request)
	require.True(t, response.GetUnknown())
	require.Empty(t, outcomes)
}

// Guards against a slot that stays taken for a request that never ran: a grant that
// the router cannot use arrives in a response and is dropped without being declined.
func TestUnusableGrantIsDeclined(t *testing.T) {
	w, r := enrolled(t, 1)
	w.now = w.now.Add(refreshInterval)
	batch := r.enlister.Next(w.now)
	r.enlister.Answered(w.now, batch.GetNumber(), &messenger.ExchangeResponse{
		Scheduler: w.incarnation, Names: []string{"e2", "not an address"}, Grants: []*messenger.Grant{{Seq: 99, Endpoint: 2, Address: 3}},
	})
	batch = r.enlister.Next(w.now)
	require.Equal(t, messenger.Ending_ENDING_DECLINED, batch.GetFinished()[0].GetEnding())
}

// A router without changes sends one batch a second, and none without requests.
func TestIdleRoutersSendOnlyRefreshes(t *testing.T) {
	w, r := enrolled(t, 1)
	sent := 0
	for range 100 {
		w.now = w.now.Add(100 * time.Millisecond)
		if batch := r.enlister.Next(w.now); batch != nil {
			sent++
			r.enlister.Answered(w.now, batch.GetNumber(), w.registrar.Exchange(w.now, batch))
		}
	}
	require.LessOrEqual(t, sent, 10, "one refresh per second")
	require.GreaterOrEqual(t, sent, 9)
	r.finish(1, scheduler.Done)
	w.runToCompletion(1)
	require.True(t, r.enlister.NextWake().IsZero(), "nothing to send without requests")
}

func FuzzExchange(f *testing.F) {
	f.Add(uint32(1), uint64(1), uint32(7), true)
	f.Add(uint32(0), uint64(2), uint32(0), false)
	f.Fuzz(func(_ *testing.T, session uint32, number uint64, index uint32, full bool) {
		w := newSimulation(1)
		w.registrar.Exchange(w.now, &messenger.ExchangeRequest{
			Router: "r0", Incarnation: 1, Session: session, Number: number, Full: full, Scheduler: w.incarnation,
			Tickets: []*messenger.Ticket{{Seq: 1, Workspace: index, Model: index, Avoid: []uint32{index}}},
			Running: []*messenger.Running{{Seq: 2, Workspace: index, Endpoint: index}},
		})
	})
}
