package scheduler_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/scheduler"
)

var router1 = scheduler.RouterID{Name: "router-1", Incarnation: 1}

// request returns the id of a request at router1.
func request(seq uint64) scheduler.RequestID {
	return scheduler.RequestID{Router: router1, Seq: seq}
}

// backlogged is a model in which workspaces always have waiting requests and every
// request of a workspace has the same cost.
type backlogged struct {
	*model
	seq    uint64            // of the last request
	cost   map[string]uint32 // units of each request, by workspace
	hint   map[string]uint32 // of each ticket, by workspace
	served map[string]uint64 // units, by workspace
}

func newBacklogged(t *testing.T, endpoints, slots int) *backlogged {
	b := &backlogged{
		model: newModel(t, scheduler.Options{Origin: 1}),
		cost:  map[string]uint32{}, hint: map[string]uint32{}, served: map[string]uint64{},
	}
	for i := range endpoints {
		b.announce(scheduler.Announced{ID: string(rune('a' + i)), Incarnation: 1, Slots: slots})
	}
	return b
}

// fill adds requests of a workspace until depth of them wait.
func (b *backlogged) fill(workspace string, depth int) {
	waiting := 0
	for _, r := range b.requests {
		if r.endpoint == "" && r.ticket.Workspace == workspace {
			waiting++
		}
	}
	for ; waiting < depth; waiting++ {
		b.seq++
		b.enrol(router1, scheduler.Ticket{Seq: b.seq, Workspace: workspace, Hint: b.hint[workspace]})
	}
}

// step lets every running request use some units, finishes the completed ones, and
// refills the queues. A unit takes 10 ms.
func (b *backlogged) step(units uint32, workspaces ...string) {
	b.now = b.now.Add(time.Duration(units) * 10 * time.Millisecond)
	for _, id := range b.sorted(true) {
		r := b.requests[id]
		r.charged += units
		b.served[r.ticket.Workspace] += uint64(units)
		if r.charged >= b.cost[r.ticket.Workspace] {
			b.finish(id, scheduler.Done, r.charged)
		} else {
			b.progress(id, r.charged)
		}
	}
	b.renew()
	for _, workspace := range workspaces {
		b.fill(workspace, 8)
	}
	b.checkWorkConserving()
}

// Shares are proportional to the weights, whatever requests cost and whatever cost
// callers announce.
func TestShares(t *testing.T) {
	tests := map[string]struct {
		weights map[string]float64
		cost    map[string]uint32
		hint    map[string]uint32
	}{
		"equal":                     {cost: map[string]uint32{"one": 100, "two": 100}},
		"costs differ by ten":       {cost: map[string]uint32{"one": 40, "two": 400}},
		"weights":                   {cost: map[string]uint32{"one": 100, "two": 100}, weights: map[string]float64{"one": 3}},
		"hint is ten times too low": {cost: map[string]uint32{"one": 200, "two": 200}, hint: map[string]uint32{"one": 20}},
		"hint is ten times too big": {cost: map[string]uint32{"one": 200, "two": 200}, hint: map[string]uint32{"one": 2000}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBacklogged(t, 2, 4)
			b.cost = test.cost
			if test.hint != nil {
				b.hint = test.hint
			}
			b.rules.weights = test.weights
			b.apply(scheduler.Configured{Rules: b.rules})
			b.fill("one", 8)
			b.fill("two", 8)
			for range 1500 {
				b.step(10, "one", "two")
				stats := b.pool.Stats(b.now)
				require.LessOrEqual(t, stats.Gap, stats.Bound)
			}
			one := float64(b.served["one"]) / b.rules.Weight("one")
			two := float64(b.served["two"]) / b.rules.Weight("two")
			inFlight := 8 * float64(max(test.cost["one"], test.cost["two"]))
			require.Less(t, math.Abs(one-two), 2*inFlight)
			require.Greater(t, one, 15*inFlight, "the run is too short for a result")
		})
	}
}

// Guards against a workspace that gets all capacity after an idle hour: workspace one is
// served alone, workspace two arrives, both stay backlogged, and without the lift two's
// counter is an hour behind.
func TestIdleTimeBanksNoCredit(t *testing.T) {
	b := newBacklogged(t, 2, 4)
	b.cost["one"], b.cost["two"] = 100, 100
	b.fill("one", 8)
	for range 1000 {
		b.step(10, "one")
	}
	before := b.served["one"]
	for range 200 {
		b.step(10, "one", "two")
	}
	share := float64(b.served["one"]-before) / float64(b.served["one"]-before+b.served["two"])
	require.InDelta(t, 0.5, share, 0.05)
}

