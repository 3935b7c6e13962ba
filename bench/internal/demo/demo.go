// Package demo runs a small deployment, modelled on Scambiocasa's, as separate processes
// on one machine. It sends a mixed load and checks the answers and executions of all
// requests.
//
// Invariants: in every case the last line is "demo: ok" or "demo: failed: " with the
// reason, and all processes are ended; the data folder is removed only if nothing failed.
package demo

import (
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"

	"shallotkeel.example/bench/internal/inspector"
	"shallotkeel.example/bench/internal/launcher"
	"shallotkeel.example/lib/caller"
)

// ErrDemo is wrapped by every error about a fault that the demo found.
var ErrDemo = merry.Sentinel("demo found a fault")

// Times and sizes of the demo.
const (
	startTimeout       = 20 * time.Second
	mixedTime          = 8 * time.Second
	backlogTime        = 6 * time.Second
	settleTime         = 1500 * time.Millisecond // until a backlog reaches its steady state
	callTimeout        = 20 * time.Second
	spansTimeout       = 8 * time.Second
	maxInFlight        = 4096
	maxPrintedFailures = 8 // failed calls
	demoSeed           = 7
	backlogSeed        = 8
	largeRate          = 8.0 // requests per second
	smallRate          = 2.0
	largeBacklog       = 48 // outstanding requests
	smallBacklog       = 24
)

// Options of the demo.
type Options struct {
	Programs string
	Example  string
}

// run is one demo.
type run struct {
	options    Options
	out        io.Writer
	folder     string
	deployment launcher.Deployment
	fleet      *launcher.Fleet
	recorder   *caller.Recorder
	report     report
}

// Run runs the demo, prints its report, and returns whether no fault was found.
func Run(options Options, out io.Writer) bool {
	folder, err := os.MkdirTemp("", "shallotkeel-demo-")
	if err != nil {
		fmt.Fprintf(out, "demo: failed: %v\n", err)
		return false
	}
	d := &run{options: options, out: out, folder: folder, recorder: &caller.Recorder{KeepResults: true}}
	err = d.runSteps()
	if d.fleet != nil {
		d.fleet.Close()
	}
	if err != nil {
		fmt.Fprintf(out, "settings and logs are kept in %s\ndemo: failed: %v\n", folder, err)
		return false
	}
	if err := os.RemoveAll(folder); err != nil {
		fmt.Fprintf(out, "demo: failed: %v\n", err)
		return false
	}
	fmt.Fprintln(out, "demo: ok")
	return true
}

// runSteps runs the parts of the demo in order, up to the first error.
func (d *run) runSteps() error {
	if err := d.start(); err != nil {
		return err
	}
	before, err := inspector.Scrape(context.Background(), d.fleet.Of(launcher.Router))
	if err != nil {
		return err
	}
	d.printf("sending a mixed load to %d routers for %v", len(d.fleet.Targets()), mixedTime)
	d.load(d.mixedLoads(), demoSeed, mixedTime)
	d.report.latency = d.recorder.Summary()
	after, err := inspector.Scrape(context.Background(), d.fleet.Of(launcher.Router))
	if err != nil {
		return err
	}
	d.report.control = after.Minus(before)
	d.printf("keeping four clubs backlogged, each at one router of its own, for %v", backlogTime)
	if err := d.backlog(); err != nil {
		return err
	}
	spans, err := d.traceRequest()
	if err != nil {
		return err
	}
	if err := d.check(); err != nil {
		d.report.write(d.out)
		return err
	}
	d.report.spans = spans
	d.report.write(d.out)
	return nil
}

// printf prints a line.
func (d *run) printf(format string, values ...any) {
	fmt.Fprintf(d.out, format+"\n", values...)
}

// start launches the processes and applies the example's configuration.
func (d *run) start() error {
	var err error
	if d.deployment, err = launcher.ReadDeployment(d.options.Example); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	started := time.Now()
	if d.fleet, err = launcher.Prepare(d.fleetPlan()); err != nil {
		return err
	}
	if err := d.fleet.Start(); err != nil {
		return err
	}
	if err := d.fleet.AwaitReady(ctx); err != nil {
		return err
	}
	if err := d.fleet.Apply(ctx, d.deployment.Folder); err != nil {
		return err
	}
	if err := d.fleet.AwaitEndpoints(ctx); err != nil {
		return err
	}
	d.printf("%d processes run, %d objects are in force, after %.1f s",
		len(d.fleet.Nodes), len(d.deployment.Objects), time.Since(started).Seconds())
	return nil
}

// fleetPlan returns a plan of two zones with keepers, routers, engines and a plain service.
func (d *run) fleetPlan() launcher.Plan {
	models, plain := d.deployment.Models, d.deployment.Plain
	engine := func(name string) launcher.StandinSettings {
		return launcher.ModelStandin(name, d.deployment.Model, models)
	}
	return launcher.Plan{
		Programs: d.options.Programs, Folder: d.folder, Scheduling: "pool", Trace: "log",
		Zones: []launcher.ZonePlan{
			{Name: "trento-a", Keepers: 2, Routers: 2, Standins: []launcher.StandinSettings{
				engine("modelli-a1"), engine("modelli-a2"), launcher.PlainStandin("scambio-app-a1", plain),
			}},
			{Name: "verona-b", Keepers: 1, Routers: 2, Standins: []launcher.StandinSettings{
				engine("modelli-b1"), engine("modelli-b2"), launcher.PlainStandin("scambio-app-b1", plain),
			}},
		},
	}
}

