package assembler

import (
	"testing"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/describer"
	"shallotkeel.example/lib/matcher"
	"shallotkeel.example/lib/reporter"
)

// Symptom: callers hear "no endpoint", and status shows nothing wrong.
// Sequence: an operator describes a service whose endpoints do not run.
// Cause: status only tells of pools and endpoints that there are.
func TestDesertedServicesAreNamed(t *testing.T) {
	objects := make(map[describer.Key]describer.Object)
	for _, name := range []string{"modelli", "scambio-app", "bidding-desk"} {
		object := describer.Object{Kind: describer.Service, Name: name}
		objects[object.Key()] = object
	}
	rules := matcher.Compile(describer.Snapshot{Objects: objects})
	endpoints := []reporter.Endpoint{{ID: "e1", Service: "modelli"}}
	require.Equal(t, []string{"bidding-desk", "scambio-app"}, deserted(rules, endpoints))
}
