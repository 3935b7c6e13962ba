package demo

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"shallotkeel.example/bench/internal/inspector"
	"shallotkeel.example/lib/caller"
)

// report holds the figures that the demo prints.
type report struct {
	latency    caller.Summary // of the mixed load
	control    inspector.Metrics
	throughput float64 // tokens per second under backlog
	ideal      float64 // tokens per second of engines with full batches
	gap        float64 // tokens divided by weight
	dropped    int     // requests that were not sent
	verdict    inspector.Verdict
	spans      []span
}

// write prints the spans and a table of the figures.
func (r *report) write(out io.Writer) {
	r.writeSpans(out)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	row := func(name, format string, values ...any) {
		fmt.Fprintf(table, "%s\t%s\n", name, fmt.Sprintf(format, values...))
	}
	v := r.verdict
	row("requests", "%d", v.Requests)
	row("answered", "%d", v.Answered)
	row("refused, not run", "%d", v.NotRun)
	row("wrong or cut answers", "%d", v.Wrong+v.Cut)
	row("other failures", "%d", v.Unknown+v.Lost+v.Missing+v.Invalid)
	row("double executions", "%d", v.Double)
	row("refused as not run, but run", "%d", v.FalseNotRun)
	row("first token p50, p95", "%.1f ms, %.1f ms", r.latency.First.P50, r.latency.First.P95)
	row("between tokens p50, p95", "%.1f ms, %.1f ms", r.latency.Between.P50, r.latency.Between.P95)
	row("gap of four backlogged clubs", "%.0f tokens a unit of weight", r.gap)
	row("utilisation under backlog", "%.3f", r.throughput/r.ideal)
	row("control bytes a request", "%s", r.controlBytes())
	_ = table.Flush()
}

// controlBytes formats the bytes that the routers sent to each other and to the keepers,
// per request of the mixed load.
func (r *report) controlBytes() string {
	bytes, found := r.control.Matching("control", "sent", "bytes")
	if !found || r.latency.Requests == 0 {
		return "not measured: the routers show no such metric"
	}
	return fmt.Sprintf("%.0f", bytes/float64(r.latency.Requests))
}

// writeSpans prints the spans of the traced request as an indented tree.
func (r *report) writeSpans(out io.Writer) {
	if len(r.spans) == 0 {
		return
	}
	fmt.Fprintf(out, "spans of one request, trace %s:\n", r.spans[0].Trace)
	first := r.spans[0].Started
	for _, s := range r.spans {
		indent := strings.Repeat("  ", 1+depth(r.spans, s))
		at := s.Started.Sub(first).Round(time.Microsecond)
		fmt.Fprintf(out, "%s%s at %s: +%v, %.2f ms\n", indent, s.Name, s.Router, at, s.Took)
	}
}