// mix returns the mix of the mixed load.
func (d *run) mix() caller.Mix {
	return caller.Mix{
		Stream: 5, Whole: 2, Plain: 2, Once: 2, Models: d.deployment.Models, Service: d.deployment.Plain, Bound: 48, Prompt: 600,
	}
}

// mixedLoads returns an open-loop load of every workspace, at a rate by its size.
func (d *run) mixedLoads() []caller.Load {
	loads := make([]caller.Load, 0, len(d.deployment.Workspaces))
	for _, workspace := range d.deployment.Workspaces {
		rate := smallRate
		if workspace.Large {
			rate = largeRate
		}
		loads = append(loads, caller.Load{Workspace: workspace.Name, Token: workspace.Token, PerSecond: rate, Mix: d.mix()})
	}
	return loads
}

// unevenBacklog returns the loads of two large and two small workspaces, each backlogged
// at one router, and their weights.
func (d *run) unevenBacklog() ([]caller.Load, map[string]float64) {
	var loads []caller.Load
	weights := make(map[string]float64)
	targets := d.fleet.Targets()
	remaining := map[bool]int{true: 2, false: 2} // by Large
	for _, workspace := range d.deployment.Workspaces {
		if remaining[workspace.Large] == 0 {
			continue
		}
		remaining[workspace.Large]--
		outstanding := smallBacklog
		if workspace.Large {
			outstanding = largeBacklog
		}
		mix := caller.Mix{Stream: 1, Models: d.deployment.Models, Bound: 48, Prompt: 600}
		at := targets[len(loads)%len(targets)]
		loads = append(loads, caller.Load{
			Workspace: workspace.Name, Token: workspace.Token, Backlog: outstanding, Targets: []string{at}, Mix: mix,
		})
		weights[workspace.Name] = workspace.Weight
	}
	return loads, weights
}

// load runs loads against the routers for a time and records the results.
func (d *run) load(loads []caller.Load, seed uint64, duration time.Duration) {
	driver := caller.Driver{
		Caller:  &caller.Caller{Client: caller.NewClient(), Clock: clockwork.NewRealClock(), Timeout: callTimeout},
		Targets: d.fleet.Targets(), Loads: loads, Seed: seed, Recorder: d.recorder, MaxOutstanding: maxInFlight,
	}
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	driver.Run(ctx)
	d.report.dropped += driver.Dropped()
}

// backlog measures the fairness gap and the utilisation while four workspaces always have
// waiting requests.
func (d *run) backlog() error {
	loads, weights := d.unevenBacklog()
	var models []*launcher.Node
	for _, standin := range d.fleet.Of(launcher.Standin) {
		if standin.Standin.Type == "model" {
			models = append(models, standin)
			d.report.ideal += standin.Standin.IdealTokensPerSecond()
		}
	}
	meter := inspector.Meter{Standins: models}
	meter.Start()
	started := time.Now()
	d.load(loads, backlogSeed, backlogTime)
	samples, err := meter.Stop()
	if err != nil {
		return err
	}
	steady := inspector.Between(samples, started.Add(settleTime), started.Add(backlogTime))
	if name, starved := inspector.Starved(steady, weights); starved || len(steady) == 0 {
		return merry.Errorf("%w: %s received nothing while it was backlogged", ErrDemo, name)
	}
	d.report.throughput = inspector.Throughput(steady)
	d.report.gap = inspector.Gap(steady, weights)
	return nil
}

// check compares the results that callers got with the executions of the stand-ins. It
// fails on any false result, and on any call that was neither answered nor refused as not
// run.
func (d *run) check() error {
	executions, err := inspector.Read(d.fleet)
	if err != nil {
		return err
	}
	counted, err := inspector.QueryExecutions(context.Background(), d.fleet)
	if err != nil {
		return err
	}
	if !maps.Equal(counted, executions.ByIdentity) {
		return merry.Errorf("%w: the stand-ins count %d executed requests, their journals %d",
			ErrDemo, len(counted), len(executions.ByIdentity))
	}
	results, complete := d.recorder.Results()
	if !complete {
		return merry.Errorf("%w: the recorder kept only a part of the results; shorten the load", ErrDemo)
	}
	d.report.verdict = inspector.Judge(results, executions)
	v := d.report.verdict
	if n := v.Requests - v.Answered - v.NotRun; n > 0 {
		d.printFailures()
		return merry.Errorf("%w: %d of %d calls were neither answered nor refused as not run", ErrDemo, n, v.Requests)
	}
	if v.Violations() > 0 {
		return merry.Errorf("%w: double %d, false not-run %d, answered without being run %d",
			ErrDemo, v.Double, v.FalseNotRun, v.Phantom)
	}
	if v.Answered == 0 || d.report.dropped > 0 {
		return merry.Errorf("%w: %d answered, %d not sent", ErrDemo, v.Answered, d.report.dropped)
	}
	return nil
}

// printFailures prints the first failed calls.
func (d *run) printFailures() {
	failures := d.recorder.Failures()
	for _, failure := range failures[:min(len(failures), maxPrintedFailures)] {
		d.printf("  %s: %s %s at %s, request %s: %s %s %.60q", failure.Ending, failure.Request.Workspace,
			failure.Request.Kind, failure.Target, failure.ID, failure.Code, failure.Error, failure.Got)
	}
}
