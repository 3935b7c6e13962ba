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

// Guards against an operator who gets no answer when reading the configuration. Hundreds of routers
// poll a keeper, and each change of an endpoint wakes them all, so that answering all polls at once
// leaves the keeper no processor time for other calls.
func TestLaggingKeeperHoldsPolls(t *testing.T) {
	const wait = 200 * time.Millisecond
	tests := map[string]struct {
		lags     bool
		endpoint time.Duration // until a change of an endpoint is sent
		plan     time.Duration // until a newer configuration is sent
	}{
		"on time": {false, 0, 0},
		"late":    {true, wait + lagHold, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			seeded := newSeededKeeper(t, "keeper", freeAddress(), []netip.AddrPort{freeAddress()})
			s := newServer(&seeded.settings, zerolog.Nop(), clock)
			for range 20 {
				if test.lags {
					s.pacer.Observe(time.Second)
				}
			}
			poll := func() <-chan *messenger.FollowResponse {
				answer := make(chan *messenger.FollowResponse, 1)
				request := &messenger.FollowRequest{
					Node: "router", Epoch: s.epoch, After: s.directory.list.Revision(), WaitMs: uint32(wait.Milliseconds()),
				}
				go func() {
					response, err := planning{s}.Follow(t.Context(), request)
					if err == nil {
						answer <- response
					}
				}()
				require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
				return answer
			}
			await := func(answer <-chan *messenger.FollowResponse, pause time.Duration) *messenger.FollowResponse {
				if pause > 0 {
					clock.Advance(pause - time.Millisecond)
					select {
					case <-answer:
						t.Fatal("the poll was answered too early")
					case <-time.After(20 * time.Millisecond):
					}
					clock.Advance(time.Millisecond)
				}
				select {
				case response := <-answer:
					return response
				case <-time.After(waitTimeout):
					t.Fatal("the poll was not answered")
				}
				return nil
			}
			answer := poll()
			s.directory.receiveHeartbeat(clock.Now(), endpointAt("a", 1, lister.Ready))
			s.updates.notify(true)
			require.Len(t, await(answer, test.endpoint).GetListings(), 1)
			first, err := planning{s}.Follow(t.Context(), &messenger.FollowRequest{Node: "new", WaitMs: uint32(wait.Milliseconds())})
			require.NoError(t, err)
			require.Len(t, first.GetListings(), 1, "a new follower is answered at once")
			answer = poll()
			s.view.Store(&view{plan: version(7, "seven")})
			s.updates.notify(true)
			require.EqualValues(t, 7, await(answer, test.plan).GetPlan())
		})
	}
}
