package balancer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/lister"
)

// Guards against the end of all requests at an endpoint that goes on: heartbeats are late, missing for
// seconds or without a start, or it announces its end in the middle of its work.
func TestLifetimeEndsWithARestartOnly(t *testing.T) {
	const heartbeatInterval = 1200 * time.Millisecond
	born, bornAgain := time.UnixMilli(1_700_000_000_000), time.UnixMilli(1_700_000_009_000)
	type event struct {
		after   time.Duration
		started time.Time
		number  uint64 // sequence of a heartbeat, 0 for a departure
		state   lister.State
	}
	tests := map[string]struct {
		events []event
		ended  bool
		state  lister.State
	}{
		"it misses heartbeats and goes on": {[]event{
			{0, born, 1, lister.Ready}, {6 * heartbeatInterval, born, 7, lister.Ready},
		}, false, lister.Ready},
		"it is forgotten and goes on": {[]event{
			{0, born, 1, lister.Ready}, {60 * heartbeatInterval, born, 61, lister.Ready},
		}, false, lister.Ready},
		"heartbeats arrive late and out of order": {[]event{
			{0, born, 3, lister.Ready}, {time.Second, born, 1, lister.Ready}, {3 * time.Second, born, 2, lister.Ready}, {3 * time.Second, born, 4, lister.Ready},
		}, false, lister.Ready},
		"one heartbeat without a start": {[]event{
			{0, born, 1, lister.Ready}, {heartbeatInterval, time.Time{}, 2, lister.Ready}, {2 * heartbeatInterval, born, 3, lister.Ready},
		}, false, lister.Ready},
		"the first heartbeat without a start": {[]event{
			{0, time.Time{}, 1, lister.Ready}, {heartbeatInterval, born, 2, lister.Ready},
		}, false, lister.Ready},
		"the first heartbeat without a start, the second after a pause": {[]event{
			{0, time.Time{}, 1, lister.Ready}, {6 * heartbeatInterval, born, 2, lister.Ready},
		}, false, lister.Ready},
		"it leaves, and only the departure has a start": {[]event{
			{0, time.Time{}, 1, lister.Ready}, {heartbeatInterval, born, 0, lister.Gone},
		}, false, 0},
		"it leaves, and only the heartbeats have a start": {[]event{
			{0, born, 1, lister.Ready}, {heartbeatInterval, time.Time{}, 0, lister.Gone},
		}, false, 0},
		"it restarts": {[]event{
			{0, born, 9, lister.Ready}, {heartbeatInterval, bornAgain, 1, lister.Ready},
		}, true, lister.Ready},
		"it restarts, once its start is known": {[]event{
			{0, time.Time{}, 1, lister.Ready}, {heartbeatInterval, born, 2, lister.Ready}, {2 * heartbeatInterval, bornAgain, 1, lister.Ready},
		}, true, lister.Ready},
		"it was leaving, and reports a start": {[]event{
			{0, time.Time{}, 1, lister.Ready}, {time.Second, time.Time{}, 2, lister.Leaving}, {heartbeatInterval, born, 3, lister.Ready},
		}, false, lister.Leaving},
		"it was leaving, and restarts with a start": {[]event{
			{0, time.Time{}, 1, lister.Ready}, {time.Second, time.Time{}, 2, lister.Leaving}, {heartbeatInterval, born, 1, lister.Ready},
		}, true, lister.Ready},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			keeper, router, b := lister.List{Interval: heartbeatInterval}, lister.List{}, &Balancer{}
			var slot *Slot
			now, sent := start, uint64(0)
			pass := func() {
				keeper.Expire(now)
				before := router.Revision()
				for _, listing := range keeper.Since(sent) {
					router.ApplyHeartbeat(now, listing)
				}
				sent = keeper.Revision()
				for _, listing := range router.Since(before) {
					b.Update(listing)
				}
			}
			for _, e := range test.events {
				for now.Before(start.Add(e.after)) {
					now = now.Add(100 * time.Millisecond)
					pass()
				}
				if e.number == 0 {
					keeper.Leave(now, "i-1", e.started)
				} else {
					heartbeat := engine(1)
					heartbeat.Started, heartbeat.Sequence, heartbeat.State = e.started, e.number, e.state
					keeper.ApplyHeartbeat(now, heartbeat)
				}
				pass()
				if slot == nil {
					slot = b.Pick(now, "engines", &Work{}, nil)
				}
			}
			require.Equal(t, test.ended, slot.EndpointLifetime().Err() != nil)
			listed, found := b.byID["i-1"]
			require.Equal(t, test.state != 0, found)
			if found {
				require.Equal(t, test.state, listed.State)
				require.Equal(t, Key(listed.Listing), listed.key)
			}
		})
	}
}
