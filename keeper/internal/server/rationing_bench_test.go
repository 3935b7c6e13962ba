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

// BenchmarkRations leases parts for a poll while a thousand endpoints are cold, with fifty routers.
// It takes 0.21 ms with cached parts, and 0.66 ms if the parts are computed for each poll.
func BenchmarkRations(b *testing.B) {
	var d directory
	d.list.Interval = time.Second
	r := &rationInputs{
		services: map[string]resolver.Service{"desk": {Name: "desk", Cold: resolver.Cold{Rate: 17, Length: time.Hour}}},
		cold:     settings.Cold{Overage: 1.5, Slack: 5}, name: "keeper-0",
	}
	for i := range 6 {
		r.keepers = append(r.keepers, fmt.Sprint("keeper-", i))
	}
	for i := range 1000 {
		listing := endpointAt(fmt.Sprint("i-", i), 1, lister.Ready)
		listing.Address = freeAddress()
		listing.ColdUntil = testStart.Add(time.Hour)
		d.receiveHeartbeat(testStart, listing)
	}
	d.lessor.Start(testStart.Add(-time.Hour))
	for i := range 50 {
		d.follow(testStart, &messenger.FollowRequest{Node: fmt.Sprint("router-", i), Uses: []*messenger.Use{{Workspace: "club", Asked: 1000}}})
	}
	now := testStart
	for i := 0; b.Loop(); i++ {
		now = now.Add(5 * time.Millisecond)
		if cold, expired := d.coldIfPartsExpired(now); expired {
			d.setParts(r.parts(cold))
		}
		d.leaseParts(now, now, fmt.Sprint("router-", i%50))
	}
}
