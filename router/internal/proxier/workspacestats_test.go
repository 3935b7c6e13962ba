package proxier

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/apportioner"
	"shallotkeel.example/lib/balancer"
	"shallotkeel.example/lib/forwarder"
)

// Guards against logs that do not show whether the share, the engines or the router held a workspace
// back that gets a third of what another one gets.
func TestWorkspaceStatsShowRefusalCauses(t *testing.T) {
	var written bytes.Buffer
	log := zerolog.New(&written)
	var s workspaceStats
	var shares apportioner.Apportioner
	now := time.Unix(1000, 0)
	shares.SetCapacity(1000)
	shares.SetFleetUse(now, map[string]apportioner.Use{"club": {Demand: 9000, Served: 250}}, 0)
	add := func(workspace string, tokens, sends int, by refusalCause) {
		s.add(now, log, &shares, &request{
			workspace: workspace, sends: sends, refusedBy: by,
			in: forwarder.Incoming{Work: balancer.Work{Prompt: tokens}},
		})
	}
	add("club", 100, 1, notRefused)
	add("club", 20, 0, byShare)
	add("club", 3, 0, byRouter)
	add("served", 5000, 1, notRefused)
	add("", 100, 0, byRule)
	for i := range maxStatsWorkspaces + 10 {
		add(fmt.Sprint("small-", i), 1, 0, byEngines)
	}
	require.Empty(t, written.String(), "a period is logged when it is over")
	now = now.Add(statsPeriod)
	add("club", 7, 0, byRouter)
	lines := strings.Split(strings.TrimSpace(written.String()), "\n")
	require.Len(t, lines, maxStatsLines)
	require.JSONEq(t, `{"level":"info","workspace":"club","span_ms":1000,"begun":100,"by_share":20,"by_engines":0,"by_router":3,
		"by_endpoints":0,"unanswered":0,"fleet":250,"owed":1100,"most":2500,"message":"workspace held back"}`, lines[0])
	require.NotContains(t, written.String(), "served")
}

// Guards against a request that panics because its refusal has no count: one that a stop refuses after
// its workspace is known.
func TestWorkspaceStatsCountEveryCause(t *testing.T) {
	var s workspaceStats
	var shares apportioner.Apportioner
	for by := range refusalLabels {
		s.add(time.Unix(1000, 0), zerolog.Nop(), &shares, &request{
			workspace: "club", refusedBy: by, in: forwarder.Incoming{Work: balancer.Work{Prompt: 1}},
		})
	}
	require.Equal(t, len(refusalLabels), s.entries["club"].totalRefused())
}
