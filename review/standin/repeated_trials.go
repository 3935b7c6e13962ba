package main

import (
	"bytes"
	"context"
	"fmt"
	"time"
)

const poison = "a request that crashes each worker that begins to run it"

// playRepeatedTrials sends a request that crashes each worker that runs it, again and again. Once it is
// known, the keepers are stopped and started in turn, as for an upgrade. The request must reach workers in
// at most three further attempts from routers in touch.
func playRepeatedTrials(b *bed) error {
	b.pool.before = func(_ *worker, body []byte) bool { return bytes.Equal(body, []byte(poison)) }
	traffic := &load{fleet: b.fleet, record: b.record, clients: 6, pause: 150 * time.Millisecond, next: mixedCall}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		traffic.run(ctx)
	}()
	defer func() {
		cancel()
		<-ended
	}()
	time.Sleep(2 * time.Second)
	poisoner := &client{fleet: b.fleet, record: b.record, number: 0}
	defer poisoner.close()
	send := func() reply {
		return poisoner.send(ctx, call{method: "POST", path: pathConfirm + "poison", key: keyOther, body: poison, deadline: 2500 * time.Millisecond})
	}
	crashes := 0
	for crashes < 3 {
		if len(b.pool.runsOf(send().id)) > 0 {
			crashes++
		}
		time.Sleep(1500 * time.Millisecond)
	}
	third := time.Now()
	calm := third.Add(contactTime) // retries count from here on
	b.record.add("the request has crashed three workers; retries count from %.3f on", b.record.seconds(calm))
	counted, lost := 0, 0
	// retry sends the request once a second for some time.
	retry := func(from time.Time, span time.Duration) {
		time.Sleep(time.Until(from))
		for until := from.Add(span); time.Now().Before(until); time.Sleep(time.Second) {
			r := send()
			if runs := b.pool.runsOf(r.id); len(runs) > 0 {
				counted++
				b.record.conclude("retry %d that reached a worker: %s, sent at %.3f to %s, crashed %s", counted, r.id, b.record.seconds(r.sent), r.router.name, runs[0].worker)
			}
		}
	}
	retry(calm, 24*time.Second) // the first trial comes after 20 s
	for range 3 {
		if b.trouble {
			leader := b.fleet.leader()
			if leader == nil {
				return fmt.Errorf("no keeper says that it leads")
			}
			b.fleet.stop(leader)
			time.Sleep(500 * time.Millisecond)
			if err := b.fleet.start(leader); err != nil {
				return err
			}
		}
		// The core is stable, and all machines are in touch, contact_ms after the last event.
		retry(time.Now().Add(contactTime+500*time.Millisecond), 12*time.Second)
	}
	cancel()
	<-ended
	for _, r := range traffic.byID() {
		if r.status != 200 {
			lost++
		}
	}
	b.record.conclude("answers to other requests by status (0: none): %v; %d of them were not served", traffic.summary(), lost)
	b.record.conclude("the request reached workers in %d counted retries", counted)
	if counted > 3 {
		return fmt.Errorf("BUDGET: %w", errBroken)
	}
	return nil
}
