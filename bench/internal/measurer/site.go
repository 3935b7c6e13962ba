package measurer

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"

	"shallotkeel.example/bench/internal/inspector"
	"shallotkeel.example/bench/internal/launcher"
	"shallotkeel.example/lib/caller"
	"shallotkeel.example/lib/describer"
	"shallotkeel.example/lib/labeler"
	"shallotkeel.example/lib/loader"
	"shallotkeel.example/lib/matcher"
)

// Sizes and times of the measured fleet and its load.
const (
	workspaces      = 12
	engines         = 8
	slots           = 8
	tokenTime       = 20 * time.Millisecond
	completionBound = 48  // tokens
	prompt          = 600 // bytes
	outstanding     = 16  // waiting or running requests of each backlogged workspace
	startTimeout    = 40 * time.Second
	callTimeout     = 30 * time.Second
	settleTime      = 2 * time.Second // until a backlog reaches its steady state
	// DefaultSteady is the default of Options.Steady.
	DefaultSteady = 5 * time.Second
	modelName     = "bozza-7b"
	modelPool     = "modelli"
	plainPool     = "scambio-app"
)

// site is a running fleet under measurement, with its data in a temporary folder.
type site struct {
	ctx    context.Context
	fleet  *launcher.Fleet
	client *http.Client
	folder string
	names  []string
	steady time.Duration
}

