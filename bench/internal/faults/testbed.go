// Package faults runs the cells of the fault matrix against real processes.
// A cell injects one fault at one step of the work, under load, and then counts
// the violations of the fleet's guarantees.
//
// Invariants: every cell has its own fleet, data folder and relays. A cell
// fails if its own condition is not met, or if any request was executed twice
// although it may not be repeated, was executed although it was refused as not
// run, was answered wrongly, or got no final answer. Each cell states which
// other outcomes it allows, such as the visible cuts that the clients of a
// killed router get.
package faults

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"

	"shallotkeel.example/bench/internal/inspector"
	"shallotkeel.example/bench/internal/launcher"
	"shallotkeel.example/bench/internal/relay"
	"shallotkeel.example/lib/caller"
	"shallotkeel.example/lib/reporter"
)

// ErrCell is the base of every error with which a cell fails.
var ErrCell = merry.Sentinel("cell failed")

const (
	startTimeout  = 20 * time.Second
	callTimeout   = 20 * time.Second
	probeInterval = 100 * time.Millisecond
	probeTimeout  = 300 * time.Millisecond
	maxInFlight   = 4096
	warmUpTime    = time.Second
)

// The availability zones of a cell's fleet.
const (
	zoneA = "trento-a"
	zoneB = "verona-b"
	zoneC = "bolzano-c"
)

// testbed is the fleet of one cell, with its load and the recorded results.
type testbed struct {
	ctx        context.Context
	folder     string
	fleet      *launcher.Fleet
	network    *relay.Network
	deployment launcher.Deployment
	recorder   *caller.Recorder // results of all requests that the verdict covers
	balancer   *balancer
	client     *http.Client
	seed       uint64         // of the last load or planner; each takes the next
	loads      sync.WaitGroup // running loads and other background work
	figures    []string       // printed on the cell's line
}

// fleetOptions are the properties in which the fleets of cells differ.
type fleetOptions struct {
	relays     bool   // put relays between the processes, so that links can be cut
	scheduling string // setting of the routers
}

// newTestbed starts a fleet, applies the example deployment and waits until the
// routers serve it. On an error it returns the testbed as far as it was set up,
// and nil only if there is no folder; the caller closes it.
func newTestbed(ctx context.Context, options Options, fleet fleetOptions) (*testbed, error) {
	folder, err := os.MkdirTemp("", "shallotkeel-faults-")
	if err != nil {
		return nil, merry.Errorf("%w: %v; free some disk", ErrCell, err)
	}
	b := &testbed{
		ctx: ctx, folder: folder, recorder: &caller.Recorder{KeepResults: true}, network: &relay.Network{}, client: caller.NewClient(),
	}
	if b.deployment, err = launcher.ReadDeployment(options.Example); err != nil {
		return b, err
	}
	plan := b.fleetPlan(options, fleet)
	if b.fleet, err = launcher.Prepare(plan); err != nil {
		return b, err
	}
	b.network.Owner = relay.Finder{Processes: b.processes}.Owner
	if err := b.fleet.Start(); err != nil {
		return b, err
	}
	limit, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := b.fleet.AwaitReady(limit); err != nil {
		return b, err
	}
	if err := b.fleet.Apply(limit, b.deployment.Folder); err != nil {
		return b, err
	}
	if err := b.fleet.AwaitEndpoints(limit); err != nil {
		return b, err
	}
	b.balancer = newBalancer(b.fleet.Targets())
	return b, nil
}

// fleetPlan returns a fleet with one keeper in each of three zones, and with two
// routers, a plain stand-in and two model stand-ins in each of the first two.
func (b *testbed) fleetPlan(options Options, fleet fleetOptions) launcher.Plan {
	engine := func(name string) launcher.StandinSettings {
		settings := launcher.ModelStandin(name, b.deployment.Model, b.deployment.Models)
		settings.CrashOn = poison
		return settings
	}
	plain := func(name string) launcher.StandinSettings { return launcher.PlainStandin(name, b.deployment.Plain) }
	plan := launcher.Plan{
		Programs: options.Programs, Folder: b.folder, Scheduling: fleet.scheduling,
		Zones: []launcher.ZonePlan{
			{Name: zoneA, Keepers: 1, Routers: 2, Standins: []launcher.StandinSettings{
				engine("modelli-a2"), engine("modelli-a3"), plain("scambio-app-a1"),
			}},
			{Name: zoneB, Keepers: 1, Routers: 2, Standins: []launcher.StandinSettings{
				engine("modelli-b1"), engine("modelli-b2"), plain("scambio-app-b1"),
			}},
			{Name: zoneC, Keepers: 1},
		},
	}
	if fleet.relays {
		plan.Wire = b.listenRelay
	}
	return plan
}

