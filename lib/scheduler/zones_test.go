package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"shallotkeel.example/lib/scheduler"
)

func (w *simulation) drawZone(t *rapid.T) *simZone { return rapid.SampledFrom(w.zones).Draw(t, "zone") }
func (w *simulation) drawRouter(t *rapid.T) *simRouter {
	return rapid.SampledFrom(w.routers).Draw(t, "router")
}
func (w *simulation) drawEndpoint(t *rapid.T) *simEndpoint {
	return rapid.SampledFrom(w.endpoints()).Draw(t, "endpoint")
}

// enrolSome adds requests of one workspace, mostly at the first router.
func (w *simulation) enrolSome(t *rapid.T) {
	r, workspace := w.drawRouter(t), workspaceNames().Draw(t, "workspace")
	if rapid.IntRange(0, 3).Draw(t, "crowded") > 0 {
		r = w.routers[0] // so that other zones have free slots to lend
	}
	for range rapid.IntRange(1, 5).Draw(t, "requests") {
		w.enrol(r, workspace)
	}
}

// drawRequest draws one of the running requests, or one of the others.
func (w *simulation) drawRequest(t *rapid.T, running bool) *simRequest {
	var found []*simRequest
	for _, id := range w.ids() {
		if a := w.requests[id]; a.running == running {
			found = append(found, a)
		}
	}
	if len(found) == 0 {
		return nil
	}
	return found[rapid.IntRange(0, len(found)-1).Draw(t, "request")]
}

// progressOrFinish makes a running request report progress, or end.
func (w *simulation) progressOrFinish(t *rapid.T) {
	a := w.drawRequest(t, true)
	if a == nil {
		return
	}
	a.charged += rapid.Uint32Range(0, 300).Draw(t, "units")
	ending := rapid.SampledFrom([]scheduler.Ending{0, 0, scheduler.Done, scheduler.Done, scheduler.Cancelled, scheduler.Failed, scheduler.Refused, scheduler.Unreachable}).Draw(t, "ending")
	if ending != 0 {
		w.finish(a, ending)
		return
	}
	w.reportProgress(a)
}

// deliverOne delivers a message between zones, sometimes keeping it for a repeat.
func (w *simulation) deliverOne(t *rapid.T) {
	if len(w.messages) > 0 {
		w.deliver(rapid.IntRange(0, len(w.messages)-1).Draw(t, "message"), rapid.IntRange(0, 3).Draw(t, "repeated") == 0)
	}
}

func (w *simulation) loseOne(t *rapid.T) {
	if len(w.messages) > 0 {
		at := rapid.IntRange(0, len(w.messages)-1).Draw(t, "message")
		w.messages = append(w.messages[:at], w.messages[at+1:]...)
	}
}

func (w *simulation) advanceSome(t *rapid.T) {
	w.advance(time.Duration(rapid.IntRange(1, 2500).Draw(t, "milliseconds")) * time.Millisecond)
}

// toggleLink cuts or restores the link from one zone to another, in one direction.
func (w *simulation) toggleLink(t *rapid.T) {
	from, to := w.drawZone(t), w.drawZone(t)
	to.blockedFrom[from.name] = from != to && !to.blockedFrom[from.name]
}

// exchangeAtOnce delivers the offers of the busiest zone, the first one, at once. The
// answers stay in flight.
func (w *simulation) exchangeAtOnce(*rapid.T) {
	from := len(w.messages)
	w.sendOffers(w.zones[0])
	for range len(w.messages) - from {
		w.deliver(from, false)
	}
}

// runSteps runs a sequence of the most frequent steps, with a check after each.
func (w *simulation) runSteps(t *rapid.T) {
	steps := []func(*rapid.T){
		w.enrolSome, w.progressOrFinish, w.progressOrFinish, w.deliverOne, w.deliverOne,
		func(t *rapid.T) { w.deliverReport(w.drawRouter(t)) },
		func(t *rapid.T) { w.deliverReport(w.drawRouter(t)) },
		func(t *rapid.T) { w.deliverGrant(w.drawRouter(t)) },
		func(t *rapid.T) { w.deliverGrant(w.drawRouter(t)) },
		func(t *rapid.T) { w.announce(w.drawEndpoint(t)) },
		func(t *rapid.T) { w.sendOffers(w.drawZone(t)) },
		w.exchangeAtOnce,
		w.exchangeAtOnce,
	}
	for range rapid.IntRange(1, 16).Draw(t, "steps") {
		rapid.SampledFrom(steps).Draw(t, "step")(t)
		w.check()
	}
}

