package orderer

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Date(2026, 12, 2, 20, 0, 0, 0, time.UTC)

// newLeasedOrderer returns an orderer that wants one copy of each model and holds a
// long lease with permits.
func newLeasedOrderer(models ...string) *Orderer {
	o := &Orderer{}
	var wants []Want
	for _, model := range models {
		wants = append(wants, Want{Model: model, Copies: 1})
	}
	o.SetWants(wants)
	o.SetDemand(start, nil)
	o.SetLease(start, 7, start.Add(time.Hour))
	o.AddPermits(10)
	return o
}

func TestStep(t *testing.T) {
	empty := Endpoint{ID: "e", Fenced: true, Room: 1}
	tests := map[string]struct {
		prepare func(*Orderer)
		after   time.Duration
		want    []Kind
	}{
		"missing model: load": {
			prepare: func(o *Orderer) { o.Read(start, empty) }, want: []Kind{Load},
		},
		"no lease: no order": {
			prepare: func(o *Orderer) { o.Read(start, empty); o.EndLease() },
		},
		"lease may end before the order: no order": {
			prepare: func(o *Orderer) { o.Read(start, empty) }, after: time.Hour - OrderTimeout,
		},
		"no permit: no order": {
			prepare: func(o *Orderer) { o.Read(start, empty); o.permits = 0 },
		},
		"state not read under this lease: no order": {
			prepare: func(o *Orderer) { o.Read(start, empty); o.SetLease(start.Add(time.Second), 8, start.Add(time.Hour)) },
			after:   time.Second,
		},
		"endpoint accepts no orders: no order": {
			prepare: func(o *Orderer) { o.Read(start, Endpoint{ID: "e", Fenced: true}) },
		},
		"model is loaded: no order": {
			prepare: func(o *Orderer) { o.Read(start, Endpoint{ID: "e", Fenced: true, Room: 2, Loaded: []string{"m"}}) },
		},
		"two missing models: one load at a time": {
			prepare: func(o *Orderer) {
				o.SetWants([]Want{{Model: "m", Copies: 1}, {Model: "n", Copies: 1}})
				o.Read(start, empty)
				o.Read(start, Endpoint{ID: "f", Fenced: true, Room: 1})
			},
			want: []Kind{Load},
		},
		"waiting requests: another copy is loaded": {
			prepare: func(o *Orderer) {
				o.SetDemand(start, []Demand{{Model: "m", Waiting: 5, Running: 1}})
				o.Read(start, empty)
				o.Read(start, Endpoint{ID: "f", Fenced: true, Room: 1, Loaded: []string{"m"}})
			},
			want: []Kind{Load},
		},
		"unfenced endpoint: no order before the former lease has ended": {
			prepare: func(o *Orderer) { o.Read(start, Endpoint{ID: "e", Room: 1}) },
		},
		"unfenced endpoint: no order before a reading after that": {
			prepare: func(o *Orderer) { o.Read(start, Endpoint{ID: "e", Room: 1}) }, after: OrderTimeout + time.Second,
		},
		"unfenced endpoint: load after such a reading": {
			prepare: func(o *Orderer) { o.Read(start.Add(OrderTimeout), Endpoint{ID: "e", Room: 1}) },
			after:   OrderTimeout, want: []Kind{Load},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			o := newLeasedOrderer("m")
			test.prepare(o)
			var kinds []Kind
			for _, order := range o.Step(start.Add(test.after)) {
				kinds = append(kinds, order.Kind)
			}
			require.Equal(t, test.want, kinds)
		})
	}
}