// Guards against charging a workspace for units that it did not use: a request is
// granted, its estimate is reserved, its caller cancels after ten units, and the rest of
// the estimate is not released.
func TestAbandonedRequestPaysForWhatItUsed(t *testing.T) {
	m := newModel(t, scheduler.Options{Origin: 1})
	m.announce(scheduler.Announced{ID: "a", Incarnation: 1, Slots: 2})
	m.enrol(router1, scheduler.Ticket{Seq: 1, Workspace: "one", Prompt: 50}, scheduler.Ticket{Seq: 2, Workspace: "two", Prompt: 50})
	m.progress(request(1), 10)
	m.finish(request(1), scheduler.Cancelled, 10)
	m.finish(request(2), scheduler.Unreachable, 0)
	stats := m.pool.Stats(m.now)
	require.EqualValues(t, 60, stats.Workspaces[0].Charged)
	require.EqualValues(t, 0, stats.Workspaces[1].Charged)
	require.Zero(t, stats.Workspaces[0].Reserved+stats.Workspaces[1].Reserved)
}

// Guards against idle capacity while requests wait: the first workspace in line may only
// use a full endpoint, another endpoint has a free slot, and the first in line blocks
// all others.
func TestFullEndpointBlocksNoOther(t *testing.T) {
	m := newModel(t, scheduler.Options{Origin: 1})
	m.rules.denied = map[string]bool{"one/b": true}
	m.apply(scheduler.Configured{Rules: m.rules})
	m.announce(scheduler.Announced{ID: "a", Incarnation: 1, Slots: 1})
	m.enrol(router1, scheduler.Ticket{Seq: 1, Workspace: "one"}, scheduler.Ticket{Seq: 2, Workspace: "one"})
	m.announce(scheduler.Announced{ID: "b", Incarnation: 1, Slots: 1})
	m.enrol(router1, scheduler.Ticket{Seq: 3, Workspace: "two"})
	require.Equal(t, "b", m.requests[request(3)].endpoint)
	require.Empty(t, m.requests[request(2)].endpoint)
}

// Guards against callers that wait until their timeout for an endpoint that does not
// exist: a ticket arrives for a model that no endpoint serves yet, and nothing ends the
// wait.
func TestNoEndpointIsRefused(t *testing.T) {
	m := newModel(t, scheduler.Options{Origin: 1})
	m.announce(scheduler.Announced{ID: "a", Incarnation: 1, Slots: 1, TTL: time.Minute})
	m.enrol(router1, scheduler.Ticket{Seq: 1, Workspace: "one", Model: "absent"})
	next := m.pool.NextDeadline(m.now)
	require.Equal(t, testStart.Add(scheduler.DefaultNoEndpointAfter), next)
	m.now = next.Add(-time.Millisecond)
	require.Empty(t, m.apply(scheduler.Tick{}))
	m.now = next
	actions := m.apply(scheduler.Tick{})
	require.Equal(t, []scheduler.Action{scheduler.Refusal{
		Request: request(1), Reason: scheduler.ReasonNoEndpoint, Retry: scheduler.DefaultNoEndpointAfter,
	}}, actions)
}

// Requests prefer the endpoint that has their prefix cached, until its load outweighs
// the benefit.
func TestPrefixAffinityIsBoundedByLoad(t *testing.T) {
	m := newModel(t, scheduler.Options{Origin: 1})
	m.announce(scheduler.Announced{ID: "a", Incarnation: 1, Slots: 8})
	m.announce(scheduler.Announced{ID: "b", Incarnation: 1, Slots: 8})
	for seq := range uint64(8) {
		m.enrol(router1, scheduler.Ticket{Seq: seq + 1, Workspace: "one", Prefix: 7})
	}
	first := m.requests[request(1)].endpoint
	require.Equal(t, first, m.requests[request(2)].endpoint, "the prefix is cached there")
	other := 0
	for seq := range uint64(8) {
		if m.requests[request(seq+1)].endpoint != first {
			other++
		}
	}
	require.Equal(t, first, m.requests[request(3)].endpoint)
	require.Positive(t, other, "the load outweighs the prefix")
	require.LessOrEqual(t, other, 4, "with the prefix cached at both endpoints, both are used")
}
