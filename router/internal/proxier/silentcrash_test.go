package proxier

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/balancer"
	"shallotkeel.example/lib/forwarder"
	"shallotkeel.example/lib/localizer"
)

// Guards against a pause that counts as a crash of the endpoint under the requests that wait there: they
// would be quarantined.
func TestPauseIsNoCrash(t *testing.T) {
	for _, path := range []string{"/list/", "/draft/", "/read/", "/book/"} {
		for seed := range uint64(pauseSeeds / 4) {
			scenario := drawPause(rand.New(rand.NewPCG(seed, 1)), path, isPlain(path))
			scenario.others = []string{"serves"}
			t.Run(fmt.Sprint(seed, ": ", scenario), func(t *testing.T) {
				t.Parallel()
				clock := newSteppedClock()
				f := newPausingFleet(t, clock, scenario)
				_, err := f.fetch("POST", path, "prompt")
				require.NoError(t, err)
				broken, crashed := f.crashes.Lifetimes()
				require.Zero(t, broken)
				require.Zero(t, crashed)
			})
		}
	}
}

// Guards against a dial that times out, as at an endpoint that pauses, and counts as the refusal of one
// that has ended.
func TestOnlyARefusedDialEndsALifetime(t *testing.T) {
	for name, test := range map[string]struct {
		cause   error
		crashed int
	}{
		"it times out":    {syscall.ETIMEDOUT, 0},
		"it is refused":   {syscall.ECONNREFUSED, 1},
		"no route exists": {syscall.EHOSTUNREACH, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.add(netip.MustParseAddrPort("127.0.0.1:1"))
			now := f.proxier.options.Clock.Now()
			slot := f.balancer.Pick(now, "desk", &balancer.Work{}, nil)
			f.crashes.Broke(now, localizer.Lifetime(slot.Key()), localizer.Profile{Whole: 1}, 0)
			failure := f.proxier.failed(t.Context(), &request{}, slot, fmt.Errorf("%w: %w", forwarder.ErrUnsent, test.cause))
			require.True(t, failure.unsent)
			_, crashed := f.crashes.Lifetimes()
			require.Equal(t, test.crashed, crashed)
		})
	}
}
