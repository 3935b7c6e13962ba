package faults

import (
	"time"

	"shallotkeel.example/bench/internal/launcher"
	"shallotkeel.example/lib/caller"
)

const pairTime = 12 * time.Second

// pairedFault is one fault of a pair: inject causes it, and the returned function
// ends it.
type pairedFault struct {
	name   string
	inject func(*testbed) (end func() error, err error)
}

func pairedFaults() []pairedFault {
	return []pairedFault{
		{"kill", injectKill},
		{"freeze", injectFreeze},
		{"cut", injectCut},
		{"flood", func(b *testbed) (func() error, error) {
			stop := b.startFlood(0)
			return func() error { stop(); return nil }, nil
		}},
		{"crashing request", injectPoison},
	}
}

// pairCells returns a cell for every pair of simultaneous faults, including each
// fault with itself.
func pairCells() []cell {
	var all []cell
	faults := pairedFaults()
	for i, first := range faults {
		for _, second := range faults[i:] {
			all = append(all, cell{
				fault: "pair", step: first.name + " and " + second.name, fleet: fleetOptions{relays: true},
				run: func(b *testbed) error { return runPair(b, first, second) },
			})
		}
	}
	return all
}

// runPair injects two faults at once under a mixed load. Clients may see cuts and
// unknown outcomes, since routers are killed; the fleet's guarantees hold all the
// same.
func runPair(b *testbed, first, second pairedFault) error {
	b.startLoad(b.allWorkspaces(baseRate, b.mix()), pairTime)
	b.sleep(2 * time.Second)
	endFirst, err := first.inject(b)
	if err != nil {
		return err
	}
	b.sleep(300 * time.Millisecond)
	endSecond, err := second.inject(b)
	if err != nil {
		return err
	}
	b.sleep(freezeTime)
	for _, end := range []func() error{endFirst, endSecond} {
		if err := end(); err != nil {
			return err
		}
	}
	took, err := b.awaitAnswer(zoneA, 2*recoveryTimeout)
	if err != nil {
		return err
	}
	b.addFigure("zone answers after %v", took.Round(time.Millisecond))
	_, err = b.judge(caller.Cut, caller.Lost, caller.Unknown, caller.Unsent)
	return err
}

// injectKill kills the router that schedules the model pool of the first zone.
func injectKill(b *testbed) (func() error, error) {
	victim, err := b.scheduler(zoneA, b.deployment.Model)
	if err != nil {
		// The other fault may already have left the zone without a scheduler.
		victim = b.fleet.In(zoneA, launcher.Router)[0]
	}
	victim.Process().Resume()
	victim.Process().Kill()
	return func() error { return b.restart(victim) }, nil
}

// injectFreeze freezes the router that schedules the model pool of the second zone,
// or the zone's first router if no scheduler is known.
func injectFreeze(b *testbed) (func() error, error) {
	victim := b.fleet.In(zoneB, launcher.Router)[0]
	if scheduler, err := b.scheduler(zoneB, b.deployment.Model); err == nil {
		victim = scheduler
	}
	victim.Process().Freeze()
	return func() error { victim.Process().Resume(); return nil }, nil
}

// injectCut cuts the first zone off from the others.
func injectCut(b *testbed) (func() error, error) {
	b.cutZone(zoneA)
	return func() error { b.network.Heal(); return nil }, nil
}

// injectPoison sends a request that crashes engines through every router, one each
// 500 ms, and restarts the crashed engines until the fault ends.
func injectPoison(b *testbed) (func() error, error) {
	_, stop := b.restartCrashedEngines()
	bad := b.newPlanner(1, caller.Mix{Stream: 1, Models: b.deployment.Models, Bound: 16, Prompt: 100}).Next()
	bad.Prompt = poison
	for i, target := range b.fleet.Targets() {
		b.loads.Go(func() {
			b.sleep(time.Duration(i) * 500 * time.Millisecond)
			b.newCaller().Call(b.ctx, target, bad)
		})
	}
	return func() error { stop(); return nil }, nil
}
