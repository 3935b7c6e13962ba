package caller

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range of the histograms, in microseconds, their precision in decimal digits,
// and bounds of the results that are kept.
const (
	minMicros         = 1
	maxMicros         = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
	maxKeptResults    = 200_000
	maxKeptFailures   = 64
)

// Recorder aggregates results. The zero value is ready to use, and all methods
// are safe for concurrent use.
type Recorder struct {
	// KeepResults makes the recorder keep every result, up to maxKeptResults, for
	// comparison with the endpoints' record of executions.
	KeepResults bool

	lock       sync.Mutex
	endings    map[Ending]int
	codes      map[string]int
	workspaces map[string]*WorkspaceSummary
	first      *hdrhistogram.Histogram
	tokenGaps  *hdrhistogram.Histogram
	results    []Result
	failures   []Result
	overflow   bool
}

// WorkspaceSummary summarises the results of one workspace.
type WorkspaceSummary struct {
	Requests int     `json:"requests"`
	Answered int     `json:"answered"`
	Tokens   int     `json:"tokens"`
	FirstP95 float64 `json:"first_p95_ms"`
	first    *hdrhistogram.Histogram
}

// Quantiles are the quantiles of a duration in milliseconds, and the number of
// values.
type Quantiles struct {
	P50 float64 `json:"p50_ms"`
	P95 float64 `json:"p95_ms"`
	P99 float64 `json:"p99_ms"`
	N   int64   `json:"n"`
}

// Summary summarises the results of a run.
type Summary struct {
	Requests   int                          `json:"requests"`
	Endings    map[Ending]int               `json:"endings"`
	Codes      map[string]int               `json:"codes,omitempty"`
	First      Quantiles                    `json:"first_token"`
	Between    Quantiles                    `json:"between_tokens"`
	Tokens     int                          `json:"tokens"`
	Workspaces map[string]*WorkspaceSummary `json:"workspaces"`
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minMicros, maxMicros, significantDigits)
}

// Add records a result.
func (r *Recorder) Add(result Result) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.initialize()
	r.endings[result.Ending]++
	if result.Code != "" {
		r.codes[result.Code]++
	}
	r.addToWorkspace(result)
	if result.First > 0 && result.Request.Kind == Stream {
		recordClamped(r.first, result.First)
	}
	for _, gap := range result.Gaps {
		recordClamped(r.tokenGaps, gap)
	}
	result.Gaps = nil
	r.keepResult(result)
}

func (r *Recorder) initialize() {
	if r.endings != nil {
		return
	}
	r.endings, r.codes = make(map[Ending]int), make(map[string]int)
	r.workspaces = make(map[string]*WorkspaceSummary)
	r.first, r.tokenGaps = newHistogram(), newHistogram()
}

func (r *Recorder) addToWorkspace(result Result) {
	workspace, known := r.workspaces[result.Request.Workspace]
	if !known {
		workspace = &WorkspaceSummary{first: newHistogram()}
		r.workspaces[result.Request.Workspace] = workspace
	}
	workspace.Requests++
	workspace.Tokens += result.Tokens
	if result.Ending == Answered {
		workspace.Answered++
	}
	if result.First > 0 {
		recordClamped(workspace.first, result.First)
	}
}

// recordClamped records a duration, clamped to the histogram's range. Its upper
// end, ten minutes, exceeds every caller's timeout.
func recordClamped(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(max(minMicros, min(d.Microseconds(), maxMicros)))
}

// keepResult keeps a result if it is a failure or KeepResults is set, within the
// bounds.
func (r *Recorder) keepResult(result Result) {
	switch result.Ending {
	case Answered, NotRun:
	default:
		if len(r.failures) < maxKeptFailures {
			r.failures = append(r.failures, result)
		}
	}
	if !r.KeepResults {
		return
	}
	if len(r.results) >= maxKeptResults {
		r.overflow = true
		return
	}
	if !result.Request.Once {
		// Only requests marked Once keep their prompt and body, because checks
		// resend them.
		result.Request.Prompt, result.Request.Body = "", ""
	}
	r.results = append(r.results, result)
}

// Results returns the kept results, and reports whether all results were kept,
// i.e. there were no more than maxKeptResults.
func (r *Recorder) Results() ([]Result, bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	return slices.Clone(r.results), !r.overflow
}

// Failures returns the first results, up to maxKeptFailures, that are neither
// Answered nor NotRun.
func (r *Recorder) Failures() []Result {
	r.lock.Lock()
	defer r.lock.Unlock()
	return slices.Clone(r.failures)
}

// Summary summarises the results added so far.
func (r *Recorder) Summary() Summary {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.initialize()
	summary := Summary{
		Endings: maps.Clone(r.endings), Codes: maps.Clone(r.codes), Workspaces: make(map[string]*WorkspaceSummary),
		First: quantiles(r.first), Between: quantiles(r.tokenGaps),
	}
	for _, n := range r.endings {
		summary.Requests += n
	}
	for name, workspace := range r.workspaces {
		copied := *workspace
		copied.FirstP95 = quantiles(workspace.first).P95
		summary.Tokens += workspace.Tokens
		summary.Workspaces[name] = &copied
	}
	return summary
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(quantile float64) float64 {
		return float64(h.ValueAtQuantile(quantile)) / 1000
	}
	return Quantiles{P50: at(50), P95: at(95), P99: at(99), N: h.TotalCount()}
}

// Names returns the names of the workspaces, in descending order of tokens.
func (s Summary) Names() []string {
	names := slices.Collect(maps.Keys(s.Workspaces))
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(s.Workspaces[b].Tokens, s.Workspaces[a].Tokens), cmp.Compare(a, b))
	})
	return names
}
