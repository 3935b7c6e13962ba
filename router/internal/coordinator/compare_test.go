package coordinator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/messenger"
)

// Guards against the loss of the service history of a zone whose scheduler was lost,
// after which the workspaces served most would start again from zero. Two zones'
// schedulers are new at the same time: each asks the other first, which has no
// history, and then the third, which has. The first answer must not end the joining
// state unless it brings a history.
func TestAnswerWithoutHistoryDoesNotEndJoining(t *testing.T) {
	w := newSimulation(t, 3, 1, false)
	for zone := range 3 {
		w.announce(zone, "e1", endpointSlots)
	}
	w.run(100*time.Millisecond, func() {})
	n := w.nodes[w.scheduler(0)]
	now := w.clock.Now()
	delete(n.pools, service)
	h := n.pool(now, service)
	require.True(t, h.joining)

	h.answeredAt["zone-1"] = now
	n.join(now, h, &messenger.CompareResponse{Origin: 1})
	require.True(t, h.joining, "another zone has not answered yet")

	h.answeredAt["zone-2"] = now
	n.join(now, h, &messenger.CompareResponse{
		Origin: 2, Names: []string{"large"}, History: []*messenger.Total{{Workspace: 0, Charged: 700}},
	})
	require.False(t, h.joining)
	history := h.registrar.Pool.History()
	require.Len(t, history, 1)
	require.Equal(t, uint64(700), history[0].Charged)

	h.joining = true
	n.join(now, h, &messenger.CompareResponse{Origin: 3})
	require.False(t, h.joining, "no zone has a history: the fleet is new")
}
