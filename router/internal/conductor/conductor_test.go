package conductor

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	worldSlots = 4
	// takeover is the time in which the pools of a dead scheduler are served
	// again: the suspect time, and two heartbeats until everybody knows.
	takeover = 1500 * time.Millisecond
)

// load keeps both workspaces backlogged at every router of zone 0 and lets the
// endpoint announce itself, for as long as more says so.
func load(w *world, each int, more func() bool) func() {
	ticks := 0
	return func() {
		if ticks%100 == 0 {
			w.announce(0, "e1", worldSlots)
		}
		ticks++
		if !more() {
			return
		}
		waiting, _ := w.left()
		for _, at := range w.order {
			n := w.nodes[at]
			if n.stopped || n.frozen || n.options.Zone != "zone-0" || waiting >= each*len(w.order) {
				continue
			}
			w.add(at, "large")
			w.add(at, "small")
		}
	}
}

func always() bool { return true }
func never() bool  { return false }

// busy counts the slots in use, averaged over a span.
func busy(w *world, span time.Duration, also func()) float64 {
	sum, steps := 0, 0
	w.run(span, func() {
		also()
		_, running := w.left()
		sum += running
		steps++
	})
	return float64(sum) / float64(steps)
}

func TestPoolServesEveryRouterFairly(t *testing.T) {
	w := newWorld(t, 1, 4, false)
	more := load(w, 6, always)
	w.run(time.Second, more)
	clear(w.served)
	require.Greater(t, busy(w, 20*time.Second, more), 0.97*worldSlots)
	require.InDelta(t, w.served["large"], w.served["small"], 2)
	require.LessOrEqual(t, w.most["e1"], worldSlots)
}

// Symptom: requests hang after a scheduler has gone.
// Sequence: see the names; work waits and runs at all routers all the time.
// Cause: nobody takes the pool over, or nobody tells the new scheduler.
func TestSchedulerGoes(t *testing.T) {
	for name, test := range map[string]struct {
		fault func(*world, netip.AddrPort)
		pause time.Duration // in which capacity may idle
	}{
		"crash": {
			fault: func(w *world, at netip.AddrPort) { w.kill(at) }, pause: takeover,
		},
		"planned stop": {
			fault: func(w *world, at netip.AddrPort) {
				n := w.nodes[at]
				n.sendBeats(n.detector.Leave())
			},
			pause: 50 * time.Millisecond,
		},
		"restart without memory": {
			fault: func(w *world, at netip.AddrPort) {
				w.kill(at)
				zone, i := int(at.Addr().As4()[2]), int(at.Addr().As4()[3])-1
				w.start(zone, i)
			},
			pause: takeover,
		},
		"freeze, then resumes": {
			fault: func(w *world, at netip.AddrPort) { w.nodes[at].frozen = true }, pause: takeover,
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1, 4, false)
			more := load(w, 6, always)
			w.run(3*time.Second, more)
			at := w.scheduler(0)
			test.fault(w, at)
			w.run(test.pause, more)
			require.Greater(t, busy(w, time.Second, more), 0.9*worldSlots, "capacity is busy again")
			w.run(2*time.Second, more)
			w.nodes[at].frozen = false
			w.run(time.Second, more)
			clear(w.most)
			clear(w.served)
			require.Greater(t, busy(w, 5*time.Second, more), 0.95*worldSlots)
			require.LessOrEqual(t, w.most["e1"], worldSlots, "no slot is used twice any more")
			require.InDelta(t, w.served["large"], w.served["small"], worldSlots, "shares are equal again")
			w.run(10*time.Second, load(w, 0, never))
			waiting, running := w.left()
			require.Zero(t, waiting)
			require.Zero(t, running)
		})
	}
}

// Symptom: slots stay taken for requests of a router that is gone.
// Sequence: a router that is not the scheduler crashes while its requests run.
// Cause: the scheduler waits for endings that nobody will tell.
func TestSlotsOfADeadRouterAreFreed(t *testing.T) {
	w := newWorld(t, 1, 4, false)
	more := load(w, 6, always)
	w.run(3*time.Second, more)
	at := w.order[slices.IndexFunc(w.order, func(at netip.AddrPort) bool { return at != w.scheduler(0) })]
	w.kill(at)
	w.run(takeover, more)
	require.Greater(t, busy(w, time.Second, more), 0.95*worldSlots)
	require.LessOrEqual(t, w.most["e1"], worldSlots)
}

// Symptom: a scheduler that stood still goes on with what it knew before, and
// gives out slots that its successor has given to others.
// Sequence: SIGSTOP for longer than the lease, SIGCONT.
// Cause: it does not notice that time has passed.
func TestThawedSchedulerStartsAnew(t *testing.T) {
	w := newWorld(t, 1, 4, false)
	more := load(w, 6, always)
	w.run(3*time.Second, more)
	n := w.nodes[w.scheduler(0)]
	before := n.pools[service].desk.Incarnation
	n.frozen = true
	w.run(1600*time.Millisecond, more)
	successor := w.nodes[w.scheduler(0)]
	require.NotEqual(t, n, successor)
	n.frozen = false
	w.run(worldStep, more)
	if h := n.pools[service]; h != nil {
		require.NotEqual(t, before, h.desk.Incarnation)
	}
	w.run(time.Second, more)
	require.Empty(t, successor.pools, "the successor has handed the pool back")
	clear(w.most)
	w.run(2*time.Second, more)
	require.LessOrEqual(t, w.most["e1"], worldSlots)
}

