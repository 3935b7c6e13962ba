package scheduler

import (
	"net/netip"
	"slices"
	"time"

	"shallotkeel.example/lib/labeler"
	"shallotkeel.example/lib/throttler"
)

// endpoint is one incarnation of an endpoint.
type endpoint struct {
	id              string
	incarnation     uint64
	address         netip.AddrPort
	labels          labeler.Labels
	models          []string
	index           int       // in Pool.endpointsByIndex
	expires         time.Time // end of the time to live of the last announcement
	leaving         bool
	draining        bool
	gone            bool // superseded or removed; requests still running there no longer hold slots
	throttle        throttler.Throttler
	probation       probation
	prefixes        prefixes
	running         int       // requests of this pool
	lent            int       // slots lent to other zones
	held            int       // slots reserved for another zone until its next exchange
	suspects        int       // running requests suspected of crashing endpoints
	hung            bool      // no progress within hangTimeout
	lastProgress    time.Time // time of the last progress, or of the first request after an idle period
	virtualTime     float64   // counter of the workspace last served here
	pace            float64   // mean time per unit, in nanoseconds; 0 if unknown
	foreign         int       // requests there that this pool did not send
	reportedForeign int       // foreign requests according to the last announcement
	peak            int       // maximum of running plus lent since the last announcement
	peakBefore      int       // peak of the announcement period before

	eligible      bool // as last recorded by Pool.recount
	countedBusy   int  // part of Pool.busy
	countedUsable int  // part of Pool.usable
}

// busy returns the slots in use by own requests, loans and holds.
func (e *endpoint) busy() int {
	return e.running + e.lent + e.held
}

// isEligible reports whether the endpoint may receive work at all, now or after
// it has recovered from failures.
func (e *endpoint) isEligible(now time.Time) bool {
	return !e.gone && !e.leaving && !e.draining && now.Before(e.expires)
}

// limit returns how many requests the endpoint may run at once now.
func (e *endpoint) limit(now time.Time) int {
	if !e.isEligible(now) || e.hung || e.probation.closed(now) {
		return 0
	}
	if e.probation.probing {
		return min(1, e.throttle.Window())
	}
	return e.throttle.Window()
}

// freeSlots returns how many more requests the endpoint may receive now. It is
// negative if the endpoint is over its limit.
func (e *endpoint) freeSlots(now time.Time) int {
	return e.limit(now) - e.busy() - e.foreign
}

// Limits of detecting a hung endpoint.
const (
	// hungFactor is the multiple of the mean wait before the first unit, in excess
	// of the shortest one, and for plain services of the mean service time as
	// well, after which an endpoint without progress counts as hung.
	hungFactor = 4
)

// hangTimeout returns how long the endpoint may have work without showing
// progress before it counts as hung.
func (e *endpoint) hangTimeout(options Options) time.Duration {
	expected := e.throttle.Wait()
	if options.Plain {
		expected += e.throttle.Service()
	}
	return max(options.HungAfter, hungFactor*expected)
}

// noteProgress records evidence that the endpoint is working on its requests.
func (e *endpoint) noteProgress(now time.Time) {
	e.lastProgress = now
	e.hung = false
}

// occupy counts a request that has been sent to the endpoint.
func (e *endpoint) occupy(now time.Time, suspect bool) {
	if e.running == 0 {
		e.lastProgress = now
	}
	e.running++
	e.peak = max(e.peak, e.running+e.lent)
	if suspect {
		e.suspects++
	}
}

// vacate removes a request from the endpoint's counts.
func (e *endpoint) vacate(now time.Time, suspect bool) {
	e.running--
	if suspect {
		e.suspects--
	}
	if e.running == 0 && e.hung {
		// No request is left there that could show progress, so probation sends
		// one request at a time to find out whether the endpoint works again.
		e.hung = false
		e.probation.fail(now)
	}
}

// estimateForeign estimates from the reported load how many requests other
// senders have there, such as another scheduler during a handover. The report
// lags, so the recent peak of this pool's own requests is subtracted, and only
// what two consecutive reports show counts. The first report of an endpoint
// counts at once, because a new scheduler finds endpoints with running requests
// that have not been reported to it yet.
func (e *endpoint) estimateForeign(load int, first bool) {
	foreign := max(0, load-max(e.peak, e.peakBefore))
	e.foreign = min(foreign, e.reportedForeign)
	if first {
		e.foreign = foreign
	}
	e.reportedForeign = foreign
	e.peakBefore, e.peak = e.peak, e.running+e.lent
}

// applyAnnouncement processes an announcement of an endpoint.
func (p *Pool) applyAnnouncement(now time.Time, a Announced) {
	known := p.endpoints[a.ID]
	if known != nil && a.Incarnation < known.incarnation {
		return
	}
	if known != nil && a.Incarnation > known.incarnation {
		p.removeEndpoint(now, known)
		known = nil
	}
	first := known == nil
	if first {
		if a.Leaving {
			return
		}
		known = p.addEndpoint(now, a)
	}
	p.updateEndpoint(now, known, a, first)
}

