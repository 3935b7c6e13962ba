package caller

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the histograms, in microseconds.
const (
	leastMicros     = 1
	mostMicros      = int64(10 * time.Minute / time.Microsecond)
	significant     = 3
	maxKeptResults  = 200_000
	maxKeptFailures = 64
)

// Recorder sums results up. Its zero value is ready to use.
type Recorder struct {
	// Keep keeps every result (up to maxKeptResults), for checks against what
	// endpoints executed.
	Keep bool

	lock       sync.Mutex
	endings    map[Ending]int
	codes      map[string]int
	workspaces map[string]*Service
	first      *hdrhistogram.Histogram
	between    *hdrhistogram.Histogram
	kept       []Result
	failures   []Result
	overflow   bool
}

// Service is what one workspace received.
type Service struct {
	Requests int     `json:"requests"`
	Answered int     `json:"answered"`
	Tokens   int     `json:"tokens"`
	FirstP95 float64 `json:"first_p95_ms"`
	first    *hdrhistogram.Histogram
}

// Quantiles of a duration, in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50_ms"`
	P95 float64 `json:"p95_ms"`
	P99 float64 `json:"p99_ms"`
	N   int64   `json:"n"`
}

// Summary is what a run saw.
type Summary struct {
	Requests   int                 `json:"requests"`
	Endings    map[Ending]int      `json:"endings"`
	Codes      map[string]int      `json:"codes,omitempty"`
	First      Quantiles           `json:"first_token"`
	Between    Quantiles           `json:"between_tokens"`
	Tokens     int                 `json:"tokens"`
	Workspaces map[string]*Service `json:"workspaces"`
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(leastMicros, mostMicros, significant)
}

// Add takes a result.
func (r *Recorder) Add(result Result) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.prepare()
	r.endings[result.Ending]++
	if result.Code != "" {
		r.codes[result.Code]++
	}
	r.service(result)
	if result.First > 0 && result.Request.Kind == Stream {
		record(r.first, result.First)
	}
	for _, gap := range result.Gaps {
		record(r.between, gap)
	}
	result.Gaps = nil
	r.keep(result)
}

func (r *Recorder) prepare() {
	if r.endings != nil {
		return
	}
	r.endings, r.codes = make(map[Ending]int), make(map[string]int)
	r.workspaces = make(map[string]*Service)
	r.first, r.between = newHistogram(), newHistogram()
}

func (r *Recorder) service(result Result) {
	service, known := r.workspaces[result.Request.Workspace]
	if !known {
		service = &Service{first: newHistogram()}
		r.workspaces[result.Request.Workspace] = service
	}
	service.Requests++
	service.Tokens += result.Tokens
	if result.Ending == Answered {
		service.Answered++
	}
	if result.First > 0 {
		record(service.first, result.First)
	}
}

// record leaves out what is beyond the range: ten minutes is past every
// caller's patience.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(max(leastMicros, min(d.Microseconds(), mostMicros)))
}

func (r *Recorder) keep(result Result) {
	switch result.Ending {
	case Answered, NotRun:
	default:
		if len(r.failures) < maxKeptFailures {
			r.failures = append(r.failures, result)
		}
	}
	if !r.Keep {
		return
	}
	if len(r.kept) >= maxKeptResults {
		r.overflow = true
		return
	}
	if !result.Request.Once {
		// What may be sent again is kept whole.
		result.Request.Prompt, result.Request.Body = "", ""
	}
	r.kept = append(r.kept, result)
}

// Results returns the kept results, and false if there were more than are kept.
func (r *Recorder) Results() ([]Result, bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	return slices.Clone(r.kept), !r.overflow
}

// Failures returns some of the results that are neither answered nor refused.
func (r *Recorder) Failures() []Result {
	r.lock.Lock()
	defer r.lock.Unlock()
	return slices.Clone(r.failures)
}

// Summary sums up what came so far.
func (r *Recorder) Summary() Summary {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.prepare()
	summary := Summary{
		Endings: maps.Clone(r.endings), Codes: maps.Clone(r.codes), Workspaces: make(map[string]*Service),
		First: quantiles(r.first), Between: quantiles(r.between),
	}
	for _, n := range r.endings {
		summary.Requests += n
	}
	for name, service := range r.workspaces {
		told := *service
		told.FirstP95 = quantiles(service.first).P95
		summary.Tokens += service.Tokens
		summary.Workspaces[name] = &told
	}
	return summary
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(quantile float64) float64 {
		return float64(h.ValueAtQuantile(quantile)) / 1000
	}
	return Quantiles{P50: at(50), P95: at(95), P99: at(99), N: h.TotalCount()}
}

// Names returns the workspaces, most tokens first.
func (s Summary) Names() []string {
	names := slices.Collect(maps.Keys(s.Workspaces))
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(s.Workspaces[b].Tokens, s.Workspaces[a].Tokens), cmp.Compare(a, b))
	})
	return names
}
