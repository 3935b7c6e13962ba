package proxier

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"shallotkeel.example/lib/apportioner"
)

// refusalCause is what caused the refusal of a request.
type refusalCause uint8

const (
	// notRefused: the request was not refused.
	notRefused refusalCause = iota
	// byShare: the workspace has used up its share.
	byShare
	// byEngines: the workspace has used up its guaranteed share, and engines are busy.
	byEngines
	// byRouter: this router is overloaded.
	byRouter
	// byEndpoints: no endpoint could be reached, or each endpoint answered that it did not run the request.
	byEndpoints
	// byPressure: demand for the plain service exceeds what it can answer in time.
	byPressure
	// byConfiguration: the router has no configuration yet.
	byConfiguration
	// byKey: no workspace holds the key.
	byKey
	// byVersion: the request resumes a stream, and no endpoint is known that can resume it.
	byVersion
	// byRule: the request cannot be served at all.
	byRule
	// byQuarantine: requests like it have crashed endpoints.
	byQuarantine
	byStop
)

// refusalLabels are the values of refusal causes in metrics.
var refusalLabels = map[refusalCause]string{
	byShare: "share", byEngines: "engines", byRouter: "router", byEndpoints: "endpoints", byPressure: "pressure",
	byConfiguration: "configuration", byKey: "key", byVersion: "version", byRule: "rule", byQuarantine: "quarantine", byStop: "stop",
}

const (
	// statsPeriod is the period that a log line of the statistics covers.
	statsPeriod = time.Second
	// maxStatsLines limits the log lines per period, those of the most refused workspaces first.
	maxStatsLines = 3
	// maxStatsWorkspaces limits the workspaces counted in a period, 100 bytes each.
	maxStatsWorkspaces = 256
)

// workspaceStats sums up per workspace what was requested here, what was started and what was refused.
//
// A workspace that gets too little may have used up its share, may be waiting for engines, or may
// reach a router that is too busy to admit its requests. Single refusals do not distinguish these
// causes: in a flood their log lines are damped, and admitted requests have log lines of their own.
// The zero value is empty. It is safe for concurrent use.
type workspaceStats struct {
	mutex       sync.Mutex
	periodStart time.Time
	entries     map[string]*workspaceCounts
}

// workspaceCounts are the counts of one workspace, in tokens.
type workspaceCounts struct {
	workspace string
	started   int // of requests sent to an endpoint
	refused   [byStop + 1]int
}

// totalRefused returns the tokens of all requests that were not sent.
func (e *workspaceCounts) totalRefused() int {
	refused := 0
	for _, tokens := range e.refused {
		refused += tokens
	}
	return refused
}

// add counts a request that has ended, and writes the log lines of the last period if it is over.
func (s *workspaceStats) add(now time.Time, log zerolog.Logger, shares *apportioner.Apportioner, q *request) {
	if q.workspace == "" {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if now.Sub(s.periodStart) >= statsPeriod {
		s.write(now, log, shares)
		s.periodStart, s.entries = now, make(map[string]*workspaceCounts)
	}
	e, found := s.entries[q.workspace]
	if !found {
		if len(s.entries) >= maxStatsWorkspaces {
			return
		}
		e = &workspaceCounts{workspace: q.workspace}
		s.entries[q.workspace] = e
	}
	if q.sends > 0 {
		e.started += q.tokens()
	} else {
		e.refused[q.refusedBy] += q.tokens()
	}
}

// write logs the counts of the workspaces that were refused most here, next to their figures in the
// whole fleet. The shares of other workspaces depend on those figures, which are as old as the
// reports of the other routers.
func (s *workspaceStats) write(now time.Time, log zerolog.Logger, shares *apportioner.Apportioner) {
	waiting := slices.SortedFunc(maps.Values(s.entries), func(a, b *workspaceCounts) int { return cmp.Compare(b.totalRefused(), a.totalRefused()) })
	for _, e := range waiting[:min(len(waiting), maxStatsLines)] {
		if e.totalRefused() == 0 {
			return
		}
		fleet := shares.Shares(e.workspace)
		log.Info().Str("workspace", e.workspace).Dur("span_ms", now.Sub(s.periodStart)).Int("begun", e.started).
			Int("by_share", e.refused[byShare]).Int("by_engines", e.refused[byEngines]).Int("by_router", e.refused[byRouter]).
			Int("by_endpoints", e.refused[byEndpoints]).Int("unanswered", e.refused[notRefused]).
			Uint64("fleet", fleet.Served).Float64("owed", fleet.Guaranteed).Float64("most", fleet.Maximum).Msg("workspace held back")
	}
}
