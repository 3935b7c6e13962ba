package conductor

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/messenger"
)

// Symptom: after a zone's scheduler was lost, workspaces that had been served
// most start again as if they had had nothing.
// Sequence: two zones' schedulers are new at the same time; each asks the other
// first, which has no history, and then the third, which has.
// Cause: the first answer ends the joining, whether it brings history or not.
func TestAnswerWithoutHistoryHidesNone(t *testing.T) {
	w := newWorld(t, 3, 1, false)
	for zone := range 3 {
		w.announce(zone, "e1", worldSlots)
	}
	w.run(100*time.Millisecond, func() {})
	n := w.nodes[w.scheduler(0)]
	now := w.clock.Now()
	delete(n.pools, service)
	h := n.pool(now, service)
	require.True(t, h.joining)

	h.told["zone-1"] = now
	n.join(now, h, &messenger.CompareResponse{Origin: 1})
	require.True(t, h.joining, "another zone has not answered yet")

	h.told["zone-2"] = now
	n.join(now, h, &messenger.CompareResponse{
		Origin: 2, Names: []string{"large"}, History: []*messenger.Total{{Workspace: 0, Charged: 700}},
	})
	require.False(t, h.joining)
	history := h.desk.Pool.History()
	require.Len(t, history, 1)
	require.Equal(t, uint64(700), history[0].Charged)

	h.joining = true
	n.join(now, h, &messenger.CompareResponse{Origin: 3})
	require.False(t, h.joining, "nobody has any: the fleet is new")
}
