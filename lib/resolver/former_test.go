package resolver

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against refusals of which nobody can say whether a change took the key.
func TestKeysThatWentAreRemembered(t *testing.T) {
	holding := func(version uint64, keys ...string) *Table {
		p := plan(route("a", "h", "/"))
		p.Version, p.Workspaces = version, []Workspace{{Name: "club", Keys: keys}, {Name: "house", Keys: []string{"other"}}}
		table, err := Compile(p)
		require.NoError(t, err)
		return table
	}
	first, second, third, fourth := holding(3, "a", "b"), holding(5, "b"), holding(8), holding(9, "a")
	first.Succeed(nil)
	second.Succeed(first)
	third.Succeed(second)
	fourth.Succeed(third)
	tests := map[string]struct {
		table *Table
		key   string
		want  Former
	}{
		"held":               {table: first, key: "a"},
		"never known":        {table: third, key: "c"},
		"it went":            {table: second, key: "a", want: Former{Workspace: "club", Since: 5}},
		"it went before":     {table: third, key: "a", want: Former{Workspace: "club", Since: 5}},
		"the last one went":  {table: third, key: "b", want: Former{Workspace: "club", Since: 8}},
		"it is held again":   {table: fourth, key: "a"},
		"another still went": {table: fourth, key: "b", want: Former{Workspace: "club", Since: 8}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			former, found := test.table.Former(test.key)
			require.Equal(t, test.want, former)
			require.Equal(t, test.want != Former{}, found)
		})
	}
}

func TestKeysThatWentAreBounded(t *testing.T) {
	var keys []string
	for i := range 2 * maxFormer {
		keys = append(keys, fmt.Sprint("key-", i))
	}
	p := plan(route("a", "h", "/"))
	p.Workspaces = []Workspace{{Name: "club", Keys: keys}}
	before, err := Compile(p)
	require.NoError(t, err)
	after, err := Compile(plan(route("a", "h", "/")))
	require.NoError(t, err)
	after.Succeed(before)
	require.Len(t, after.former, maxFormer)
	last, err := Compile(Plan{Version: 8})
	require.NoError(t, err)
	last.Succeed(after)
	require.Len(t, last.former, maxFormer)
	former, found := last.Former("k1")
	require.True(t, found, "those that went last are remembered")
	require.Equal(t, Former{Workspace: "club", Since: 8}, former)
}
