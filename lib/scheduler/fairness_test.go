package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"shallotkeel.example/lib/scheduler"
)

// boundWalk is a random interleaving in which the true cost of every request is known,
// so that both sides of the bound in docs/FAIRNESS.md can be computed.
type boundWalk struct {
	*walk
	cost         map[scheduler.RequestID]uint32 // true cost in units, prompt included
	charged      map[scheduler.RequestID]uint64 // units reported to the pool
	chargedTotal map[string]uint64              // sum of charged, by workspace
	waitingSince map[string]int                 // step since which a workspace has been waiting without interruption
	lastServed   map[string]dispatched          // by workspace
	step         int
}

// dispatched is the work in flight when a workspace was last served.
type dispatched struct {
	step      int
	uncharged float64            // its own uncharged true cost in flight, in units divided by its weight
	reserved  map[string]float64 // open estimates of each workspace, in units divided by its weight
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
		b.recordGrants()
	}
}

// progressOrFinish makes a running request report more units, or end.
func (b *boundWalk) progressOrFinish(t *rapid.T) {
	id, found := b.pickRequest(t, true)
	if !found {
		return
	}
	r := b.requests[id]
	remaining := b.cost[id] - r.ticket.Prompt - r.charged
	units := r.charged + rapid.Uint32Range(0, remaining).Draw(t, "units")
	ending := rapid.SampledFrom([]scheduler.Ending{scheduler.Done, scheduler.Cancelled, scheduler.Failed, 0, 0}).Draw(t, "ending")
	if units > 0 {
		reported := uint64(units) + uint64(r.ticket.Prompt)
		b.chargedTotal[r.ticket.Workspace] += reported - b.charged[id]
		b.charged[id] = reported
	}
	if ending == 0 {
		report := scheduler.Report{Router: id.Router, Progress: []scheduler.Progress{{Seq: id.Seq, Charged: units}}}
		b.earlierReports = append(b.earlierReports, report)
		r.charged = units
		b.apply(report)
	} else {
		finish := b.finish(id, ending, units)
		b.earlierReports = append(b.earlierReports, scheduler.Report{Router: id.Router, Finished: []scheduler.Finish{finish}})
	}
	b.recordGrants()
}

// recordGrants records the work in flight for each workspace granted since the last call,
// and since which step each workspace has been waiting.
func (b *boundWalk) recordGrants() {
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
		b.lastServed[workspace] = noted
	}
	b.granted = nil
	for _, w := range stats.Workspaces {
		if w.Waiting == 0 {
			delete(b.waitingSince, w.Workspace)
		} else if _, waits := b.waitingSince[w.Workspace]; !waits {
			b.waitingSince[w.Workspace] = b.step
		}
	}
	b.step++
}

// check asserts the formula for every two workspaces that have both been waiting since
// before the first one was last served:
// counter(i) - counter(j) <= U(i)/w(i) + R(j)/w(j). Every unit counts once,
// however often it is reported.
func (b *boundWalk) check(t *rapid.T) {
	workspaces := b.pool.Stats(b.now).Workspaces
	for _, i := range workspaces {
		require.Equal(t, b.chargedTotal[i.Workspace], i.Charged, "charges of %s", i.Workspace)
		served, found := b.lastServed[i.Workspace]
		from, waits := b.waitingSince[i.Workspace]
		if !found || !waits || served.step <= from {
			continue
		}
		for _, j := range workspaces {
			if other, waitsToo := b.waitingSince[j.Workspace]; waitsToo && other < served.step {
				require.LessOrEqual(t, i.Counter-j.Counter, served.uncharged+served.reserved[j.Workspace]+1e-6,
					"%s is ahead of %s", i.Workspace, j.Workspace)
			}
		}
	}
}

// TestRandomWalkKeepsTheFairnessBound asserts the fairness bound while costs are
// arbitrary, hints are wrong, progress is repeated and late, and endpoints come and go.
func TestRandomWalkKeepsTheFairnessBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := &boundWalk{
			walk: &walk{model: newModel(t, scheduler.Options{Origin: 1}), routers: map[string]uint64{}},
			cost: map[scheduler.RequestID]uint32{}, charged: map[scheduler.RequestID]uint64{},
			chargedTotal: map[string]uint64{}, waitingSince: map[string]int{}, lastServed: map[string]dispatched{},
		}
		b.rules.weights = map[string]float64{"alpha": rapid.Float64Range(0.5, 4).Draw(t, "weight")}
		b.apply(scheduler.Configured{Rules: b.rules})
		for i := range 2 {
			b.announce(scheduler.Announced{ID: fmt.Sprintf("worker-%d", i), Incarnation: 1, Slots: 2, TTL: time.Hour})
		}
		t.Repeat(map[string]func(*rapid.T){
			"enrol":   b.enrolSome,
			"use":     b.progressOrFinish,
			"use2":    b.progressOrFinish,
			"use3":    b.progressOrFinish,
			"repeat":  func(t *rapid.T) { b.repeatEarlier(t); b.recordGrants() },
			"repeat2": func(t *rapid.T) { b.repeatEarlier(t); b.recordGrants() },
			"stray":   func(t *rapid.T) { b.strayEvent(t); b.recordGrants() },
			"give up": func(t *rapid.T) { b.giveUp(t); b.recordGrants() },
			"pass":    func(t *rapid.T) { b.advance(t); b.recordGrants() },
			"endpoint": func(t *rapid.T) {
				b.announce(scheduler.Announced{
					ID: endpointNames().Draw(t, "endpoint"), Incarnation: 1, Slots: 1, TTL: time.Hour,
				})
				b.recordGrants()
			},
			"": b.check,
		})
	})
}
