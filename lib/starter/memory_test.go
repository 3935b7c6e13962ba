package starter

import (
	"runtime/debug"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a process that is killed for lack of memory although its heap
// contains garbage that could have been collected.
func TestMemoryIsLimited(t *testing.T) {
	before := debug.SetMemoryLimit(-1)
	t.Cleanup(func() { debug.SetMemoryLimit(before) })
	LimitMemory(0)
	require.Equal(t, before, debug.SetMemoryLimit(-1))
	LimitMemory(100)
	require.EqualValues(t, 70<<20, debug.SetMemoryLimit(-1))
}
