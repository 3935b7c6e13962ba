package server

import (
	"fmt"
	"testing"
	"time"

	"shallotkeel.example/keeper/internal/settings"
	"shallotkeel.example/lib/lister"
	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/resolver"
)

// BenchmarkRations answers a poll while a thousand endpoints are cold, with fifty routers. With
// the parts worked out for each poll it took 0.66 ms, now 0.21.
func BenchmarkRations(b *testing.B) {
	var d directory
	d.list.Interval = time.Second
	r := &rationing{
		services: map[string]resolver.Service{"desk": {Name: "desk", Cold: resolver.Cold{Rate: 17, Length: time.Hour}}},
		cold:     settings.Cold{Overage: 1.5, Slack: 5}, name: "keeper-0",
	}
	for i := range 6 {
		r.keepers = append(r.keepers, fmt.Sprint("keeper-", i))
	}
	for i := range 1000 {
		listing := endpointAt(fmt.Sprint("i-", i), 1, lister.Ready)
		listing.Address = freeAddress()
		listing.ColdUntil = began.Add(time.Hour)
		d.beat(began, listing)
	}
	d.lessor.Start(began.Add(-time.Hour))
	for i := range 50 {
		d.follow(began, &messenger.FollowRequest{Node: fmt.Sprint("router-", i), Uses: []*messenger.Use{{Workspace: "club", Asked: 1000}}})
	}
	now := began
	for i := 0; b.Loop(); i++ {
		now = now.Add(5 * time.Millisecond)
		if cold, due := d.coldDue(now); due {
			d.divide(r.parts(cold))
		}
		d.lease(now, now, fmt.Sprint("router-", i%50))
	}
}
