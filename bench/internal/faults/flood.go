package faults

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"shallotkeel.example/lib/caller"
)

const (
	floodTime = 6 * time.Second
	// floodRate is several times what the fleet can serve.
	floodRate = 600.0
	// floodFactor is how much later the others' first tokens may come at p95,
	// and floodSlack what is too short to matter: a slot that becomes free.
	floodFactor = 3.0
	floodSlack  = 250.0 // milliseconds
)

func floodCells() []cell {
	return []cell{{fault: "flood", step: "one workspace, the others as before", run: flood}}
}

// flood measures the others without and with one workspace's flood.
func flood(b *bed) error {
	mix := caller.Mix{Stream: 1, Models: b.deployment.Models, Bound: 48, Prompt: 600}
	others := b.everyone(usualRate/2, mix)[1:]
	calm := b.measured(others)
	stop := b.flooding(0)
	flooded := b.measured(others)
	stop()
	b.note("others' first token p95 %.0f ms calm, %.0f ms flooded", calm.First.P95, flooded.First.P95)
	b.note("others refused %d calm, %d flooded", calm.Endings[caller.NotRun], flooded.Endings[caller.NotRun])
	if _, err := b.judge(); err != nil {
		return err
	}
	if flooded.Endings[caller.NotRun] > 0 {
		return merry.Errorf("%w: the flood got %d requests of others refused", ErrCell, flooded.Endings[caller.NotRun])
	}
	if flooded.First.P95 > floodFactor*calm.First.P95+floodSlack {
		return merry.Errorf("%w: the flood raised the others' p95 from %.0f to %.0f ms", ErrCell, calm.First.P95, flooded.First.P95)
	}
	return nil
}

// measured runs a load and sums it up by itself.
func (b *bed) measured(loads []caller.Load) caller.Summary {
	recorder := &caller.Recorder{KeepResults: true}
	b.sendTo(recorder, loads, floodTime)
	b.sleep(floodTime)
	b.sleep(time.Second)
	results, _ := recorder.Results()
	for _, result := range results {
		b.recorder.Add(result)
	}
	return recorder.Summary()
}

// flooding floods with one workspace until the returned function is called.
func (b *bed) flooding(workspace int) func() {
	w := b.deployment.Workspaces[workspace]
	mix := caller.Mix{Stream: 1, Models: b.deployment.Models, Bound: 48, Prompt: 600}
	b.seed++
	driver := &caller.Driver{
		Caller: b.caller(), Targets: b.fleet.Targets(), Seed: b.seed, Recorder: b.recorder, MaxOutstanding: maxInFlight,
		Loads: []caller.Load{{Workspace: w.Name, Token: w.Token, PerSecond: floodRate, Mix: mix}}, Ready: b.balancer.ready,
	}
	ctx, cancel := context.WithCancel(b.ctx)
	b.loads.Go(func() { driver.Run(ctx) })
	return cancel
}
