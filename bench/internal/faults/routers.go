package faults

import (
	"time"

	"github.com/ansel1/merry/v2"

	"shallotkeel.example/bench/internal/launcher"
	"shallotkeel.example/lib/caller"
)

const (
	baseRate = 120.0 // requests per second over all routers
	loadTime = 6 * time.Second
	// freezeTime is longer than every lease of the system.
	freezeTime = 5 * time.Second
	// quietWorkspace is the index of a workspace that sends only the base load; no
	// cell floods it.
	quietWorkspace   = 5
	longStreamTokens = 600 // takes some seconds
	// stopTimeout is the routers' stop_timeout with some headroom.
	stopTimeout = 35 * time.Second
	// recoveryTimeout bounds the time until a pool serves again after it lost its
	// scheduler.
	recoveryTimeout = 5 * time.Second
)

func routerCells() []cell {
	return []cell{
		{fault: "kill -9 router", step: "under load, not the scheduler", run: func(b *testbed) error { return killRouter(b, b.nonScheduler) }},
		{fault: "kill -9 router", step: "under load, the scheduler", run: func(b *testbed) error { return killRouter(b, b.scheduler) }},
		{fault: "SIGTERM router", step: "long streams, not the scheduler", run: func(b *testbed) error { return stopRouter(b, b.nonScheduler) }},
		{fault: "SIGTERM router", step: "long streams, the scheduler", run: func(b *testbed) error { return stopRouter(b, b.scheduler) }},
		{fault: "SIGTERM router", step: "one after the other, the scheduler first", run: rollingRestart},
		{fault: "restart router", step: "with no memory, under load", run: restartRouter},
		{fault: "freeze router", step: "the scheduler, longer than the lease", run: freezeScheduler},
	}
}

// routerChooser selects the router of a zone at which a fault is injected.
type routerChooser func(zone, service string) (*launcher.Node, error)

// killRouter: clients of the killed router see their connections break. Every other
// request is answered, and the slots that the killed router used become free again.
func killRouter(b *testbed, choose routerChooser) error {
	victim, err := choose(zoneA, b.deployment.Model)
	if err != nil {
		return err
	}
	b.startLoad(b.allWorkspaces(baseRate, b.mix()), loadTime)
	b.startStreams(victim, 6)
	b.sleep(loadTime / 3)
	victim.Process().Kill()
	took, err := b.awaitAnswer(zoneA, recoveryTimeout)
	if err != nil {
		return err
	}
	b.addFigure("zone answers again after %v", took.Round(time.Millisecond))
	if _, err := b.judge(caller.Cut, caller.Lost); err != nil {
		return err
	}
	return b.checkOnlyVictimAffected(victim)
}

// awaitAnswer waits until a running and ready router of the zone gives a complete
// answer, and returns how long that took.
func (b *testbed) awaitAnswer(zone string, limit time.Duration) (time.Duration, error) {
	// No cell floods this workspace.
	planner := b.newPlanner(quietWorkspace, caller.Mix{Stream: 1, Models: b.deployment.Models, Bound: 4, Prompt: 100})
	return b.await(limit, "an answer in "+zone, func() bool {
		for _, router := range b.fleet.In(zone, launcher.Router) {
			if b.balancer.ready(router.URL()) && router.Running() {
				result := b.newCaller().Call(b.ctx, router.URL(), planner.Next())
				return result.Ending == caller.Answered
			}
		}
		return false
	})
}

// checkOnlyVictimAffected fails if a request that was sent to a router other than
// the victim was cut or lost.
func (b *testbed) checkOnlyVictimAffected(victim *launcher.Node) error {
	results, _ := b.recorder.Results()
	for _, result := range results {
		if (result.Ending == caller.Cut || result.Ending == caller.Lost) && result.Target != victim.URL() && !result.Repeated {
			return merry.Errorf("%w: a %s request to %s, which was not touched, ended %s after %v: %s", ErrCell,
				result.Request.Kind, result.Target, result.Ending, result.Took.Round(time.Millisecond), result.Error)
		}
	}
	return nil
}

