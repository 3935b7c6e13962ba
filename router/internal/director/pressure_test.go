package director

import (
	"bytes"
	"testing"
	"time"

	"github.com/rs/zerolog"
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
		want string // nothing is written if empty
	}{
		{name: "nothing was refused", at: 0, seen: counts{taken: 7}},
		{name: "within a span", at: pressureSpan / 2, seen: counts{taken: 9, full: 1}},
		{name: "a span is over", at: pressureSpan, seen: counts{taken: 10, full: 4, made: 2, refused: 3, left: 1}, want: `"refused":4,"taken":3,"connections":2,"screened":3,"left":1,"unread":0`},
		{name: "nothing more was refused", at: 2 * pressureSpan, seen: counts{taken: 30, full: 4}},
		{name: "again", at: 4 * pressureSpan, seen: counts{taken: 31, full: 5}, want: `"span_ms":2000,"refused":1,"taken":1`},
	}
	var p pressure
	for _, step := range steps {
		var written bytes.Buffer
		log := zerolog.New(&written)
		p.look(start.Add(step.at), step.seen, log.Info())
		if step.want == "" {
			require.Empty(t, written.String(), step.name)
			continue
		}
		require.Contains(t, written.String(), step.want, step.name)
	}
}