// launchSite launches a fleet in two zones and waits until its endpoints are available.
func launchSite(ctx context.Context, options Options, routers int, scheduling string) (*site, error) {
	folder, err := os.MkdirTemp("", "shallotkeel-measure-")
	if err != nil {
		return nil, merry.Errorf("%w: %v; free some disk", ErrMeasure, err)
	}
	s := &site{ctx: ctx, steady: options.Steady, folder: folder, client: caller.NewClient()}
	plan := launcher.Plan{Programs: options.Programs, Folder: folder, Scheduling: scheduling}
	for i, zone := range []string{"trento-a", "verona-b"} {
		zonePlan := launcher.ZonePlan{Name: zone, Keepers: 2 - i, Routers: routers / 2}
		for j := range engines / 2 {
			engine := launcher.ModelStandin(fmt.Sprintf("%s-%s-%d", modelPool, zone, j), modelPool, []string{modelName})
			engine.Slots, engine.TokenTime = slots, loader.Duration{Duration: tokenTime}
			zonePlan.Standins = append(zonePlan.Standins, engine)
		}
		plain := launcher.PlainStandin(plainPool+"-"+zone, plainPool)
		plain.Slots, plain.Busy = 64, loader.Duration{Duration: time.Millisecond}
		zonePlan.Standins = append(zonePlan.Standins, plain)
		plan.Zones = append(plan.Zones, zonePlan)
	}
	if err := s.start(plan); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

// start launches the processes and applies the configuration.
func (s *site) start(plan launcher.Plan) error {
	limit, cancel := context.WithTimeout(s.ctx, startTimeout)
	defer cancel()
	var err error
	if s.fleet, err = launcher.Launch(limit, plan); err != nil {
		return err
	}
	path := filepath.Join(s.folder, "objects.json")
	if err := s.writeObjects(path); err != nil {
		return err
	}
	if err := s.fleet.Apply(limit, path); err != nil {
		return err
	}
	return s.fleet.AwaitEndpoints(limit)
}

// writeObjects writes a configuration with the services and with equal workspaces, whose
// queues are long enough for any backlog.
func (s *site) writeObjects(path string) error {
	objects := []describer.Object{
		{Kind: describer.Service, Name: modelPool, Labels: labeler.Labels{
			describer.LabelType: describer.TypeModel, describer.PrefixModel + modelName: describer.Yes,
		}},
		{Kind: describer.Service, Name: plainPool, Labels: labeler.Labels{describer.LabelType: describer.TypePlain}},
	}
	for i := range workspaces {
		name := fmt.Sprintf("club-%02d", i)
		s.names = append(s.names, name)
		objects = append(objects, describer.Object{Kind: describer.Workspace, Name: name, Labels: labeler.Labels{
			describer.LabelToken: matcher.Digest(token(name)), describer.LabelQueue: "4096",
		}})
	}
	text, err := json.Marshal(map[string]any{"objects": objects})
	if err == nil {
		err = os.WriteFile(path, text, 0o644)
	}
	if err != nil {
		return merry.Errorf("%w: %v", ErrMeasure, err)
	}
	return nil
}

// token returns the API token of a workspace.
func token(workspace string) string { return workspace + "-token" }

// close ends the processes and removes the folder.
func (s *site) close() {
	if s.fleet != nil {
		s.fleet.Close()
	}
	_ = os.RemoveAll(s.folder)
}

// streamMix returns the mix of a load that consists of streams only.
func streamMix() caller.Mix {
	return caller.Mix{Stream: 1, Models: []string{modelName}, Bound: completionBound, Prompt: prompt}
}

// drive runs loads for a time and returns the summary of all calls. If direct, the
// targets are engines, not routers.
func (s *site) drive(loads []caller.Load, targets []string, seed uint64, duration time.Duration, direct bool) caller.Summary {
	recorder := &caller.Recorder{}
	driver := caller.Driver{
		Caller:  &caller.Caller{Client: s.client, Clock: clockwork.NewRealClock(), Timeout: callTimeout, Direct: direct},
		Targets: targets, Loads: loads, Seed: seed, Recorder: recorder, MaxOutstanding: 4096,
	}
	ctx, cancel := context.WithTimeout(s.ctx, duration)
	defer cancel()
	driver.Run(ctx)
	return recorder.Summary()
}

// backlogLoads returns a closed-loop load that keeps every workspace backlogged.
func (s *site) backlogLoads(place func(workspace int, targets []string) []string) []caller.Load {
	var loads []caller.Load
	for i, name := range s.names {
		loads = append(loads, caller.Load{
			Workspace: name, Token: token(name), Backlog: outstanding, Targets: place(i, s.fleet.Targets()), Mix: streamMix(),
		})
	}
	return loads
}

// even places each workspace's requests at all routers.
func even(_ int, targets []string) []string { return targets }

// uneven places half of the workspaces at the first router and the others at one
// router each, so that most routers of a large fleet get no request.
func uneven(workspace int, targets []string) []string {
	if workspace < workspaces/2 {
		return targets[:1]
	}
	at := 1 + (workspace-workspaces/2)%(len(targets)-1)
	return targets[at : at+1]
}

// engineNodes returns the model stand-ins.
func (s *site) engineNodes() []*launcher.Node {
	var nodes []*launcher.Node
	for _, standin := range s.fleet.Of(launcher.Standin) {
		if standin.Standin.Type == "model" {
			nodes = append(nodes, standin)
		}
	}
	return nodes
}

// ideal measures the tokens per second of the engines when each has its own backlog
// without any router. No scheduling can exceed it.
func (s *site) ideal() (float64, error) {
	var loads []caller.Load
	for i, engine := range s.engineNodes() {
		loads = append(loads, caller.Load{
			Workspace: s.names[i%len(s.names)], Backlog: 3 * slots, Targets: []string{engine.URL()}, Mix: streamMix(),
		})
	}
	samples, _, err := s.meterBacklog(loads, true)
	return inspector.Throughput(samples), err
}

// meterBacklog drives a backlog and returns the samples of its steady state. It fails
// if any call is not answered.
func (s *site) meterBacklog(loads []caller.Load, direct bool) ([]inspector.Sample, caller.Summary, error) {
	meter := inspector.Meter{Standins: s.engineNodes()}
	meter.Start()
	started := time.Now()
	summary := s.drive(loads, s.fleet.Targets(), 1, settleTime+s.steady, direct)
	samples, err := meter.Stop()
	if err != nil {
		return nil, summary, err
	}
	if summary.Endings[caller.Answered] != summary.Requests {
		return nil, summary, merry.Errorf("%w: not every call was answered: %v %v", ErrMeasure, summary.Endings, summary.Codes)
	}
	steadySamples := inspector.Between(samples, started.Add(settleTime), started.Add(settleTime+s.steady))
	if len(steadySamples) == 0 {
		return nil, summary, merry.Errorf("%w: no sample of the steady state", ErrMeasure)
	}
	return steadySamples, summary, nil
}

// cpu returns the processor time that the processes of nodes have used.
func cpu(nodes []*launcher.Node) (time.Duration, error) {
	var sum time.Duration
	for _, node := range nodes {
		used, err := node.Process().CPU()
		if err != nil {
			return 0, err
		}
		sum += used
	}
	return sum, nil
}
