package coordinator

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/messenger"
)

const (
	endpointSlots = 4
	// takeoverTimeout is the time in which the pools of a dead scheduler are served
	// again: the suspect time, and two heartbeats until every router has the change.
	takeoverTimeout = 1500 * time.Millisecond
)

// keepBacklogged returns a step function that keeps both workspaces backlogged at
// every router of zone 0 while more returns true, and announces the endpoint.
func keepBacklogged(w *simulation, each int, more func() bool) func() {
	ticks := 0
	return func() {
		if ticks%100 == 0 {
			w.announce(0, "e1", endpointSlots)
		}
		ticks++
		if !more() {
			return
		}
		waiting, _ := w.unfinished()
		for _, at := range w.order {
			n := w.nodes[at]
			if n.stopped || n.stalled || n.options.Zone != "zone-0" || waiting >= each*len(w.order) {
				continue
			}
			w.add(at, "large")
			w.add(at, "small")
		}
	}
}

func always() bool { return true }
func never() bool  { return false }

// meanRunning runs the simulation for a span and returns the average number of slots
// in use.
func meanRunning(w *simulation, span time.Duration, also func()) float64 {
	sum, steps := 0, 0
	w.run(span, func() {
		also()
		_, running := w.unfinished()
		sum += running
		steps++
	})
	return float64(sum) / float64(steps)
}

func TestPoolServesEveryRouterFairly(t *testing.T) {
	w := newSimulation(t, 1, 4, false)
	more := keepBacklogged(w, 6, always)
	w.run(time.Second, more)
	clear(w.served)
	require.Greater(t, meanRunning(w, 20*time.Second, more), 0.97*endpointSlots)
	require.InDelta(t, w.served["large"], w.served["small"], 2)
	require.LessOrEqual(t, w.maxRunning["e1"], endpointSlots)
}

// Guards against requests that hang after the loss of a scheduler, because no router
// takes the pool over or the new scheduler is not notified. Each case stops the
// scheduler in another way while requests wait and run at all routers.
func TestPoolSurvivesSchedulerLoss(t *testing.T) {
	for name, test := range map[string]struct {
		fault func(*simulation, netip.AddrPort)
		pause time.Duration // time in which slots may be idle
	}{
		"crash": {
			fault: func(w *simulation, at netip.AddrPort) { w.kill(at) }, pause: takeoverTimeout,
		},
		"planned stop": {
			fault: func(w *simulation, at netip.AddrPort) {
				n := w.nodes[at]
				n.sendHeartbeats(n.detector.Leave())
			},
			pause: 50 * time.Millisecond,
		},
		"restart without memory": {
			fault: func(w *simulation, at netip.AddrPort) {
				w.kill(at)
				zone, i := int(at.Addr().As4()[2]), int(at.Addr().As4()[3])-1
				w.start(zone, i)
			},
			pause: takeoverTimeout,
		},
		"stall, then resume": {
			fault: func(w *simulation, at netip.AddrPort) { w.nodes[at].stalled = true }, pause: takeoverTimeout,
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newSimulation(t, 1, 4, false)
			more := keepBacklogged(w, 6, always)
			w.run(3*time.Second, more)
			at := w.scheduler(0)
			test.fault(w, at)
			w.run(test.pause, more)
			require.Greater(t, meanRunning(w, time.Second, more), 0.9*endpointSlots, "slots are in use again")
			w.run(2*time.Second, more)
			w.nodes[at].stalled = false
			w.run(time.Second, more)
			clear(w.maxRunning)
			clear(w.served)
			require.Greater(t, meanRunning(w, 5*time.Second, more), 0.95*endpointSlots)
			require.LessOrEqual(t, w.maxRunning["e1"], endpointSlots, "no slot is used twice after the takeover")
			require.InDelta(t, w.served["large"], w.served["small"], endpointSlots, "shares are equal again")
			w.run(10*time.Second, keepBacklogged(w, 0, never))
			waiting, running := w.unfinished()
			require.Zero(t, waiting)
			require.Zero(t, running)
		})
	}
}