// Guards against a stream that breaks because its model is unloaded while it runs: a
// model is no longer offered while a request for it still runs. The model must be
// hidden first, and unloaded only after its requests have ended.
func TestModelInUseIsNotUnloaded(t *testing.T) {
	o := newLeasedOrderer("new")
	old := Endpoint{ID: "e", Fenced: true, Room: 1, Loaded: []string{"old"}, InUse: []string{"old"}, Busy: 1}
	o.Read(start, old)
	require.Empty(t, o.Step(start))
	require.Equal(t, "old", o.Hidden("e"))

	now := start.Add(time.Second)
	o.Read(now, old)
	require.Empty(t, o.Step(now), "the model is still in use")

	now = now.Add(time.Second)
	old.InUse, old.Busy = nil, 0
	o.Read(now, old)
	orders := o.Step(now)
	require.Len(t, orders, 1)
	require.Equal(t, Unload, orders[0].Kind)
	require.Equal(t, uint64(7), orders[0].Fence)
	o.Ended(now, orders[0], Accepted)

	now = now.Add(OrderTimeout)
	old.Loaded = nil
	o.Read(now, old)
	orders = o.Step(now)
	require.Len(t, orders, 1)
	require.Equal(t, Order{Endpoint: "e", Kind: Load, Model: "new", Fence: 7}, orders[0])
}

// Guards against a model that stays idle while requests wait for it: it was hidden
// to be unloaded, and then its zone was partitioned from the keepers, so that no
// lease allows the unload.
func TestHiddenModelIsShownAgainWithoutLease(t *testing.T) {
	o := newLeasedOrderer("new")
	o.Read(start, Endpoint{ID: "e", Fenced: true, Room: 1, Loaded: []string{"old"}})
	o.Step(start)
	require.Equal(t, "old", o.Hidden("e"))
	o.EndLease()
	o.Step(start.Add(time.Second))
	require.Empty(t, o.Hidden("e"))
}

// Guards against two models that replace one another without end because a copy may
// be unloaded as soon as it is idle. Demand alternates between them.
func TestSurplusCopyIsKeptUntilIdleLongEnough(t *testing.T) {
	o := newLeasedOrderer("a", "b")
	o.SetDemand(start, []Demand{{Model: "b", Waiting: 9}})
	o.Read(start, Endpoint{ID: "e", Fenced: true, Room: 1, Loaded: []string{"a"}})
	o.Read(start, Endpoint{ID: "f", Fenced: true, Room: 1, Loaded: []string{"a"}})
	o.Step(start)
	require.Empty(t, o.Hidden("e")+o.Hidden("f"))
	o.SetDemand(start.Add(surplusIdleTime), []Demand{{Model: "b", Waiting: 9}})
	o.Step(start.Add(surplusIdleTime))
	require.Equal(t, "a", o.Hidden("e"))
	require.Empty(t, o.Hidden("f"), "only one copy is hidden at a time")
}

// Guards against an engine that loads a model twice, or unloads one that was just
// loaded. The answer to an order is lost; the next order must wait until the
// endpoint's state was read back.
func TestLostAnswerIsReadBack(t *testing.T) {
	o := newLeasedOrderer("m")
	o.Read(start, Endpoint{ID: "e", Fenced: true, Room: 2})
	orders := o.Step(start)
	require.Len(t, orders, 1)
	o.Ended(start.Add(OrderTimeout), orders[0], Unknown)
	require.Empty(t, o.Step(start.Add(OrderTimeout)))
	later := start.Add(OrderTimeout + unconfirmedLoadTimeout + time.Second)
	require.Empty(t, o.Step(later), "no state was read back yet")
	o.Read(later, Endpoint{ID: "e", Fenced: true, Room: 2})
	require.Len(t, o.Step(later), 1)
}

func TestOutdatedEndsTheLease(t *testing.T) {
	o := newLeasedOrderer("m", "n")
	o.Read(start, Endpoint{ID: "e", Fenced: true, Room: 2})
	orders := o.Step(start)
	require.Len(t, orders, 1)
	o.Ended(start, orders[0], Outdated)
	o.Read(start.Add(time.Minute), Endpoint{ID: "e", Fenced: true, Room: 2})
	require.Empty(t, o.Step(start.Add(time.Minute)))
}

