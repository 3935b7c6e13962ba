package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/scheduler"
)

// Guards against a pool in which every request fails: an endpoint is dead but its lease
// has not ended, connections to it fail at once, and so it always has free slots and
// attracts all requests.
func TestUnreachableEndpointBackoffGrows(t *testing.T) {
	m := newModel(t, scheduler.Options{Origin: 1})
	m.announce(scheduler.Announced{ID: "a", Incarnation: 1, Slots: 4, TTL: time.Hour})
	m.enrol(router1, scheduler.Ticket{Seq: 1, Workspace: "one"})
	m.rules.denied = map[string]bool{"one/z": true}
	m.apply(scheduler.Configured{Rules: m.rules})
	backoffs := []time.Duration{250 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second}
	for i, backoff := range backoffs {
		seq := uint64(i + 1)
		require.Equal(t, "a", m.requests[request(seq)].endpoint)
		m.finish(request(seq), scheduler.Unreachable, 0)
		m.enrol(router1, scheduler.Ticket{Seq: seq + 1, Workspace: "one"})
		m.announce(scheduler.Announced{ID: "z", Incarnation: seq, Slots: 1, TTL: time.Millisecond})
		again := m.now.Add(backoff)
		m.now = m.pool.NextDeadline(m.now) // the lease of endpoint z ends before the backoff
		m.apply(scheduler.Tick{})
		require.Equal(t, again, m.pool.NextDeadline(m.now))
		require.Empty(t, m.requests[request(seq+1)].endpoint)
		m.now = again
		m.apply(scheduler.Tick{})
	}
	m.enrol(router1, scheduler.Ticket{Seq: 9, Workspace: "one"})
	require.Empty(t, m.requests[request(9)].endpoint, "one request at a time until one succeeds")
	m.finish(request(5), scheduler.Done, 10)
	m.enrol(router1, scheduler.Ticket{Seq: 10, Workspace: "one"})
	require.Equal(t, "a", m.requests[request(10)].endpoint)
}

// Guards against requests that pile up at a hung endpoint: it accepts a request and
// makes no progress, but keeps announcing itself, and the pool relies only on the
// announcements.
func TestHungEndpointGetsNoWorkUntilProgress(t *testing.T) {
	m := newModel(t, scheduler.Options{Origin: 1})
	m.announce(scheduler.Announced{ID: "a", Incarnation: 1, Slots: 4, TTL: time.Hour})
	m.enrol(router1, scheduler.Ticket{Seq: 1, Workspace: "one"})
	require.Equal(t, testStart.Add(scheduler.DefaultHungAfter), m.pool.NextDeadline(m.now))
	m.now = m.pool.NextDeadline(m.now)
	m.apply(scheduler.Tick{})
	m.enrol(router1, scheduler.Ticket{Seq: 2, Workspace: "one"})
	require.Empty(t, m.requests[request(2)].endpoint)
	m.progress(request(1), 1)
	require.Equal(t, "a", m.requests[request(2)].endpoint)
}

// Guards against slots of a restarted endpoint that stay taken: the endpoint restarts at
// its old address, with its old id or a new one, while requests run there, and only
// their endings free the slots of its former incarnation.
func TestRestartedEndpointHasAllItsSlots(t *testing.T) {
	tests := map[string]scheduler.Announced{
		"same id":  {ID: "a", Incarnation: 2, Slots: 1},
		"other id": {ID: "b", Incarnation: 1, Slots: 1},
	}
	for name, again := range tests {
		t.Run(name, func(t *testing.T) {
			m := newModel(t, scheduler.Options{Origin: 1})
			m.announce(scheduler.Announced{ID: "a", Incarnation: 1, Slots: 1})
			m.enrol(router1, scheduler.Ticket{Seq: 1, Workspace: "one"}, scheduler.Ticket{Seq: 2, Workspace: "one"})
			again.Address = m.endpoints["a"].Address
			m.announce(again)
			require.Equal(t, again.ID, m.requests[request(2)].endpoint)
			m.finish(request(1), scheduler.Failed, 5)
			require.Equal(t, 1, m.pool.Stats(m.now).Endpoints[0].Busy)
		})
	}
}

