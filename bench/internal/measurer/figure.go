// Package measurer measures what the running path does and costs: processes on
// this machine, against the baseline in which each router schedules alone, in
// the same run.
//
// Invariants: a figure is printed only if it was measured in this run; what
// could not be measured is printed as such, with the reason; loads come from
// fixed seeds.
package measurer

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/ansel1/merry/v2"
)

// ErrMeasure is the kind of every error about a measurement.
var ErrMeasure = merry.Sentinel("measurement failed")

// Figure is one measured value.
type Figure struct {
	Name     string   `json:"figure"`
	Where    string   `json:"where"`
	Unit     string   `json:"unit"`
	Value    float64  `json:"value"`
	Baseline *float64 `json:"baseline,omitempty"`
	// Ratio is Value over Baseline.
	Ratio *float64 `json:"ratio,omitempty"`
	Note  string   `json:"note,omitempty"`
}

// against adds the baseline's value of the same run.
func (f Figure) against(baseline float64) Figure {
	f.Baseline = &baseline
	if baseline != 0 {
		ratio := f.Value / baseline
		f.Ratio = &ratio
	}
	return f
}

// report collects figures and what could not be measured.
type report struct {
	out     io.Writer
	figures []Figure
	failed  []string
}

func (r *report) add(figures ...Figure) {
	r.figures = append(r.figures, figures...)
}

// miss says that something was not measured.
func (r *report) miss(what string, err error) {
	r.failed = append(r.failed, fmt.Sprintf("not measured: %s: %v", what, err))
}

// write prints a table for people and one JSON line a figure.
func (r *report) write() error {
	table := tabwriter.NewWriter(r.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "figure\twhere\tvalue\tbaseline\tratio\tunit\tnote")
	for _, f := range r.figures {
		fmt.Fprintf(table, "%s\t%s\t%.4g\t%s\t%s\t%s\t%s\n", f.Name, f.Where, f.Value, optional(f.Baseline), optional(f.Ratio), f.Unit, f.Note)
	}
	if err := table.Flush(); err != nil {
		return merry.Errorf("%w: %v", ErrMeasure, err)
	}
	encoder := json.NewEncoder(r.out)
	for _, f := range r.figures {
		if err := encoder.Encode(f); err != nil {
			return merry.Errorf("%w: %v", ErrMeasure, err)
		}
	}
	for _, line := range r.failed {
		fmt.Fprintln(r.out, line)
	}
	return nil
}

func optional(value *float64) string {
	if value == nil {
		return "-"
	}
	return fmt.Sprintf("%.4g", *value)
}

// line is a straight line fitted by least squares.
type line struct{ slope, intercept float64 }

// fit fits a line through points.
func fit(xs, ys []float64) line {
	n := float64(len(xs))
	var sumX, sumY, sumXX, sumXY float64
	for i := range xs {
		sumX += xs[i]
		sumY += ys[i]
		sumXX += xs[i] * xs[i]
		sumXY += xs[i] * ys[i]
	}
	spread := n*sumXX - sumX*sumX
	if spread == 0 {
		return line{}
	}
	slope := (n*sumXY - sumX*sumY) / spread
	return line{slope: slope, intercept: (sumY - slope*sumX) / n}
}
