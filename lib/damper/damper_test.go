package passer

import (
	"bytes"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

func TestRefusalsOfAFloodAreCounted(t *testing.T) {
	var written bytes.Buffer
	log := zerolog.New(&written)
	var b quietly
	now := time.Unix(1000, 0)
	logged := 0
	for range 3 * mostRefusals {
		if b.admit(now, log) {
			logged++
		}
	}
	require.Equal(t, mostRefusals, logged)
	require.Empty(t, written.String())
	require.True(t, b.admit(now.Add(time.Second), log))
	require.Contains(t, written.String(), `"omitted":100`)
}