// stopRouter: a planned stop cuts no stream off, however long the stream is.
func stopRouter(b *testbed, choose routerChooser) error {
	victim, err := choose(zoneA, b.deployment.Model)
	if err != nil {
		return err
	}
	b.startLoad(b.allWorkspaces(baseRate, b.mix()), loadTime)
	b.startStreams(victim, 6)
	b.sleep(warmUpTime)
	if err := b.stopGracefully(victim); err != nil {
		return err
	}
	_, err = b.judge()
	return err
}

// startStreams starts n long streams at a router in the background.
func (b *testbed) startStreams(router *launcher.Node, n int) {
	planner := b.newPlanner(0, caller.Mix{Stream: 1, Models: b.deployment.Models, Bound: longStreamTokens, Prompt: 300})
	for range n {
		request := planner.Next()
		b.loads.Go(func() { b.call(router, request) })
	}
}

// stopGracefully sends a router SIGTERM and waits until it has exited with status 0.
func (b *testbed) stopGracefully(victim *launcher.Node) error {
	start := time.Now()
	victim.Process().Terminate()
	select {
	case <-victim.Process().Ended():
	case <-time.After(stopTimeout):
		return merry.Errorf("%w: %s did not stop within %v", ErrCell, victim.Name, stopTimeout)
	}
	b.addFigure("stopped after %v", time.Since(start).Round(time.Millisecond))
	if victim.Process().Status() != 0 {
		return merry.Errorf("%w: %s stopped with status %d", ErrCell, victim.Name, victim.Process().Status())
	}
	return nil
}

// rollingRestart: the routers of the zone are stopped and restarted one after the
// other, beginning with the scheduler. The second one to stop is the router that
// has just taken over the pools.
func rollingRestart(b *testbed) error {
	scheduler, err := b.scheduler(zoneA, b.deployment.Model)
	if err != nil {
		return err
	}
	other, err := b.nonScheduler(zoneA, b.deployment.Model)
	if err != nil {
		return err
	}
	b.startLoad(b.allWorkspaces(baseRate, b.mix()), 2*loadTime)
	for _, victim := range []*launcher.Node{scheduler, other} {
		b.sleep(warmUpTime)
		b.startStreams(victim, 6)
		b.sleep(warmUpTime / 2)
		if err := b.stopGracefully(victim); err != nil {
			return err
		}
		if err := b.restart(victim); err != nil {
			return err
		}
	}
	_, err = b.judge()
	return err
}

// restart starts a node's process again and waits until it is ready.
func (b *testbed) restart(node *launcher.Node) error {
	start := time.Now()
	if err := node.Start(); err != nil {
		return err
	}
	if err := node.AwaitReady(b.ctx); err != nil {
		return err
	}
	b.addFigure("%s ready again after %v", node.Name, time.Since(start).Round(time.Millisecond))
	return nil
}

// restartRouter: a router that restarts without any state serves according to the
// configuration in force, and never executes a claimed request again.
func restartRouter(b *testbed) error {
	victim, err := b.scheduler(zoneA, b.deployment.Model)
	if err != nil {
		return err
	}
	b.startLoad(b.allWorkspaces(baseRate, b.mix()), loadTime)
	b.sleep(loadTime / 3)
	victim.Process().Kill()
	if err := b.restart(victim); err != nil {
		return err
	}
	if _, err := b.judge(caller.Cut, caller.Lost); err != nil {
		return err
	}
	return b.checkOnlyVictimAffected(victim)
}

// freezeScheduler: a scheduler whose process is stopped for longer than its lease
// loses its pools, and does no harm when it resumes.
func freezeScheduler(b *testbed) error {
	victim, err := b.scheduler(zoneA, b.deployment.Model)
	if err != nil {
		return err
	}
	b.startLoad(b.allWorkspaces(baseRate, b.mix()), 2*loadTime)
	b.sleep(warmUpTime)
	victim.Process().Freeze()
	took, err := b.awaitAnswer(zoneA, recoveryTimeout)
	if err != nil {
		return err
	}
	b.addFigure("zone answers again after %v", took.Round(time.Millisecond))
	b.sleep(freezeTime)
	victim.Process().Resume()
	_, err = b.judge()
	return err
}
