package estimator_test

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/estimator"
)

// Guards against a corrupt record when requests of a workspace start and end at the same time.
func TestSharedIsSafeForConcurrentUse(t *testing.T) {
	var s estimator.Shared
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for range 100 {
				s.Learn("w", "drafts", 0, 80)
				s.Estimate("w", "drafts", 0)
			}
		})
	}
	group.Wait()
	require.EqualValues(t, 80, s.Estimate("w", "drafts", 0))
}

// Guards against hints of a client that are wrong by a constant factor and are taken at their word.
func TestSharedLearnsHints(t *testing.T) {
	var s estimator.Shared
	for i := range uint32(200) {
		cost := 50 + 10*(i%20)
		s.Learn("w", "drafts", 3*cost, cost)
	}
	require.InDelta(t, 100, s.Estimate("w", "drafts", 300), 10)
}
