package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"shallotkeel.example/lib/scheduler"
)

// walk is one random interleaving of all events of a pool.
type walk struct {
	*model
	routers        map[string]uint64  // restarts, by router name
	seq            uint64             // of the last request
	earlierReports []scheduler.Report // may be repeated
}

// router draws a router in its current incarnation.
func (w *walk) router(t *rapid.T) scheduler.RouterID {
	name := rapid.SampledFrom([]string{"router-1", "router-2", "router-3"}).Draw(t, "router")
	return scheduler.RouterID{Name: name, Incarnation: 1 + w.routers[name]}
}

func endpointNames() *rapid.Generator[string] {
	return rapid.SampledFrom([]string{"worker-1", "worker-2", "worker-3", "worker-4"})
}

func workspaceNames() *rapid.Generator[string] {
	return rapid.SampledFrom([]string{"alpha", "beta", "gamma", "delta"})
}

func (w *walk) ticket(t *rapid.T) scheduler.Ticket {
	w.seq++
	ticket := scheduler.Ticket{
		Seq: w.seq, Workspace: workspaceNames().Draw(t, "workspace"), Model: "draft",
		Hint: rapid.Uint32Range(0, 4000).Draw(t, "hint"), Prompt: rapid.Uint32Range(0, 500).Draw(t, "prompt"),
		Prefix: rapid.Uint64Range(0, 4).Draw(t, "prefix"), Alone: rapid.IntRange(0, 7).Draw(t, "alone") == 0,
	}
	if rapid.IntRange(0, 3).Draw(t, "other model") == 0 {
		ticket.Model = "long"
	}
	if rapid.IntRange(0, 5).Draw(t, "avoids") == 0 {
		ticket.Avoid = []string{endpointNames().Draw(t, "avoid")}
	}
	return ticket
}

func (w *walk) enrolSome(t *rapid.T) {
	tickets := make([]scheduler.Ticket, rapid.IntRange(1, 6).Draw(t, "tickets"))
	for i := range tickets {
		tickets[i] = w.ticket(t)
	}
	w.enrol(w.router(t), tickets...)
}

// pickRequest draws a running request, or else a waiting one, if there is one.
func (w *walk) pickRequest(t *rapid.T, running bool) (scheduler.RequestID, bool) {
	ids := w.sorted(running)
	if len(ids) == 0 {
		return scheduler.RequestID{}, false
	}
	return ids[rapid.IntRange(0, len(ids)-1).Draw(t, "request")], true
}

func (w *walk) progressOne(t *rapid.T) {
	if id, found := w.pickRequest(t, true); found {
		w.progress(id, w.requests[id].charged+rapid.Uint32Range(1, 300).Draw(t, "units"))
		w.earlierReports = append(w.earlierReports, scheduler.Report{
			Router: id.Router, Progress: []scheduler.Progress{{Seq: id.Seq, Charged: w.requests[id].charged}},
		})
	}
}

// strayEvent applies an event that does not match the state of the pool: for an unknown
// request or router, from another zone, or from a former incarnation.
func (w *walk) strayEvent(t *rapid.T) {
	seq := w.seq + rapid.Uint64Range(1, 1000).Draw(t, "seq")
	unknown := scheduler.RouterID{Name: "router-9", Incarnation: 1}
	w.apply(rapid.SampledFrom([]scheduler.Event{
		scheduler.Report{Router: w.router(t), Progress: []scheduler.Progress{{Seq: seq, Charged: 1 << 30}}},
		scheduler.Report{Router: w.router(t), Finished: []scheduler.Finish{{Seq: seq, Charged: 1 << 30, Ending: scheduler.Done}}},
		scheduler.RouterGone{Router: unknown},
		scheduler.Declinations{Router: unknown, Seqs: []uint64{seq}},
		scheduler.Declinations{Router: w.router(t), Seqs: []uint64{seq}},
		scheduler.Compared{Zone: "verona-b", Origin: 7, Returned: []uint64{seq}, Renewed: []uint64{seq, 0}, Idle: -1},
		scheduler.Compared{Zone: "trento-a", Origin: 7, Demand: []scheduler.Demand{{Workspace: "alpha", Model: "draft", Waiting: 9}}},
		scheduler.Compared{Zone: "verona-b", Origin: 7, Demand: []scheduler.Demand{{Workspace: "alpha", Model: "absent", Waiting: -9}}},
		scheduler.Lent{Zone: "verona-b", Loans: []scheduler.Loan{{ID: seq, Workspace: "absent", Endpoint: "far", Lease: time.Second}}},
		scheduler.History{},
		scheduler.Announced{ID: "worker-1", Incarnation: 0, Slots: 1000},
		scheduler.Announced{ID: "worker-9", Incarnation: 1, Slots: 1000, Leaving: true},
	}).Draw(t, "stray"))
}

