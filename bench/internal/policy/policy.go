// Package policy measures the scheduling policy alone. It runs the decision
// packages in one process in virtual time, and compares them with a baseline in
// which each router schedules by itself, for the same requests.
//
// The stand-ins implement only what the pure interfaces need: engines admit
// requests in order of arrival, and routers hold waiting requests and carry
// messages with a fixed delay. Package measurer measures the cost of processes,
// sockets and codecs.
//
// Invariants: the same seed gives the same figures; a figure of the scheduler is only
// ever compared with that of the baseline from the same run.
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
	// Pool is the value with one scheduler per pool.
	Pool float64 `json:"pool"`
	// Baseline is the value with each router scheduling alone, nil where it has no
	// meaning.
	Baseline *float64 `json:"baseline,omitempty"`
	// Ratio is Baseline divided by Pool, nil if it is not finite.
	Ratio *float64 `json:"ratio,omitempty"`
	// Bound is the largest value that the formula of docs/FAIRNESS.md allows.
	Bound *float64 `json:"bound,omitempty"`
}

// Report holds all figures of a run.
type Report struct {
	Seed    uint64
	Figures []Figure
}

// Times of every scenario, counted from its start.
const (
	warmUp      = 60 * time.Second
	runDuration = 300 * time.Second
	// plainRunDuration is shorter, because there are a hundred times as many plain calls.
	plainRunDuration = 120 * time.Second
	faultAt          = 120 * time.Second
	healAt           = 160 * time.Second
	// recoveredUtilisation is the utilisation from which a fleet counts as recovered
	// after a fault.
	recoveredUtilisation = 0.97
	// parallelScenarios is how many scenarios run at the same time. They share no state.
	parallelScenarios = 4
)

// Sizes of every scenario.
const (
	workspaces = 12
	engines    = 12
	slots      = 8
	// depth is the number of waiting requests of a workspace per router. It keeps the
	// baseline's queues from being empty at some routers when placement is even.
	depth = 6
	// lowHintWorkspace is the workspace with cost hints that are ten times too low.
	lowHintWorkspace = 3
	// heavyWorkspace is the workspace with weight 2; all others have weight 1.
	heavyWorkspace = 5
)

func weights() []float64 {
	all := make([]float64, workspaces)
	for i := range all {
		all[i] = 1
	}
	all[heavyWorkspace] = 2
	return all
}

// costs returns the mean cost of a request of each workspace, in units. They differ
// by a factor of up to eight.
func costs() []uint32 {
	all := make([]uint32, workspaces)
	for i := range all {
		all[i] = 50 << (i % 4)
	}
	return all
}

// even places every workspace's requests at all routers in rotation.
func even(workspace, n, routers int) int {
	return (workspace + n) % routers
}

// uneven places half of the workspaces at the first router and the others at one
// router each, so that most routers of a large fleet get no request.
func uneven(workspace, _, routers int) int {
	if workspace < workspaces/2 {
		return 0
	}
	return (1 + workspace - workspaces/2) % routers
}

// newPlan returns a plan for model engines in which all workspaces are backlogged.
func newPlan(routers, zones int, place func(workspace, n, routers int) int) plan {
	return plan{
		zones: zones, routers: routers, engines: engines, slots: slots, pools: 1, weights: weights(),
		place: place, depth: depth * routers, work: tokenWorkload(), lowHintWorkspace: lowHintWorkspace,
	}
}

// newPlainPlan returns a plan for a plain service, with half as many endpoints.
func newPlainPlan(routers, zones int, place func(workspace, n, routers int) int) plan {
	p := newPlan(routers, zones, place)
	p.engines, p.work = engines/2, plainWorkload()
	return p
}

// scenario is one comparison of the schedulers with the baseline.
type scenario struct {
	name  string
	plan  plan
	fault func(f *fleet)
	// measureFrom is when measuring begins, never before warmUp. During a partition
	// each zone is fair only within itself, so fleet-wide figures begin after it.
	measureFrom time.Duration
	// measureUntil is when measuring ends, runDuration by default.
	measureUntil time.Duration
}

func (s scenario) end() time.Duration {
	if s.measureUntil > 0 {
		return s.measureUntil
	}
	return runDuration
}

