package assembler

import (
	"testing"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/describer"
	"shallotkeel.example/lib/matcher"
	"shallotkeel.example/lib/reporter"
)

// Guards against a status that covers only existing pools and endpoints: for a configured
// service without running endpoints, clients' requests would be refused with "no
// endpoint" while the status shows no warning.
func TestServicesWithoutEndpointsAreListed(t *testing.T) {
	objects := make(map[describer.Key]describer.Object)
	for _, name := range []string{"modelli", "scambio-app", "bidding-desk"} {
		object := describer.Object{Kind: describer.Service, Name: name}
		objects[object.Key()] = object
	}
	rules := matcher.Compile(describer.Snapshot{Objects: objects})
	endpoints := []reporter.Endpoint{{ID: "e1", Service: "modelli"}}
	require.Equal(t, []string{"bidding-desk", "scambio-app"}, servicesWithoutEndpoints(rules, endpoints))
}
