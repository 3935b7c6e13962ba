package passer

import (
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/apportioner"
)

// Guards against a flood getting nearly all of the little that engines take while they decline most,
// because what they declined was asked for again and again.
func TestWhatEnginesDeclineCountsAgainstTheShare(t *testing.T) {
	clock := clockwork.NewFakeClockAt(time.Now())
	b := newBedAt(t, clock)
	b.news.table.Store(engineTable(t))
	const capacity = 100_000
	b.shares.SetCapacity(capacity)
	b.shares.SetRouterCount(1)
	flood := apportioner.Use{Demand: 100 * capacity}
	b.shares.SetFleetUse(clock.Now(), map[string]apportioner.Use{"club": flood, "other": flood}, 0)
	_, tries := b.shedding()
	const asked = 200
	for range asked {
		_, err := b.fetch(http.MethodPost, "/draft/x", "", "X-Shallotkeel-Token-Counts", "4000,500")
		require.NoError(t, err)
	}
	require.Positive(t, tries.Load())
	require.Less(t, tries.Load(), int64(asked/4))
}
