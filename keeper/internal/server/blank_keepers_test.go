package server

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/messenger"
)

// Guards against a founding member that has just started or that has lost its disk meanwhile:
// messages still in flight to its former disk would be lost, as for listed keepers.
func TestUnlistedKeepersStayBlankBeforeTheyFound(t *testing.T) {
	const minBlank = time.Second
	blank := func(address string, disk uint64) peerStatus {
		return peerStatus{KeeperStatusResponse: &messenger.KeeperStatusResponse{Disk: disk}, address: address}
	}
	var g blankKeepers
	note := func(after time.Duration, answers ...peerStatus) []string {
		var addresses []string
		for _, a := range g.observe(testStart.Add(after), answers, minBlank) {
			addresses = append(addresses, a.address)
		}
		return addresses
	}
	require.Empty(t, note(0, blank("a", 1), blank("b", 2)))
	require.Empty(t, note(minBlank/2, blank("a", 1), blank("b", 2), blank("c", 3)))
	require.Equal(t, []string{"a"}, note(minBlank, blank("a", 1), blank("b", 20), blank("c", 3)))
	require.Equal(t, []string{"a"}, note(3*minBlank/2, blank("a", 1), blank("b", 20)), "a keeper that did not answer starts anew")
	require.Equal(t, []string{"a", "b"}, note(2*minBlank, blank("a", 1), blank("b", 20), blank("c", 3)))
}
