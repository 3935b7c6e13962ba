package inspector

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/caller"
)

// Guards against false results of a fleet that pass unnoticed: a double execution, a false
// refusal as not run, or an answer without an execution.
func TestJudge(t *testing.T) {
	once := caller.Request{Once: true, Key: "k"}
	ran := `{"verb":"started","request":"r1","key":"k"}` + "\n"
	tests := map[string]struct {
		results []caller.Result
		journal string
		want    Verdict
		broken  int
	}{
		"answered and run once": {
			results: []caller.Result{{Request: once, ID: "r1", Ending: caller.Answered}},
			journal: ran, want: Verdict{Requests: 1, Answered: 1},
		},
		"not repeatable and run twice, with two results": {
			results: []caller.Result{
				{Request: once, ID: "r1", Ending: caller.Lost}, {Request: once, ID: "r2", Ending: caller.Answered},
			},
			journal: ran + `{"verb":"started","request":"r2","key":"k"}`,
			want:    Verdict{Requests: 2, Answered: 1, Lost: 1, Double: 1}, broken: 1,
		},
		"repeatable and run twice": {
			results: []caller.Result{{ID: "r1", Ending: caller.Answered}},
			journal: ran + `{"verb":"started","request":"r1"}`, want: Verdict{Requests: 1, Answered: 1},
		},
		"refused as not run, but run": {
			results: []caller.Result{{Request: once, ID: "r1", Ending: caller.NotRun}},
			journal: ran, want: Verdict{Requests: 1, NotRun: 1, FalseNotRun: 1}, broken: 1,
		},
		"refused by the endpoint itself": {
			results: []caller.Result{{Request: once, ID: "r1", Ending: caller.NotRun}},
			journal: `{"verb":"refused","request":"r1","key":"k"}`, want: Verdict{Requests: 1, NotRun: 1},
		},
		"answered without being run": {
			results: []caller.Result{{Request: once, ID: "r1", Ending: caller.Answered}},
			want:    Verdict{Requests: 1, Answered: 1, Phantom: 1}, broken: 1,
		},
		"wrong and missing": {
			results: []caller.Result{{Ending: caller.Wrong}, {Ending: caller.Missing}, {Ending: caller.Cut}},
			want:    Verdict{Requests: 3, Wrong: 1, Missing: 1, Cut: 1}, broken: 2,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			executions := Executions{ByIdentity: make(map[string]int), Started: make(map[string]bool)}
			require.NoError(t, executions.read("m1", []byte(test.journal)))
			verdict := Judge(test.results, executions)
			require.Equal(t, test.want, verdict)
			require.Equal(t, test.broken, verdict.Violations())
		})
	}
}

// Guards against a journal with a cut last line that is read as a shorter journal.
func TestReadRefusesADamagedJournal(t *testing.T) {
	executions := Executions{ByIdentity: make(map[string]int), Started: make(map[string]bool)}
	require.ErrorIs(t, executions.read("m1", []byte(`{"verb":"sta`)), ErrInspect)
}

// Guards against wrong gaps, throughputs and starved workspaces of a series of samples.
func TestSeries(t *testing.T) {
	start := time.Unix(0, 0)
	at := func(second int, a, b float64) Sample {
		return Sample{At: start.Add(time.Duration(second) * time.Second), Workspaces: map[string]float64{"a": a, "b": b}}
	}
	samples := []Sample{at(0, 0, 0), at(1, 60, 10), at(2, 60, 70), at(3, 120, 90)}
	require.InDelta(t, 70, Throughput(samples), 1e-9)
	// Workspace a is 50 ahead, then 10 behind: the gap over the interval between is 60.
	require.InDelta(t, 60, Gap(samples, map[string]float64{"a": 1, "b": 1}), 1e-9)
	// With twice the weight of a, the service of b counts half: the lead of a goes from 0 over
	// 55 to 25 and 75.
	require.InDelta(t, 75, Gap(samples, map[string]float64{"a": 1, "b": 2}), 1e-9)
	require.Len(t, Between(samples, start.Add(time.Second), start.Add(2*time.Second)), 2)
	require.Zero(t, Throughput(samples[:1]))
	_, starved := Starved(samples, map[string]float64{"a": 1, "b": 1})
	require.False(t, starved)
	name, starved := Starved(samples[1:3], map[string]float64{"a": 1, "b": 1})
	require.True(t, starved)
	require.Equal(t, "a", name)
}

// Guards against a metric that no process publishes being reported as zero.
func TestMatchingDistinguishesAbsentFromZero(t *testing.T) {
	metrics := Metrics{"control_sent_bytes_total": 3, "control_received_bytes_total": 4}
	sum, found := metrics.Matching("control", "sent")
	require.True(t, found)
	require.InDelta(t, 3, sum, 0)
	_, found = metrics.Matching("messages")
	require.False(t, found)
}

// Guards against requests within a backoff being missed, and against requests that are
// allowed being counted: those in flight, of other routers, or after its end.
func TestRequestsWithinABackoffAreCountedByRouter(t *testing.T) {
	start := time.Unix(1000, 0)
	type event struct {
		after time.Duration
		verb  string
		id    string
	}
	tests := map[string]struct {
		events      []event
		backoffs    int
		maxRequests int
	}{
		"nothing":       {},
		"in flight":     {events: []event{{0, "refused", "a-1"}, {400 * time.Millisecond, "refused", "a-2"}}, backoffs: 1},
		"within it":     {events: []event{{0, "refused", "a-1"}, {time.Second, "refused", "a-2"}, {2 * time.Second, "received", "a-3"}}, backoffs: 1, maxRequests: 2},
		"other routers": {events: []event{{0, "refused", "a-1"}, {time.Second, "refused", "b-1"}, {time.Second, "refused", "c-1"}}, backoffs: 3},
		"after its end": {events: []event{{0, "refused", "a-1"}, {3 * time.Second, "refused", "a-2"}}, backoffs: 2},
		"no backoff":    {events: []event{{0, "received", "a-1"}, {time.Second, "received", "a-2"}}},
		"other verbs":   {events: []event{{0, "refused", "a-1"}, {time.Second, "finished", "a-0"}}, backoffs: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var executions Executions
			for _, e := range test.events {
				executions.Entries = append(executions.Entries, Entry{Verb: e.verb, Request: e.id, At: start.Add(e.after), Standin: "engine"})
			}
			backoffs, maxRequests := executions.InBackoff("engine", 3*time.Second)
			require.Equal(t, test.backoffs, backoffs)
			require.Equal(t, test.maxRequests, maxRequests)
		})
	}
}
