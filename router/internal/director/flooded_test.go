package director

import (
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/messenger"
)

// The core time that a small instance spends on a new connection.
const (
	closingCost  = 15 * time.Microsecond // closed unread
	refusingCost = 45 * time.Microsecond
	servingCost  = 470 * time.Microsecond
	smallCores   = 0.192
	sampleStep   = 25 * time.Millisecond
)

// instance is a router with a part of a processor core. New work queues behind earlier work.
type instance struct {
	*Director
	clock   *clockwork.FakeClock
	backlog time.Duration // of processor work
	served  int
	judged  int // number of requests that were judged
}

func newInstance(t *testing.T) *instance {
	t.Helper()
	return newInstanceOf(t, `{"name":"desk"}`)
}

// newInstanceOf returns an instance with a configuration of a single service.
func newInstanceOf(t *testing.T, service string) *instance {
	t.Helper()
	settings := validSettings(t)
	settings.Processors = smallCores
	clock := clockwork.NewFakeClock()
	i := &instance{Director: New(settings, "settings.json", zerolog.Nop(), clock), clock: clock}
	keeper := netip.MustParseAddrPort("127.0.0.1:1")
	i.planning[keeper] = stubKeeper{plan: `{"version":1,"services":[` + service + `],
		"routes":[{"name":"r","host":"h","path_prefix":"/","kind":"idempotent","timeout_ms":1000,"service":"desk"}],
		"tenants":[{"name":"flood","api_keys":["flood"]}]}`}
	i.reader.Update(t.Context(), keeper, &messenger.FollowResponse{Plan: 1})
	return i
}

// connect simulates a new connection with a request of a workspace: the router closes it, refuses the
// request or serves it, and the core time for that is added to the backlog.
func (i *instance) connect(t *testing.T, workspace string) {
	t.Helper()
	cost := closingCost
	if i.admitConnection() {
		h, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://h/x", http.NoBody)
		require.NoError(t, err)
		h.RequestURI = "/x"
		h.Header.Set("Authorization", "Bearer "+workspace)
		h.Header.Set("X-Shallotkeel-Token-Counts", "1000,10")
		i.judged++
		cost = refusingCost
		if i.proxier.Screen(h) == nil {
			i.pacer.Starts.Take(i.clock.Now(), workspace)
			i.served++
			cost = servingCost
		}
	}
	i.backlog += time.Duration(float64(cost) / smallCores)
}

// flood simulates connections of a workspace for a time, and returns the largest lateness seen.
func (i *instance) flood(t *testing.T, perSecond int, length time.Duration) (latest time.Duration) {
	t.Helper()
	for at := time.Duration(0); at < length; at += sampleStep {
		for range perSecond * int(sampleStep) / int(time.Second) {
			i.connect(t, "flood")
			i.clock.Advance(time.Second / time.Duration(perSecond))
		}
		i.backlog = max(i.backlog-sampleStep, 0)
		latest = max(latest, i.backlog)
		i.pacer.Observe(i.backlog)
	}
	return latest
}

// Guards against a flooded router that is stalled by refusals: they take the processor
// time, and fewer and fewer requests are started.
func TestRefusalsLeaveTimeToServe(t *testing.T) {
	const (
		settled = 2 * time.Second
		length  = 10 * time.Second
		// The requests per second that the router could start if it refused none.
		possible = smallCores * float64(time.Second) / float64(servingCost)
	)
	tests := map[string]int{
		"as many as refusals alone would take all time for": 4000,
		"twice as many": 8000,
	}
	for name, perSecond := range tests {
		t.Run(name, func(t *testing.T) {
			i := newInstance(t)
			i.flood(t, perSecond, settled)
			i.served, i.judged = 0, 0
			latest := i.flood(t, perSecond, length)
			require.Greater(t, float64(i.served)/length.Seconds(), possible/4)
			require.Less(t, latest, 250*time.Millisecond, "requests that are served are served in time")
			require.Greater(t, i.judged-i.served, perSecond/50*int(length/time.Second), "requests are still read and refused with an answer")
		})
	}
}
