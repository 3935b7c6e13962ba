package scheduler

import (
	"net/netip"
	"slices"
	"time"

	"shallotkeel.example/lib/labeler"
	"shallotkeel.example/lib/throttler"
)

// endpoint is one life of an endpoint.
type endpoint struct {
	id          string
	incarnation uint64
	address     netip.AddrPort
	labels      labeler.Labels
	models      []string
	index       int
	expires     time.Time
	leaving     bool
	draining    bool
	gone        bool // superseded or forgotten; requests that ran there free nothing
	throttle    throttler.Throttler
	probation   probation
	prefixes    prefixes
	running     int // own requests
	lent        int // slots that another zone's pool uses
	held        int // slots kept until that pool fetches them
	suspects    int
	hung        bool
	sign        time.Time // last progress, or when it got work after none
	level       float64   // counter of the workspace last served here
	pace        float64   // mean time per unit
	foreign     int       // requests there that this pool does not know
	reported    int       // foreign ones by the last announcement
	peak        int       // most own requests since the last announcement
	peakBefore  int

	alive       bool // as last counted by the pool
	countBusy   int
	countUsable int
}

func (e *endpoint) busy() int {
	return e.running + e.lent + e.held
}

// living tells whether the endpoint may get work at all, now or after it has
// recovered.
func (e *endpoint) living(now time.Time) bool {
	return !e.gone && !e.leaving && !e.draining && now.Before(e.expires)
}

// limit is how many requests the endpoint may have now.
func (e *endpoint) limit(now time.Time) int {
	if !e.living(now) || e.hung || e.probation.closed(now) {
		return 0
	}
	if e.probation.probing {
		return min(1, e.throttle.Window())
	}
	return e.throttle.Window()
}

func (e *endpoint) room(now time.Time) int {
	return e.limit(now) - e.busy() - e.foreign
}

// Limits of noticing a hung endpoint.
const (
	hungFactor = 4 // times the mean wait and, for plain services, the mean service
)

// patience is how long the endpoint may have work and show no progress.
func (e *endpoint) patience(options Options) time.Duration {
	usual := e.throttle.Wait()
	if options.Plain {
		usual += e.throttle.Service()
	}
	return max(options.HungAfter, hungFactor*usual)
}

// signal takes in a sign that the endpoint works on its requests.
func (e *endpoint) signal(now time.Time) {
	e.sign = now
	e.hung = false
}

// occupy counts a request in.
func (e *endpoint) occupy(now time.Time, suspect bool) {
	if e.running == 0 {
		e.sign = now
	}
	e.running++
	e.peak = max(e.peak, e.running+e.lent)
	if suspect {
		e.suspects++
	}
}

// vacate counts a request out.
func (e *endpoint) vacate(now time.Time, suspect bool) {
	e.running--
	if suspect {
		e.suspects--
	}
	if e.running == 0 && e.hung {
		// Nothing is left there that could show progress; one request at a time
		// finds out whether it works again.
		e.hung = false
		e.probation.fail(now)
	}
}

// compareLoad guesses from the reported load how many requests others have
// there, such as another scheduler during a handover. The report lags, so the
// most that this pool had there recently is taken off, and only what two
// reports in a row show counts, except for the first report of all: a new
// scheduler meets endpoints whose requests it has not been told of yet.
func (e *endpoint) compareLoad(load int, first bool) {
	foreign := max(0, load-max(e.peak, e.peakBefore))
	e.foreign = min(foreign, e.reported)
	if first {
		e.foreign = foreign
	}
	e.reported = foreign
	e.peakBefore, e.peak = e.peak, e.running+e.lent
}

// announced takes an announcement in.
func (p *Pool) announced(now time.Time, a Announced) {
	known := p.endpoints[a.ID]
	if known != nil && a.Incarnation < known.incarnation {
		return
	}
	if known != nil && a.Incarnation > known.incarnation {
		p.forget(now, known)
		known = nil
	}
	first := known == nil
	if first {
		if a.Leaving {
			return
		}
		known = p.admit(now, a)
	}
	p.update(now, known, a, first)
}

