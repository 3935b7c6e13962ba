package controller

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"shallotkeel.example/standin/internal/completer"
)

// Guards against serving a model that was unloaded: the model is unloaded, and
// loaded again, while its first load is in progress, and then the first load ends.
func TestLoadCancelledByUnloadServesNothing(t *testing.T) {
	c := &Controller{Completer: &completer.Completer{}, Loading: Loading{Clock: clockwork.NewFakeClock(), Time: time.Minute}}
	require.True(t, c.beginLoad("m"))
	c.unload("m")
	c.finishLoad("m", 1)
	require.Empty(t, c.Completer.Models())
	require.True(t, c.beginLoad("m"))
	c.finishLoad("m", 1)
	require.Empty(t, c.Completer.Models())
	c.finishLoad("m", 2)
	require.Equal(t, []string{"m"}, c.Completer.Models())
}
