// Package measurer measures the performance and the cost of the running path. It
// starts processes on this machine and compares schedulers with the baseline, in
// which each router schedules alone, in the same run.
//
// Invariants: a figure is printed only if it was measured in this run; a figure that
// could not be measured is printed as not measured, with the reason; loads are
// drawn from fixed seeds.
package measurer

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/ansel1/merry/v2"
)

// ErrMeasure is wrapped by every error about a measurement.
var ErrMeasure = merry.Sentinel("measurement failed")

// Figure is one measured value. Where names the fleet and the load.
type Figure struct {
	Name     string   `json:"figure"`
	Where    string   `json:"where"`
	Unit     string   `json:"unit"`
	Value    float64  `json:"value"`
	Baseline *float64 `json:"baseline,omitempty"`
	// Ratio is Value divided by Baseline, nil if there is no baseline or it is zero.
	Ratio *float64 `json:"ratio,omitempty"`
	Note  string   `json:"note,omitempty"`
}

// withBaseline adds the baseline's value from the same run, and the ratio.
func (f Figure) withBaseline(baseline float64) Figure {
	f.Baseline = &baseline
	if baseline != 0 {
		ratio := f.Value / baseline
		f.Ratio = &ratio
	}
	return f
}

// report collects figures, and the reasons for those that could not be measured.
type report struct {
	out        io.Writer
	figures    []Figure
	unmeasured []string
}

// add adds measured figures.
func (r *report) add(figures ...Figure) {
	r.figures = append(r.figures, figures...)
}

// addUnmeasured records that something could not be measured, and why.
func (r *report) addUnmeasured(what string, err error) {
	r.unmeasured = append(r.unmeasured, fmt.Sprintf("not measured: %s: %v", what, err))
}

// write prints a table, then one JSON line per figure, then a line for everything that
// was not measured.
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
	for _, line := range r.unmeasured {
		fmt.Fprintln(r.out, line)
	}
	return nil
}

// optional formats a value of the table, "-" if there is none.
func optional(value *float64) string {
	if value == nil {
		return "-"
	}
	return fmt.Sprintf("%.4g", *value)
}

// line is a straight line fitted by least squares.
type line struct{ slope, intercept float64 }

// fit returns the line through points that has the least squared error, and the zero
// line if all points have the same x.
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