// admit makes room for a new endpoint. One that was known by another id at the
// same address has been replaced: a process listens there only once.
func (p *Pool) admit(now time.Time, a Announced) *endpoint {
	for _, other := range p.seats {
		if other != nil && other.address == a.Address && a.Address.IsValid() {
			p.forget(now, other)
		}
	}
	added := &endpoint{id: a.ID, incarnation: a.Incarnation, index: p.freeSeat(), level: p.level}
	p.seats[added.index] = added
	p.endpoints[a.ID] = added
	return added
}

func (p *Pool) freeSeat() int {
	if free := slices.Index(p.seats, nil); free >= 0 {
		return free
	}
	p.seats = append(p.seats, nil)
	return len(p.seats) - 1
}

func (p *Pool) update(now time.Time, e *endpoint, a Announced, first bool) {
	reach := first || !equalLabels(e.labels, a.Labels) || !slices.Equal(e.models, a.Models)
	e.address = a.Address
	e.labels = a.Labels
	e.models = a.Models
	e.leaving = e.leaving || a.Leaving // an announcement may be older than what the endpoint's answers say
	e.expires = now.Add(a.TTL)
	p.wake(e.expires)
	e.throttle.Resize(a.Slots)
	for _, prefix := range a.Cached {
		e.prefixes.cached(prefix)
	}
	for _, prefix := range a.Evicted {
		e.prefixes.evicted(now, prefix)
	}
	if reach {
		p.reach(e)
	}
	if first {
		p.attach(now, e)
	}
	e.compareLoad(a.Load, first)
	p.count(now, e)
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

// attach gives a newly known endpoint the requests that routers said run there.
func (p *Pool) attach(now time.Time, e *endpoint) {
	for _, r := range p.unplaced[e.id] {
		if r.running && r.endpoint == nil && r.loan == nil && r.target == e.id {
			r.endpoint = e
			e.occupy(now, r.lane.key.alone)
		}
	}
	delete(p.unplaced, e.id)
}

// reach works out again which workspaces' work the endpoint may take.
func (p *Pool) reach(e *endpoint) {
	if p.rules == nil {
		return
	}
	e.draining = p.rules.Draining(e.id, e.labels)
	for _, w := range p.order {
		w.allowed.put(e.index, p.rules.Allowed(w.name, e.id, e.labels))
	}
	p.regroup = true
}

// forget drops an endpoint. Its requests go on until their routers finish them,
// but they hold no slot any more.
func (p *Pool) forget(now time.Time, e *endpoint) {
	e.gone = true
	p.count(now, e)
	p.dropLoans(e)
	p.seats[e.index] = nil
	for _, w := range p.order {
		w.allowed.remove(e.index)
	}
	delete(p.endpoints, e.id)
	p.regroup = true
}

// count brings the sets of open endpoints and the sums of slots up to date. It
// is called after every change of an endpoint.
func (p *Pool) count(now time.Time, e *endpoint) {
	living := e.living(now)
	if living != e.alive {
		e.alive = living
		p.alive.put(e.index, living)
		p.regroup = true
	}
	open := e.room(now) > 0
	p.open.put(e.index, open)
	p.openAlone.put(e.index, open && e.suspects == 0)
	usable := e.limit(now)
	busy := min(e.running+e.lent+e.foreign, usable)
	p.busy += busy - e.countBusy
	p.usable += usable - e.countUsable
	e.countBusy, e.countUsable = busy, usable
}

// paceGain is the weight of a new time per unit.
const paceGain = 1.0 / 8

// finished takes in how long a request took that ran to its end. A plain
// service answers at once when it is done, so its first byte tells nothing
// about a queue.
func (e *endpoint) finished(r *request, finish Finish, plain bool) {
	sample := throttler.Sample{First: finish.First, Took: finish.Took, Prompt: r.prompt, Full: r.full}
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
