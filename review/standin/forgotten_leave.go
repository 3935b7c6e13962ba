package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

// lingers is how long a leaving worker serves after its DELETE was acknowledged: drain_ms and, as
// happens at times, many seconds more.
const lingers = 5 * time.Second

// playForgottenLeave lets a worker leave by DELETE. Right after the acknowledgement all processes of
// the system are killed, and are back half a second later. Requests must not reach the worker later than
// drain_ms after the acknowledgement from routers that are in touch.
func playForgottenLeave(b *bed) error {
	traffic := &load{fleet: b.fleet, record: b.record, clients: 24, pause: 120 * time.Millisecond, next: mixedCall}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		traffic.run(ctx)
	}()
	time.Sleep(4 * time.Second)
	leaving := b.pool.live[0]
	acknowledged, err := leaving.leave()
	if err != nil {
		cancel()
		<-ended
		return err
	}
	inTouch := acknowledged
	if b.trouble {
		for _, m := range b.fleet.all() {
			b.fleet.signal(m, syscall.SIGKILL)
		}
		for _, m := range b.fleet.all() {
			<-m.ended
		}
		time.Sleep(500 * time.Millisecond)
		if err := b.fleet.startAll(b.fleet.all()...); err != nil {
			cancel()
			<-ended
			return err
		}
		inTouch = time.Now().Add(contactTime)
	}
	late := acknowledged.Add(drainTime)
	if inTouch.After(late) {
		late = inTouch
	}
	b.record.add("requests that clients send from %.3f on must not reach worker %s", b.record.seconds(late), leaving.id)
	time.Sleep(time.Until(acknowledged.Add(lingers)))
	leaving.end("exits, as it said")
	time.Sleep(2 * time.Second)
	cancel()
	<-ended
	broken, lost := 0, 0
	replies := traffic.byID()
	for _, r := range b.pool.runsAt(leaving.id, late) {
		reply, known := replies[r.id]
		if !known || reply.sent.Before(late) {
			continue
		}
		broken++
		if reply.status != 200 {
			lost++
		}
		if broken <= 5 {
			b.record.conclude("request %s, sent at %.3f to %s, reached worker %s at %.3f, %.1f s after its leaving was acknowledged; its client got status %d",
				r.id, b.record.seconds(reply.sent), reply.router.name, r.worker, b.record.seconds(r.at), r.at.Sub(acknowledged).Seconds(), reply.status)
		}
	}
	b.record.conclude("answers by status (0: none): %v", traffic.summary())
	b.record.conclude("%d requests reached the worker that had left, %d of them were not answered with 200", broken, lost)
	if broken > 0 {
		return fmt.Errorf("DRAIN: %w", errBroken)
	}
	return nil
}

// mixedCall returns a request of one of the two kinds.
func mixedCall() call {
	number := fmt.Sprint(rand.IntN(1000))
	if rand.IntN(3) == 0 {
		return call{method: "GET", path: pathLookup + number, key: keyClub, deadline: 2500 * time.Millisecond}
	}
	return call{method: "POST", path: pathConfirm + number, key: keyClub, body: "confirm " + number, deadline: 2500 * time.Millisecond}
}
