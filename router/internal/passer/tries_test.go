package passer

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/apportioner"
	"shallotkeel.example/lib/resolver"
)

// Guards against a flood getting nearly all of the little that engines take while they decline most,
// because what they declined was asked for again and again.
func TestWhatEnginesDeclineCountsAgainstTheShare(t *testing.T) {
	clock := clockwork.NewFakeClockAt(time.Now())
	b := newBedAt(t, clock)
	compiled, err := resolver.Compile(resolver.Plan{
		Version: 1, Services: []resolver.Service{{Name: "desk", Engine: &resolver.Engine{Slots: 4, Tokens: 1e6}}},
		Workspaces: []resolver.Workspace{{Name: "club", Keys: []string{"key"}}}, Limits: resolver.Limits{BodyBytes: 1 << 20},
		Routes: []resolver.Route{{
			Name: "draft", Host: "h", Prefix: "/draft/", Kind: resolver.Stream, Attempts: 1, Timeout: time.Minute,
			Shares: []resolver.Share{{Service: "desk", Weight: 1}},
		}},
	})
	require.NoError(t, err)
	b.news.table.Store(compiled)
	const capacity = 100_000
	b.shares.Capacity(capacity)
	b.shares.Routers(1)
	flood := apportioner.Use{Asked: 100 * capacity}
	b.shares.Demand(clock.Now(), map[string]apportioner.Use{"club": flood, "other": flood}, 0)
	var tries atomic.Int64
	b.endpoint(func(conn net.Conn, request *http.Request) {
		tries.Add(1)
		shed(conn, request)
	})
	const asked = 200
	for range asked {
		_, err := b.fetch(http.MethodPost, "/draft/x", "", "X-Shallotkeel-Token-Counts", "4000,500")
		require.NoError(t, err)
	}
	require.Positive(t, tries.Load())
	require.Less(t, tries.Load(), int64(asked/4))
}