// listenRelay starts a relay in front of one listener of a process.
func (b *testbed) listenRelay(node *launcher.Node, _ launcher.Port, inner netip.AddrPort) (netip.AddrPort, error) {
	return b.network.Listen(netip.AddrPortFrom(inner.Addr(), 0), node.Name, inner)
}

// processes returns the ids of the running processes by node name, for the relays.
func (b *testbed) processes() map[string]int {
	ids := make(map[string]int)
	for _, node := range b.fleet.Nodes {
		if node.Running() {
			ids[node.Name] = node.Process().PID()
		}
	}
	return ids
}

// close stops the fleet, the relays and the balancer, and removes the folder unless keep is set.
func (b *testbed) close(keep bool) {
	b.network.Heal()
	if b.balancer != nil {
		b.balancer.close()
	}
	if b.fleet != nil {
		b.fleet.Close()
	}
	b.network.Close()
	if !keep {
		_ = os.RemoveAll(b.folder)
	}
}

// addFigure adds a figure to the line that is printed for the cell.
func (b *testbed) addFigure(format string, values ...any) {
	b.figures = append(b.figures, fmt.Sprintf(format, values...))
}

// sleep returns early when the cell's time limit is reached.
func (b *testbed) sleep(d time.Duration) {
	select {
	case <-b.ctx.Done():
	case <-time.After(d):
	}
}

