// Package policy measures the scheduling policy alone: the decision packages in
// one process on simulated time, against the baseline in which each router
// schedules by itself, with the same requests.
//
// The stand-ins here are only what the pure interfaces need: engines that admit
// in order of arrival, routers that keep what waits and carry messages with a
// fixed delay. What processes, sockets and codecs cost is measured elsewhere.
//
// Invariants: the same seed gives the same figures; every figure of the
// scheduler stands beside the baseline's from the same run.
package policy

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
)

// Figure is one measured value.
type Figure struct {
	Scenario string `json:"scenario"`
	Name     string `json:"name"`
	Unit     string `json:"unit"`
	// Pool is the value with a scheduler per pool.
	Pool float64 `json:"pool"`
	// Baseline is the value with each router alone, absent where it has no meaning.
	Baseline *float64 `json:"baseline,omitempty"`
	// Ratio is Baseline over Pool.
	Ratio *float64 `json:"ratio,omitempty"`
	// Bound is what the formula allows.
	Bound *float64 `json:"bound,omitempty"`
}

// Report is all figures of a run.
type Report struct {
	Seed    uint64
	Figures []Figure
}

// Times of every scenario, after the start.
const (
	warm   = 60 * time.Second
	length = 300 * time.Second
	// plainLength is shorter, for plain calls are a hundred times as many.
	plainLength = 120 * time.Second
	faultAt     = 120 * time.Second
	healAt      = 160 * time.Second
	// busyLevel is the utilisation that counts as having recovered.
	busyLevel = 0.97
	// atOnce is how many scenarios run at the same time; each is a world of its own.
	atOnce = 4
)

// Sizes of every scenario.
const (
	workspaces = 12
	engines    = 12
	slots      = 8
	// depth is how many requests of a workspace wait per router, so that the
	// baseline's queues are not empty at some routers when placement is even.
	depth = 6
	liar  = 3
	heavy = 5 // this workspace weighs double
)

func weights() []float64 {
	all := make([]float64, workspaces)
	for i := range all {
		all[i] = 1
	}
	all[heavy] = 2
	return all
}

// costs differ by up to eight between workspaces.
func costs() []uint32 {
	all := make([]uint32, workspaces)
	for i := range all {
		all[i] = 50 << (i % 4)
	}
	return all
}

// even spreads every workspace's requests over all routers in turn.
func even(workspace, n, routers int) int {
	return (workspace + n) % routers
}

// uneven keeps half of the workspaces at the first router and the others at one
// router each, so most routers have none.
func uneven(workspace, _, routers int) int {
	if workspace < workspaces/2 {
		return 0
	}
	return (1 + workspace - workspaces/2) % routers
}

func newPlan(routers, zones int, place func(workspace, n, routers int) int) plan {
	return plan{
		zones: zones, routers: routers, engines: engines, slots: slots, pools: 1, weights: weights(),
		place: place, depth: depth * routers, work: tokens(), liar: liar,
	}
}

func newPlainPlan(routers, zones int, place func(workspace, n, routers int) int) plan {
	p := newPlan(routers, zones, place)
	p.engines, p.work = engines/2, calls()
	return p
}

// scenario is one comparison.
type scenario struct {
	name  string
	plan  plan
	fault func(f *fleet)
	// from is when measuring begins, warm by default. While zones are cut from
	// each other each is fair by itself, so that fleet-wide figures begin after.
	from time.Duration
	// until is when measuring ends, length by default.
	until time.Duration
}

func (s scenario) end() time.Duration {
	if s.until > 0 {
		return s.until
	}
	return length
}

func scenarios() []scenario {
	var all []scenario
	for _, routers := range []int{4, 16, 64} {
		all = append(all,
			scenario{name: fmt.Sprintf("even placement, %d routers", routers), plan: newPlan(routers, 1, even)},
			scenario{name: fmt.Sprintf("uneven placement, %d routers", routers), plan: newPlan(routers, 1, uneven)},
		)
	}
	return append(all,
		scenario{name: "three zones, uneven, 12 routers", plan: newPlan(12, 3, uneven)},
		scenario{name: "three zones, uneven, 12 routers, plain calls", plan: newPlainPlan(12, 3, uneven), until: plainLength},
		scenario{name: "scheduler lost, 16 routers", plan: newPlan(16, 1, uneven), fault: (*fleet).loseScheduler},
		scenario{name: "two schedulers for 3 s, 16 routers", plan: newPlan(16, 1, uneven), fault: (*fleet).twoSchedulers},
		scenario{name: "router frozen for 5 s, 16 routers", plan: newPlan(16, 1, uneven), fault: (*fleet).freezeRouter},
		scenario{name: "router restarted without memory, 16 routers", plan: newPlan(16, 1, uneven), fault: (*fleet).restartRouter},
		scenario{name: "zones cut and rejoined, 12 routers", plan: newPlan(12, 3, uneven), fault: (*fleet).cutAndRejoin, from: healAt},
	)
}

