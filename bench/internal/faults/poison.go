package faults

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"shallotkeel.example/bench/internal/launcher"
	"shallotkeel.example/lib/caller"
)

const (
	poison     = "veleno-veleno"
	poisonTime = 12 * time.Second
	resends    = 12
	// resendPause is far less than callers are told to wait: this caller does
	// not listen.
	resendPause = 300 * time.Millisecond
	// mostCrashes is what one request that crashes endpoints may cost: two,
	// after which its fingerprint is in quarantine, and two more for resends
	// that meet before the fleet knows.
	mostCrashes = 4
	// revival is how soon the platform starts a crashed endpoint again.
	revival = time.Second
)

func poisonCells() []cell {
	return []cell{
		{fault: "request that crashes endpoints", step: "resent through every router", run: func(b *bed) error { return poisoned(b, nil) }},
		{fault: "request that crashes endpoints", step: "resent, routers restarted between", run: func(b *bed) error {
			return poisoned(b, func() error {
				victim := b.fleet.Of(launcher.Router)[0]
				victim.Process().Kill()
				return b.again(victim)
			})
		}},
	}
}

// poisoned sends a request that crashes each engine that runs it, again and
// again, through one router after the other.
func poisoned(b *bed, between func() error) error {
	crashes, stop := b.platform()
	defer stop()
	b.send(b.everyone(usualRate/2, caller.Mix{Stream: 2, Whole: 1, Models: b.deployment.Models, Bound: 48, Prompt: 600}), poisonTime)
	b.sleep(warmUp)
	bad := b.planner(0, caller.Mix{Stream: 1, Models: b.deployment.Models, Bound: 16, Prompt: 100}).Next()
	bad.Prompt = poison
	routers := b.fleet.Of(launcher.Router)
	codes := make(map[string]int)
	for i := range resends {
		result := b.caller().Call(b.ctx, routers[i%len(routers)].URL(), bad)
		codes[string(result.Ending)+" "+result.Code]++
		if i == resends/2 && between != nil {
			if err := between(); err != nil {
				return err
			}
		}
		b.sleep(resendPause)
	}
	allowed := []caller.Ending{}
	if between != nil {
		allowed = append(allowed, caller.Cut, caller.Lost)
	}
	_, err := b.judge(allowed...)
	b.note("%d endpoints crashed, its caller was told %v", crashes.Load(), codes)
	if err != nil {
		return err
	}
	if n := crashes.Load(); n > mostCrashes {
		return merry.Errorf("%w: one request crashed %d endpoints, more than %d", ErrCell, n, mostCrashes)
	}
	return nil
}

// platform starts crashed engines again, as the platform does, and counts the
// crashes.
func (b *bed) platform() (*atomic.Int64, func()) {
	crashes := &atomic.Int64{}
	ctx, cancel := context.WithCancel(b.ctx)
	for _, standin := range b.fleet.Of(launcher.Standin) {
		if standin.Standin.Type != "model" {
			continue
		}
		b.loads.Go(func() {
			for {
				select {
				case <-ctx.Done():
					return
				case <-standin.Process().Ended():
				}
				crashes.Add(1)
				b.sleep(revival)
				if ctx.Err() != nil || standin.Start() != nil {
					return
				}
			}
		})
	}
	// The loads' group also waits for these: stop them before judging.
	time.AfterFunc(poisonTime, cancel)
	return crashes, cancel
}
