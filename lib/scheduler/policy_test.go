package scheduler_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/scheduler"
)

var router1 = scheduler.RouterID{Name: "router-1", Incarnation: 1}

func request(seq uint64) scheduler.RequestID {
	return scheduler.RequestID{Router: router1, Seq: seq}
}

// bench keeps a model's workspaces backlogged and serves a number of requests.
type bench struct {
	*model
	seq    uint64
	cost   map[string]uint32
	hint   map[string]uint32
	served map[string]uint64
}

func newBench(t *testing.T, endpoints, slots int) *bench {
	b := &bench{
		model: newModel(t, scheduler.Options{Origin: 1}),
		cost:  map[string]uint32{}, hint: map[string]uint32{}, served: map[string]uint64{},
	}
	for i := range endpoints {
		b.announce(scheduler.Announced{ID: string(rune('a' + i)), Incarnation: 1, Slots: slots})
	}
	return b
}

func (b *bench) fill(workspace string, depth int) {
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

// step streams one unit at a time to every running request, ends those that
// have all, and refills.
func (b *bench) step(unit uint32, workspaces ...string) {
	b.now = b.now.Add(time.Duration(unit) * 10 * time.Millisecond)
	for _, id := range b.sorted(true) {
		r := b.requests[id]
		r.charged += unit
		b.served[r.ticket.Workspace] += uint64(unit)
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
	b.checkConserved()
}

// Shares are equal by weight whatever requests cost and whatever callers say
// that they will cost.
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
			b := newBench(t, 2, 4)
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
			require.Greater(t, one, 15*inFlight, "too short to tell")
		})
	}
}

// Symptom: a workspace that was idle for an hour gets all capacity when it
// comes back. Sequence: one works alone, two arrives, both stay backlogged.
// Cause: without the lift two's counter lies an hour behind.
func TestIdleTimeBanksNoCredit(t *testing.T) {
	b := newBench(t, 2, 4)
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

// Symptom: a workspace whose callers leave early pays for what it never got.
// Sequence: a request is granted, its estimate charged, its caller leaves after
// ten units. Cause: the estimate is not given back.
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

// Symptom: capacity idles although work waits. Sequence: the workspace that is
// first in line may only use a full endpoint; another has room. Cause: the
// first in line holds up all behind it.
func TestFullEndpointHoldsUpNoOther(t *testing.T) {
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

// Symptom: callers wait until their timeout for an endpoint that does not
// exist. Sequence: a ticket arrives for a model that nobody serves, then one
// does. Cause: nothing ends the wait.
func TestNoEndpointIsRefused(t *testing.T) {
	m := newModel(t, scheduler.Options{Origin: 1})
	m.announce(scheduler.Announced{ID: "a", Incarnation: 1, Slots: 1, TTL: time.Minute})
	m.enrol(router1, scheduler.Ticket{Seq: 1, Workspace: "one", Model: "absent"})
	next := m.pool.NextDeadline(m.now)
	require.Equal(t, zero.Add(scheduler.DefaultNoEndpointAfter), next)
	m.now = next.Add(-time.Millisecond)
	require.Empty(t, m.apply(scheduler.Tick{}))
	m.now = next
	actions := m.apply(scheduler.Tick{})
	require.Equal(t, []scheduler.Action{scheduler.Refusal{
		Request: request(1), Reason: scheduler.ReasonNoEndpoint, Retry: scheduler.DefaultNoEndpointAfter,
	}}, actions)
}

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
	require.LessOrEqual(t, other, 4, "once both have it they share it")
}
