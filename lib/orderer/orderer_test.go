package orderer

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Date(2026, 12, 2, 20, 0, 0, 0, time.UTC)

// leased returns an orderer that wants one copy of each model and holds a long
// lease with permits.
func leased(models ...string) *Orderer {
	o := &Orderer{}
	var wants []Want
	for _, model := range models {
		wants = append(wants, Want{Model: model, Copies: 1})
	}
	o.Want(wants)
	o.Demanded(start, nil)
	o.Leased(start, 7, start.Add(time.Hour))
	o.Permit(10)
	return o
}

func TestStep(t *testing.T) {
	empty := Endpoint{ID: "e", Fenced: true, Room: 1}
	tests := map[string]struct {
		prepare func(*Orderer)
		after   time.Duration
		want    []Kind
	}{
		"a missing model is loaded": {
			prepare: func(o *Orderer) { o.Read(start, empty) }, want: []Kind{Load},
		},
		"not without a lease": {
			prepare: func(o *Orderer) { o.Read(start, empty); o.Lost() },
		},
		"not when the lease may end before the order": {
			prepare: func(o *Orderer) { o.Read(start, empty) }, after: time.Hour - OrderTimeout,
		},
		"not without a permit": {
			prepare: func(o *Orderer) { o.Read(start, empty); o.permits = 0 },
		},
		"not before the state was read under this lease": {
			prepare: func(o *Orderer) { o.Read(start, empty); o.Leased(start.Add(time.Second), 8, start.Add(time.Hour)) },
			after:   time.Second,
		},
		"not where no orders are taken": {
			prepare: func(o *Orderer) { o.Read(start, Endpoint{ID: "e", Fenced: true}) },
		},
		"not what is there": {
			prepare: func(o *Orderer) { o.Read(start, Endpoint{ID: "e", Fenced: true, Room: 2, Loaded: []string{"m"}}) },
		},
		"one endpoint loads at a time": {
			prepare: func(o *Orderer) {
				o.Want([]Want{{Model: "m", Copies: 1}, {Model: "n", Copies: 1}})
				o.Read(start, empty)
				o.Read(start, Endpoint{ID: "f", Fenced: true, Room: 1})
			},
			want: []Kind{Load},
		},
		"waiting requests bring another copy": {
			prepare: func(o *Orderer) {
				o.Demanded(start, []Demand{{Model: "m", Waiting: 5, Running: 1}})
				o.Read(start, empty)
				o.Read(start, Endpoint{ID: "f", Fenced: true, Room: 1, Loaded: []string{"m"}})
			},
			want: []Kind{Load},
		},
		"an endpoint that ignores numbers waits for the former lease": {
			prepare: func(o *Orderer) { o.Read(start, Endpoint{ID: "e", Room: 1}) },
		},
		"and for a reading after that": {
			prepare: func(o *Orderer) { o.Read(start, Endpoint{ID: "e", Room: 1}) }, after: OrderTimeout + time.Second,
		},
		"then it is ordered": {
			prepare: func(o *Orderer) { o.Read(start.Add(OrderTimeout), Endpoint{ID: "e", Room: 1}) },
			after:   OrderTimeout, want: []Kind{Load},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			o := leased("m")
			test.prepare(o)
			var kinds []Kind
			for _, order := range o.Step(start.Add(test.after)) {
				kinds = append(kinds, order.Kind)
			}
			require.Equal(t, test.want, kinds)
		})
	}
}

