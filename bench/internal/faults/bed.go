// Package faults runs the cells of the fault matrix against real processes:
// a fault at a step, under load, and then counts what must never happen.
//
// Invariants: every cell has a fleet, a data folder and relays of its own; a
// cell fails if its own condition does or if anything was executed twice that
// may not be repeated, was executed though it was refused as not run, was
// answered wrongly, or got no final answer; what else a cell lets pass, such
// as the visible cuts of a killed router's own callers, it says itself.
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

// ErrCell is the kind of every failure of a cell.
var ErrCell = merry.Sentinel("cell failed")

const (
	startLimit   = 20 * time.Second
	patience     = 20 * time.Second
	probeEvery   = 100 * time.Millisecond
	probeTimeout = 300 * time.Millisecond
	maxInFlight  = 4096
	warmUp       = time.Second
)

// The availability zones of a cell's fleet.
const (
	zoneA = "trento-a"
	zoneB = "verona-b"
	zoneC = "bolzano-c"
)

// bed is one cell's fleet, with a load.
type bed struct {
	ctx        context.Context
	folder     string
	fleet      *launcher.Fleet
	network    *relay.Network
	deployment launcher.Deployment
	recorder   *caller.Recorder
	balancer   *balancer
	client     *http.Client
	seed       uint64
	loads      sync.WaitGroup
	figures    []string
}

// options of a cell's fleet.
type shape struct {
	relays     bool // put relays between the processes, so that links can be cut
	scheduling string
}

