package passer

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

// Symptom: a workspace gets a third of what another gets, and the logs do not tell
// whether its share, the engines or its router held it back.
func TestLedgerTellsWhatHeldAWorkspaceBack(t *testing.T) {
	var written bytes.Buffer
	log := zerolog.New(&written)
	var l ledger
	var shares apportioner.Apportioner
	now := time.Unix(1000, 0)
	shares.SetCapacity(1000)
	shares.SetFleetUse(now, map[string]apportioner.Use{"club": {Demand: 9000, Served: 250}}, 0)
	add := func(workspace string, tokens, sends int, by verdict) {
		l.add(now, log, &shares, &request{
			workspace: workspace, sends: sends, refused: by,
			in: forwarder.Incoming{Work: balancer.Work{Prompt: tokens}},
		})
	}
	add("club", 100, 1, passed)
	add("club", 20, 0, byShare)
	add("club", 3, 0, byRouter)
	add("served", 5000, 1, passed)
	add("", 100, 0, byRule)
	for i := range ledgerSize + 10 {
		add(fmt.Sprint("small-", i), 1, 0, byEngines)
	}
	require.Empty(t, written.String(), "a span is told when it is over")
	now = now.Add(ledgerSpan)
	add("club", 7, 0, byRouter)
	lines := strings.Split(strings.TrimSpace(written.String()), "\n")
	require.Len(t, lines, ledgerLines)
	require.JSONEq(t, `{"level":"info","workspace":"club","span_ms":1000,"begun":100,"by_share":20,"by_engines":0,"by_router":3,
		"by_endpoints":0,"unanswered":0,"fleet":250,"owed":1100,"most":2500,"message":"workspace held back"}`, lines[0])
	require.NotContains(t, written.String(), "served")
}
