package director

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a router that refuses requests without a log that shows whether it did too little
// or received too much.
func TestPressureIsReported(t *testing.T) {
	start := time.Unix(1000, 0)
	steps := []struct {
		name     string
		at       time.Duration
		current  counts
		span     time.Duration // 0 if nothing is logged
		increase counts
	}{
		{name: "the first sample", at: 0, current: counts{received: 7, capacityRefusals: 5}},
		{name: "within a span", at: pressureSpan / 2, current: counts{received: 9, capacityRefusals: 6}},
		{
			name: "a span is over", at: pressureSpan, current: counts{received: 10, capacityRefusals: 8, connections: 2, screened: 3, abandoned: 1, closedUnread: 4},
			span: pressureSpan, increase: counts{received: 3, capacityRefusals: 3, connections: 2, screened: 3, abandoned: 1, closedUnread: 4},
		},
		{name: "nothing more was refused", at: 2 * pressureSpan, current: counts{received: 30, capacityRefusals: 8}},
		{
			name: "again, after a late sample", at: 4 * pressureSpan, current: counts{received: 31, capacityRefusals: 9},
			span: 2 * pressureSpan, increase: counts{received: 1, capacityRefusals: 1},
		},
	}
	var p pressure
	for _, step := range steps {
		span, increase, pressed := p.sample(start.Add(step.at), step.current)
		require.Equal(t, step.span > 0, pressed, step.name)
		if pressed {
			require.Equal(t, step.span, span, step.name)
			require.Equal(t, step.increase, increase, step.name)
		}
	}
}
