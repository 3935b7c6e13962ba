package proxier

import (
	"testing"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/resolver"
)

// Guards against remaining work that is counted wrong: events are split over pieces, have several lines, or
// are comments that only keep a connection alive.
func TestEventsAreCounted(t *testing.T) {
	tests := map[string]struct {
		pieces []string
		want   int
	}{
		"one each":            {[]string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}, 2},
		"several in a piece":  {[]string{"data: a\n\ndata: b\n\ndata: c\n\n"}, 3},
		"in parts":            {[]string{"id: 1\nda", "ta: a\n", "\nid: 2\ndata: b\n\n"}, 2},
		"several data lines":  {[]string{"data: a\ndata: b\n\n"}, 1},
		"carriage returns":    {[]string{"data: a\r\n\r\ndata: b\r\n\r\n"}, 2},
		"comments":            {[]string{":\n\n", "data: a\n\n:\n\n"}, 1},
		"an unfinished event": {[]string{"data: a\n\ndata: b\n"}, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var e eventSplitter
			count := 0
			for _, piece := range test.pieces {
				_, err := e.split([]byte(piece))
				require.NoError(t, err)
				count += e.events
			}
			require.Equal(t, test.want, count)
		})
	}
}

// Guards against an expected output that exceeds the request's maximum, or that is learned from other requests'
// workspaces and routes.
func TestExpectedOutputIsLearned(t *testing.T) {
	var p Proxier
	request := func(workspace string, kind resolver.Kind, output int) *request {
		q := &request{workspace: workspace, route: &resolver.Route{Name: "drafts", Kind: kind}}
		q.in.Work.Output = output
		return q
	}
	for range 50 {
		p.outputs.Learn("club", "drafts", 0, 120)
	}
	require.Equal(t, 120, p.expectedOutput(request("club", resolver.Stream, 400)))
	require.Equal(t, 80, p.expectedOutput(request("club", resolver.Stream, 80)))
	require.Zero(t, p.expectedOutput(request("club", resolver.Repeatable, 400)))
	require.Zero(t, p.expectedOutput(request("club", resolver.Stream, 0)))
	require.Equal(t, 120, p.expectedOutput(request("house", resolver.Stream, 400)), "a new workspace starts from the mean")
}