// simulation has engines, some of which ignore fencing numbers, and a lease that
// moves between two orderers. An orderer may stall while it holds the lease.
type simulation struct {
	t                *testing.T
	random           *rand.Rand
	now              time.Time
	holders          [2]*Orderer
	stalledUntil     [2]time.Time // end of the orderer's stall
	partitionedUntil time.Time    // until then the holder reaches its engines but no keeper
	holder           int
	fence            uint64
	until            time.Time
	engines          []*simulatedEngine
	inFlight         []delivery
}

type simulatedEngine struct {
	Endpoint
	seen   uint64
	obeyed uint64 // fencing number of the last accepted order
}

type delivery struct {
	order   Order
	from    int
	arrives time.Time
}

const leaseDuration = 20 * time.Second

// Guards against a model that appears and disappears at an engine that ignores
// fencing numbers. A leaseholder stalls, its lease passes to the other orderer, and
// it resumes and sends, or its last order arrives late. The new leaseholder must
// wait until the old lease has ended, and the old one must check the remaining time
// of its own.
func TestOrdersOfTwoLeaseholdersNeverMix(t *testing.T) {
	for seed := range uint64(100) {
		s := newSimulation(t, seed)
		for range 2000 {
			s.step()
		}
	}
}

func newSimulation(t *testing.T, seed uint64) *simulation {
	s := &simulation{t: t, random: rand.New(rand.NewPCG(seed, 1)), now: start}
	for i := range s.holders {
		s.holders[i] = &Orderer{}
		s.holders[i].SetWants([]Want{{Model: "a", Copies: 2}, {Model: "b", Copies: 1}})
	}
	for i, id := range []string{"e", "f", "g"} {
		s.engines = append(s.engines, &simulatedEngine{Endpoint: Endpoint{ID: id, Room: 1, Fenced: i == 0}})
	}
	return s
}

func (s *simulation) step() {
	s.now = s.now.Add(time.Duration(s.random.IntN(1000)) * time.Millisecond)
	s.restartEngines()
	s.lease()
	s.deliver()
	for i, o := range s.holders {
		if s.now.Before(s.stalledUntil[i]) {
			continue
		}
		if s.random.IntN(100) == 0 {
			s.stalledUntil[i] = s.now.Add(time.Duration(s.random.IntN(60)) * time.Second)
			continue
		}
		s.stepOrderer(i, o)
	}
}

func (s *simulation) lease() {
	if s.now.After(s.until) {
		s.holder = 1 - s.holder
		s.fence++
		s.until = s.now.Add(leaseDuration)
		s.partitionedUntil = time.Time{}
		s.grantLease()
	}
	if s.random.IntN(200) == 0 {
		s.partitionedUntil = s.now.Add(2 * leaseDuration)
	}
	if s.now.Before(s.partitionedUntil) || s.now.Before(s.stalledUntil[s.holder]) {
		return
	}
	s.until = s.now.Add(leaseDuration)
	s.grantLease()
}

func (s *simulation) grantLease() {
	s.holders[s.holder].SetLease(s.now, s.fence, s.until)
	s.holders[s.holder].AddPermits(1)
}

// restartEngines restarts some engines without models, so that the orderers have
// models to load.
func (s *simulation) restartEngines() {
	for _, e := range s.engines {
		if s.random.IntN(20) == 0 {
			e.Incarnation++
			e.Loaded = nil
		}
	}
}

func (s *simulation) stepOrderer(i int, o *Orderer) {
	for _, e := range s.engines {
		if s.random.IntN(2) == 0 {
			announced := e.Endpoint
			announced.Loaded = slices.Clone(e.Loaded)
			o.Read(s.now, announced)
		}
	}
	o.SetDemand(s.now, []Demand{{Model: "b", Waiting: s.random.IntN(3) * 5}})
	for _, order := range o.Step(s.now) {
		delay := time.Duration(s.random.Int64N(int64(OrderTimeout)))
		s.inFlight = append(s.inFlight, delivery{order: order, from: i, arrives: s.now.Add(delay)})
	}
}