func (w *walk) finishOne(t *rapid.T) {
	id, found := w.pickRequest(t, true)
	if !found {
		return
	}
	endings := []scheduler.Ending{
		scheduler.Done, scheduler.Done, scheduler.Done, scheduler.Cancelled,
		scheduler.Failed, scheduler.Refused, scheduler.Unreachable, scheduler.Declined,
	}
	ending := rapid.SampledFrom(endings).Draw(t, "ending")
	finish := w.finish(id, ending, w.requests[id].charged+rapid.Uint32Range(0, 300).Draw(t, "units"))
	w.earlierReports = append(w.earlierReports, scheduler.Report{Router: id.Router, Finished: []scheduler.Finish{finish}})
}

func (w *walk) repeatEarlier(t *rapid.T) {
	if len(w.earlierReports) > 0 {
		w.apply(rapid.SampledFrom(w.earlierReports).Draw(t, "former"))
	}
}

func (w *walk) giveUp(t *rapid.T) {
	if id, found := w.pickRequest(t, false); found {
		w.finish(id, scheduler.Cancelled, 0)
	}
}

func (w *walk) decline(t *rapid.T) {
	if id, found := w.pickRequest(t, true); found && w.requests[id].charged == 0 {
		delete(w.requests, id)
		w.apply(scheduler.Declinations{Router: id.Router, Seqs: []uint64{id.Seq}})
	}
}

func (w *walk) announceOne(t *rapid.T) {
	id := endpointNames().Draw(t, "endpoint")
	a := scheduler.Announced{
		ID: id, Incarnation: max(1, w.endpoints[id].Incarnation), Slots: rapid.IntRange(0, 5).Draw(t, "slots"),
		Leaving: rapid.IntRange(0, 9).Draw(t, "leaving") == 0,
	}
	if known, found := w.endpoints[id]; found && !a.Leaving {
		a.Slots = max(a.Slots, known.Slots) // a separate test covers a shrinking number of slots
	}
	if rapid.IntRange(0, 5).Draw(t, "restarted") == 0 {
		a.Incarnation++
	}
	if rapid.Bool().Draw(t, "long") {
		a.Models = []string{"draft", "long"}
	}
	if known, found := w.endpoints[id]; found && known.Leaving {
		a.Incarnation = known.Incarnation + 1
	}
	if a.Leaving && w.endpoints[id].ID == "" {
		return
	}
	w.announce(a)
}

func (w *walk) configure(t *rapid.T) {
	w.rules = rules{weights: map[string]float64{}, denied: map[string]bool{}, drained: map[string]bool{}}
	w.rules.weights["alpha"] = rapid.Float64Range(0.5, 4).Draw(t, "weight")
	for range rapid.IntRange(0, 4).Draw(t, "denials") {
		w.rules.denied[workspaceNames().Draw(t, "workspace")+"/"+endpointNames().Draw(t, "endpoint")] = true
	}
	if rapid.IntRange(0, 3).Draw(t, "drains") == 0 {
		w.rules.drained[endpointNames().Draw(t, "endpoint")] = true
	}
	w.apply(scheduler.Configured{Rules: w.rules})
}

