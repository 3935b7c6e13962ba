package rationer

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func TestParts(t *testing.T) {
	tests := map[string]struct {
		limit   Limit
		keepers int
		count   int
		pause   time.Duration
	}{
		"one for each keeper":         {Limit{Rate: 17, Overage: 1.5, Slack: 5}, 6, 6, 352942 * time.Microsecond},
		"more keepers than it allows": {Limit{Rate: 4, Overage: 1.5, Slack: 3}, 6, 3, 750 * time.Millisecond},
		"neither overage nor slack":   {Limit{Rate: 4}, 6, 1, 250 * time.Millisecond},
		"no known keeper":             {Limit{Rate: 4, Slack: 9}, 0, 1, 250 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			count, pause := test.limit.Parts(test.keepers)
			require.Equal(t, test.count, count)
			require.InDelta(t, test.pause, pause, float64(time.Microsecond))
		})
	}
}

func TestKeepersAgreeOnPartOwners(t *testing.T) {
	keepers := []string{"a", "b", "c", "d", "e", "f"}
	for endpoint := range uint64(50) {
		for parts := 1; parts <= len(keepers); parts++ {
			owners := 0
			for _, keeper := range keepers {
				if Owns(keeper, keepers, endpoint, parts) {
					owners++
				}
			}
			require.Equal(t, parts, owners)
		}
		require.False(t, Owns("g", keepers, endpoint, 6), "a keeper outside the group owns nothing")
	}
}

// fleet simulates routers and keepers around one cold endpoint, with random faults if faults is
// set.
type fleet struct {
	random   *rand.Rand
	now      time.Time
	limit    Limit
	faults   bool
	lessors  []*Lessor
	holders  []*Holder
	primary  []int               // keeper of each router
	answerAt []time.Time         // time at which each router's poll is answered
	polledAt []time.Time         // time at which that poll was sent
	reported []map[int]time.Time // by keeper: time of each router's last report
	sent     []time.Time
}

func newFleet(seed uint64, keepers, routers int, limit Limit, faults bool) *fleet {
	w := &fleet{random: rand.New(rand.NewPCG(seed, 1)), now: start, limit: limit, faults: faults}
	for range keepers {
		w.lessors = append(w.lessors, &Lessor{})
		w.reported = append(w.reported, make(map[int]time.Time))
	}
	for i := range routers {
		w.holders = append(w.holders, &Holder{})
		w.primary = append(w.primary, i%keepers)
		w.answerAt, w.polledAt = append(w.answerAt, w.now), append(w.polledAt, w.now)
	}
	return w
}

// candidates returns the routers that have reported to a keeper within the last second.
func (w *fleet) candidates(keeper int) []Candidate {
	var candidates []Candidate
	for router := range w.holders {
		if at, found := w.reported[keeper][router]; found && w.now.Sub(at) < time.Second {
			candidates = append(candidates, Candidate{Name: fmt.Sprint(router), Demand: 1})
		}
	}
	return candidates
}

// step advances the simulation by a millisecond, in which each router has a request with the given
// probability.
func (w *fleet) step(probability float64) {
	w.now = w.now.Add(time.Millisecond)
	if w.faults {
		w.injectFault()
	}
	for router, holder := range w.holders {
		if !w.now.Before(w.answerAt[router]) {
			w.answer(router)
		}
		if w.random.Float64() < probability && holder.Ready(w.now) {
			holder.Use(w.now)
			w.sent = append(w.sent, w.now)
		}
	}
}

// answer lets a keeper answer a router's poll and the router send the next one. The answer's grant
// may be lost.
func (w *fleet) answer(router int) {
	keeper := w.primary[router]
	w.reported[keeper][router] = w.now
	arrived := w.polledAt[router].Add(time.Duration(w.random.IntN(5)) * time.Millisecond)
	granted := w.lessors[keeper].Grant(w.now, arrived, 7, fmt.Sprint(router), func() []Candidate { return w.candidates(keeper) })
	if granted && (!w.faults || w.random.IntN(4) > 0) {
		_, pause := w.limit.Parts(len(w.lessors))
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(keeper)}), 1)
		w.holders[router].RecordGrant(w.now, w.polledAt[router], address, pause, LeaseTerm)
	}
	w.polledAt[router] = w.now
	w.answerAt[router] = w.now.Add(time.Duration(100+w.random.IntN(400)) * time.Millisecond)
}