func (s *simulation) deliver() {
	var later []delivery
	for _, f := range s.inFlight {
		if s.now.Before(f.arrives) {
			later = append(later, f)
			continue
		}
		s.holders[f.from].Ended(s.now, f.order, s.obey(f.order))
	}
	s.inFlight = later
}

func (s *simulation) obey(order Order) Result {
	for _, e := range s.engines {
		if e.ID != order.Endpoint || e.Incarnation != order.Incarnation {
			continue
		}
		if e.Fenced && order.Fence < e.seen {
			return Outdated
		}
		require.GreaterOrEqual(s.t, order.Fence, e.obeyed, "engine accepted an order of a former leaseholder")
		e.seen, e.obeyed = max(e.seen, order.Fence), order.Fence
		e.Loaded = slices.DeleteFunc(e.Loaded, func(model string) bool { return model == order.Model })
		if order.Kind == Load {
			require.Less(s.t, len(e.Loaded), e.Room, "engine has more models than its room allows")
			e.Loaded = append(e.Loaded, order.Model)
		}
		if s.random.IntN(10) == 0 {
			return Unknown
		}
		return Accepted
	}
	return Unknown
}

// Guards against an engine that gets two orders at once, or one for an outdated
// state. The cases lose the order in flight together with its endpoint, or announce
// an old state after a new one.
func TestOrderInFlightIsRemembered(t *testing.T) {
	empty := Endpoint{ID: "e", Incarnation: 2, Fenced: true, Room: 2}
	loaded := Endpoint{ID: "e", Incarnation: 2, Fenced: true, Room: 2, Loaded: []string{"m"}}
	tests := map[string]func(*Orderer){
		"endpoint expires and comes back": func(o *Orderer) { o.Remove("e"); o.Read(start, empty) },
		"endpoint restarts": func(o *Orderer) {
			o.Read(start, Endpoint{ID: "e", Incarnation: 3, Fenced: true, Room: 2})
		},
		"former incarnation is read late": func(o *Orderer) {
			o.Read(start.Add(2*time.Second), loaded)
			o.Ended(start.Add(2*time.Second), *o.endpoints["e"].inFlight, Accepted)
			o.Read(start.Add(3*time.Second), Endpoint{ID: "e", Incarnation: 1, Fenced: true, Room: 2})
		},
		"former state is read late": func(o *Orderer) {
			o.Read(start.Add(2*time.Second), loaded)
			o.Ended(start.Add(2*time.Second), *o.endpoints["e"].inFlight, Accepted)
			o.Read(start.Add(3*time.Second), loaded)
			o.Read(start.Add(time.Second), empty)
		},
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			o := newLeasedOrderer("m")
			o.Read(start, empty)
			require.Len(t, o.Step(start), 1)
			change(o)
			require.Empty(t, o.Step(start.Add(3*time.Second)))
		})
	}
}

// Guards against a pool that loads nothing more because a load of an endpoint that is gone is awaited.
func TestLoadOfADisappearedEndpointEnds(t *testing.T) {
	for name, result := range map[string]Result{"accepted": Accepted, "its answer is lost": Unknown} {
		t.Run(name, func(t *testing.T) {
			o := newLeasedOrderer("m")
			o.Read(start, Endpoint{ID: "gone", Fenced: true, Room: 1})
			orders := o.Step(start)
			require.Len(t, orders, 1)
			o.Remove("gone")
			o.Ended(start.Add(time.Second), orders[0], result)
			later := start.Add(2 * time.Second)
			o.Read(later, Endpoint{ID: "f", Fenced: true, Room: 1})
			orders = o.Step(later)
			require.Len(t, orders, 1)
			require.Equal(t, "f", orders[0].Endpoint)
		})
	}
}
