package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"shallotkeel.example/lib/scheduler"
)

// boundWalk is a random interleaving in which every request has a true cost, so
// that both sides of the bound of docs/FAIRNESS.md are known.
type boundWalk struct {
	*walk
	cost    map[scheduler.RequestID]uint32 // units with the prompt
	charged map[scheduler.RequestID]uint64 // units that the pool has been told of
	total   map[string]uint64              // of charged, by workspace
	since   map[string]int                 // step from which a workspace has waited without a break
	last    map[string]dispatched
	step    int
}

// dispatched is what was in flight when a workspace was last served.
type dispatched struct {
	step      int
	uncharged float64            // its own true cost in flight, units by weight
	reserved  map[string]float64 // the estimates of each workspace, units by weight
}

func (b *boundWalk) enrolSome(t *rapid.T) {
	workspace := workspaceNames().Draw(t, "workspace")
	router := b.router(t)
	for range rapid.IntRange(1, 6).Draw(t, "tickets") {
		b.seq++
		ticket := scheduler.Ticket{
			Seq: b.seq, Workspace: workspace,
			Hint: rapid.Uint32Range(0, 4000).Draw(t, "hint"), Prompt: rapid.Uint32Range(0, 200).Draw(t, "prompt"),
		}
		b.cost[scheduler.RequestID{Router: router, Seq: ticket.Seq}] = ticket.Prompt + rapid.Uint32Range(1, 2000).Draw(t, "cost")
		b.enrol(router, ticket)
		b.note()
	}
}

// use makes a running request report more units, or end.
func (b *boundWalk) use(t *rapid.T) {
	id, found := b.pick(t, true)
	if !found {
		return
	}
	r := b.requests[id]
	left := b.cost[id] - r.ticket.Prompt - r.charged
	units := r.charged + rapid.Uint32Range(0, left).Draw(t, "units")
	ending := rapid.SampledFrom([]scheduler.Ending{scheduler.Done, scheduler.Cancelled, scheduler.Failed, 0, 0}).Draw(t, "ending")
	if units > 0 {
		told := uint64(units) + uint64(r.ticket.Prompt)
		b.total[r.ticket.Workspace] += told - b.charged[id]
		b.charged[id] = told
	}
	if ending == 0 {
		report := scheduler.Report{Router: id.Router, Progress: []scheduler.Progress{{Seq: id.Seq, Charged: units}}}
		b.former = append(b.former, report)
		r.charged = units
		b.apply(report)
	} else {
		finish := b.finish(id, ending, units)
		b.former = append(b.former, scheduler.Report{Router: id.Router, Finished: []scheduler.Finish{finish}})
	}
	b.note()
}

// note remembers what was in flight at the grants since the last call.
func (b *boundWalk) note() {
	stats := b.pool.Stats(b.now)
	for _, workspace := range b.granted {
		noted := dispatched{step: b.step, reserved: make(map[string]float64)}
		for id, r := range b.requests {
			if r.endpoint != "" && r.ticket.Workspace == workspace {
				noted.uncharged += (float64(b.cost[id]) - float64(b.charged[id])) / b.rules.Weight(workspace)
			}
		}
		for _, w := range stats.Workspaces {
			noted.reserved[w.Workspace] = float64(w.Reserved) / w.Weight
		}
		b.last[workspace] = noted
	}
	b.granted = nil
	for _, w := range stats.Workspaces {
		if w.Waiting == 0 {
			delete(b.since, w.Workspace)
		} else if _, waits := b.since[w.Workspace]; !waits {
			b.since[w.Workspace] = b.step
		}
	}
	b.step++
}

// check asserts the formula for every two workspaces that have both waited since
// before the first one was last served:
// counter(i) - counter(j) <= U(i)/w(i) + R(j)/w(j). Every unit counts once,
// however often it is told.
func (b *boundWalk) check(t *rapid.T) {
	workspaces := b.pool.Stats(b.now).Workspaces
	for _, i := range workspaces {
		require.Equal(t, b.total[i.Workspace], i.Charged, "charges of %s", i.Workspace)
		served, found := b.last[i.Workspace]
		from, waits := b.since[i.Workspace]
		if !found || !waits || served.step <= from {
			continue
		}
		for _, j := range workspaces {
			if other, waitsToo := b.since[j.Workspace]; waitsToo && other < served.step {
				require.LessOrEqual(t, i.Counter-j.Counter, served.uncharged+served.reserved[j.Workspace]+1e-6,
					"%s is ahead of %s", i.Workspace, j.Workspace)
			}
		}
	}
}

// TestWalkKeepsTheBound asserts the formula of the bound while requests cost
// anything, hints lie, progress is repeated and late, and endpoints come and go.
func TestWalkKeepsTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := &boundWalk{
			walk: &walk{model: newModel(t, scheduler.Options{Origin: 1}), routers: map[string]uint64{}},
			cost: map[scheduler.RequestID]uint32{}, charged: map[scheduler.RequestID]uint64{},
			total: map[string]uint64{}, since: map[string]int{}, last: map[string]dispatched{},
		}
		b.rules.weights = map[string]float64{"alpha": rapid.Float64Range(0.5, 4).Draw(t, "weight")}
		b.apply(scheduler.Configured{Rules: b.rules})
		for i := range 2 {
			b.announce(scheduler.Announced{ID: fmt.Sprintf("worker-%d", i), Incarnation: 1, Slots: 2, TTL: time.Hour})
		}
		t.Repeat(map[string]func(*rapid.T){
			"enrol":   b.enrolSome,
			"use":     b.use,
			"use2":    b.use,
			"use3":    b.use,
			"repeat":  func(t *rapid.T) { b.repeatFormer(t); b.note() },
			"repeat2": func(t *rapid.T) { b.repeatFormer(t); b.note() },
			"stray":   func(t *rapid.T) { b.stray(t); b.note() },
			"give up": func(t *rapid.T) { b.giveUp(t); b.note() },
			"pass":    func(t *rapid.T) { b.pass(t); b.note() },
			"endpoint": func(t *rapid.T) {
				b.announce(scheduler.Announced{
					ID: endpointNames().Draw(t, "endpoint"), Incarnation: 1, Slots: 1, TTL: time.Hour,
				})
				b.note()
			},
			"": b.check,
		})
	})
}
