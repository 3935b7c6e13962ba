package describer

import (
	"testing"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/labeler"
)

// Guards against documents with unknown keys, missing names or duplicates that are
// accepted, and against errors without the line or the remedy.
func TestParseDocument(t *testing.T) {
	tests := map[string]struct {
		text string
		err  string
	}{
		"comments":     {text: "{\"objects\":[ // why\n{\"kind\":\"service\",\"name\":\"a\"},]}"},
		"unknown key":  {text: "{\n\"objekts\":[]}", err: "f:2:"},
		"wrong type":   {text: "{\"objects\":[\n{\"kind\":\"service\",\"name\":7}]}", err: "f:2:"},
		"no name":      {text: `{"objects":[{"kind":"service"}]}`, err: "no kind or no name"},
		"a version":    {text: `{"objects":[{"kind":"service","name":"a","version":3}]}`, err: "leave it out"},
		"two values":   {text: `{"objects":[]} {}`, err: "after top-level value"},
		"not JSON":     {text: `objects`, err: "mend the JSON"},
		"stands twice": {text: `{"objects":[{"kind":"service","name":"a"},{"kind":"service","name":"a"}]}`, err: "keep one"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := ParseDocument("f", []byte(test.text))
			if test.err == "" {
				require.NoError(t, err)
				return
			}
			require.ErrorIs(t, err, ErrDocument)
			require.ErrorContains(t, err, test.err)
		})
	}
}

// Guards against a panic, or an error of another kind than ErrDocument, on any
// content of a file.
func FuzzParseDocument(f *testing.F) {
	f.Add([]byte(`{"objects":[{"kind":"service","name":"a","labels":{"x":"y"}}]}`))
	f.Add([]byte(`{/**/}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		objects, err := ParseDocument("f", text)
		if err != nil {
			require.ErrorIs(t, err, ErrDocument)
			return
		}
		require.Empty(t, Diff(objects, objects, true), "a document never differs from itself")
	})
}

// Guards against edits that touch unchanged objects, lack the version check, or
// delete objects without prune.
func TestDiff(t *testing.T) {
	kept := Object{Kind: Workspace, Name: "kept", Version: 4}
	before := Object{Kind: Workspace, Name: "changed", Selector: "a=b", Version: 2}
	after := Object{Kind: Workspace, Name: "changed", Selector: "a=c"}
	added := Object{Kind: Endpoint, Name: "added", Labels: labeler.Labels{"drain": "yes"}}
	gone := Object{Kind: Service, Name: "gone", Version: 9}
	current := []Object{kept, before, gone}
	wanted := []Object{after, added, {Kind: Workspace, Name: "kept"}}

	tests := map[string]struct {
		prune bool
		want  []Edit
	}{
		"a part": {want: []Edit{
			{Object: added, Check: true},
			{Object: after, Check: true, Version: 2},
		}},
		"everything": {prune: true, want: []Edit{
			{Object: added, Check: true},
			{Object: after, Check: true, Version: 2},
			{Object: Object{Kind: Service, Name: "gone"}, Delete: true, Check: true, Version: 9},
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, test.want, Edits(Diff(current, wanted, test.prune)))
		})
	}
}
