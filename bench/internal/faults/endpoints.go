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

// killEngine: streams go on at the token where they broke, on another engine.
func killEngine(b *bed) error {
	victim, _ := b.fleet.Node("modelli-a2")
	b.send(b.everyone(usualRate, caller.Mix{Stream: 2, Whole: 1, Models: b.deployment.Models, Bound: 96, Prompt: 600}), usualTime)
	for _, router := range b.fleet.In(zoneA, launcher.Router) {
		b.streams(router, 4)
	}
	b.sleep(warmUp)
	victim.Process().Kill()
	_, err := b.judge()
	return err
}

// killPlain: calls that were under way may have run, and are never run again.
func killPlain(b *bed) error {
	victim, _ := b.fleet.Node("scambio-app-a1")
	b.send(b.everyone(2*usualRate, caller.Mix{Once: 2, Plain: 1, Service: b.deployment.Plain}), usualTime)
	b.sleep(warmUp)
	victim.Process().Kill()
	b.sleep(warmUp)
	if err := victim.Start(); err != nil {
		return err
	}
	verdict, err := b.judge(caller.Unknown)
	if err != nil {
		return err
	}
	// At most its slots were under way, and as many once more on the wire.
	if most := 2 * victim.Standin.Slots; verdict.Unknown > most {
		return merry.Errorf("%w: %d calls of unknown outcome, more than the %d that can have been under way", ErrCell, verdict.Unknown, most)
	}
	return nil
}

// freezeEngine: an engine that hangs without breaking its connections.
func freezeEngine(b *bed) error {
	victim, _ := b.fleet.Node("modelli-a2")
	b.send(b.everyone(usualRate, b.mix()), usualTime)
	b.sleep(warmUp)
	victim.Process().Freeze()
	b.sleep(freezeTime)
	victim.Process().Resume()
	_, err := b.judge()
	return err
}

// muteService: the call ran and its answer is lost, so its outcome is unknown
// and a resend must not run it again.
func muteService(b *bed) error {
	victim, _ := b.fleet.Node("scambio-app-a1")
	b.send(b.everyone(usualRate, caller.Mix{Once: 1, Service: b.deployment.Plain}), usualTime/2)
	b.sleep(warmUp)
	if err := b.fault(victim, map[string]any{"mute": true}); err != nil {
		return err
	}
	b.sleep(time.Second)
	if err := b.fault(victim, map[string]any{}); err != nil {
		return err
	}
	verdict, err := b.judge(caller.Unknown)
	if err == nil && verdict.Unknown == 0 {
		return merry.Errorf("%w: answers were dropped, but no outcome is unknown", ErrCell)
	}
	return err
}

// refusingEngine: what an endpoint did not start runs elsewhere.
func refusingEngine(b *bed) error {
	victim, _ := b.fleet.Node("modelli-a2")
	b.send(b.everyone(usualRate, b.mix()), usualTime)
	b.sleep(warmUp)
	if err := b.fault(victim, map[string]any{"refuse": true}); err != nil {
		return err
	}
	b.sleep(2 * time.Second)
	if err := b.fault(victim, map[string]any{}); err != nil {
		return err
	}
	_, err := b.judge()
	return err
}

// backoffEngine: an endpoint that asks for backoff gets nothing from whom it asked.
func backoffEngine(b *bed) error {
	const backoff = 3 * time.Second
	victim, _ := b.fleet.Node("modelli-a2")
	b.send(b.everyone(2*usualRate, b.mix()), usualTime)
	b.sleep(warmUp)
	if err := b.fault(victim, map[string]any{"refuse": true, "backoff": backoff.Seconds()}); err != nil {
		return err
	}
	b.sleep(backoff + backoff/2)
	if err := b.fault(victim, map[string]any{}); err != nil {
		return err
	}
	if _, err := b.judge(); err != nil {
		return err
	}
	executions, err := inspector.Read(b.fleet)
	if err != nil {
		return err
	}
	backoffs, most := executions.InBackoff(victim.Name, backoff)
	b.note("backoffs asked for %d, most requests of a router within one %d", backoffs, most)
	if backoffs == 0 || most > 0 {
		return merry.Errorf("%w: of %d backoffs that %s asked for, one had %d requests of a router; none is wanted", ErrCell, backoffs, victim.Name, most)
	}
	return nil
}

// fault switches a stand-in's faults.
func (b *bed) fault(standin *launcher.Node, faults map[string]any) error {
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
