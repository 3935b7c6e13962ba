package passer

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"shallotkeel.example/lib/apportioner"
)

// verdict is what refused a request.
type verdict uint8

const (
	// passed is the verdict on a request that was not refused.
	passed verdict = iota
	// byShare: its workspace had used its share.
	byShare
	// byEngines: its workspace had used what it has a right to, and engines were busy.
	byEngines
	// byRouter: this router had too much to do.
	byRouter
	// byEndpoints: no endpoint could be reached, or each said that it did not run it.
	byEndpoints
	// byPressure: its plain service is asked for more than it answers in time.
	byPressure
	// byConfiguration: there is no configuration yet.
	byConfiguration
	// byKey: no workspace holds its key.
	byKey
	// byVersion: it takes a stream up, and no endpoint is known that may go on with it.
	byVersion
	// byRule: it can not be served at all.
	byRule
)

// labels name verdicts in metrics.
var labels = map[verdict]string{
	byShare: "share", byEngines: "engines", byRouter: "router", byEndpoints: "endpoints", byPressure: "pressure",
	byConfiguration: "configuration", byKey: "key", byVersion: "version", byRule: "rule",
}

const (
	// ledgerSpan is how much time a line of the ledger covers.
	ledgerSpan = time.Second
	// ledgerLines bounds the lines of a span. Those that wait most come first.
	ledgerLines = 3
	// ledgerSize bounds the workspaces of a span, 100 bytes each.
	ledgerSize = 256
)

// ledger adds up by workspace what was asked for here and what became of it.
//
// A workspace that gets too little may have used its share, may wait for engines, or may
// reach a router that is too busy to hear it. Single refusals do not tell these apart:
// in a flood their lines are damped, and what was let in has lines of its own. Its zero
// value is empty. It is safe for concurrent use.
type ledger struct {
	mutex   sync.Mutex
	since   time.Time
	entries map[string]*entry
}

// entry is one workspace's, in tokens.
type entry struct {
	workspace string
	begun     int // an endpoint got the request
	refused   [byRule + 1]int
}

// held is what was refused.
func (e *entry) held() int {
	held := 0
	for _, tokens := range e.refused {
		held += tokens
	}
	return held
}

// add counts a request that has ended, and writes the lines of a span that is over.
func (l *ledger) add(now time.Time, log zerolog.Logger, shares *apportioner.Apportioner, q *request) {
	if q.workspace == "" {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if now.Sub(l.since) >= ledgerSpan {
		l.write(now, log, shares)
		l.since, l.entries = now, make(map[string]*entry)
	}
	e, found := l.entries[q.workspace]
	if !found {
		if len(l.entries) >= ledgerSize {
			return
		}
		e = &entry{workspace: q.workspace}
		l.entries[q.workspace] = e
	}
	if q.sends > 0 {
		e.begun += q.tokens()
	} else {
		e.refused[q.refused] += q.tokens()
	}
}

// write writes what became of the workspaces that wait most here, beside what is believed of
// them in the whole fleet: others are held to that, and it is as late as what their routers tell.
func (l *ledger) write(now time.Time, log zerolog.Logger, shares *apportioner.Apportioner) {
	waiting := slices.SortedFunc(maps.Values(l.entries), func(a, b *entry) int { return cmp.Compare(b.held(), a.held()) })
	for _, e := range waiting[:min(len(waiting), ledgerLines)] {
		if e.held() == 0 {
			return
		}
		standing := shares.Shares(e.workspace)
		log.Info().Str("workspace", e.workspace).Dur("span_ms", now.Sub(l.since)).Int("begun", e.begun).
			Int("by_share", e.refused[byShare]).Int("by_engines", e.refused[byEngines]).Int("by_router", e.refused[byRouter]).
			Int("by_endpoints", e.refused[byEndpoints]).Int("unanswered", e.refused[passed]).
			Uint64("fleet", standing.Served).Float64("owed", standing.Guaranteed).Float64("most", standing.Maximum).Msg("workspace held back")
	}
}