// Guards against slots that stay taken for requests of a dead router. A router that
// is not the scheduler crashes while its requests run, so that the scheduler never
// gets their endings.
func TestSlotsOfADeadRouterAreFreed(t *testing.T) {
	w := newSimulation(t, 1, 4, false)
	more := keepBacklogged(w, 6, always)
	w.run(3*time.Second, more)
	at := w.order[slices.IndexFunc(w.order, func(at netip.AddrPort) bool { return at != w.scheduler(0) })]
	w.kill(at)
	w.run(takeoverTimeout, more)
	require.Greater(t, meanRunning(w, time.Second, more), 0.95*endpointSlots)
	require.LessOrEqual(t, w.maxRunning["e1"], endpointSlots)
}

// Guards against a scheduler that stalls, resumes with its old state and grants
// slots that its successor has granted to other requests. The process is stopped
// (SIGSTOP) for longer than the lease and then resumed (SIGCONT); it must notice
// that time has passed.
func TestStalledSchedulerStartsAnew(t *testing.T) {
	w := newSimulation(t, 1, 4, false)
	more := keepBacklogged(w, 6, always)
	w.run(3*time.Second, more)
	n := w.nodes[w.scheduler(0)]
	before := n.pools[service].registrar.Incarnation
	n.stalled = true
	w.run(1600*time.Millisecond, more)
	successor := w.nodes[w.scheduler(0)]
	require.NotEqual(t, n, successor)
	n.stalled = false
	w.run(simulationStep, more)
	if h := n.pools[service]; h != nil {
		require.NotEqual(t, before, h.registrar.Incarnation)
	}
	w.run(time.Second, more)
	require.Empty(t, successor.pools, "the successor has handed the pool back")
	clear(w.maxRunning)
	w.run(2*time.Second, more)
	require.LessOrEqual(t, w.maxRunning["e1"], endpointSlots)
}

// Guards against service counters that are lost when their scheduler stops as
// planned: a workspace that was served less would stay behind. One workspace was
// served more before the stop.
func TestCountersSurviveAPlannedStop(t *testing.T) {
	w := newSimulation(t, 1, 3, false)
	more := keepBacklogged(w, 6, always)
	w.run(5*time.Second, more)
	at := w.scheduler(0)
	before := w.nodes[at].pools[service].registrar.Pool.Stats(w.clock.Now())
	w.nodes[at].sendHeartbeats(w.nodes[at].detector.Leave())
	w.run(time.Second, more)
	require.Empty(t, w.nodes[at].pools)
	next := w.scheduler(0)
	require.NotEqual(t, at, next)
	after := w.nodes[next].pools[service].registrar.Pool.Stats(w.clock.Now())
	for i, workspace := range after.Workspaces {
		require.GreaterOrEqual(t, workspace.Counter, before.Workspaces[i].Counter)
	}
}

// Guards against an endpoint's slots that are granted twice without end after a
// partition within a zone. Each half of the zone elects a scheduler; once the
// partition heals, one of the two must learn that it is not the only scheduler.
func TestSchedulersMergeAfterPartition(t *testing.T) {
	w := newSimulation(t, 1, 4, false)
	more := keepBacklogged(w, 6, always)
	w.run(3*time.Second, more)
	half := func(at netip.AddrPort) bool { return at.Addr().As4()[3]%2 == 0 }
	w.partitioned = func(from, to netip.AddrPort) bool { return half(from) != half(to) }
	w.run(5*time.Second, more)
	schedulers := 0
	for _, n := range w.nodes {
		schedulers += len(n.pools)
	}
	require.Equal(t, 2, schedulers)
	w.partitioned = nil
	w.run(3*time.Second, more)
	clear(w.maxRunning)
	w.run(5*time.Second, more)
	require.LessOrEqual(t, w.maxRunning["e1"], endpointSlots)
	schedulers = 0
	for _, n := range w.nodes {
		schedulers += len(n.pools)
	}
	require.Equal(t, 1, schedulers)
}

