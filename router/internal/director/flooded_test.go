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

// What a small instance spends on a new connection, of a whole core.
const (
	closingCost  = 15 * time.Microsecond // unread
	refusingCost = 45 * time.Microsecond
	servingCost  = 470 * time.Microsecond
	smallCores   = 0.192
	lookStep     = 25 * time.Millisecond
)

// instance is a router on a part of a processor. What comes waits behind what came before.
type instance struct {
	*Director
	clock   *clockwork.FakeClock
	backlog time.Duration // of work
	served  int
	heard   int // requests that were judged
}

func newInstance(t *testing.T) *instance {
	t.Helper()
	return newInstanceOf(t, `{"name":"desk"}`)
}

// newInstanceOf returns an instance before a service.
func newInstanceOf(t *testing.T, service string) *instance {
	t.Helper()
	settings := sound(t)
	settings.Processors = smallCores
	clock := clockwork.NewFakeClock()
	i := &instance{Director: New(settings, "settings.json", zerolog.Nop(), clock), clock: clock}
	keeper := netip.MustParseAddrPort("127.0.0.1:1")
	i.planning[keeper] = fixed{plan: `{"version":1,"services":[` + service + `],
		"routes":[{"name":"r","host":"h","path_prefix":"/","kind":"idempotent","timeout_ms":1000,"service":"desk"}],
		"tenants":[{"name":"flood","api_keys":["flood"]}]}`}
	i.reader.News(t.Context(), keeper, &messenger.FollowResponse{Plan: 1})
	return i
}

// connect decides what becomes of a new connection with a request of a workspace, and takes the
// time for it.
func (i *instance) connect(t *testing.T, workspace string) {
	t.Helper()
	cost := closingCost
	if i.room() {
		h, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://h/x", http.NoBody)
		require.NoError(t, err)
		h.RequestURI = "/x"
		h.Header.Set("Authorization", "Bearer "+workspace)
		h.Header.Set("X-Shallotkeel-Token-Counts", "1000,10")
		i.heard++
		cost = refusingCost
		if i.passer.Screen(h) == nil {
			i.pacer.Starts.Take(i.clock.Now(), workspace)
			i.served++
			cost = servingCost
		}
	}
	i.backlog += time.Duration(float64(cost) / smallCores)
}

// flood lets connections of a workspace come for a time, and returns the latest look.
func (i *instance) flood(t *testing.T, perSecond int, length time.Duration) (latest time.Duration) {
	t.Helper()
	for at := time.Duration(0); at < length; at += lookStep {
		for range perSecond * int(lookStep) / int(time.Second) {
			i.connect(t, "flood")
			i.clock.Advance(time.Second / time.Duration(perSecond))
		}
		i.backlog = max(i.backlog-lookStep, 0)
		latest = max(latest, i.backlog)
		i.pacer.Observe(i.backlog)
	}
	return latest
}

// Guards against a flooded router that refuses to a standstill: refusals take the processor, and
// what is to be served is begun less and less.
func TestRefusalsLeaveTimeToServe(t *testing.T) {
	const (
		settled = 2 * time.Second
		length  = 10 * time.Second
		// Refusing nobody, the router would begin so many requests in a second.
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
			i.served, i.heard = 0, 0
			latest := i.flood(t, perSecond, length)
			require.Greater(t, float64(i.served)/length.Seconds(), possible/4)
			require.Less(t, latest, 250*time.Millisecond, "what is served is served in time")
			require.Greater(t, i.heard-i.served, perSecond/50*int(length/time.Second), "who asks is still heard")
		})
	}
}
