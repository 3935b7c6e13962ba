package balancer

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/lister"
)

// Guards against a stream that resumes at an endpoint of another software version, because the
// endpoints of its own version are few, busy or in backoff.
func TestOnlyEndpointsOfTheVersionAreChosen(t *testing.T) {
	now := time.Unix(1000, 0)
	address := netip.MustParseAddrPort("10.0.0.1:80")
	for name, count := range map[string]int{"a few": 6, "more than a full scan": 4 * maxFullScan} {
		t.Run(name, func(t *testing.T) {
			b := &Balancer{}
			b.SetCacheCapacity("desk", 1000)
			for i := range count {
				b.Update(lister.Listing{ID: fmt.Sprint("i-", i), Service: "desk", State: lister.Ready, Slots: 4, Address: address, Version: "v2"})
			}
			b.Update(lister.Listing{ID: "unknown", Service: "desk", State: lister.Ready, Slots: 4, Address: address})
			work := &Work{Version: "v1", Prompt: 100, Parts: []Part{{ID: 1, Tokens: 50}, {ID: 2, Tokens: 50}}}
			require.Nil(t, b.Pick(now, "desk", work, nil))
			require.False(t, b.HasEligible("desk", work))
			require.False(t, b.HasAvailable(now, "desk", work, func(string) bool { return false }))
			b.Update(lister.Listing{ID: "own", Service: "desk", State: lister.Ready, Slots: 4, Address: address, Version: "v1"})
			for range 50 {
				slot := b.Pick(now, "desk", work, nil)
				require.Equal(t, "own", slot.ID)
				require.Equal(t, "v1", slot.Version)
			}
			slot := b.Pick(now, "desk", work, nil)
			slot.BackOff(now, time.Second)
			require.Nil(t, b.Pick(now, "desk", work, nil))
			require.True(t, b.HasEligible("desk", work), "it is in backoff only")
			require.Equal(t, time.Second, b.BackoffRemaining(now, "desk", work))
			require.Zero(t, b.BackoffRemaining(now, "desk", &Work{}), "another version is available")
			b.Update(lister.Listing{ID: "own", Service: "desk", State: lister.Leaving, Slots: 4, Address: address, Version: "v1"})
			require.False(t, b.HasEligible("desk", work))
		})
	}
}
