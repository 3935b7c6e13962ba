package scheduler_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"shallotkeel.example/lib/scheduler"
)

// benchPool returns a pool of the target size, with 320 workspaces and 23 endpoints,
// and a number of enrolled requests: in a fleet of 410 routers some thousands wait.
func benchPool(b *testing.B, waiting int, denied map[string]bool) (*scheduler.Pool, []scheduler.Grant, func(i int) scheduler.Ticket, scheduler.RouterID) {
	b.Helper()
	pool := scheduler.New(scheduler.Options{Zone: "trento-a", Service: "modelli", Origin: 1})
	pool.Apply(testStart, scheduler.Configured{Rules: rules{denied: denied}})
	for i := range 23 {
		pool.Apply(testStart, scheduler.Announced{
			ID: fmt.Sprintf("worker-%02d", i), Incarnation: 1, Slots: 16, TTL: 24 * time.Hour, Models: []string{"draft"},
			Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(9000+i)),
		})
	}
	names := make([]string, 320)
	for i := range names {
		names[i] = fmt.Sprintf("workspace-%03d", i)
	}
	ticket := func(i int) scheduler.Ticket {
		return scheduler.Ticket{Seq: uint64(i + 1), Workspace: names[i*7919%320], Model: "draft", Hint: 200, Prefix: uint64(i%500 + 1)}
	}
	router := scheduler.RouterID{Name: "router-001", Incarnation: 1}
	var grants []scheduler.Grant
	for i := range waiting {
		for _, action := range pool.Apply(testStart, scheduler.Report{Router: router, Tickets: []scheduler.Ticket{ticket(i)}}) {
			grants = append(grants, action.(scheduler.Grant))
		}
	}
	return pool, grants, ticket, router
}

// BenchmarkRequest measures the lifecycle of one request: ticket, grant, two reports of
// progress, ending.
func BenchmarkRequest(b *testing.B) {
	denied := make(map[string]bool)
	for w := range 320 {
		for e := range 23 {
			if (w+e)%3 == 0 || w%40 == e {
				denied[fmt.Sprintf("workspace-%03d/worker-%02d", w, e)] = true
			}
		}
	}
	tests := map[string]struct {
		waiting int
		denied  map[string]bool
	}{
		"light":                             {waiting: 100},
		"backlogged":                        {waiting: 8192},
		"backlogged, some endpoints denied": {waiting: 8192, denied: denied},
	}
	for name, test := range tests {
		b.Run(name, func(b *testing.B) {
			pool, running, ticket, router := benchPool(b, test.waiting, test.denied)
			now, next := testStart, test.waiting
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				seq := running[0].Request.Seq
				running = running[1:]
				pool.Apply(now, scheduler.Report{Router: router, Progress: []scheduler.Progress{{Seq: seq, Charged: 50}}})
				pool.Apply(now, scheduler.Report{Router: router, Progress: []scheduler.Progress{{Seq: seq, Charged: 100}}})
				actions := pool.Apply(now, scheduler.Report{
					Router:   router,
					Tickets:  []scheduler.Ticket{ticket(next)},
					Finished: []scheduler.Finish{{Seq: seq, Charged: 150, Ending: scheduler.Done, First: time.Millisecond, Took: time.Second}},
				})
				for _, action := range actions {
					running = append(running, action.(scheduler.Grant))
				}
				next++
			}
		})
	}
}
