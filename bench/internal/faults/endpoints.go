package faults

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"shallotkeel.example/bench/internal/inspector"
	"shallotkeel.example/bench/internal/launcher"
	"shallotkeel.example/lib/caller"
)

func endpointCells() []cell {
	return []cell{
		{fault: "kill -9 endpoint", step: "mid-stream", run: killEngine},
		{fault: "kill -9 endpoint", step: "plain calls that may not repeat", run: killPlain},
		{fault: "freeze endpoint", step: "mid-stream", run: freezeEngine},
		{fault: "endpoint drops answers", step: "after it ran the call", run: muteService},
		{fault: "endpoint refuses", step: "before it starts", run: refusingEngine},
		{fault: "endpoint asks for backoff", step: "before it starts", run: backoffEngine},
	}
}

// killEngine: an engine is killed mid-stream. Its streams resume on another engine
// at the token where they broke.
func killEngine(b *testbed) error {
	victim, _ := b.fleet.Node("modelli-a2")
	b.startLoad(b.allWorkspaces(baseRate, caller.Mix{Stream: 2, Whole: 1, Models: b.deployment.Models, Bound: 96, Prompt: 600}), loadTime)
	for _, router := range b.fleet.In(zoneA, launcher.Router) {
		b.startStreams(router, 4)
	}
	b.sleep(warmUpTime)
	victim.Process().Kill()
	_, err := b.judge()
	return err
}

// killPlain: a plain endpoint is killed. Calls that were in flight may have been
// executed and are never executed again.
func killPlain(b *testbed) error {
	victim, _ := b.fleet.Node("scambio-app-a1")
	b.startLoad(b.allWorkspaces(2*baseRate, caller.Mix{Once: 2, Plain: 1, Service: b.deployment.Plain}), loadTime)
	b.sleep(warmUpTime)
	victim.Process().Kill()
	b.sleep(warmUpTime)
	if err := victim.Start(); err != nil {
		return err
	}
	verdict, err := b.judge(caller.Unknown)
	if err != nil {
		return err
	}
	// At most one call per slot was executing, and as many again were on the wire.
	if limit := 2 * victim.Standin.Slots; verdict.Unknown > limit {
		return merry.Errorf("%w: %d calls of unknown outcome, more than the %d that can have been under way", ErrCell, verdict.Unknown, limit)
	}
	return nil
}

// freezeEngine: an engine hangs for freezeTime without breaking its connections.
// Every request ends answered or not run.
func freezeEngine(b *testbed) error {
	victim, _ := b.fleet.Node("modelli-a2")
	b.startLoad(b.allWorkspaces(baseRate, b.mix()), loadTime)
	b.sleep(warmUpTime)
	victim.Process().Freeze()
	b.sleep(freezeTime)
	victim.Process().Resume()
	_, err := b.judge()
	return err
}

// muteService: an endpoint executes calls but drops the answers. The outcome of
// these calls is unknown, and a resend must not execute them again.
func muteService(b *testbed) error {
	victim, _ := b.fleet.Node("scambio-app-a1")
	b.startLoad(b.allWorkspaces(baseRate, caller.Mix{Once: 1, Service: b.deployment.Plain}), loadTime/2)
	b.sleep(warmUpTime)
	if err := b.setFaults(victim, map[string]any{"mute": true}); err != nil {
		return err
	}
	b.sleep(time.Second)
	if err := b.setFaults(victim, map[string]any{}); err != nil {
		return err
	}
	verdict, err := b.judge(caller.Unknown)
	if err == nil && verdict.Unknown == 0 {
		return merry.Errorf("%w: answers were dropped, but no outcome is unknown", ErrCell)
	}
	return err
}

// refusingEngine: an engine refuses requests before it starts them. They are
// executed on another engine.
func refusingEngine(b *testbed) error {
	victim, _ := b.fleet.Node("modelli-a2")
	b.startLoad(b.allWorkspaces(baseRate, b.mix()), loadTime)
	b.sleep(warmUpTime)
	if err := b.setFaults(victim, map[string]any{"refuse": true}); err != nil {
		return err
	}
	b.sleep(2 * time.Second)
	if err := b.setFaults(victim, map[string]any{}); err != nil {
		return err
	}
	_, err := b.judge()
	return err
}

// backoffEngine: an endpoint refuses requests and asks for backoff. A router that
// was asked sends it no request until the backoff is over.
func backoffEngine(b *testbed) error {
	const backoff = 3 * time.Second
	victim, _ := b.fleet.Node("modelli-a2")
	b.startLoad(b.allWorkspaces(2*baseRate, b.mix()), loadTime)
	b.sleep(warmUpTime)
	if err := b.setFaults(victim, map[string]any{"refuse": true, "backoff": backoff.Seconds()}); err != nil {
		return err
	}
	b.sleep(backoff + backoff/2)
	if err := b.setFaults(victim, map[string]any{}); err != nil {
		return err
	}
	if _, err := b.judge(); err != nil {
		return err
	}
	executions, err := inspector.Read(b.fleet)
	if err != nil {
		return err
	}
	backoffs, maxRequests := executions.InBackoff(victim.Name, backoff)
	b.addFigure("backoffs asked for %d, most requests of a router within one %d", backoffs, maxRequests)
	if backoffs == 0 || maxRequests > 0 {
		return merry.Errorf("%w: of %d backoffs that %s asked for, one had %d requests of a router; none is wanted", ErrCell, backoffs, victim.Name, maxRequests)
	}
	return nil
}

// setFaults replaces the simulated faults of a stand-in; an empty map ends them all.
func (b *testbed) setFaults(standin *launcher.Node, faults map[string]any) error {
	text, err := json.Marshal(faults)
	if err != nil {
		return merry.Errorf("%w: %v", ErrCell, err)
	}
	response, err := http.Post(standin.URL()+"/control/faults", "application/json", bytes.NewReader(text))
	if err != nil {
		return merry.Errorf("%w: %v", ErrCell, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		return merry.Errorf("%w: %s does not take faults: %s", ErrCell, standin.Name, response.Status)
	}
	return nil
}