// Symptom: a caller's stream breaks because its model was unloaded under it.
// Events: a model is no longer offered while a request of it still runs.
// Cause: unloading without hiding the model first and waiting for its requests.
func TestModelInUseIsNotUnloaded(t *testing.T) {
	o := leased("new")
	old := Endpoint{ID: "e", Fenced: true, Room: 1, Loaded: []string{"old"}, InUse: []string{"old"}, Busy: 1}
	o.Read(start, old)
	require.Empty(t, o.Step(start))
	require.Equal(t, "old", o.Hidden("e"))

	now := start.Add(time.Second)
	o.Read(now, old)
	require.Empty(t, o.Step(now), "it is still in use")

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

// Symptom: a model idles at an engine while work waits for it. Events: it is
// hidden to be unloaded, and its zone is cut off from the keepers. Cause: it
// stays hidden although nobody may unload it.
func TestModelIsShownAgainWithoutLease(t *testing.T) {
	o := leased("new")
	o.Read(start, Endpoint{ID: "e", Fenced: true, Room: 1, Loaded: []string{"old"}})
	o.Step(start)
	require.Equal(t, "old", o.Hidden("e"))
	o.Lost()
	o.Step(start.Add(time.Second))
	require.Empty(t, o.Hidden("e"))
}

// Symptom: two models push one another out for ever. Events: demand alternates
// between them. Cause: a copy makes room as soon as it is idle for a moment.
func TestIdleCopyStaysForAWhile(t *testing.T) {
	o := leased("a", "b")
	o.Demanded(start, []Demand{{Model: "b", Waiting: 9}})
	o.Read(start, Endpoint{ID: "e", Fenced: true, Room: 1, Loaded: []string{"a"}})
	o.Read(start, Endpoint{ID: "f", Fenced: true, Room: 1, Loaded: []string{"a"}})
	o.Step(start)
	require.Empty(t, o.Hidden("e")+o.Hidden("f"))
	o.Demanded(start.Add(surplusAfter), []Demand{{Model: "b", Waiting: 9}})
	o.Step(start.Add(surplusAfter))
	require.Equal(t, "a", o.Hidden("e"))
	require.Empty(t, o.Hidden("f"), "one at a time")
}

// Symptom: an engine loads a model twice, or unloads what was just loaded.
// Events: the answer to an order is lost. Cause: the next order goes out before
// the endpoint's state was read back.
func TestLostAnswerIsReadBack(t *testing.T) {
	o := leased("m")
	o.Read(start, Endpoint{ID: "e", Fenced: true, Room: 2})
	orders := o.Step(start)
	require.Len(t, orders, 1)
	o.Ended(start.Add(OrderTimeout), orders[0], Unknown)
	require.Empty(t, o.Step(start.Add(OrderTimeout)))
	later := start.Add(OrderTimeout + doubtTimeout + time.Second)
	require.Empty(t, o.Step(later), "nothing was read back yet")
	o.Read(later, Endpoint{ID: "e", Fenced: true, Room: 2})
	require.Len(t, o.Step(later), 1)
}

func TestOutdatedEndsTheLease(t *testing.T) {
	o := leased("m", "n")
	o.Read(start, Endpoint{ID: "e", Fenced: true, Room: 2})
	orders := o.Step(start)
	require.Len(t, orders, 1)
	o.Ended(start, orders[0], Outdated)
	o.Read(start.Add(time.Minute), Endpoint{ID: "e", Fenced: true, Room: 2})
	require.Empty(t, o.Step(start.Add(time.Minute)))
}

// sim is an engine that may ignore fencing numbers, and a lease that moves
// between two orderers, one of which may be frozen while it holds it.
type sim struct {
	t       *testing.T
	random  *rand.Rand
	now     time.Time
	holders [2]*Orderer
	frozen  [2]time.Time // stands still until then
	cut     time.Time    // the holder reaches its engines but no keeper until then
	holder  int
	fence   uint64
	until   time.Time
	engines []*simEngine
	flying  []flight
}

type simEngine struct {
	Endpoint
	seen   uint64
	obeyed uint64 // fencing number of the last order obeyed
}

type flight struct {
	order   Order
	from    int
	arrives time.Time
}

const leaseTime = 20 * time.Second

// Symptom: a model appears and vanishes at an engine that ignores fencing
// numbers. Events: a leaseholder stands still, its lease passes on, it resumes
// and sends or its last order arrives late. Cause: the new leaseholder did not
// wait out the old lease, or the old one did not check what was left of its own.
func TestOrdersOfTwoLeaseholdersNeverMix(t *testing.T) {
	for seed := range uint64(100) {
		s := newSim(t, seed)
		for range 2000 {
			s.step()
		}
	}
}

func newSim(t *testing.T, seed uint64) *sim {
	s := &sim{t: t, random: rand.New(rand.NewPCG(seed, 1)), now: start}
	for i := range s.holders {
		s.holders[i] = &Orderer{}
		s.holders[i].Want([]Want{{Model: "a", Copies: 2}, {Model: "b", Copies: 1}})
	}
	for i, id := range []string{"e", "f", "g"} {
		s.engines = append(s.engines, &simEngine{Endpoint: Endpoint{ID: id, Room: 1, Fenced: i == 0}})
	}
	return s
}

func (s *sim) step() {
	s.now = s.now.Add(time.Duration(s.random.IntN(1000)) * time.Millisecond)
	s.restartEngines()
	s.lease()
	s.deliver()
	for i, o := range s.holders {
		if s.now.Before(s.frozen[i]) {
			continue
		}
		if s.random.IntN(100) == 0 {
			s.frozen[i] = s.now.Add(time.Duration(s.random.IntN(60)) * time.Second)
			continue
		}
		s.act(i, o)
	}
}

func (s *sim) lease() {
	if s.now.After(s.until) {
		s.holder = 1 - s.holder
		s.fence++
		s.until = s.now.Add(leaseTime)
		s.cut = time.Time{}
		s.tell()
	}
	if s.random.IntN(200) == 0 {
		s.cut = s.now.Add(2 * leaseTime)
	}
	if s.now.Before(s.cut) || s.now.Before(s.frozen[s.holder]) {
		return
	}
	s.until = s.now.Add(leaseTime)
	s.tell()
}

func (s *sim) tell() {
	s.holders[s.holder].Leased(s.now, s.fence, s.until)
	s.holders[s.holder].Permit(1)
}

// restartEngines makes work for the orderers: an engine comes up empty.
func (s *sim) restartEngines() {
	for _, e := range s.engines {
		if s.random.IntN(20) == 0 {
			e.Incarnation++
			e.Loaded = nil
		}
	}
}

func (s *sim) act(i int, o *Orderer) {
	for _, e := range s.engines {
		if s.random.IntN(2) == 0 {
			told := e.Endpoint
			told.Loaded = slices.Clone(e.Loaded)
			o.Read(s.now, told)
		}
	}
	o.Demanded(s.now, []Demand{{Model: "b", Waiting: s.random.IntN(3) * 5}})
	for _, order := range o.Step(s.now) {
		delay := time.Duration(s.random.Int64N(int64(OrderTimeout)))
		s.flying = append(s.flying, flight{order: order, from: i, arrives: s.now.Add(delay)})
	}
}

func (s *sim) deliver() {
	var later []flight
	for _, f := range s.flying {
		if s.now.Before(f.arrives) {
			later = append(later, f)
			continue
		}
		s.holders[f.from].Ended(s.now, f.order, s.obey(f.order))
	}
	s.flying = later
}

func (s *sim) obey(order Order) Result {
	for _, e := range s.engines {
		if e.ID != order.Endpoint || e.Incarnation != order.Incarnation {
			continue
		}
		if e.Fenced && order.Fence < e.seen {
			return Outdated
		}
		require.GreaterOrEqual(s.t, order.Fence, e.obeyed, "an order of a former leaseholder was obeyed")
		e.seen, e.obeyed = max(e.seen, order.Fence), order.Fence
		e.Loaded = slices.DeleteFunc(e.Loaded, func(model string) bool { return model == order.Model })
		if order.Kind == Load {
			require.Less(s.t, len(e.Loaded), e.Room, "more models than fit")
			e.Loaded = append(e.Loaded, order.Model)
		}
		if s.random.IntN(10) == 0 {
			return Unknown
		}
		return Accepted
	}
	return Unknown
}

// Symptom: an engine gets two orders at once, or one for a state that has
// passed. Events: see the names. Cause: the order in flight is forgotten with
// the endpoint, or an old announcement passes for a new one.
func TestOrderInFlightIsRemembered(t *testing.T) {
	empty := Endpoint{ID: "e", Incarnation: 2, Fenced: true, Room: 2}
	loaded := Endpoint{ID: "e", Incarnation: 2, Fenced: true, Room: 2, Loaded: []string{"m"}}
	tests := map[string]func(*Orderer){
		"it is silent and comes back": func(o *Orderer) { o.Gone("e"); o.Read(start, empty) },
		"it restarts": func(o *Orderer) {
			o.Read(start, Endpoint{ID: "e", Incarnation: 3, Fenced: true, Room: 2})
		},
		"its former life is heard late": func(o *Orderer) {
			o.Read(start.Add(2*time.Second), loaded)
			o.Ended(start.Add(2*time.Second), *o.endpoints["e"].inFlight, Accepted)
			o.Read(start.Add(3*time.Second), Endpoint{ID: "e", Incarnation: 1, Fenced: true, Room: 2})
		},
		"its former state is heard late": func(o *Orderer) {
			o.Read(start.Add(2*time.Second), loaded)
			o.Ended(start.Add(2*time.Second), *o.endpoints["e"].inFlight, Accepted)
			o.Read(start.Add(3*time.Second), loaded)
			o.Read(start.Add(time.Second), empty)
		},
	}
	for name, happen := range tests {
		t.Run(name, func(t *testing.T) {
			o := leased("m")
			o.Read(start, empty)
			require.Len(t, o.Step(start), 1)
			happen(o)
			require.Empty(t, o.Step(start.Add(3*time.Second)))
		})
	}
}
