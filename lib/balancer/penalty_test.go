package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a router that refuses more requests than it starts while two of sixteen engines
// are down and the others fail 45% of their requests for some seconds. All engines are then paused;
// with one penalty level for all, requests would try one dead engine after the other, because
// nothing runs there.
func TestUnreachableEndpointsRankBelowFailingOnes(t *testing.T) {
	tests := map[string]struct {
		engines, dead int
		fails         float64 // failure share of the other engines
		outcome       Outcome // of requests to a dead engine
		most          int     // maximum number of requests sent to dead engines
	}{
		// Each pause ends with one probe: after 0.15, 0.45, 1.05, 2.25 and 4.65 s.
		"two refuse connections, the others fail":        {16, 2, 0.45, ConnectFailed, 2 * 6},
		"a third refuses connections, the others fail":   {18, 6, 0.45, ConnectFailed, 6 * 6},
		"two refuse connections, the others serve":       {16, 2, 0, ConnectFailed, 2 * 6},
		"two break connections, the others serve":        {16, 2, 0, ConnectionBroken, 2 * 6},
		"all but one refuse connections, that one fails": {16, 15, 0.45, ConnectFailed, 15 * 6},
		"two refuse connections, the others fail mostly": {16, 2, 0.9, ConnectFailed, 2 * 6},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := fleet(test.engines)
			random := rand.New(rand.NewPCG(1, 2))
			now, sentToDead := start, 0
			var running []*Slot
			for i := range 4000 {
				now = now.Add(time.Millisecond)
				slot := b.Pick(now, "engines", prompt(uint64(i%40), uint64(1000+i)), nil)
				if slot.endpoint.Address.Addr().As4()[3] <= byte(test.dead) {
					sentToDead++
					slot.End(now, test.outcome)
					continue
				}
				running = append(running, slot)
				if len(running) < 40 {
					continue
				}
				ended := running[0]
				running = running[1:]
				if random.Float64() < test.fails {
					ended.End(now, Faulty)
					continue
				}
				ended.NoteResponse(now)
				ended.End(now, Served)
			}
			require.LessOrEqual(t, sentToDead, test.most)
			require.Positive(t, sentToDead, "dead engines are probed")
		})
	}
}

// Guards against a fixed failure threshold: while all engines fail alike, each would be paused when
// by chance it fails a little more often than the threshold, so that some are idle and others full.
func TestCommonFailureRatePausesNoEndpoint(t *testing.T) {
	tests := map[string]struct {
		fails  [4]float64
		paused int // number of engines, from the first on, that are paused
	}{
		"all fail half":                      {[4]float64{0.45, 0.45, 0.45, 0.45}, 0},
		"one fails half":                     {[4]float64{0.45, 0, 0, 0}, 1},
		"one fails always, others sometimes": {[4]float64{1, 0.3, 0.3, 0.3}, 1},
		"two of four fail always":            {[4]float64{1, 1, 0, 0}, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := fleet(len(test.fails))
			random := rand.New(rand.NewPCG(3, 4))
			now, paused := start, make(map[string]int)
			const rounds = 2000
			for range rounds {
				now = now.Add(5 * time.Millisecond)
				slot := b.Pick(now, "engines", &Work{}, nil)
				outcome := Served
				if random.Float64() < test.fails[slot.endpoint.Address.Addr().As4()[3]-1] {
					outcome = Faulty
				}
				slot.End(now, outcome)
				for i := range test.fails {
					id := fmt.Sprint("i-", i+1)
					if b.healthPenalty(now, b.byID[id]) != penaltyNone {
						paused[id]++
					}
				}
			}
			for i := range test.fails {
				part := float64(paused[fmt.Sprint("i-", i+1)]) / rounds
				if i < test.paused {
					require.Greater(t, part, 0.5, "i-%d should be paused", i+1)
				} else {
					require.Less(t, part, 0.1, "i-%d should not be paused", i+1)
				}
			}
		})
	}
}

// Guards against a router that avoids a zone because its own processor is overloaded, so that its
// dials to two endpoints there exceed their timeout.
func TestLateRouterSuspectsNoZone(t *testing.T) {
	b := &Balancer{}
	for i := range 4 {
		e := engine(i + 1)
		e.Zone = "far"
		b.Update(e)
	}
	for range 3 {
		slot := b.Pick(start, "engines", &Work{}, nil)
		slot.End(start, ConnectLate)
		require.Equal(t, penaltyFailing, b.healthPenalty(start, slot.endpoint))
	}
	require.False(t, b.zones["far"].suspect(start))
}