// Guards against a request that waits forever: its grant is lost, its router still lists
// it as waiting, and the pool counts it as running.
func TestLostGrantIsGivenAgain(t *testing.T) {
	m := newModel(t, scheduler.Options{Origin: 1})
	m.announce(scheduler.Announced{ID: "a", Incarnation: 1, Slots: 1, TTL: time.Hour})
	ticket := scheduler.Ticket{Seq: 1, Workspace: "one", Model: "draft"}
	m.enrol(router1, ticket)
	again := scheduler.Report{Router: router1, Full: true, Tickets: []scheduler.Ticket{ticket}}
	require.Empty(t, m.apply(again), "the grant may still be in flight")
	m.now = m.now.Add(2 * time.Second)
	m.requests[request(1)].endpoint = ""
	require.Len(t, m.apply(again), 1)
}

// Guards against a slot that stays taken: the message with a request's ending is lost,
// the router's next full report does not list the request, and the report only adds to
// the pool's state.
func TestFullReportReplacesKnownRequests(t *testing.T) {
	m := newModel(t, scheduler.Options{Origin: 1})
	m.announce(scheduler.Announced{ID: "a", Incarnation: 1, Slots: 1})
	m.enrol(router1, scheduler.Ticket{Seq: 1, Workspace: "one"}, scheduler.Ticket{Seq: 2, Workspace: "one"})
	require.False(t, m.pool.HasFullReport(router1))
	delete(m.requests, request(1))
	m.apply(scheduler.Report{Router: router1, Full: true, Tickets: []scheduler.Ticket{m.requests[request(2)].ticket}})
	require.True(t, m.pool.HasFullReport(router1))
	require.Equal(t, "a", m.requests[request(2)].endpoint)
	require.Equal(t, 1, m.pool.Stats(m.now).Running)
}

// Guards against twice as many requests as slots at an endpoint after a handover: the
// new scheduler learns of the endpoint and of the requests running there from the
// endpoint and the routers in any order, and assumes that the endpoint is idle.
func TestNewSchedulerCountsRunningRequests(t *testing.T) {
	running := scheduler.Report{Router: router1, Full: true, Running: []scheduler.Running{
		{Seq: 1, Workspace: "one", Model: "draft", Endpoint: "a", Charged: 40},
		{Seq: 2, Workspace: "one", Model: "draft", Endpoint: "a", Charged: 10},
	}}
	for name, endpointFirst := range map[string]bool{"endpoint first": true, "router first": false} {
		t.Run(name, func(t *testing.T) {
			m := newModel(t, scheduler.Options{Origin: 2})
			endpoint := scheduler.Announced{ID: "a", Incarnation: 1, Slots: 3, Load: 2}
			if endpointFirst {
				m.announce(endpoint)
			}
			m.apply(running)
			if !endpointFirst {
				m.announce(endpoint)
			}
			router2 := scheduler.RouterID{Name: "router-2", Incarnation: 1}
			m.enrol(router2, scheduler.Ticket{Seq: 1, Workspace: "two"}, scheduler.Ticket{Seq: 2, Workspace: "two"})
			require.Equal(t, 1, m.waiting(), "one slot was free")
			require.Equal(t, 3, m.pool.Stats(m.now).Running)
			m.apply(scheduler.Report{Router: router1, Finished: []scheduler.Finish{{Seq: 1, Charged: 50, Ending: scheduler.Done}}})
			require.Zero(t, m.waiting())
			require.EqualValues(t, 10, m.pool.Stats(m.now).Workspaces[0].Charged, "the rest was charged before")
		})
	}
}

// Guards against the same overload before the routers have reported: a new scheduler
// relies on its own empty state rather than on the load that the endpoint reports.
func TestNewSchedulerUsesTheFirstReportedLoad(t *testing.T) {
	m := newModel(t, scheduler.Options{Origin: 2})
	m.announce(scheduler.Announced{ID: "a", Incarnation: 1, Slots: 2, Load: 2})
	m.enrol(router1, scheduler.Ticket{Seq: 1, Workspace: "one"})
	require.Equal(t, 1, m.waiting())
	m.announce(scheduler.Announced{ID: "a", Incarnation: 1, Slots: 2, Load: 1})
	require.Zero(t, m.waiting())
}

