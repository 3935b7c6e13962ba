package server

import (
	"bytes"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/lister"
)

// unencodable is an id that no message can carry.
const unencodable = "b\xff"

// Guards against a keeper that answers no poll because one of its endpoints has an id that cannot be encoded: it
// acknowledges a leaving, and no router that follows it hears of that.
func TestIDThatCannotBeEncodedCostsOnlyItself(t *testing.T) {
	for name, announce := range map[string]func(t *testing.T, p Planner){
		"it is ready": func(t *testing.T, p Planner) { heartbeat(t, p, endpointAt(unencodable, 1, lister.Ready)) },
		"it is gone": func(t *testing.T, p Planner) {
			require.Error(t, p.Leave(t.Context(), unencodable, time.Time{}))
		},
		"it leaves": func(t *testing.T, p Planner) {
			require.Error(t, p.ReceiveHeartbeat(t.Context(), endpointAt(unencodable, 2, lister.Leaving)))
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			group := startSeededGroup(t, 3)
			submit(t, group[0].served, version(1, "desk"))
			announce(t, group[0].served)
			leaving := endpointAt("a", 1, lister.Ready)
			leaving.Address = netip.MustParseAddrPort("10.0.0.10:80")
			heartbeat(t, group[0].served, leaving)
			leave(t, group[0].served, "a", time.Time{})
			for _, p := range group {
				require.Eventually(t, func() bool { return listedAt(t, p, "a") > lister.Ready }, waitTimeout, 20*time.Millisecond,
					"routers hear of the leaving from %s", p.settings.Name)
			}
			require.Eventually(t, func() bool {
				copied, err := os.ReadFile(copyOf(group[0]))
				return err == nil && bytes.Contains(copied, []byte("10.0.0.10:80"))
			}, waitTimeout, 20*time.Millisecond, "the copy on disk holds the others")
		})
	}
}

// Guards against a keeper whose own polls fail for a heartbeat of such an endpoint: it hears nothing of the others.
func TestHeartbeatThatCannotBeEncodedIsNotPassedOn(t *testing.T) {
	d := &directory{}
	d.list.Interval = time.Second
	d.receiveHeartbeat(testStart, endpointAt(unencodable, 1, lister.Ready))
	d.receiveHeartbeat(testStart, endpointAt("a", 1, lister.Ready))
	recent := d.recentHeartbeats(testStart, testStart)
	require.Len(t, recent, 1)
	require.Equal(t, "a", recent[0].GetId())
}
