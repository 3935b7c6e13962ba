package faults

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"shallotkeel.example/lib/caller"
)

const (
	floodTime = 6 * time.Second
	// floodRate is several times the capacity of the fleet, in requests per second.
	floodRate = 600.0
	// floodFactor bounds the ratio by which the flood may delay the p95 of the
	// first tokens of the other workspaces. floodSlackMS is added because shorter
	// delays do not matter: a request may wait that long for a slot to become free.
	floodFactor  = 3.0
	floodSlackMS = 250.0
)

func floodCells() []cell {
	return []cell{{fault: "flood", step: "one workspace, the others as before", run: flood}}
}

// flood measures the load of the other workspaces without and with the flood of one
// workspace. The flood must not get their requests refused, nor delay their first
// tokens much.
func flood(b *testbed) error {
	mix := caller.Mix{Stream: 1, Models: b.deployment.Models, Bound: 48, Prompt: 600}
	others := b.allWorkspaces(baseRate/2, mix)[1:]
	baseline := b.measureLoad(others)
	stop := b.startFlood(0)
	flooded := b.measureLoad(others)
	stop()
	b.addFigure("others' first token p95 %.0f ms calm, %.0f ms flooded", baseline.First.P95, flooded.First.P95)
	b.addFigure("others refused %d calm, %d flooded", baseline.Endings[caller.NotRun], flooded.Endings[caller.NotRun])
	if _, err := b.judge(); err != nil {
		return err
	}
	if flooded.Endings[caller.NotRun] > 0 {
		return merry.Errorf("%w: the flood got %d requests of others refused", ErrCell, flooded.Endings[caller.NotRun])
	}
	if flooded.First.P95 > floodFactor*baseline.First.P95+floodSlackMS {
		return merry.Errorf("%w: the flood raised the others' p95 from %.0f to %.0f ms", ErrCell, baseline.First.P95, flooded.First.P95)
	}
	return nil
}

// measureLoad sends a load for floodTime and returns its summary. The results also
// count for the cell's verdict.
func (b *testbed) measureLoad(loads []caller.Load) caller.Summary {
	recorder := &caller.Recorder{KeepResults: true}
	b.startLoadInto(recorder, loads, floodTime)
	b.sleep(floodTime)
	b.sleep(time.Second)
	results, _ := recorder.Results()
	for _, result := range results {
		b.recorder.Add(result)
	}
	return recorder.Summary()
}

// startFlood sends requests of one workspace, given by its index, at floodRate until
// the returned function is called.
func (b *testbed) startFlood(workspace int) func() {
	w := b.deployment.Workspaces[workspace]
	mix := caller.Mix{Stream: 1, Models: b.deployment.Models, Bound: 48, Prompt: 600}
	b.seed++
	driver := &caller.Driver{
		Caller: b.newCaller(), Targets: b.fleet.Targets(), Seed: b.seed, Recorder: b.recorder, MaxOutstanding: maxInFlight,
		Loads: []caller.Load{{Workspace: w.Name, Token: w.Token, PerSecond: floodRate, Mix: mix}}, Ready: b.balancer.ready,
	}
	ctx, cancel := context.WithCancel(b.ctx)
	b.loads.Go(func() { driver.Run(ctx) })
	return cancel
}