// Guards against two schedulers that overfill an endpoint: during a handover the other
// scheduler still grants, the endpoint reports more load than this pool sent, and this
// pool counts only its own requests.
func TestForeignReportedLoadCounts(t *testing.T) {
	m := newModel(t, scheduler.Options{Origin: 2})
	e := scheduler.Announced{ID: "a", Incarnation: 1, Slots: 4}
	m.announce(e)
	e.Load = 3
	m.announce(e)
	require.Zero(t, m.pool.Stats(m.now).Endpoints[0].Foreign, "a single report may lag behind")
	m.announce(e)
	m.announce(e)
	require.Equal(t, 3, m.pool.Stats(m.now).Endpoints[0].Foreign)
	m.enrol(router1, scheduler.Ticket{Seq: 1, Workspace: "one"}, scheduler.Ticket{Seq: 2, Workspace: "one"})
	require.Equal(t, 1, m.waiting())
	e.Load = 1
	m.announce(e)
	require.Zero(t, m.waiting())
}

// Guards against grants at an endpoint during the backoff that it asked for.
func TestEndpointThatAsksForBackoffGetsNoGrant(t *testing.T) {
	const backoff = 3 * time.Second
	tests := map[string]func(m *model){
		"nothing":                    func(*model) {},
		"an earlier request is done": func(m *model) { m.finish(request(1), scheduler.Done, 10) },
		"an earlier request fails":   func(m *model) { m.finish(request(1), scheduler.Failed, 10) },
		"it announces itself": func(m *model) {
			m.announce(scheduler.Announced{ID: "a", Incarnation: 1, Slots: 4, TTL: time.Hour})
		},
	}
	for name, happens := range tests {
		t.Run(name, func(t *testing.T) {
			m := newModel(t, scheduler.Options{Origin: 1})
			m.announce(scheduler.Announced{ID: "a", Incarnation: 1, Slots: 4, TTL: time.Hour})
			m.enrol(router1, scheduler.Ticket{Seq: 1, Workspace: "one"}, scheduler.Ticket{Seq: 2, Workspace: "one"})
			ends := m.now.Add(backoff)
			m.apply(scheduler.Report{Router: router1, Finished: []scheduler.Finish{{Seq: 2, Ending: scheduler.Refused, Backoff: backoff}}})
			m.enrol(router1, scheduler.Ticket{Seq: 3, Workspace: "one"})
			m.now = m.now.Add(backoff / 4)
			happens(m)
			for m.now.Before(ends) {
				require.Empty(t, m.requests[request(3)].endpoint)
				next := m.pool.NextDeadline(m.now)
				require.True(t, next.After(m.now) && !next.After(ends), "the pool checks the endpoint again at the end of the backoff")
				m.now = next
				m.apply(scheduler.Tick{})
			}
			require.Equal(t, "a", m.requests[request(3)].endpoint)
		})
	}
}

// Guards against grants at an endpoint that reported in an answer that it leaves, because
// of an announcement that it made before.
func TestLeavingEndpointGetsNoGrant(t *testing.T) {
	m := newModel(t, scheduler.Options{Origin: 1})
	announced := scheduler.Announced{ID: "a", Incarnation: 1, Slots: 4, TTL: time.Hour}
	m.announce(announced)
	m.enrol(router1, scheduler.Ticket{Seq: 1, Workspace: "one"})
	m.apply(scheduler.Report{Router: router1, Finished: []scheduler.Finish{{Seq: 1, Ending: scheduler.Done, Charged: 1, Leaving: true}}})
	m.announce(announced)
	m.enrol(router1, scheduler.Ticket{Seq: 2, Workspace: "one"})
	require.Empty(t, m.requests[request(2)].endpoint)
	announced.Incarnation = 2
	m.announce(announced)
	require.Equal(t, "a", m.requests[request(2)].endpoint, "it has restarted")
}
