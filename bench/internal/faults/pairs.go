package faults

import (
	"time"

	"shallotkeel.example/bench/internal/launcher"
	"shallotkeel.example/lib/caller"
)

const pairTime = 12 * time.Second

// disturbance is one fault of a pair: begin causes it, and what it returns
// ends it.
type disturbance struct {
	name  string
	begin func(*bed) (end func() error, err error)
}

func disturbances() []disturbance {
	return []disturbance{
		{"kill", disturbByKill},
		{"freeze", disturbByFreeze},
		{"cut", disturbByCut},
		{"flood", func(b *bed) (func() error, error) {
			stop := b.flooding(0)
			return func() error { stop(); return nil }, nil
		}},
		{"crashing request", disturbByPoison},
	}
}

// pairCells is every pair of faults at once, a fault with itself included.
func pairCells() []cell {
	var all []cell
	faults := disturbances()
	for i, first := range faults {
		for _, second := range faults[i:] {
			all = append(all, cell{
				fault: "pair", step: first.name + " and " + second.name, shape: shape{relays: true},
				run: func(b *bed) error { return pair(b, first, second) },
			})
		}
	}
	return all
}

// pair causes two faults at once under a load of everything. Its callers may
// see cuts and unknown outcomes, since routers are killed; what must never
// happen must not happen.
func pair(b *bed, first, second disturbance) error {
	b.send(b.everyone(usualRate, b.mix()), pairTime)
	b.sleep(2 * time.Second)
	endFirst, err := first.begin(b)
	if err != nil {
		return err
	}
	b.sleep(300 * time.Millisecond)
	endSecond, err := second.begin(b)
	if err != nil {
		return err
	}
	b.sleep(freezeTime)
	for _, end := range []func() error{endFirst, endSecond} {
		if err := end(); err != nil {
			return err
		}
	}
	took, err := b.answers(zoneA, 2*recoverLimit)
	if err != nil {
		return err
	}
	b.note("zone answers after %v", took.Round(time.Millisecond))
	_, err = b.judge(caller.Cut, caller.Lost, caller.Unknown, caller.Unsent)
	return err
}

func disturbByKill(b *bed) (func() error, error) {
	victim, err := b.scheduler(zoneA, b.deployment.Model)
	if err != nil {
		// The other fault may have taken the zone's scheduler away already.
		victim = b.fleet.In(zoneA, launcher.Router)[0]
	}
	victim.Process().Resume()
	victim.Process().Kill()
	return func() error { return b.again(victim) }, nil
}

func disturbByFreeze(b *bed) (func() error, error) {
	victim := b.fleet.In(zoneB, launcher.Router)[0]
	if scheduler, err := b.scheduler(zoneB, b.deployment.Model); err == nil {
		victim = scheduler
	}
	victim.Process().Freeze()
	return func() error { victim.Process().Resume(); return nil }, nil
}

func disturbByCut(b *bed) (func() error, error) {
	b.cutZone(zoneA)
	return func() error { b.network.Mend(); return nil }, nil
}

func disturbByPoison(b *bed) (func() error, error) {
	_, stop := b.platform()
	bad := b.planner(1, caller.Mix{Stream: 1, Models: b.deployment.Models, Bound: 16, Prompt: 100}).Next()
	bad.Prompt = poison
	for i, target := range b.fleet.Targets() {
		b.loads.Go(func() {
			b.sleep(time.Duration(i) * 500 * time.Millisecond)
			b.caller().Call(b.ctx, target, bad)
		})
	}
	return func() error { stop(); return nil }, nil
}