// scenarios returns all comparisons: placements and sizes without a fault, then faults.
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
		scenario{name: "three zones, uneven, 12 routers, plain calls", plan: newPlainPlan(12, 3, uneven), measureUntil: plainRunDuration},
		scenario{name: "scheduler lost, 16 routers", plan: newPlan(16, 1, uneven), fault: (*fleet).loseScheduler},
		scenario{name: "two schedulers for 3 s, 16 routers", plan: newPlan(16, 1, uneven), fault: (*fleet).twoSchedulers},
		scenario{name: "router frozen for 5 s, 16 routers", plan: newPlan(16, 1, uneven), fault: (*fleet).freezeRouter},
		scenario{name: "router restarted without memory, 16 routers", plan: newPlan(16, 1, uneven), fault: (*fleet).restartRouter},
		scenario{name: "zones cut and rejoined, 12 routers", plan: newPlan(12, 3, uneven), fault: (*fleet).partitionAndHeal, measureFrom: healAt},
	)
}

// loseScheduler stops the scheduler of the first zone. The baseline has no scheduler to
// lose.
func (f *fleet) loseScheduler() {
	if !f.standalone {
		f.after(faultAt, f.zones[0].failover)
	}
}

// twoSchedulers lets a second scheduler start in the first zone while the first one still
// runs. The baseline has no scheduler.
func (f *fleet) twoSchedulers() {
	if !f.standalone {
		f.after(faultAt, f.zones[0].startSecondScheduler)
	}
}

func (f *fleet) freezeRouter() {
	f.after(faultAt, f.routers[1].freeze)
}

func (f *fleet) restartRouter() {
	f.after(faultAt, f.routers[0].restart)
}

// partitionAndHeal separates all zones from each other at faultAt and reconnects them at
// healAt.
func (f *fleet) partitionAndHeal() {
	f.after(faultAt, f.partitionZones)
	f.after(healAt, func() { f.partitioned = false })
}

// run simulates the scenario, with one scheduler per pool or, if alone, with the
// baseline, and returns the fleet with its samples.
func (s scenario) run(seed uint64, alone bool) *fleet {
	p := s.plan
	p.standalone = alone
	f := newFleet(p, seed)
	if s.fault != nil {
		s.fault(f)
	}
	f.runUntil(f.now.Add(s.end()))
	return f
}

// Measure runs every scenario with the schedulers and with the baseline, and the
// runs that show the cost of the exchange between zones.
func Measure(seed uint64) Report {
	all, zones := scenarios(), scaleZones()
	figures := make([][]Figure, len(all)+len(zones))
	var group errgroup.Group
	group.SetLimit(parallelScenarios)
	for i := range zones {
		largest := len(zones) - 1 - i // started first, because it takes longest
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

// figures returns the figures of a scenario from its two runs.
func (s scenario) figures(pool, alone *fleet) []Figure {
	from := max(warmUp, s.measureFrom)
	poolWindow, aloneWindow := pool.window(from, s.end()), alone.window(from, s.end())
	bound := pool.bound()
	figures := []Figure{
		compare(s.name, "fairness gap", "units by weight", gap(poolWindow), gap(aloneWindow)).withBound(bound),
		compare(s.name, "fairness gap over mean service", "ratio",
			gap(poolWindow)/mean(poolWindow), gap(aloneWindow)/mean(aloneWindow)),
		compare(s.name, "utilisation over ideal", "ratio", pool.utilisation(poolWindow), alone.utilisation(aloneWindow)),
		{Scenario: s.name, Name: "gap over bound", Unit: "ratio", Pool: gap(poolWindow) / bound},
		compare(s.name, "longest time without service", "seconds", pool.longestStarvation.Seconds(), alone.longestStarvation.Seconds()),
	}
	if s.fault != nil {
		figures = append(figures, s.recovery(pool))
	}
	return figures
}

// recovery returns the time from a fault, or from the end of a partition, until the
// gap and the utilisation have recovered.
func (s scenario) recovery(pool *fleet) Figure {
	recovery := pool.recoveryTime(max(faultAt, s.measureFrom), s.end(), recoveredUtilisation)
	return Figure{Scenario: s.name, Name: "time until gap and utilisation are back", Unit: "seconds", Pool: recovery.Seconds()}
}

// compare returns a figure with the values of the schedulers and of the baseline.
func compare(scenario, name, unit string, pool, baseline float64) Figure {
	figure := Figure{Scenario: scenario, Name: name, Unit: unit, Pool: pool, Baseline: &baseline}
	if ratio := baseline / pool; !math.IsInf(ratio, 0) && !math.IsNaN(ratio) {
		figure.Ratio = &ratio
	}
	return figure
}

// withBound adds the bound of the formula to a figure.
func (f Figure) withBound(bound float64) Figure {
	f.Bound = &bound
	return f
}

// Run measures, and writes a table and then one JSON line per figure.
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

// line formats a figure as a row of the table.
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
