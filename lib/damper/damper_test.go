package damper

import (
	"bytes"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

func TestLinesOfAFloodAreCounted(t *testing.T) {
	tests := map[string]struct{ set, limit int }{
		"default": {set: 0, limit: DefaultLinesPerSecond},
		"chosen":  {set: 3, limit: 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var written bytes.Buffer
			d := Damper{LinesPerSecond: test.set}
			log := zerolog.New(&written)
			now := time.Unix(1000, 0)
			logged := 0
			for range test.limit + 100 {
				if d.Admit(now, log) {
					logged++
				}
			}
			require.Equal(t, test.limit, logged)
			require.Empty(t, written.String())
			require.True(t, d.Admit(now.Add(time.Second), log))
			require.Contains(t, written.String(), `"omitted":100`)
		})
	}
}
