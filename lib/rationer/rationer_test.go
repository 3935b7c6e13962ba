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
		"no more than the rate":       {Limit{Rate: 4}, 6, 1, 250 * time.Millisecond},
		"no keeper is known":          {Limit{Rate: 4, Slack: 9}, 0, 1, 250 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			count, pause := test.limit.Parts(test.keepers)
			require.Equal(t, test.count, count)
			require.InDelta(t, test.pause, pause, float64(time.Microsecond))
		})
	}
}

func TestKeepersAgreeWhoOwnsAPart(t *testing.T) {
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
		require.False(t, Owns("g", keepers, endpoint, 6), "it is not of the group")
	}
}

// walk is a fleet around one cold endpoint, with everything that may happen to it.
type walk struct {
	random   *rand.Rand
	now      time.Time
	limit    Limit
	faults   bool
	lessors  []*Lessor
	holders  []*Holder
	primary  []int               // of each router
	polls    []time.Time         // when each router's poll is answered
	asked    []time.Time         // when it was sent
	reported []map[int]time.Time // by keeper: when each router reported last
	sent     []time.Time
}

func newWalk(seed uint64, keepers, routers int, limit Limit, faults bool) *walk {
	w := &walk{random: rand.New(rand.NewPCG(seed, 1)), now: start, limit: limit, faults: faults}
	for range keepers {
		w.lessors = append(w.lessors, &Lessor{})
		w.reported = append(w.reported, make(map[int]time.Time))
	}
	for i := range routers {
		w.holders = append(w.holders, &Holder{})
		w.primary = append(w.primary, i%keepers)
		w.polls, w.asked = append(w.polls, w.now), append(w.asked, w.now)
	}
	return w
}

// candidates are the routers that have reported to a keeper of late.
func (w *walk) candidates(keeper int) []Candidate {
	var candidates []Candidate
	for router := range w.holders {
		if at, found := w.reported[keeper][router]; found && w.now.Sub(at) < time.Second {
			candidates = append(candidates, Candidate{Name: fmt.Sprint(router), Asked: 1})
		}
	}
	return candidates
}

// step lets a millisecond pass, in which each router has a request with a chance.
func (w *walk) step(chance float64) {
	w.now = w.now.Add(time.Millisecond)
	if w.faults {
		w.trouble()
	}
	for router, holder := range w.holders {
		if !w.now.Before(w.polls[router]) {
			w.answer(router)
		}
		if w.random.Float64() < chance && holder.Ready(w.now) {
			holder.Use(w.now)
			w.sent = append(w.sent, w.now)
		}
	}
}

// answer has a keeper answer a router's poll, and the router send the next one. What is
// answered arrives later, or never.
func (w *walk) answer(router int) {
	keeper := w.primary[router]
	w.reported[keeper][router] = w.now
	arrived := w.asked[router].Add(time.Duration(w.random.IntN(5)) * time.Millisecond)
	granted := w.lessors[keeper].Grant(w.now, arrived, 7, fmt.Sprint(router), func() []Candidate { return w.candidates(keeper) })
	if granted && (!w.faults || w.random.IntN(4) > 0) {
		_, pause := w.limit.Parts(len(w.lessors))
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(keeper)}), 1)
		w.holders[router].Take(w.now, w.asked[router], address, pause, Term)
	}
	w.asked[router] = w.now
	w.polls[router] = w.now.Add(time.Duration(100+w.random.IntN(400)) * time.Millisecond)
}

// trouble restarts a keeper or a router, moves one to another keeper, or cuts one off.
func (w *walk) trouble() {
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
		w.polls[router] = w.now.Add(time.Duration(w.random.IntN(4000)) * time.Millisecond)
	}
}

// most returns how many requests came within any second at the most.
func (w *walk) most() int {
	most, from := 0, 0
	for to, at := range w.sent {
		for at.Sub(w.sent[from]) >= time.Second {
			from++
		}
		most = max(most, to-from+1)
	}
	return most
}

// Guards against a cold endpoint that crashes because each of hundreds of routers sends to it,
// whatever is cut off, restarts or reports elsewhere meanwhile.
func TestColdEndpointIsNeverCrowded(t *testing.T) {
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
				w := newWalk(seed, keepers, test.routers, test.limit, true)
				for range 8000 {
					w.step(0.5)
				}
				require.LessOrEqual(t, float64(w.most()), test.limit.Overage*test.limit.Rate+test.limit.Slack, "seed %d", seed)
			}
		})
	}
}

// Guards against a bound that is kept by sending nothing: while requests wait, four fifths of
// the rate are used.
func TestRateIsUsedWhileRequestsWait(t *testing.T) {
	limit := Limit{Rate: 17, Overage: 1.5, Slack: 5}
	for seed := range uint64(10) {
		w := newWalk(seed, 6, 73, limit, false)
		for w.now.Sub(start) < 2*Term {
			w.step(0.025)
		}
		w.sent = nil
		for range 10_000 {
			w.step(0.025) // 25 requests a second at each router
		}
		require.Greater(t, float64(len(w.sent)), 0.8*limit.Rate*10, "seed %d", seed)
	}
}

// Guards against a part that is left to a router without requests.
func TestBusyRoutersGetMoreParts(t *testing.T) {
	candidates := []Candidate{{Name: "busy", Asked: 900}, {Name: "calm", Asked: 100}, {Name: "idle"}}
	chosen := make(map[string]int)
	for endpoint := range uint64(2000) {
		chosen[choose(endpoint, candidates)]++
	}
	require.InDelta(t, 1800, chosen["busy"], 100)
	require.InDelta(t, 200, chosen["calm"], 100)
	require.Zero(t, chosen["idle"])
}

func TestChosenRouterThatDoesNotAskLosesItsPart(t *testing.T) {
	l := &Lessor{}
	both := func() []Candidate { return []Candidate{{Name: "a", Asked: 1}, {Name: "b", Asked: 1}} }
	first := choose(7, both())
	other := map[string]string{"a": "b", "b": "a"}[first]
	rest := func() []Candidate { return []Candidate{{Name: other, Asked: 1}} }
	l.Begin(start)
	soon := start.Add(Term - time.Millisecond)
	require.False(t, l.Grant(soon, soon, 7, first, both), "a former process of the keeper may have leased it")
	now := start.Add(Term)
	require.False(t, l.Grant(now, now, 7, other, both), "another one was chosen")
	require.False(t, l.Grant(now.Add(offerTime), now, 7, other, rest))
	now = now.Add(offerTime + time.Millisecond)
	require.True(t, l.Grant(now, now, 7, other, rest))
	require.False(t, l.Grant(now, now, 7, first, both))
	l.Forget(now.Add(Term + offerTime + time.Millisecond))
	require.Empty(t, l.leases)
}
