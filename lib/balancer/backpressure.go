package balancer

import (
	"math"
	"slices"
	"time"
)

const (
	// slowPart is the part of its target from which a call counts as slow.
	slowPart = 0.6
	// slowFactor is how many times the least that its endpoint takes a slow call takes besides. One
	// that takes long for everybody has no queue for that, and keeping calls away would not help.
	slowFactor = 3
	// leastGrowth is by how much that least grows with each call, so that it follows an endpoint that
	// has become slower within some tens of them.
	leastGrowth = 1.02
	// decrease is which part of what is sent stays after a slow call or a refusal for want of room, and
	// increase which part of all calls is sent again after a quick one. Between them they let one call
	// in ten be slow.
	decrease = 0.8
	increase = 0.02
	// leastSent is the part that is sent however slow calls are: else nobody would find out that the
	// endpoint has room again.
	leastSent = 0.05
	// fullMemory is the weight of the latest call in the share that found an endpoint full, and fullLately
	// the share from which it counts as full of late: one call in the last fifteen.
	fullMemory = 0.1
	fullLately = 0.02
	// lateTimes is for how many calls one that is late counts when room is drawn for: beside those that
	// can still be in time next to none is let in, and most are where little is kept away.
	lateTimes = 4
	// triedForRoom is at how many endpoints room is looked for. With more of them a service of many
	// endpoints would hardly ever refuse, however much is asked of it.
	triedForRoom = 3
	// pressedMemory is the weight of the latest call in the part of a service's calls that find no room.
	pressedMemory = 0.05
)

// backpressure is which part of the calls that are meant for one endpoint of a plain service this
// router keeps away from it, because they would wait for those that wait there already.
//
// An endpoint works on a few calls at a time and queues some more. Of a service that is asked for more
// than it brings out all queues are full, and each call waits for a whole queue: all of them are late,
// where as many could be in time with short queues. Each of many routers has less than one call at
// a time there, so no bound on those holds it. What all of them see is how long answers take and who
// is refused for want of room; each one's part follows that as a congestion window does
// (D.-M. Chiu and R. Jain, "Analysis of the Increase and Decrease Algorithms for Congestion
// Avoidance", Computer Networks and ISDN Systems 17, 1989).
//
// Its zero value keeps nothing away.
type backpressure struct {
	kept   float64       // part of the calls that is kept away
	least  time.Duration // that a call took of late, 0 before the first
	latest time.Duration // that a call took
	full   float64       // share of the calls that found no room, weighted to the latest
}

// answered notes how long an answer took that should have come within a target.
func (b *backpressure) answered(took, target time.Duration) {
	b.full *= 1 - fullMemory
	b.latest = took
	if b.least == 0 || took < b.least {
		b.least = took
	} else {
		b.least = time.Duration(leastGrowth * float64(b.least))
	}
	switch slow := time.Duration(slowPart * float64(target)); {
	case took > max(slow, slowFactor*b.least):
		b.lower()
	case took <= slow || b.full < fullLately:
		b.kept = max(b.kept-increase, 0)
	}
}

// lets returns how likely a call is to be let in.
func (b *backpressure) lets(late bool) float64 {
	if late {
		return math.Pow(1-b.kept, lateTimes)
	}
	return 1 - b.kept
}

// turnedAway notes that the endpoint had no room for a call. One that answers others quickly does
// not queue: it turns calls away for a reason of its own.
func (b *backpressure) turnedAway(target time.Duration) {
	b.full += fullMemory * (1 - b.full)
	if b.latest == 0 || b.latest > time.Duration(slowPart*float64(target)) {
		b.lower()
	}
}

func (b *backpressure) lower() {
	b.kept = min(1-decrease*(1-b.kept), 1-leastSent)
}

// plain tells whether an endpoint of a service answers a request as a call, and not as an engine does.
func (b *Balancer) plain(service string, work *Work) bool {
	return len(work.Parts) == 0 && b.caps[service] == 0
}

// pickPlain takes a slot at an endpoint of a plain service that has room, nil if none has.
func (b *Balancer) pickPlain(now time.Time, service string, work *Work, excluded func(id string) bool) *Slot {
	var without []*endpoint
	for len(without) < triedForRoom {
		best := b.choose(now, service, work, func(id string) bool {
			return excluded != nil && excluded(id) ||
				slices.ContainsFunc(without, func(e *endpoint) bool { return e.ID == id })
		})
		if best.endpoint == nil {
			break
		}
		if b.draw() < best.endpoint.pressure.lets(work.Late) {
			b.services[service].press(false)
			slot := b.enter(now, best, work)
			slot.objective = work.Objective
			return slot
		}
		without = append(without, best.endpoint)
	}
	if len(without) > 0 {
		b.services[service].press(true)
	}
	return nil
}

// draw returns the next of a series of even numbers from 0 up to 1.
func (b *Balancer) draw() float64 {
	b.draws++
	return float64(mix(b.Seed, b.draws)>>11) / (1 << 53)
}

// press notes whether a call of a service found no endpoint with room.
func (p *pool) press(turnedAway bool) {
	p.pressed *= 1 - pressedMemory
	if turnedAway {
		p.pressed += pressedMemory
	}
}

// Pressed returns which part of a service's calls finds no endpoint with room, 0 to 1.
func (b *Balancer) Pressed(service string) float64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if listed := b.services[service]; listed != nil {
		return listed.pressed
	}
	return 0
}

// Offers tells whether a service has an endpoint that does not leave and suits a request, whether or
// not it takes any now.
func (b *Balancer) Offers(service string, work *Work) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, e := range b.all(service) {
		if work.suits(e) && b.open(e) {
			return true
		}
	}
	return false
}

// Takes tells whether a service has an endpoint that is not excluded and takes a request, whether
// or not there is room at it.
func (b *Balancer) Takes(now time.Time, service string, work *Work, excluded func(id string) bool) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, e := range b.all(service) {
		if work.suits(e) && b.takes(now, e) && !excluded(e.ID) {
			return true
		}
	}
	return false
}

// Pressing returns how many endpoints of plain services get less than what is meant for them.
func (b *Balancer) Pressing() int {
	return b.count(func(e *endpoint) bool { return e.pressure.kept > 0 })
}