func (f *fleet) loseScheduler() {
	if !f.alone {
		f.after(faultAt, f.zones[0].failover)
	}
}

func (f *fleet) twoSchedulers() {
	if !f.alone {
		f.after(faultAt, f.zones[0].double)
	}
}

func (f *fleet) freezeRouter() {
	f.after(faultAt, f.routers[1].freeze)
}

func (f *fleet) restartRouter() {
	f.after(faultAt, f.routers[0].restart)
}

func (f *fleet) cutAndRejoin() {
	f.after(faultAt, f.part)
	f.after(healAt, func() { f.cut = false })
}

func (s scenario) run(seed uint64, alone bool) *fleet {
	p := s.plan
	p.alone = alone
	f := newFleet(p, seed)
	if s.fault != nil {
		s.fault(f)
	}
	f.until(f.now.Add(s.end()))
	return f
}

// Measure runs every scenario with and without the scheduler.
func Measure(seed uint64) Report {
	all, zones := scenarios(), scaleZones()
	figures := make([][]Figure, len(all)+len(zones))
	var group errgroup.Group
	group.SetLimit(atOnce)
	for i := range zones {
		largest := len(zones) - 1 - i // first, for it takes longest
		group.Go(func() error {
			figures[len(all)+largest] = scaleFigures(seed, zones[largest])
			return nil
		})
	}
	for i, s := range all {
		group.Go(func() error {
			figures[i] = s.figures(s.run(seed, false), s.run(seed, true))
			return nil
		})
	}
	_ = group.Wait() // no scenario fails
	return Report{Seed: seed, Figures: slices.Concat(figures...)}
}

func (s scenario) figures(pool, alone *fleet) []Figure {
	from := max(warm, s.from)
	poolWindow, aloneWindow := pool.window(from, s.end()), alone.window(from, s.end())
	bound := pool.bound()
	figures := []Figure{
		compare(s.name, "fairness gap", "units by weight", gap(poolWindow), gap(aloneWindow)).within(bound),
		compare(s.name, "fairness gap over mean service", "ratio",
			gap(poolWindow)/mean(poolWindow), gap(aloneWindow)/mean(aloneWindow)),
		compare(s.name, "utilisation over ideal", "ratio", pool.utilisation(poolWindow), alone.utilisation(aloneWindow)),
		{Scenario: s.name, Name: "gap over bound", Unit: "ratio", Pool: gap(poolWindow) / bound},
		compare(s.name, "longest time without service", "seconds", pool.longest.Seconds(), alone.longest.Seconds()),
	}
	if s.fault != nil {
		figures = append(figures, s.recovery(pool))
	}
	return figures
}

// recovery is how long after a fault, or the end of a cut, gap and utilisation
// are back.
func (s scenario) recovery(pool *fleet) Figure {
	back := pool.within(max(faultAt, s.from), s.end(), busyLevel)
	return Figure{Scenario: s.name, Name: "time until gap and utilisation are back", Unit: "seconds", Pool: back.Seconds()}
}

func compare(scenario, name, unit string, pool, baseline float64) Figure {
	figure := Figure{Scenario: scenario, Name: name, Unit: unit, Pool: pool, Baseline: &baseline}
	if ratio := baseline / pool; !math.IsInf(ratio, 0) && !math.IsNaN(ratio) {
		figure.Ratio = &ratio
	}
	return figure
}

func (f Figure) within(bound float64) Figure {
	f.Bound = &bound
	return f
}

// Run measures and writes a table and one JSON line per figure.
func Run(w io.Writer, seed uint64) error {
	report := Measure(seed)
	for _, f := range report.Figures {
		if _, err := fmt.Fprintln(w, f.line()); err != nil {
			return err
		}
	}
	encoder := json.NewEncoder(w)
	for _, f := range report.Figures {
		if err := encoder.Encode(f); err != nil {
			return err
		}
	}
	return nil
}

func (f Figure) line() string {
	text := fmt.Sprintf("%-46s %-40s %10.4g", f.Scenario, f.Name, f.Pool)
	if f.Baseline != nil {
		text += fmt.Sprintf("  baseline %10.4g", *f.Baseline)
	}
	if f.Bound != nil {
		text += fmt.Sprintf("  bound %10.4g", *f.Bound)
	}
	return text + "  " + f.Unit
}
