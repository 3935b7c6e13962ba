package resolver

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against refusals that don't show whether a change has removed the key.
func TestRemovedKeysAreRemembered(t *testing.T) {
	holding := func(version uint64, keys ...string) *Table {
		p := plan(route("a", "h", "/"))
		p.Version, p.Workspaces = version, []Workspace{{Name: "club", Keys: keys}, {Name: "house", Keys: []string{"other"}}}
		table, err := Compile(p)
		require.NoError(t, err)
		return table
	}
	first, second, third, fourth := holding(3, "a", "b"), holding(5, "b"), holding(8), holding(9, "a")
	first.InheritRemovedKeys(nil)
	second.InheritRemovedKeys(first)
	third.InheritRemovedKeys(second)
	fourth.InheritRemovedKeys(third)
	tests := map[string]struct {
		table *Table
		key   string
		want  RemovedKey
	}{
		"held":                   {table: first, key: "a"},
		"never known":            {table: third, key: "c"},
		"key removed":            {table: second, key: "a", want: RemovedKey{Workspace: "club", Since: 5}},
		"removed earlier":        {table: third, key: "a", want: RemovedKey{Workspace: "club", Since: 5}},
		"all keys removed":       {table: third, key: "b", want: RemovedKey{Workspace: "club", Since: 8}},
		"held again":             {table: fourth, key: "a"},
		"another key held again": {table: fourth, key: "b", want: RemovedKey{Workspace: "club", Since: 8}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			removed, found := test.table.RemovedKey(test.key)
			require.Equal(t, test.want, removed)
			require.Equal(t, test.want != RemovedKey{}, found)
		})
	}
}

func TestRemovedKeysAreBounded(t *testing.T) {
	var keys []string
	for i := range 2 * maxRemovedKeys {
		keys = append(keys, fmt.Sprint("key-", i))
	}
	p := plan(route("a", "h", "/"))
	p.Workspaces = []Workspace{{Name: "club", Keys: keys}}
	before, err := Compile(p)
	require.NoError(t, err)
	after, err := Compile(plan(route("a", "h", "/")))
	require.NoError(t, err)
	after.InheritRemovedKeys(before)
	require.Len(t, after.removedKeys, maxRemovedKeys)
	last, err := Compile(Plan{Version: 8})
	require.NoError(t, err)
	last.InheritRemovedKeys(after)
	require.Len(t, last.removedKeys, maxRemovedKeys)
	removed, found := last.RemovedKey("k1")
	require.True(t, found, "the most recently removed keys are remembered")
	require.Equal(t, RemovedKey{Workspace: "club", Since: 8}, removed)
}