// restartRouter starts a new incarnation of a router. Either the pool is notified that
// the former one is gone, or a report of the former one arrives after one of the new.
func (w *walk) restartRouter(t *rapid.T) {
	id := w.router(t)
	w.dropRequests(id)
	if rapid.Bool().Draw(t, "noticed") {
		w.apply(scheduler.RouterGone{Router: id})
		w.routers[id.Name]++
		return
	}
	w.routers[id.Name]++
	late := scheduler.Report{Router: id, Full: true, Tickets: []scheduler.Ticket{w.ticket(t)}}
	id.Incarnation++
	w.apply(scheduler.Report{Router: id, Full: true})
	w.apply(late) // from the former incarnation
}

// dropRequests forgets the requests of a router's incarnation.
func (w *walk) dropRequests(id scheduler.RouterID) {
	for request := range w.requests {
		if request.Router == id {
			delete(w.requests, request)
		}
	}
}

func (w *walk) reportFull(t *rapid.T) {
	router := w.router(t)
	w.apply(w.fullReport(router))
}

// fullReport returns a full report of a router's requests.
func (w *walk) fullReport(router scheduler.RouterID) scheduler.Report {
	report := scheduler.Report{Router: router, Full: true}
	for _, id := range append(w.sorted(false), w.sorted(true)...) {
		r := w.requests[id]
		switch {
		case id.Router != router:
		case r.endpoint == "":
			report.Tickets = append(report.Tickets, r.ticket)
		default:
			report.Running = append(report.Running, scheduler.Running{
				Seq: id.Seq, Workspace: r.ticket.Workspace, Model: r.ticket.Model, Endpoint: r.endpoint, Charged: r.charged,
			})
		}
	}
	return report
}

func (w *walk) advance(t *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "milliseconds")) * time.Millisecond)
	w.apply(scheduler.Tick{})
}

// TestRandomWalk checks the invariants of the package after every event of random
// interleavings: a waiting request has one grant at a time, grants never exceed an
// endpoint's slots and never violate the rules, the lease or the ticket, and no request
// waits while an eligible endpoint has a free slot.
func TestRandomWalk(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &walk{model: newModel(t, scheduler.Options{Origin: 1}), routers: map[string]uint64{}}
		for _, id := range []string{"worker-1", "worker-2"} {
			w.announce(scheduler.Announced{ID: id, Incarnation: 1, Slots: 2})
		}
		t.Repeat(map[string]func(*rapid.T){
			"enrol":    w.enrolSome,
			"progress": w.progressOne,
			"finish":   w.finishOne,
			"finish2":  w.finishOne,
			"repeat":   w.repeatEarlier,
			"stray":    w.strayEvent,
			"give up":  w.giveUp,
			"decline":  w.decline,
			"announce": w.announceOne,
			"renew":    func(*rapid.T) { w.renew() },
			"rules":    w.configure,
			"restart":  w.restartRouter,
			"full":     w.reportFull,
			"pass":     w.advance,
			"":         func(*rapid.T) { w.checkWorkConserving() },
		})
		w.drain(t)
	})
}

// drain finishes all requests on healthy endpoints and requires that no ticket starves
// and no slot or estimate leaks.
func (w *walk) drain(t *rapid.T) {
	w.rules = rules{}
	w.apply(scheduler.Configured{Rules: w.rules})
	for i := range 4 {
		id := fmt.Sprintf("worker-%d", i+1)
		w.announce(scheduler.Announced{ID: id, Incarnation: w.endpoints[id].Incarnation + 1, Slots: 2, Models: []string{"draft", "long"}})
	}
	for rounds := 0; len(w.requests) > 0; rounds++ {
		require.Less(t, rounds, 1000, "requests are still waiting: %v", w.sorted(false))
		for _, id := range w.sorted(true) {
			w.finish(id, scheduler.Done, w.requests[id].charged+10)
		}
		w.now = w.now.Add(100 * time.Millisecond)
		w.renew()
	}
	stats := w.pool.Stats(w.now)
	require.Zero(t, stats.Waiting+stats.Running)
	for _, e := range stats.Endpoints {
		require.Zero(t, e.Busy, "a slot of %s leaked", e.Endpoint)
	}
	for _, workspace := range stats.Workspaces {
		require.Zero(t, workspace.Reserved, "an estimate of %s was not released", workspace.Workspace)
	}
}
