package server

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/messenger"
)

// Guards against a founding member that has only just come, or has lost its disk meanwhile: what
// was under way to it would be lost, as with the keepers that the settings name.
func TestGuestsAreBlankForATimeBeforeTheyFound(t *testing.T) {
	const patience = time.Second
	blank := func(address string, disk uint64) answer {
		return answer{KeeperStatusResponse: &messenger.KeeperStatusResponse{Disk: disk}, address: address}
	}
	var g guests
	note := func(after time.Duration, answers ...answer) []string {
		var patient []string
		for _, a := range g.note(began.Add(after), answers, patience) {
			patient = append(patient, a.address)
		}
		return patient
	}
	require.Empty(t, note(0, blank("a", 1), blank("b", 2)))
	require.Empty(t, note(patience/2, blank("a", 1), blank("b", 2), blank("c", 3)))
	require.Equal(t, []string{"a"}, note(patience, blank("a", 1), blank("b", 20), blank("c", 3)))
	require.Equal(t, []string{"a"}, note(3*patience/2, blank("a", 1), blank("b", 20)), "one that did not answer is not counted")
	require.Equal(t, []string{"a", "b"}, note(2*patience, blank("a", 1), blank("b", 20), blank("c", 3)))
}
