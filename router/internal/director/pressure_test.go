package director

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a router that refuses, and logs that do not say whether it did too little
// or got too much.
func TestPressureIsTold(t *testing.T) {
	start := time.Unix(1000, 0)
	steps := []struct {
		name string
		at   time.Duration
		seen counts
		span time.Duration // 0 if nothing is told
		came counts
	}{
		{name: "the first look", at: 0, seen: counts{taken: 7, full: 5}},
		{name: "within a span", at: pressureSpan / 2, seen: counts{taken: 9, full: 6}},
		{
			name: "a span is over", at: pressureSpan, seen: counts{taken: 10, full: 8, made: 2, refused: 3, left: 1, unread: 4},
			span: pressureSpan, came: counts{taken: 3, full: 3, made: 2, refused: 3, left: 1, unread: 4},
		},
		{name: "nothing more was refused", at: 2 * pressureSpan, seen: counts{taken: 30, full: 8}},
		{
			name: "again, and late", at: 4 * pressureSpan, seen: counts{taken: 31, full: 9},
			span: 2 * pressureSpan, came: counts{taken: 1, full: 1},
		},
	}
	var p pressure
	for _, step := range steps {
		span, came, pressed := p.look(start.Add(step.at), step.seen)
		require.Equal(t, step.span > 0, pressed, step.name)
		if pressed {
			require.Equal(t, step.span, span, step.name)
			require.Equal(t, step.came, came, step.name)
		}
	}
}