// TestRandomWalkOverZones checks the invariants of simulation.check after every event
// of random interleavings of pools that exchange under loss, repetition, delay,
// reordering and one-way partitions, while schedulers, routers and endpoints restart.
// Then the faults stop, and every request has to be served, every slot returned, and
// all pools have to count the same charges.
func TestRandomWalkOverZones(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t, rapid.IntRange(2, 4).Draw(t, "zones"))
		for _, e := range w.endpoints() {
			w.announce(e)
		}
		actions := map[string]func(*rapid.T){
			"scheduler": func(t *rapid.T) { w.replaceScheduler(w.drawZone(t)) },
			"router":    func(t *rapid.T) { w.restartRouter(w.drawRouter(t)) },
			"endpoint":  func(t *rapid.T) { w.restartEndpoint(w.drawEndpoint(t)) },
			"session":   func(t *rapid.T) { w.startSession(w.drawRouter(t)) },
			"lose":      w.loseOne,
			"cut":       w.toggleLink,
			"pass2":     w.advanceSome,
			"pass":      w.advanceSome,
			"give up": func(t *rapid.T) {
				if a := w.drawRequest(t, false); a != nil {
					w.finish(a, scheduler.Cancelled)
				}
			},
			"": func(*rapid.T) { w.check() },
		}
		for i := range 4 {
			actions[fmt.Sprintf("work %d", i)] = w.runSteps
		}
		t.Repeat(actions)
		w.stopFaults()
		w.checkAgreement()
	})
}

// round delivers every message in flight, sends the offers of every pool, and finishes
// every running request.
func (w *simulation) round() {
	for _, e := range w.endpoints() {
		w.announce(e)
	}
	for _, r := range w.routers {
		w.deliverReport(r)
		for len(r.reports)+len(r.grants) > 0 {
			w.deliverReport(r)
			w.deliverGrant(r)
		}
	}
	for _, s := range w.zones {
		w.sendOffers(s)
	}
	for len(w.messages) > 0 {
		w.deliver(0, false)
	}
	w.check()
	for _, id := range w.ids() {
		if a := w.requests[id]; a.running {
			a.charged += 10
			w.finish(a, scheduler.Done)
		}
	}
	w.advance(200 * time.Millisecond)
}

// stopFaults restores all links, starts new sessions and serves the waiting requests.
func (w *simulation) stopFaults() {
	for _, s := range w.zones {
		clear(s.blockedFrom)
	}
	for _, r := range w.routers {
		w.startSession(r)
	}
	w.serveAll()
}

// serveAll runs rounds until all requests are finished and requires that no request, slot
// or estimate is left at any pool.
func (w *simulation) serveAll() {
	for rounds := 0; w.unfinished > 0; rounds++ {
		require.Less(w.t, rounds, 1000, "requests are still unfinished: %v", w.ids())
		w.round()
	}
	// A loan whose borrower was replaced ends with its lease, and the return of a loan
	// takes two exchanges.
	for end := w.lastLease().Add(6 * time.Second); w.now.Before(end); {
		w.round()
	}
	for _, s := range w.zones {
		stats := s.pool.Stats(w.now)
		require.Zero(w.t, stats.Waiting+stats.Running, "requests at %s", s.name)
		require.Zero(w.t, stats.Lent+stats.Borrowed+stats.Held, "slots at %s", s.name)
		for _, e := range stats.Endpoints {
			require.Zero(w.t, e.Busy, "slots of %s", e.Endpoint)
		}
		for _, workspace := range stats.Workspaces {
			require.Zero(w.t, workspace.Reserved, "an estimate of %s was not released", workspace.Workspace)
		}
	}
}

// lastLease returns when the last of the current loans expires.
func (w *simulation) lastLease() time.Time {
	last := w.now
	for _, l := range w.loans {
		if !l.ended && l.expires.After(last) {
			last = l.expires
		}
	}
	return last
}

// checkAgreement requires that all pools count the same charges from now on. Their
// earlier counts differ by the rows that a new origin absorbed on first sight.
func (w *simulation) checkAgreement() {
	w.resendRows()
	before := w.chargedByZone()
	for i, r := range w.routers {
		for n := range 3 * (i + 1) {
			w.enrol(r, []string{"alpha", "beta", "gamma", "delta"}[(i+n)%4])
		}
	}
	w.serveAll()
	w.resendRows()
	after := w.chargedByZone()
	for i, s := range w.zones {
		for name, units := range after[i] {
			require.Equal(w.t, after[0][name]-before[0][name], units-before[i][name], "%s at %s and %s", name, s.name, w.zones[0].name)
		}
	}
}

// resendRows runs rounds until every row has been sent again and every origin is known
// to all others, so that no more rows are absorbed.
func (w *simulation) resendRows() {
	for range 100 {
		w.advance(4 * time.Second)
		w.round()
	}
}

// chargedByZone returns the charged units in each pool's history, by workspace.
func (w *simulation) chargedByZone() []map[string]uint64 {
	var all []map[string]uint64
	for _, s := range w.zones {
		charged := make(map[string]uint64)
		for _, total := range s.pool.History() {
			charged[total.Workspace] = total.Charged
		}
		all = append(all, charged)
	}
	return all
}
