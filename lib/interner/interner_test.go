package interner

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestBothEndsAgree(t *testing.T) {
	var w Writer
	var r Reader
	const bound = 3
	for _, batch := range [][]string{{"a", "b", "a"}, {"b"}, {"c", "d"}} {
		var numbers []uint32
		for _, name := range batch {
			numbers = append(numbers, w.Intern(name))
		}
		r.Extend(w.Take(), bound)
		for i, name := range batch {
			if name != "d" {
				require.Equal(t, name, r.Get(numbers[i]))
			}
		}
	}
	require.Equal(t, 4, w.Len())
	require.Equal(t, bound, r.Len(), "the reader stores no more names than its bound")
	require.Empty(t, r.Get(3), "a name beyond the bound resolves to the empty name")
	require.Empty(t, At(nil, 0))
}
