package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// distinctCall returns a confirmation that no other request asks for, or a lookup.
func distinctCall() call {
	out := mixedCall()
	if out.method == http.MethodPost {
		out.body = fmt.Sprintf("confirm %016x", rand.Uint64())
	}
	return out
}

// playFalsePromise has one of seven workers fail two in five of the requests that it has run, with 503 and
// without saying that they did not run. A client must not be told 503 about a request that has run and
// must not be repeated.
func playFalsePromise(b *bed) error {
	grey := b.pool.live[0]
	if b.trouble {
		b.pool.answer = func(w *worker, _ *http.Request) int {
			if w == grey && rand.IntN(5) < 2 {
				return http.StatusServiceUnavailable
			}
			return http.StatusOK
		}
	}
	traffic := &load{fleet: b.fleet, record: b.record, clients: 12, pause: 100 * time.Millisecond, next: distinctCall, retries: true}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	traffic.run(ctx)
	broken := 0
	for id, r := range traffic.byID() {
		if r.status != http.StatusServiceUnavailable || traffic.calls[id].method != http.MethodPost {
			continue
		}
		if runs := b.pool.runsOf(id); len(runs) > 0 {
			broken++
			if broken <= 5 {
				b.record.conclude("request %s must not be repeated; its client got 503 at %.3f, and worker %s ran it at %.3f", id, b.record.seconds(r.got), runs[0].worker, b.record.seconds(runs[0].at))
			}
		}
	}
	doubled := 0
	for _, runs := range b.pool.runsByBody() {
		if runs > 1 {
			doubled++
		}
	}
	b.record.conclude("answers by status (0: none): %v", traffic.summary())
	b.record.conclude("%d confirmations ran twice, as their clients sent them again after the promise", doubled)
	b.record.conclude("%d requests that must not be repeated were answered 503 and had run", broken)
	if broken > 0 {
		return fmt.Errorf("REFUSED: %w", errBroken)
	}
	return nil
}
