package balancer

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/lister"
)

const (
	callSlots        = 6
	callQueue        = 24
	meanCallDuration = 30 * time.Millisecond // mean time that an endpoint works on a call
	callObjective    = 150 * time.Millisecond
	callRoundTrip    = 3 * time.Millisecond // network delay of a call and its answer together
	warmUpTime       = 10 * time.Second     // calls that arrive earlier are not counted
	simulatedTime    = 30 * time.Second
)

// plainEndpoint simulates an endpoint of a plain service: it runs some calls, queues some in order
// of arrival and refuses the rest.
type plainEndpoint struct {
	slowness float64
	busy     int
	waiting  []*call
}

type call struct {
	slot      *Slot
	arrivedAt time.Time
	endpoint  *plainEndpoint
}

// event is an action at a point in virtual time.
type event struct {
	at     time.Time
	action func(now time.Time)
}

type schedule []event

func (a schedule) Len() int           { return len(a) }
func (a schedule) Less(i, j int) bool { return a[i].at.Before(a[j].at) }
func (a schedule) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *schedule) Push(x any)        { *a = append(*a, x.(event)) }
func (a *schedule) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// plainService simulates a plain service of several endpoints behind many routers.
type plainService struct {
	random            *rand.Rand
	schedule          schedule
	routers           []*Balancer
	endpoints         map[string]*plainEndpoint
	rejectProbability float64 // share of the calls that endpoints refuse although they have capacity

	requested, inTime, late, turnedAway, rejected int
}

func newPlainService(routers, endpoints int) *plainService {
	c := &plainService{random: rand.New(rand.NewPCG(1, 2)), endpoints: make(map[string]*plainEndpoint)}
	for i := range routers {
		c.routers = append(c.routers, &Balancer{Seed: uint64(i + 1)})
	}
	for i := range endpoints {
		c.endpoints[endpointName(i)] = &plainEndpoint{slowness: 1}
		c.update(i, lister.Ready)
	}
	return c
}

func endpointName(i int) string { return fmt.Sprint("i-", i+1) }

// update announces the state of an endpoint to all routers.
func (c *plainService) update(i int, state lister.State) {
	listing := engine(i + 1)
	listing.Service, listing.Slots, listing.State = "desk", callSlots, state
	for _, b := range c.routers {
		b.Update(listing)
	}
}

func (c *plainService) scheduleAt(at time.Time, action func(now time.Time)) {
	heap.Push(&c.schedule, event{at, action})
}

// run simulates the given rate of calls, and counts the calls that arrive from warmUpTime on.
func (c *plainService) run(perSecond float64) {
	c.scheduleAt(start, func(now time.Time) { c.arrive(now, perSecond) })
	for len(c.schedule) > 0 {
		next := heap.Pop(&c.schedule).(event)
		if next.at.After(start.Add(simulatedTime)) {
			return
		}
		next.action(next.at)
	}
}

func (c *plainService) isMeasured(arrived time.Time) bool { return arrived.Sub(start) >= warmUpTime }

func (c *plainService) arrive(now time.Time, perSecond float64) {
	gap := time.Duration(c.random.ExpFloat64() / perSecond * float64(time.Second))
	c.scheduleAt(now.Add(gap), func(now time.Time) { c.arrive(now, perSecond) })
	if c.isMeasured(now) {
		c.requested++
	}
	router := c.routers[c.random.IntN(len(c.routers))]
	slot := router.Pick(now, "desk", &Work{Target: callObjective, Objective: callObjective}, nil)
	if slot == nil {
		if c.isMeasured(now) {
			c.rejected++
		}
		return
	}
	e := c.endpoints[slot.ID]
	switch {
	case c.random.Float64() < c.rejectProbability, e.busy == callSlots && len(e.waiting) == callQueue:
		c.scheduleAt(now.Add(callRoundTrip), func(now time.Time) { slot.End(now, Full) })
		if c.isMeasured(now) {
			c.turnedAway++
		}
	case e.busy == callSlots:
		e.waiting = append(e.waiting, &call{slot: slot, arrivedAt: now, endpoint: e})
	default:
		c.serve(now, &call{slot: slot, arrivedAt: now, endpoint: e})
	}
}