// injectFault occasionally restarts a keeper or a router, moves a router to another keeper, or
// delays its next answer.
func (w *fleet) injectFault() {
	router := w.random.IntN(len(w.holders))
	switch w.random.IntN(400) {
	case 0:
		keeper := w.random.IntN(len(w.lessors))
		w.lessors[keeper], w.reported[keeper] = &Lessor{}, make(map[int]time.Time)
	case 1:
		w.holders[router] = &Holder{}
	case 2, 3:
		w.primary[router] = w.random.IntN(len(w.lessors))
	case 4, 5:
		w.answerAt[router] = w.now.Add(time.Duration(w.random.IntN(4000)) * time.Millisecond)
	}
}

// maxPerSecond returns the maximum number of requests within any second.
func (w *fleet) maxPerSecond() int {
	maximum, from := 0, 0
	for to, at := range w.sent {
		for at.Sub(w.sent[from]) >= time.Second {
			from++
		}
		maximum = max(maximum, to-from+1)
	}
	return maximum
}

// Guards against a cold endpoint that crashes because each of hundreds of routers sends to it, also
// while processes are cut off, restart or report to another keeper.
func TestColdEndpointIsNotOverloaded(t *testing.T) {
	limits := map[string]struct {
		limit            Limit
		keepers, routers int
	}{
		"seventy routers":       {Limit{Rate: 17, Overage: 1.5, Slack: 5}, 6, 73},
		"three hundred routers": {Limit{Rate: 17, Overage: 1.5, Slack: 5}, 5, 300},
		"few keepers":           {Limit{Rate: 17, Overage: 1.5, Slack: 5}, 3, 8},
		"a low rate":            {Limit{Rate: 3, Overage: 1.5, Slack: 3}, 6, 40},
	}
	for name, test := range limits {
		t.Run(name, func(t *testing.T) {
			count, _ := test.limit.Parts(test.keepers)
			keepers := min(count, test.keepers) // the others own no part
			for seed := range uint64(20) {
				w := newFleet(seed, keepers, test.routers, test.limit, true)
				for range 8000 {
					w.step(0.5)
				}
				require.LessOrEqual(t, float64(w.maxPerSecond()), test.limit.Overage*test.limit.Rate+test.limit.Slack, "seed %d", seed)
			}
		})
	}
}

// Guards against a bound that is kept by sending next to nothing: while requests wait, four fifths
// of the rate are used.
func TestRateIsUsedWhileRequestsWait(t *testing.T) {
	limit := Limit{Rate: 17, Overage: 1.5, Slack: 5}
	for seed := range uint64(10) {
		w := newFleet(seed, 6, 73, limit, false)
		for w.now.Sub(start) < 2*LeaseTerm {
			w.step(0.025)
		}
		w.sent = nil
		for range 10_000 {
			w.step(0.025) // 25 requests per second at each router
		}
		require.Greater(t, float64(len(w.sent)), 0.8*limit.Rate*10, "seed %d", seed)
	}
}

// Guards against parts that go to a router without requests.
func TestBusyRoutersGetMoreParts(t *testing.T) {
	candidates := []Candidate{{Name: "busy", Demand: 900}, {Name: "calm", Demand: 100}, {Name: "idle"}}
	chosen := make(map[string]int)
	for endpoint := range uint64(2000) {
		chosen[choose(endpoint, candidates)]++
	}
	require.InDelta(t, 1800, chosen["busy"], 100)
	require.InDelta(t, 200, chosen["calm"], 100)
	require.Zero(t, chosen["idle"])
}

func TestOfferExpiresWithoutRequest(t *testing.T) {
	l := &Lessor{}
	allRouters := func() []Candidate { return []Candidate{{Name: "a", Demand: 1}, {Name: "b", Demand: 1}} }
	first := choose(7, allRouters())
	other := map[string]string{"a": "b", "b": "a"}[first]
	remaining := func() []Candidate { return []Candidate{{Name: other, Demand: 1}} }
	l.Start(start)
	early := start.Add(LeaseTerm - time.Millisecond)
	require.False(t, l.Grant(early, early, 7, first, allRouters), "a lease of an earlier process of the keeper may be in force")
	now := start.Add(LeaseTerm)
	require.False(t, l.Grant(now, now, 7, other, allRouters), "another router was selected")
	require.False(t, l.Grant(now.Add(offerTimeout), now, 7, other, remaining))
	now = now.Add(offerTimeout + time.Millisecond)
	require.True(t, l.Grant(now, now, 7, other, remaining))
	require.False(t, l.Grant(now, now, 7, first, allRouters))
	l.DropExpired(now.Add(LeaseTerm + offerTimeout + time.Millisecond))
	require.Empty(t, l.leases)
}
