package coordinator

import (
	"net"
	"net/http"
	"net/netip"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"shallotkeel.example/lib/dialer"
	"shallotkeel.example/lib/enlister"
	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/scheduler"
)

// Guards against control traffic above the budget of 460 bytes a request, which
// names and headers repeated in every call would cause. One request follows the
// other and nothing is batched, which is the worst case.
func TestBytesOfOneRequest(t *testing.T) {
	counter := &dialer.Counter{}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	at := netip.MustParseAddrPort(listener.Addr().String())
	clock := clockwork.NewFakeClock()
	c := New(Options{Name: "router-a1", Zone: "trento-a", Incarnation: 1_800_000_000_000, Address: at, Clock: clock, Log: zerolog.Nop()})
	c.rules = testRules()
	mux := http.NewServeMux()
	c.Register(mux, nil)
	server := dialer.Server("secret", mux)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	go c.Run(t.Context())
	c.post(func() {
		c.acceptAnnouncement(&messenger.Announcement{
			Id: "modelli-a1", Incarnation: 1_800_000_000_000, Service: service, Zone: "trento-a", Models: []string{model},
			Address: "10.0.0.1:9000", Slots: 8, TtlMs: 1 << 30,
		}, func(error) {})
	})

	peer := newPeers(dialer.Client("secret", counter)).get(at)
	e := &enlister.Enlister{Zone: "trento-a", Service: service, Router: scheduler.RouterID{Name: "router-a2", Incarnation: 1_800_000_000_001}}
	payload := 0
	exchange := func() {
		batch := e.Next(clock.Now())
		answer, err := peer.scheduling.Exchange(t.Context(), batch)
		require.NoError(t, err)
		payload += proto.Size(batch) + proto.Size(answer)
		e.Answered(clock.Now(), batch.GetNumber(), answer)
	}
	runRequest := func(seq uint64) {
		e.Add(clock.Now(), scheduler.Ticket{Seq: seq, Workspace: "large", Model: model, Hint: 400, Prompt: 900, Prefix: 1<<63 + seq})
		exchange()
		require.Equal(t, 1, e.Running())
		e.Finish(scheduler.Finish{Seq: seq, Charged: 220, Ending: scheduler.Done, First: 80, Took: 10_000})
		exchange()
	}
	for seq := range uint64(20) {
		runRequest(seq + 1)
	}
	payload = 0
	before := counter.Sent.Load() + counter.Received.Load()
	const requests = 200
	for seq := range uint64(requests) {
		runRequest(seq + 100_000)
	}
	total := float64(counter.Sent.Load()+counter.Received.Load()-before) / requests
	framing := (total - float64(payload)/requests) / 2
	t.Logf("%.0f bytes per request in two calls, including %.0f bytes of framing per call", total, framing)
	require.Less(t, total, 230.0)
	require.LessOrEqual(t, framing, 60.0)
}