func (c *plainService) serve(now time.Time, a *call) {
	a.endpoint.busy++
	const spread = 0.45
	length := math.Exp(spread*c.random.NormFloat64()-spread*spread/2) * a.endpoint.slowness * float64(meanCallDuration)
	c.scheduleAt(now.Add(time.Duration(length)), func(now time.Time) { c.complete(now, a) })
}

func (c *plainService) complete(now time.Time, a *call) {
	a.endpoint.busy--
	answered := now.Add(callRoundTrip)
	c.scheduleAt(answered, func(now time.Time) {
		a.slot.NoteResponse(now)
		a.slot.End(now, Served)
	})
	switch {
	case !c.isMeasured(a.arrivedAt):
	case answered.Sub(a.arrivedAt) <= callObjective:
		c.inTime++
	default:
		c.late++
	}
	if len(a.endpoint.waiting) > 0 {
		next := a.endpoint.waiting[0]
		a.endpoint.waiting = a.endpoint.waiting[1:]
		c.serve(now, next)
	}
}

// Guards against overload of a plain service in which nearly all calls are answered late, because
// all of its queues are full.
func TestCallsBeyondTheCapacityAreRefusedAtOnce(t *testing.T) {
	const one = callSlots * float64(time.Second/meanCallDuration) // capacity of one endpoint, calls per second
	tests := map[string]struct {
		routers   int
		endpoints int
		perSecond float64
		setUp     func(c *plainService)
		// Lower bounds on the calls answered in time and on all calls answered, as shares of the
		// capacity of the endpoints or of the demand, whichever is less.
		capacity        float64
		inTime, answers float64
	}{
		"one of three stays":                     {70, 3, 300, endpointsLeave(1, 2), one, 0.75, 0.85},
		"the same with more routers":             {300, 3, 300, endpointsLeave(1, 2), one, 0.75, 0.85},
		"the same at twice the rate":             {70, 3, 600, endpointsLeave(1, 2), one, 0.75, 0.85},
		"many routers at twice the rate":         {300, 3, 600, endpointsLeave(1, 2), one, 0.75, 0.85},
		"one of three stays, two return":         {70, 3, 300, endpointsReturn, 300, 0.95, 0.95},
		"one of three is slow":                   {70, 3, 300, endpointsSlowDown(4, 0), 300, 0.9, 0.95},
		"all are slow at a low rate":             {70, 3, 90, endpointsSlowDown(4, 0, 1, 2), 90, 0.55, 0.85},
		"the load is below the capacity":         {70, 3, 450, func(*plainService) {}, 450, 0.98, 0.98},
		"overload of all from the start":         {70, 3, 900, func(*plainService) {}, 3 * one, 0.75, 0.85},
		"overload of a large service":            {70, 12, 3600, func(*plainService) {}, 12 * one, 0.75, 0.85},
		"some calls are refused without a queue": {70, 3, 300, func(c *plainService) { c.rejectProbability = 0.4 }, 180, 0.95, 0.95},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := newPlainService(test.routers, test.endpoints)
			test.setUp(c)
			c.run(test.perSecond)
			possible := min(test.capacity*(simulatedTime-warmUpTime).Seconds(), float64(c.requested))
			t.Logf("requested %d, in time %d, late %d, refused by endpoints %d, rejected by routers %d", c.requested, c.inTime, c.late, c.turnedAway, c.rejected)
			require.GreaterOrEqual(t, float64(c.inTime), test.inTime*possible)
			require.GreaterOrEqual(t, float64(c.inTime+c.late), test.answers*possible)
		})
	}
}

func endpointsLeave(which ...int) func(*plainService) {
	return func(c *plainService) {
		for _, i := range which {
			c.scheduleAt(start.Add(3*time.Second), func(time.Time) { c.update(i, lister.Gone) })
		}
	}
}

func endpointsReturn(c *plainService) {
	endpointsLeave(1, 2)(c)
	for _, i := range []int{1, 2} {
		c.scheduleAt(start.Add(warmUpTime-time.Second), func(time.Time) { c.update(i, lister.Ready) })
	}
}

func endpointsSlowDown(by float64, which ...int) func(*plainService) {
	return func(c *plainService) {
		for _, i := range which {
			c.scheduleAt(start.Add(3*time.Second), func(time.Time) { c.endpoints[endpointName(i)].slowness = by })
		}
	}
}
