package proxier

import (
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/apportioner"
)

// Guards against a flood that gets nearly all of the few requests that engines accept: retries of
// declined requests were not charged to the share.
func TestDeclinedRequestsCountAgainstTheShare(t *testing.T) {
	clock := clockwork.NewFakeClockAt(time.Now())
	f := newFixtureAt(t, clock)
	f.fleetState.table.Store(engineTable(t))
	const capacity = 100_000
	f.shares.SetCapacity(capacity)
	f.shares.SetRouterCount(1)
	flood := apportioner.Use{Demand: 100 * capacity}
	f.shares.SetFleetUse(clock.Now(), map[string]apportioner.Use{"club": flood, "other": flood}, 0)
	_, tries := f.decliningEndpoint()
	const asked = 200
	for range asked {
		_, err := f.fetch(http.MethodPost, "/draft/x", "", "X-Shallotkeel-Token-Counts", "4000,500")
		require.NoError(t, err)
	}
	require.Positive(t, tries.Load())
	require.Less(t, tries.Load(), int64(asked/4))
}