// addEndpoint registers a new endpoint. An endpoint known under another ID at
// the same address has been replaced, because only one process can listen
// there.
func (p *Pool) addEndpoint(now time.Time, a Announced) *endpoint {
	for _, other := range p.endpointsByIndex {
		if other != nil && other.address == a.Address && a.Address.IsValid() {
			p.removeEndpoint(now, other)
		}
	}
	added := &endpoint{id: a.ID, incarnation: a.Incarnation, index: p.freeIndex(), virtualTime: p.virtualTime}
	p.endpointsByIndex[added.index] = added
	p.endpoints[a.ID] = added
	return added
}

// freeIndex returns an unused index of endpointsByIndex, which grows if needed.
func (p *Pool) freeIndex() int {
	if free := slices.Index(p.endpointsByIndex, nil); free >= 0 {
		return free
	}
	p.endpointsByIndex = append(p.endpointsByIndex, nil)
	return len(p.endpointsByIndex) - 1
}

// updateEndpoint applies an announcement to a known endpoint; first says that it
// is the endpoint's first one.
func (p *Pool) updateEndpoint(now time.Time, e *endpoint, a Announced, first bool) {
	changed := first || !equalLabels(e.labels, a.Labels) || !slices.Equal(e.models, a.Models)
	e.address = a.Address
	e.labels = a.Labels
	e.models = a.Models
	e.leaving = e.leaving || a.Leaving // an announcement may be older than the endpoint's last answer
	e.expires = now.Add(a.TTL)
	p.addDeadline(e.expires)
	e.throttle.Resize(a.Slots)
	for _, prefix := range a.Cached {
		e.prefixes.noteCached(prefix)
	}
	for _, prefix := range a.Evicted {
		e.prefixes.noteEvicted(now, prefix)
	}
	if changed {
		p.updateAllowed(e)
	}
	if first {
		p.attachRequests(now, e)
	}
	e.estimateForeign(a.Load, first)
	p.recount(now, e)
}

func equalLabels(a, b labeler.Labels) bool {
	if len(a) != len(b) {
		return false
	}
	for key, value := range a {
		if other, found := b[key]; !found || other != value {
			return false
		}
	}
	return true
}

// attachRequests assigns to a newly announced endpoint the requests that
// routers reported as running there.
func (p *Pool) attachRequests(now time.Time, e *endpoint) {
	for _, r := range p.unplaced[e.id] {
		if r.running && r.endpoint == nil && r.borrowing == nil && r.target == e.id {
			r.endpoint = e
			e.occupy(now, r.lane.key.alone)
		}
	}
	delete(p.unplaced, e.id)
}

// updateAllowed reevaluates the rules on which workspaces may use the endpoint.
func (p *Pool) updateAllowed(e *endpoint) {
	if p.rules == nil {
		return
	}
	e.draining = p.rules.Draining(e.id, e.labels)
	for _, w := range p.workspaceList {
		w.allowed.put(e.index, p.rules.Allowed(w.name, e.id, e.labels))
	}
	p.regroup = true
}

// removeEndpoint removes an endpoint. Its requests continue until their routers
// finish them, but no longer hold a slot.
func (p *Pool) removeEndpoint(now time.Time, e *endpoint) {
	e.gone = true
	p.recount(now, e)
	p.dropLoans(e)
	p.endpointsByIndex[e.index] = nil
	for _, w := range p.workspaceList {
		w.allowed.remove(e.index)
	}
	delete(p.endpoints, e.id)
	p.regroup = true
}

// recount updates the sets of eligible and available endpoints and the sums of
// slots. It must be called after every change of an endpoint.
func (p *Pool) recount(now time.Time, e *endpoint) {
	eligible := e.isEligible(now)
	if eligible != e.eligible {
		e.eligible = eligible
		p.eligible.put(e.index, eligible)
		p.regroup = true
	}
	available := e.freeSlots(now) > 0
	p.available.put(e.index, available)
	p.availableAlone.put(e.index, available && e.suspects == 0)
	usable := e.limit(now)
	busy := min(e.running+e.lent+e.foreign, usable)
	p.busySlots += busy - e.countedBusy
	p.usableSlots += usable - e.countedUsable
	e.countedBusy, e.countedUsable = busy, usable
}

// paceGain is the weight of a new sample in the moving average of the time per
// unit.
const paceGain = 1.0 / 8

// observeFinish feeds the timing of a completed request into the throttle and
// the pace. The first-byte time of a plain service is ignored: such a service
// answers only when it is done, so the first byte says nothing about queueing.
func (e *endpoint) observeFinish(r *request, finish Finish, plain bool) {
	sample := throttler.Sample{First: finish.First, Took: finish.Took, Prompt: r.prompt, Full: r.windowFull}
	if plain {
		sample.First = 0
	}
	e.throttle.Observe(sample)
	if finish.Charged == 0 || finish.Took <= sample.First {
		return
	}
	pace := float64(finish.Took-sample.First) / float64(finish.Charged)
	if e.pace == 0 {
		e.pace = pace
	}
	e.pace += paceGain * (pace - e.pace)
}
