package main

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	streamEvents  = 60
	eventInterval = 20 * time.Millisecond
	// crashEvent is the event after which an engine crashes under the request: 0.8 s after the first.
	crashEvent = 40
)

// streamDraft answers with events. Under the poisonous request the engine crashes on the way.
func streamDraft(trouble bool) func(w *worker, out http.ResponseWriter, h *http.Request, body []byte) {
	return func(w *worker, out http.ResponseWriter, h *http.Request, body []byte) {
		control := http.NewResponseController(out)
		for event := range streamEvents {
			select {
			case <-time.After(eventInterval):
			case <-h.Context().Done():
				return
			}
			if trouble && event == crashEvent && bytes.Equal(body, []byte(poison)) {
				w.crash(2 * time.Second)
				return
			}
			fmt.Fprintf(out, "id: %d\ndata: %s %d\n\n", event+1, h.Header.Get(headerID), event+1)
			if err := control.Flush(); err != nil {
				return
			}
		}
	}
}

// playLateCrash sends a stream that crashes each engine that runs it, 0.8 s after its first event, again
// and again. It must reach engines in at most three further attempts once it has crashed the third.
func playLateCrash(b *bed) error {
	b.engines.stream = streamDraft(b.trouble)
	part := uint64(1)
	traffic := &load{fleet: b.fleet, record: b.record, clients: 12, pause: 400 * time.Millisecond, next: func() call {
		part := rand.IntN(20)
		return call{
			method: "POST", path: pathDraft + "x", key: keyClub, body: fmt.Sprint("draft ", rand.Uint64()), deadline: 10 * time.Second,
			prompt: fmt.Sprintf("5c1e07a2:198,%x:628", 1000+part),
		}
	}}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		traffic.run(ctx)
	}()
	time.Sleep(2 * time.Second)
	poisoner := &client{fleet: b.fleet, record: b.record, number: 0}
	defer poisoner.close()
	var third time.Time
	runs, counted := 0, 0
	for begun := time.Now(); time.Since(begun) < 40*time.Second; time.Sleep(1500 * time.Millisecond) {
		r := poisoner.send(ctx, call{
			method: "POST", path: pathDraft + "poison", key: keyOther, body: poison, deadline: 10 * time.Second,
			prompt: fmt.Sprintf("5c1e07a2:198,%x:628", part),
		})
		if r.status == http.StatusOK && r.problem == "" {
			continue // it was served: there is no trouble
		}
		reached := b.engines.runsOf(r.id)
		if len(reached) == 0 {
			continue
		}
		runs += len(reached)
		switch {
		case runs >= 3 && third.IsZero():
			third = time.Now()
			b.record.add("the request has crashed three engines; retries count from %.3f on", b.record.seconds(third.Add(contactTime)))
		case !third.IsZero() && r.sent.After(third.Add(contactTime)):
			counted++
			b.record.conclude("retry %d that reached an engine: %s, sent at %.3f to %s, crashed %s", counted, r.id, b.record.seconds(r.sent), r.router.name, reached[0].worker)
		}
	}
	cancel()
	<-ended
	b.record.conclude("answers to other requests by status (0: cut or none): %v", traffic.summary())
	b.record.conclude("the request reached engines %d times, %d of them in counted retries", runs, counted)
	if counted > 3 {
		return fmt.Errorf("BUDGET: %w", errBroken)
	}
	return nil
}
