package describer_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/describer"
	"shallotkeel.example/lib/matcher"
)

// Guards against example deployments that do not work as they are. Operators start
// from these files, so each must be accepted without a warning and its tokens must
// be valid.
func TestExamplesAreAccepted(t *testing.T) {
	tests := map[string]struct {
		workspace string
		models    int
	}{
		"scambiocasa": {workspace: "club-alpino", models: 2},
		"association": {workspace: "house-paarl", models: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			snapshot := apply(t, filepath.Join("..", "..", "examples", name))
			rules := matcher.Compile(snapshot)
			workspace, found := rules.ByToken(test.workspace + "-token")
			require.True(t, found)
			require.Equal(t, test.workspace, workspace.Name)
			require.Len(t, rules.Models(workspace), test.models)
		})
	}
}

// apply validates all files of a directory as one change to an empty configuration,
// and returns the result.
func apply(t *testing.T, directory string) describer.Snapshot {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(directory, "*.jsonc"))
	require.NoError(t, err)
	require.NotEmpty(t, files)
	var objects []describer.Object
	for _, file := range files {
		text, err := os.ReadFile(file)
		require.NoError(t, err)
		parsed, err := describer.ParseDocument(file, text)
		require.NoError(t, err)
		objects = append(objects, parsed...)
	}
	edits := describer.Edits(describer.Diff(nil, objects, true))
	change := describer.Change{ID: "example", Edits: edits}
	require.Empty(t, describer.Validate(describer.Snapshot{}, change))
	return describer.Apply(describer.Snapshot{}, change)
}