func newBed(ctx context.Context, options Options, how shape) (*bed, error) {
	folder, err := os.MkdirTemp("", "shallotkeel-faults-")
	if err != nil {
		return nil, merry.Errorf("%w: %v; free some disk", ErrCell, err)
	}
	b := &bed{
		ctx: ctx, folder: folder, recorder: &caller.Recorder{KeepResults: true}, network: &relay.Network{}, client: caller.NewClient(),
	}
	if b.deployment, err = launcher.ReadDeployment(options.Example); err != nil {
		return b, err
	}
	plan := b.plan(options, how)
	if b.fleet, err = launcher.Prepare(plan); err != nil {
		return b, err
	}
	b.network.Owner = relay.Finder{Processes: b.processes}.Owner
	if err := b.fleet.Start(); err != nil {
		return b, err
	}
	limit, cancel := context.WithTimeout(ctx, startLimit)
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

func (b *bed) plan(options Options, how shape) launcher.Plan {
	engine := func(name string) launcher.StandinSettings {
		settings := launcher.Model(name, b.deployment.Model, b.deployment.Models)
		settings.CrashOn = poison
		return settings
	}
	plain := func(name string) launcher.StandinSettings { return launcher.PlainService(name, b.deployment.Plain) }
	plan := launcher.Plan{
		Programs: options.Programs, Folder: b.folder, Scheduling: how.scheduling,
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
	if how.relays {
		plan.Wire = b.wire
	}
	return plan
}

func (b *bed) wire(node *launcher.Node, _ launcher.Port, inner netip.AddrPort) (netip.AddrPort, error) {
	return b.network.Listen(netip.AddrPortFrom(inner.Addr(), 0), node.Name, inner)
}

// processes returns the ids of the running processes, for the relays.
func (b *bed) processes() map[string]int {
	ids := make(map[string]int)
	for _, node := range b.fleet.Nodes {
		if node.Running() {
			ids[node.Name] = node.Process().PID()
		}
	}
	return ids
}

// close ends everything and removes the folder unless it is to be kept.
func (b *bed) close(keep bool) {
	b.network.Mend()
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

// note adds a figure to the cell's line.
func (b *bed) note(format string, values ...any) {
	b.figures = append(b.figures, fmt.Sprintf(format, values...))
}

func (b *bed) sleep(d time.Duration) {
	select {
	case <-b.ctx.Done():
	case <-time.After(d):
	}
}

// sleepUntil polls a condition and returns how long it took to be met.
func (b *bed) await(limit time.Duration, what string, met func() bool) (time.Duration, error) {
	began := time.Now()
	for !met() {
		if time.Since(began) > limit || b.ctx.Err() != nil {
			return limit, merry.Errorf("%w: %s took longer than %v", ErrCell, what, limit)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(began), nil
}

// mix is the mix of most cells.
func (b *bed) mix() caller.Mix {
	return caller.Mix{
		Stream: 4, Whole: 2, Plain: 2, Once: 4, Models: b.deployment.Models, Service: b.deployment.Plain, Bound: 48, Prompt: 600,
	}
}

// everyone is a load of all workspaces at this rate in all.
func (b *bed) everyone(rate float64, mix caller.Mix) []caller.Load {
	loads := make([]caller.Load, 0, len(b.deployment.Workspaces))
	for _, workspace := range b.deployment.Workspaces {
		loads = append(loads, caller.Load{
			Workspace: workspace.Name, Token: workspace.Token, Mix: mix, PerSecond: rate / float64(len(b.deployment.Workspaces)),
		})
	}
	return loads
}

// send starts a load in the background.
func (b *bed) send(loads []caller.Load, lasts time.Duration) {
	b.sendTo(b.recorder, loads, lasts)
}

func (b *bed) sendTo(recorder *caller.Recorder, loads []caller.Load, lasts time.Duration) {
	b.seed++
	driver := &caller.Driver{
		Caller: b.caller(), Targets: b.fleet.Targets(), Loads: loads, Seed: b.seed, Recorder: recorder,
		MaxOutstanding: maxInFlight, Ready: b.balancer.ready,
	}
	b.loads.Go(func() {
		ctx, cancel := context.WithTimeout(b.ctx, lasts)
		defer cancel()
		driver.Run(ctx)
	})
}

func (b *bed) caller() *caller.Caller {
	return &caller.Caller{Client: b.client, Clock: clockwork.NewRealClock(), Timeout: patience}
}

// call makes one call to a router and records it.
func (b *bed) call(router *launcher.Node, request caller.Request) caller.Result {
	result := b.caller().Call(b.ctx, router.URL(), request)
	b.recorder.Add(result)
	return result
}

// planner returns a planner of one workspace's requests.
func (b *bed) planner(workspace int, mix caller.Mix) *caller.Planner {
	b.seed++
	w := b.deployment.Workspaces[workspace]
	return caller.NewPlanner(w.Name, w.Token, mix, b.seed)
}

// resend sends every request that may not repeat and whose caller does not
// know what became of it again, with the same key, to another router: it must
// not run a second time.
func (b *bed) resend() {
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
		again := b.caller().Call(b.ctx, b.other(result.Target, i), result.Request)
		again.Repeated = true
		b.recorder.Add(again)
	}
}

// other returns a router that is ready and, if possible, not this one.
func (b *bed) other(target string, i int) string {
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

// judge waits for the loads, sends again what is unclear, and counts.
func (b *bed) judge(allowed ...caller.Ending) (inspector.Verdict, error) {
	b.loads.Wait()
	b.resend()
	executions, err := inspector.Read(b.fleet)
	if err != nil {
		return inspector.Verdict{}, err
	}
	results, whole := b.recorder.Results()
	if !whole {
		return inspector.Verdict{}, merry.Errorf("%w: more results than are kept; shorten the load", ErrCell)
	}
	verdict := inspector.Judge(results, executions)
	b.note("requests %d answered %d not-run %d unknown %d cut %d lost %d", verdict.Requests, verdict.Answered,
		verdict.NotRun, verdict.Unknown, verdict.Cut, verdict.Lost)
	b.note("double %d false-not-run %d wrong %d missing %d", verdict.Double, verdict.FalseNotRun, verdict.Wrong, verdict.Missing)
	return verdict, b.permit(verdict, results, allowed)
}

// permit fails on what must never happen, and on endings that the cell does
// not let pass.
func (b *bed) permit(verdict inspector.Verdict, results []caller.Result, allowed []caller.Ending) error {
	if verdict.Broken() > 0 {
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

// scheduler returns the router that schedules a service's pool in a zone, as
// the zone's routers see it.
func (b *bed) scheduler(zone, service string) (*launcher.Node, error) {
	for _, router := range b.fleet.In(zone, launcher.Router) {
		var status reporter.Status
		if router.Admin(b.ctx, "/admin/status", &status) != nil {
			continue
		}
		for _, pool := range status.Pools {
			if pool.Zone != zone || pool.Service != service {
				continue
			}
			if node, known := b.fleet.Node(pool.Scheduler); known {
				return node, nil
			}
		}
	}
	return nil, merry.Errorf("%w: no router says who schedules %s in %s", ErrCell, service, zone)
}

// bystander returns a router of the zone that does not schedule the service.
func (b *bed) bystander(zone, service string) (*launcher.Node, error) {
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

// leader returns the keepers' leader as a router sees it.
func (b *bed) leader() (*launcher.Node, error) {
	for _, router := range b.fleet.Of(launcher.Router) {
		var status reporter.Status
		if router.Admin(b.ctx, "/admin/status", &status) != nil {
			continue
		}
		for _, keeper := range status.Keepers {
			if node, known := b.fleet.Node(keeper.Name); known && keeper.Role == "leader" {
				return node, nil
			}
		}
	}
	return nil, merry.Errorf("%w: no router says who leads the keepers", ErrCell)
}

// cutZone cuts a zone's processes from all others, in both directions.
func (b *bed) cutZone(zone string) {
	b.cut(func(from, to *launcher.Node) bool { return (from.Zone == zone) != (to.Zone == zone) })
}

// cut cuts the links that the rule names.
func (b *bed) cut(rule func(from, to *launcher.Node) bool) {
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
