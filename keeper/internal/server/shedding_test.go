package server

import (
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/lister"
	"shallotkeel.example/lib/messenger"
)

// Symptom: at the end of a day an operator reads the configuration and gets no answer.
// Sequence: hundreds of routers poll a keeper, and each change of each endpoint wakes them
// all; the keeper has no processor time left. Cause: polls were answered as they came,
// whatever else waited.
func TestLateKeeperLetsPollsWait(t *testing.T) {
	const wait = 200 * time.Millisecond
	tests := map[string]struct {
		late     bool
		endpoint time.Duration // after which news of an endpoint is told
		plan     time.Duration // after which a newer configuration is
	}{
		"in time": {false, 0, 0},
		"late":    {true, wait + lateHold, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			seeded := newSeededKeeper(t, "keeper", freeAddress(), []netip.AddrPort{freeAddress()})
			s := newServer(&seeded.settings, zerolog.Nop(), clock)
			for range 20 {
				if test.late {
					s.pacer.Observe(time.Second)
				}
			}
			answered := func() <-chan *messenger.FollowResponse {
				answer := make(chan *messenger.FollowResponse, 1)
				request := &messenger.FollowRequest{
					Node: "router", Epoch: s.epoch, After: s.directory.list.Revision(), WaitMs: uint32(wait.Milliseconds()),
				}
				go func() {
					news, err := planning{s}.Follow(t.Context(), request)
					if err == nil {
						answer <- news
					}
				}()
				require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
				return answer
			}
			after := func(answer <-chan *messenger.FollowResponse, pause time.Duration) *messenger.FollowResponse {
				if pause > 0 {
					clock.Advance(pause - time.Millisecond)
					select {
					case <-answer:
						t.Fatal("it was answered before")
					case <-time.After(20 * time.Millisecond):
					}
					clock.Advance(time.Millisecond)
				}
				select {
				case news := <-answer:
					return news
				case <-time.After(waitTimeout):
					t.Fatal("it was not answered")
				}
				return nil
			}
			polled := answered()
			s.directory.beat(clock.Now(), endpointAt("a", 1, lister.Ready))
			s.updates.notify(true)
			require.Len(t, after(polled, test.endpoint).GetListings(), 1)
			first, err := planning{s}.Follow(t.Context(), &messenger.FollowRequest{Node: "new", WaitMs: uint32(wait.Milliseconds())})
			require.NoError(t, err)
			require.Len(t, first.GetListings(), 1, "who begins to follow is told at once")
			polled = answered()
			s.view.Store(&view{plan: version(7, "seven")})
			s.updates.notify(true)
			require.EqualValues(t, 7, after(polled, test.plan).GetPlan())
		})
	}
}