// await polls a condition and returns how long it took to be met. The text says
// in the error what was awaited.
func (b *testbed) await(limit time.Duration, what string, met func() bool) (time.Duration, error) {
	start := time.Now()
	for !met() {
		if time.Since(start) > limit || b.ctx.Err() != nil {
			return limit, merry.Errorf("%w: %s took longer than %v", ErrCell, what, limit)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(start), nil
}

// mix is the mix of requests that most cells use.
func (b *testbed) mix() caller.Mix {
	return caller.Mix{
		Stream: 4, Whole: 2, Plain: 2, Once: 4, Models: b.deployment.Models, Service: b.deployment.Plain, Bound: 48, Prompt: 600,
	}
}

// allWorkspaces returns a load of every workspace; rate is the total of requests
// per second, of which each workspace sends an equal part.
func (b *testbed) allWorkspaces(rate float64, mix caller.Mix) []caller.Load {
	loads := make([]caller.Load, 0, len(b.deployment.Workspaces))
	for _, workspace := range b.deployment.Workspaces {
		loads = append(loads, caller.Load{
			Workspace: workspace.Name, Token: workspace.Token, Mix: mix, PerSecond: rate / float64(len(b.deployment.Workspaces)),
		})
	}
	return loads
}

// startLoad sends a load in the background for the given time.
func (b *testbed) startLoad(loads []caller.Load, duration time.Duration) {
	b.startLoadInto(b.recorder, loads, duration)
}

// startLoadInto is startLoad with another recorder, for loads that are summed
// up separately.
func (b *testbed) startLoadInto(recorder *caller.Recorder, loads []caller.Load, duration time.Duration) {
	b.seed++
	driver := &caller.Driver{
		Caller: b.newCaller(), Targets: b.fleet.Targets(), Loads: loads, Seed: b.seed, Recorder: recorder,
		MaxOutstanding: maxInFlight, Ready: b.balancer.ready,
	}
	b.loads.Go(func() {
		ctx, cancel := context.WithTimeout(b.ctx, duration)
		defer cancel()
		driver.Run(ctx)
	})
}

func (b *testbed) newCaller() *caller.Caller {
	return &caller.Caller{Client: b.client, Clock: clockwork.NewRealClock(), Timeout: callTimeout}
}

// call sends one request to a router and records its result.
func (b *testbed) call(router *launcher.Node, request caller.Request) caller.Result {
	result := b.newCaller().Call(b.ctx, router.URL(), request)
	b.recorder.Add(result)
	return result
}

// newPlanner returns a generator of the requests of one workspace, which is given by its index.
func (b *testbed) newPlanner(workspace int, mix caller.Mix) *caller.Planner {
	b.seed++
	w := b.deployment.Workspaces[workspace]
	return caller.NewPlanner(w.Name, w.Token, mix, b.seed)
}

// resend sends every non-repeatable request of unknown outcome once more, with
// the same idempotency key, to another router. It must not be executed a second
// time.
func (b *testbed) resend() {
	results, _ := b.recorder.Results()
	for i, result := range results {
		switch result.Ending {
		case caller.Lost, caller.Unknown, caller.Cut, caller.Unsent:
		default:
			continue
		}
		if !result.Request.Once || result.Repeated {
			continue
		}
		again := b.newCaller().Call(b.ctx, b.otherRouter(result.Target, i), result.Request)
		again.Repeated = true
		b.recorder.Add(again)
	}
}

// otherRouter returns a ready router other than the target, and the target if
// there is none. The index spreads the choice over the routers.
func (b *testbed) otherRouter(target string, i int) string {
	targets := b.fleet.Targets()
	for range targets {
		i++
		candidate := targets[i%len(targets)]
		if candidate != target && b.balancer.ready(candidate) {
			return candidate
		}
	}
	return target
}

// judge waits for the loads, resends the requests of unknown outcome, and
// compares the results with the executions that the stand-ins recorded. Endings
// other than answered and not run fail the cell unless they are allowed.
func (b *testbed) judge(allowed ...caller.Ending) (inspector.Verdict, error) {
	b.loads.Wait()
	b.resend()
	executions, err := inspector.Read(b.fleet)
	if err != nil {
		return inspector.Verdict{}, err
	}
	results, complete := b.recorder.Results()
	if !complete {
		return inspector.Verdict{}, merry.Errorf("%w: more results than are kept; shorten the load", ErrCell)
	}
	verdict := inspector.Judge(results, executions)
	b.addFigure("requests %d answered %d not-run %d unknown %d cut %d lost %d", verdict.Requests, verdict.Answered,
		verdict.NotRun, verdict.Unknown, verdict.Cut, verdict.Lost)
	b.addFigure("double %d false-not-run %d wrong %d missing %d", verdict.Double, verdict.FalseNotRun, verdict.Wrong, verdict.Missing)
	return verdict, b.checkVerdict(verdict, results, allowed)
}

// checkVerdict fails on a violated guarantee, and on endings that the cell does
// not allow.
func (b *testbed) checkVerdict(verdict inspector.Verdict, results []caller.Result, allowed []caller.Ending) error {
	if verdict.Violations() > 0 {
		return merry.Errorf("%w: double %d, false not-run %d, wrong %d, missing %d, answered without being run %d", ErrCell,
			verdict.Double, verdict.FalseNotRun, verdict.Wrong, verdict.Missing, verdict.Phantom)
	}
	if b.ctx.Err() != nil {
		return merry.Errorf("%w: it took longer than %v", ErrCell, cellLimit)
	}
	if verdict.Answered == 0 {
		return merry.Errorf("%w: nothing was answered", ErrCell)
	}
	for _, result := range results {
		switch {
		case result.Ending == caller.Answered, result.Ending == caller.NotRun, result.Repeated:
		case slices.Contains(allowed, result.Ending):
		default:
			return merry.Errorf("%w: a %s request to %s ended %s: %s %s", ErrCell, result.Request.Kind, result.Target,
				result.Ending, result.Code, result.Error)
		}
	}
	return nil
}

// scheduler returns the router that schedules a service's pool in a zone,
// according to the zone's routers.
func (b *testbed) scheduler(zone, service string) (*launcher.Node, error) {
	for _, router := range b.fleet.In(zone, launcher.Router) {
		var status reporter.Status
		if router.Admin(b.ctx, "/admin/status", &status) != nil {
			continue
		}
		for _, pool := range status.Pools {
			if pool.Zone != zone || pool.Service != service {
				continue
			}
			if node, found := b.fleet.Node(pool.Scheduler); found {
				return node, nil
			}
		}
	}
	return nil, merry.Errorf("%w: no router says who schedules %s in %s", ErrCell, service, zone)
}

// nonScheduler returns a router of the zone that does not schedule the service's pool.
func (b *testbed) nonScheduler(zone, service string) (*launcher.Node, error) {
	scheduler, err := b.scheduler(zone, service)
	if err != nil {
		return nil, err
	}
	for _, router := range b.fleet.In(zone, launcher.Router) {
		if router != scheduler {
			return router, nil
		}
	}
	return nil, merry.Errorf("%w: %s has only one router", ErrCell, zone)
}

// leader returns the keepers' leader according to the first router that reports one.
func (b *testbed) leader() (*launcher.Node, error) {
	for _, router := range b.fleet.Of(launcher.Router) {
		var status reporter.Status
		if router.Admin(b.ctx, "/admin/status", &status) != nil {
			continue
		}
		for _, keeper := range status.Keepers {
			if node, found := b.fleet.Node(keeper.Name); found && keeper.Role == "leader" {
				return node, nil
			}
		}
	}
	return nil, merry.Errorf("%w: no router says who leads the keepers", ErrCell)
}

// cutZone cuts the links between a zone's processes and those of all other zones, in both directions.
func (b *testbed) cutZone(zone string) {
	b.cut(func(from, to *launcher.Node) bool { return (from.Zone == zone) != (to.Zone == zone) })
}

// cut cuts every link for which the rule returns true.
func (b *testbed) cut(rule func(from, to *launcher.Node) bool) {
	var links []relay.Link
	for _, from := range b.fleet.Nodes {
		for _, to := range b.fleet.Nodes {
			if from != to && rule(from, to) {
				links = append(links, relay.Link{From: from.Name, To: to.Name})
			}
		}
	}
	b.network.Cut(links...)
}
