package matcher

import (
	"testing"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/describer"
	"shallotkeel.example/lib/labeler"
)

func rules(objects ...describer.Object) *Rules {
	snapshot := describer.Snapshot{Revision: 3, Objects: make(map[describer.Key]describer.Object)}
	for _, object := range objects {
		snapshot.Objects[object.Key()] = object
	}
	return Compile(snapshot)
}

func TestAllowed(t *testing.T) {
	big := describer.Object{Kind: describer.Workspace, Name: "big", Labels: labeler.Labels{"tier": "big"}, Selector: "zone=trento-a"}
	small := describer.Object{Kind: describer.Workspace, Name: "small", Labels: labeler.Labels{"tier": "small"}}
	restricted := describer.Object{Kind: describer.Endpoint, Name: "engine-2", Selector: "tier=big"}
	overridden := describer.Object{Kind: describer.Endpoint, Name: "engine-3", Labels: labeler.Labels{"zone": "verona-b"}}
	malformed := describer.Object{Kind: describer.Workspace, Name: "broken", Selector: "a in b"}
	compiled := rules(big, small, restricted, overridden, malformed)
	trento := labeler.Labels{"zone": "trento-a"}
	tests := map[string]struct {
		workspace string
		endpoint  string
		want      bool
	}{
		"workspace selector matches":                     {workspace: "big", endpoint: "engine-1", want: true},
		"endpoint selector refuses":                      {workspace: "small", endpoint: "engine-2", want: false},
		"endpoint selector admits":                       {workspace: "big", endpoint: "engine-2", want: true},
		"label of endpoint object overrides announced":   {workspace: "big", endpoint: "engine-3", want: false},
		"workspace without selector matches every label": {workspace: "small", endpoint: "engine-3", want: true},
		"unknown workspace matches nothing":              {workspace: "none", endpoint: "engine-1", want: false},
		"malformed workspace selector matches nothing":   {workspace: "broken", endpoint: "engine-1", want: false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, test.want, compiled.Allowed(test.workspace, test.endpoint, trento))
		})
	}
}

func TestLookups(t *testing.T) {
	compiled := rules(
		describer.Object{Kind: describer.Workspace, Name: "club", Labels: labeler.Labels{
			"operator": "yes", "weight": "2.5", "queue": "7", "token": Digest("one"), "token-next": Digest("two"), "tier": "club"}},
		describer.Object{Kind: describer.Service, Name: "modelli", Selector: "tier=club",
			Labels: labeler.Labels{"type": "model", "model.draft-7b": "yes", "token": Digest("engines"), "token-next": Digest("later")}},
		describer.Object{Kind: describer.Endpoint, Name: "engine-1", Labels: labeler.Labels{"drain": "yes"}},
	)
	for _, token := range []string{"one", "two"} {
		workspace, found := compiled.ByToken(token)
		require.True(t, found)
		require.Equal(t, 7, workspace.Queue)
		require.Equal(t, []string{"draft-7b"}, compiled.Models(workspace))
	}
	_, found := compiled.ByToken("three")
	require.False(t, found)
	require.InDelta(t, 2.5, compiled.Weight("club"), 0)
	require.InDelta(t, 1, compiled.Weight("unknown"), 0)
	service, found := compiled.ByModel("draft-7b")
	require.True(t, found)
	require.False(t, service.Admits(&Workspace{Labels: labeler.Labels{"tier": "house"}}))
	require.True(t, compiled.Operator("one"))
	require.False(t, compiled.Operator("engines"))
	for _, token := range []string{"engines", "later"} {
		name, found := compiled.Announcer(token)
		require.True(t, found)
		require.Equal(t, "modelli", name)
	}
	_, found = compiled.Announcer("one")
	require.False(t, found)
	require.True(t, compiled.Draining("engine-1", nil))
	require.False(t, compiled.Draining("engine-2", nil))
}
