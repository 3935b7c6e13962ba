package replicator_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/replicator"
)

const retire = 2 * election

func retiring(t *testing.T, size int) *world {
	t.Helper()
	w := newRetiringWorld(7, size, retire)
	w.lossy = false
	w.run(2 * time.Second)
	require.NotNil(t, w.leader())
	return w
}

func (w *world) voters() int {
	return len(w.leader().node.Group().Voters())
}

// Symptom: after an instance was replaced by another at a new address, the loss
// of one more stops the group for good. Sequence: one of three dies and never
// returns, a newcomer of another name joins, later another one is lost. Cause:
// the dead member counts for every majority, so that the newcomer is never
// promoted.
func TestNewcomerReplacesSilentVoter(t *testing.T) {
	t.Parallel()
	w := retiring(t, 3)
	dead := w.other(w.leader())
	w.crash(dead)
	w.run(time.Second)
	require.Equal(t, 3, w.voters(), "three with one silent stay three")
	fresh := w.add("fourth")
	w.start(fresh)
	w.rejoin()
	w.run(time.Second)
	replica, found := w.leader().node.Group().Find(fresh.id)
	require.True(t, found)
	require.Equal(t, replicator.Voter, replica.Role)
	require.Equal(t, 3, w.voters())
	_, found = w.leader().node.Group().Find(dead.id)
	require.False(t, found, "the dead one counts no longer")
	w.crash(w.other(w.leader()))
	w.run(2 * time.Second)
	require.NotNil(t, w.leader(), "the group bears the next loss")
	require.NoError(t, w.problem)
}

// Symptom: a group of four that has lost one stops with the next. Cause: of four,
// three are needed, of three only two.
func TestEvenGroupRetiresSilentVoter(t *testing.T) {
	t.Parallel()
	w := retiring(t, 4)
	w.crash(w.other(w.leader()))
	w.run(2 * time.Second)
	require.Equal(t, 3, w.voters())
	w.crash(w.other(w.leader()))
	w.run(2 * time.Second)
	require.NotNil(t, w.leader())
	require.Equal(t, 3, w.voters(), "a group of three never shrinks")
	require.NoError(t, w.problem)
}

// Symptom: an instance that was cut off for some seconds stays out of the group.
// Sequence: it is removed as silent, and is back with its disk. Cause: a removed
// member was never let in again.
func TestRetiredVoterComesBack(t *testing.T) {
	t.Parallel()
	w := retiring(t, 4)
	away := w.other(w.leader())
	w.isolate(away)
	w.run(2 * time.Second)
	require.Equal(t, 3, w.voters())
	clear(w.cut)
	w.run(time.Second)
	w.rejoin()
	w.run(time.Second)
	require.Equal(t, 4, w.voters())
	require.NoError(t, w.problem)
}