// Symptom: after a planned stop a workspace that was behind stays behind.
// Sequence: one workspace was served more, then the scheduler stops.
// Cause: the service counters stop with their scheduler.
func TestCountersSurviveAPlannedStop(t *testing.T) {
	w := newWorld(t, 1, 3, false)
	more := load(w, 6, always)
	w.run(5*time.Second, more)
	at := w.scheduler(0)
	before := w.nodes[at].pools[service].desk.Pool.Stats(w.clock.Now())
	w.nodes[at].sendBeats(w.nodes[at].detector.Leave())
	w.run(time.Second, more)
	require.Empty(t, w.nodes[at].pools)
	next := w.scheduler(0)
	require.NotEqual(t, at, next)
	after := w.nodes[next].pools[service].desk.Pool.Stats(w.clock.Now())
	for i, workspace := range after.Workspaces {
		require.GreaterOrEqual(t, workspace.Counter, before.Workspaces[i].Counter)
	}
}

// Symptom: the routers of a zone that was cut in two give an endpoint's slots
// out twice for ever. Sequence: the zone is cut, each half has a scheduler, the
// zone is whole again. Cause: a scheduler that never learns that it is not the
// only one.
func TestTwoSchedulersBecomeOne(t *testing.T) {
	w := newWorld(t, 1, 4, false)
	more := load(w, 6, always)
	w.run(3*time.Second, more)
	half := func(at netip.AddrPort) bool { return at.Addr().As4()[3]%2 == 0 }
	w.cut = func(from, to netip.AddrPort) bool { return half(from) != half(to) }
	w.run(5*time.Second, more)
	schedulers := 0
	for _, n := range w.nodes {
		schedulers += len(n.pools)
	}
	require.Equal(t, 2, schedulers)
	w.cut = nil
	w.run(3*time.Second, more)
	clear(w.most)
	w.run(5*time.Second, more)
	require.LessOrEqual(t, w.most["e1"], worldSlots)
	schedulers = 0
	for _, n := range w.nodes {
		schedulers += len(n.pools)
	}
	require.Equal(t, 1, schedulers)
}

// Symptom: requests wait in one zone while another has idle endpoints, or a
// cut between zones loses requests. Sequence: all work comes in one zone; the
// zones are cut, and rejoin. Cause: loans that are not made, or never end.
func TestZonesLendAndSurviveACut(t *testing.T) {
	w := newWorld(t, 2, 2, false)
	zone := func(at netip.AddrPort) byte { return at.Addr().As4()[2] }
	local := load(w, 8, always)
	more := func() {
		local()
		if w.clock.Now().UnixMilli()%500 == 0 {
			w.announce(1, "e2", worldSlots)
		}
	}
	w.run(3*time.Second, more)
	require.Greater(t, busy(w, 10*time.Second, more), 1.4*worldSlots, "the other zone's endpoint is used")
	w.cut = func(from, to netip.AddrPort) bool { return zone(from) != zone(to) }
	w.run(5*time.Second, more)
	require.Greater(t, busy(w, 5*time.Second, more), 0.9*worldSlots, "its own endpoint at least")
	w.cut = nil
	w.run(2*time.Second, more)
	clear(w.most)
	require.Greater(t, busy(w, 10*time.Second, more), 1.4*worldSlots)
	require.LessOrEqual(t, w.most["e2"], worldSlots)
	w.run(20*time.Second, func() { w.announce(0, "e1", worldSlots) })
	waiting, running := w.left()
	require.Zero(t, waiting+running)
}

func TestAloneSharesTheSlots(t *testing.T) {
	w := newWorld(t, 1, 4, true)
	more := load(w, 6, always)
	w.run(3*time.Second, more)
	for _, n := range w.nodes {
		require.Len(t, n.pools, 1)
		require.Equal(t, 1, n.pools[service].desk.Pool.Stats(w.clock.Now()).Endpoints[0].Slots)
	}
	require.Greater(t, busy(w, 5*time.Second, more), 0.9*worldSlots)
	require.LessOrEqual(t, w.most["e1"], worldSlots)
}

// Symptom: a request waits longer than a round trip although slots are idle.
// Sequence: one request at a time at a router that is not the scheduler.
// Cause: grants that wait for a timer.
func TestIdlePoolGrantsAtOnce(t *testing.T) {
	w := newWorld(t, 1, 4, false)
	w.announce(0, "e1", worldSlots)
	w.run(100*time.Millisecond, nil)
	scheduler := w.scheduler(0)
	at := w.order[slices.IndexFunc(w.order, func(at netip.AddrPort) bool { return at != scheduler })]
	w.add(at, "small")
	w.run(500*time.Millisecond, nil)
	w.announce(0, "e1", worldSlots)
	w.add(at, "small")
	calls := w.calls
	w.run(worldStep, nil)
	w.runJobs()
	waiting, _ := w.left()
	require.Zero(t, waiting)
	require.LessOrEqual(t, w.calls-calls, 4, "one call, besides heartbeats")
}
