package controller

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"shallotkeel.example/standin/internal/completer"
)

// Symptom: a model is served that was unloaded. Sequence: it is unloaded, and
// loaded again, while its first load is on its way; that one ends.
func TestLoadThatWasUndoneServesNothing(t *testing.T) {
	c := &Controller{Completer: &completer.Completer{}, Loading: Loading{Clock: clockwork.NewFakeClock(), Time: time.Minute}}
	require.True(t, c.begin("m"))
	c.remove("m")
	c.end("m", 1)
	require.Empty(t, c.Completer.Models())
	require.True(t, c.begin("m"))
	c.end("m", 1)
	require.Empty(t, c.Completer.Models())
	c.end("m", 2)
	require.Equal(t, []string{"m"}, c.Completer.Models())
}