// Guards against requests that wait in one zone while another has idle endpoints,
// and against requests lost by a partition between zones: loans that are not made or
// never end. All requests arrive in one zone; the zones are partitioned and
// reconnected.
func TestZonesLendAndSurvivePartition(t *testing.T) {
	w := newSimulation(t, 2, 2, false)
	zone := func(at netip.AddrPort) byte { return at.Addr().As4()[2] }
	local := keepBacklogged(w, 8, always)
	more := func() {
		local()
		if w.clock.Now().UnixMilli()%500 == 0 {
			w.announce(1, "e2", endpointSlots)
		}
	}
	w.run(3*time.Second, more)
	require.Greater(t, meanRunning(w, 10*time.Second, more), 1.4*endpointSlots, "the other zone's endpoint is used")
	w.partitioned = func(from, to netip.AddrPort) bool { return zone(from) != zone(to) }
	w.run(5*time.Second, more)
	require.Greater(t, meanRunning(w, 5*time.Second, more), 0.9*endpointSlots, "the zone's own endpoint stays in use")
	w.partitioned = nil
	w.run(2*time.Second, more)
	clear(w.maxRunning)
	require.Greater(t, meanRunning(w, 10*time.Second, more), 1.4*endpointSlots)
	require.LessOrEqual(t, w.maxRunning["e2"], endpointSlots)
	w.run(20*time.Second, func() { w.announce(0, "e1", endpointSlots) })
	waiting, running := w.unfinished()
	require.Zero(t, waiting+running)
}

func TestStandaloneRoutersDivideSlots(t *testing.T) {
	w := newSimulation(t, 1, 4, true)
	more := keepBacklogged(w, 6, always)
	w.run(3*time.Second, more)
	for _, n := range w.nodes {
		require.Len(t, n.pools, 1)
		require.Equal(t, 1, n.pools[service].registrar.Pool.Stats(w.clock.Now()).Endpoints[0].Slots)
	}
	require.Greater(t, meanRunning(w, 5*time.Second, more), 0.9*endpointSlots)
	require.LessOrEqual(t, w.maxRunning["e1"], endpointSlots)
}

// Guards against grants that wait for a timer: a request must not wait longer than a
// round trip while slots are idle. One request at a time arrives at a router that is
// not the scheduler.
func TestIdlePoolGrantsAtOnce(t *testing.T) {
	w := newSimulation(t, 1, 4, false)
	w.announce(0, "e1", endpointSlots)
	w.run(100*time.Millisecond, nil)
	scheduler := w.scheduler(0)
	at := w.order[slices.IndexFunc(w.order, func(at netip.AddrPort) bool { return at != scheduler })]
	w.add(at, "small")
	w.run(500*time.Millisecond, nil)
	w.announce(0, "e1", endpointSlots)
	w.add(at, "small")
	calls := w.calls
	w.run(simulationStep, nil)
	w.runJobs()
	waiting, _ := w.unfinished()
	require.Zero(t, waiting)
	require.LessOrEqual(t, w.calls-calls, 4, "one call in addition to heartbeats")
}

// Guards against an endpoint's announcement that is never answered, because a later one of the same
// endpoint arrives, or its time to live passes, while no scheduler takes it.
func TestEveryAnnouncementIsAnswered(t *testing.T) {
	for name, test := range map[string]struct {
		incarnations []uint64 // of the announcements, in order
		healed       bool     // the scheduler is reached before the time to live has passed
		want         []error
	}{
		"one":                  {incarnations: []uint64{1}, healed: true, want: []error{nil}},
		"repeated":             {incarnations: []uint64{1, 1}, healed: true, want: []error{nil, nil}},
		"restarted":            {incarnations: []uint64{1, 2}, healed: true, want: []error{errSuperseded, nil}},
		"stale":                {incarnations: []uint64{2, 1}, healed: true, want: []error{nil, nil}},
		"no scheduler in time": {incarnations: []uint64{1, 1}, want: []error{errExpired, errExpired}},
	} {
		t.Run(name, func(t *testing.T) {
			w := newSimulation(t, 1, 2, false)
			w.run(time.Second, nil)
			scheduler := w.scheduler(0)
			var other *node
			for _, at := range w.order {
				if at != scheduler {
					other = w.nodes[at]
				}
			}
			w.partitioned = func(netip.AddrPort, netip.AddrPort) bool { return true }
			got := make([]error, len(test.incarnations))
			ended := 0
			for i, incarnation := range test.incarnations {
				got[i] = errPartitioned
				other.acceptAnnouncement(&messenger.Announcement{
					Id: "e1", Incarnation: incarnation, Service: service, Zone: "zone-0", Models: []string{model},
					Address: "10.1.0.1:9000", Slots: 4, TtlMs: 400,
				}, func(err error) {
					got[i] = err
					ended++
				})
			}
			w.run(100*time.Millisecond, nil)
			if test.healed {
				w.partitioned = nil
			}
			w.run(time.Second, nil)
			require.Equal(t, test.want, got)
			require.Equal(t, len(test.want), ended, "each call ends once")
		})
	}
}
