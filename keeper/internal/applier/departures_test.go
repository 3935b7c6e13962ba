package applier_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/keeper/internal/applier"
	"shallotkeel.example/lib/lister"
	"shallotkeel.example/lib/messenger"
)

func departureCommand(id string, started time.Time) *messenger.Command {
	return &messenger.Command{Departure: applier.DepartureToWire(applier.Departure{ID: id, Started: started})}
}

// Guards against a departure that a keeper does not get because it has taken over a snapshot.
func TestDeparturesSinceARevision(t *testing.T) {
	t.Parallel()
	started := time.UnixMilli(1_000_000)
	s := applier.New()
	apply(t, s, 0, departureCommand("a", time.Time{}))
	apply(t, s, 0, departureCommand("b", started))
	apply(t, s, 0, departureCommand("a", started))
	text, err := s.Encode()
	require.NoError(t, err)
	restored, err := applier.Decode(text)
	require.NoError(t, err)
	for _, state := range []*applier.State{s, restored} {
		require.EqualValues(t, 3, state.DeparturesRevision())
		require.Equal(t, []applier.Departure{{ID: "b", Started: started}, {ID: "a", Started: started}}, state.DeparturesSince(0), "the latest of each instance")
		require.Equal(t, []applier.Departure{{ID: "a", Started: started}}, state.DeparturesSince(2))
		require.Empty(t, state.DeparturesSince(3))
	}
}

// Guards against departures that fill the keepers' memory, and against one that is dropped early.
func TestDeparturesAreBounded(t *testing.T) {
	t.Parallel()
	s := applier.New()
	apply(t, s, 0, departureCommand("first", time.Time{}))
	apply(t, s, applier.DepartureRetention-time.Millisecond, departureCommand("second", time.Time{}))
	require.Len(t, s.DeparturesSince(0), 2)
	apply(t, s, applier.DepartureRetention, departureCommand("third", time.Time{}))
	require.Equal(t, []applier.Departure{{ID: "second"}, {ID: "third"}}, s.DeparturesSince(0))
	for i := range lister.MaxListings + 5 {
		apply(t, s, applier.DepartureRetention, departureCommand(fmt.Sprint(i), time.Time{}))
	}
	kept := s.DeparturesSince(0)
	require.Len(t, kept, lister.MaxListings)
	require.Equal(t, "5", kept[0].ID, "the oldest are dropped")
}
