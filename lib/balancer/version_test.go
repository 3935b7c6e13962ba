package balancer

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/lister"
)

// A stream went on at other software because its own was rare, busy or asked for backoff.
func TestOnlyEndpointsOfTheVersionAreChosen(t *testing.T) {
	now := time.Unix(1000, 0)
	address := netip.MustParseAddrPort("10.0.0.1:80")
	for name, count := range map[string]int{"a few": 6, "more than are walked": 4 * mostWalked} {
		t.Run(name, func(t *testing.T) {
			b := &Balancer{}
			b.Remember("desk", 1000)
			for i := range count {
				b.Update(lister.Listing{ID: fmt.Sprint("i-", i), Service: "desk", State: lister.Ready, Slots: 4, Address: address, Version: "v2"})
			}
			b.Update(lister.Listing{ID: "unknown", Service: "desk", State: lister.Ready, Slots: 4, Address: address})
			work := &Work{Version: "v1", Prompt: 100, Parts: []Part{{ID: 1, Tokens: 50}, {ID: 2, Tokens: 50}}}
			require.Nil(t, b.Pick(now, "desk", work, nil))
			require.False(t, b.Offers("desk", work))
			require.False(t, b.Takes(now, "desk", work, func(string) bool { return false }))
			b.Update(lister.Listing{ID: "own", Service: "desk", State: lister.Ready, Slots: 4, Address: address, Version: "v1"})
			for range 50 {
				slot := b.Pick(now, "desk", work, nil)
				require.Equal(t, "own", slot.ID)
				require.Equal(t, "v1", slot.Version)
			}
			slot := b.Pick(now, "desk", work, nil)
			slot.BackOff(now, time.Second)
			require.Nil(t, b.Pick(now, "desk", work, nil))
			require.True(t, b.Offers("desk", work), "it comes back")
			require.Equal(t, time.Second, b.BackoffLeft(now, "desk", work))
			require.Zero(t, b.BackoffLeft(now, "desk", &Work{}), "others take work")
			b.Update(lister.Listing{ID: "own", Service: "desk", State: lister.Leaving, Slots: 4, Address: address, Version: "v1"})
			require.False(t, b.Offers("desk", work))
		})
	}
}
