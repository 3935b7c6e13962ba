package coordinator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/enlister"
	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/scheduler"
	"shallotkeel.example/router/internal/commander"
)

const testLeaseDuration = 15 * time.Second

// fakeLeaser grants leases in place of the keepers.
type fakeLeaser struct {
	sim          *simulation
	extraPermits uint32 // permits granted in addition to the requested ones
	holder       string
	fence        uint64
	until        time.Time
}

func (l *fakeLeaser) Lease(_ context.Context, q *messenger.LeaseRequest) (*messenger.LeaseResponse, error) {
	now := l.sim.clock.Now()
	if q.GetHolder() != l.holder {
		if now.Before(l.until) {
			return &messenger.LeaseResponse{HeldBy: l.holder, LeaseMs: 1000}, nil
		}
		l.fence++
		l.holder = q.GetHolder()
	}
	l.until = now.Add(testLeaseDuration)
	return &messenger.LeaseResponse{Fence: l.fence, LeaseMs: uint32(testLeaseDuration / time.Millisecond), Permits: l.extraPermits + q.GetWantLoads()}, nil
}

// fakeEngine accepts orders over HTTP and announces itself.
type fakeEngine struct {
	sim     *simulation
	server  *httptest.Server
	message *messenger.Announcement
	mutex   sync.Mutex
	orders  []string
}

func newFakeEngine(t *testing.T, w *simulation, fenced bool, loaded ...string) *fakeEngine {
	t.Helper()
	e := &fakeEngine{sim: w}
	e.server = httptest.NewServer(e)
	t.Cleanup(e.server.Close)
	e.message = &messenger.Announcement{
		Id: "e1", Incarnation: 1, Service: service, Zone: "zone-0", Address: e.server.Listener.Addr().String(),
		Slots: 4, TtlMs: 3000, Fenced: fenced, Loaded: loaded, Models: loaded, Labels: map[string]string{"room": "1"},
	}
	return e
}

// ServeHTTP carries out an order as the stand-in endpoint does.
func (e *fakeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Fence uint64
		Order string
		Model string
	}
	if json.NewDecoder(r.Body).Decode(&order) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.orders = append(e.orders, fmt.Sprint(order.Fence, " ", order.Order, " ", order.Model))
	loaded := slices.DeleteFunc(slices.Clone(e.message.GetLoaded()), func(m string) bool { return m == order.Model })
	if order.Order == "load" {
		loaded = append(loaded, order.Model)
	}
	e.message.Loaded, e.message.Models = loaded, loaded
	w.WriteHeader(http.StatusNoContent)
}

// announce returns a step function that announces the engine's state at a live
// router once a second.
func (e *fakeEngine) announce() func() {
	var announcedAt time.Time
	return func() {
		now := e.sim.clock.Now()
		if now.Sub(announcedAt) < time.Second {
			return
		}
		announcedAt = now
		e.mutex.Lock()
		defer e.mutex.Unlock()
		message := &messenger.Announcement{
			Id: e.message.GetId(), Incarnation: e.message.GetIncarnation(), Service: service, Zone: "zone-0",
			Address: e.message.GetAddress(), Slots: e.message.GetSlots(), TtlMs: e.message.GetTtlMs(),
			Fenced: e.message.GetFenced(), Loaded: e.message.GetLoaded(), Models: e.message.GetModels(), Labels: e.message.GetLabels(),
		}
		e.sim.nodes[e.sim.live(0)].acceptAnnouncement(message, func(error) {})
	}
}

func (e *fakeEngine) receivedOrders() []string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return slices.Clone(e.orders)
}

// newOrderingSimulation returns a simulation whose routers order engines.
func newOrderingSimulation(t *testing.T, standalone bool) (*simulation, *fakeLeaser) {
	t.Helper()
	w := newSimulation(t, 1, 3, standalone)
	leaser := &fakeLeaser{sim: w}
	for _, n := range w.nodes {
		n.options.Leaser, n.options.Sender = leaser, commander.NewHTTPSender(w.clock)
	}
	return w, leaser
}

func TestMissingModelIsLoaded(t *testing.T) {
	for name, test := range map[string]struct {
		fenced     bool
		standalone bool
		room       string
		drain      string
		after      time.Duration
		want       []string
	}{
		"fenced engine: at once":           {fenced: true, room: "1", after: 8 * time.Second, want: []string{"1 load " + model}},
		"unfenced engine: not at once":     {room: "1", after: 4 * time.Second},
		"unfenced engine: after the lease": {room: "1", after: 12 * time.Second, want: []string{"1 load " + model}},
		"draining engine: never":           {fenced: true, room: "1", drain: "yes", after: 12 * time.Second},
		"engine without room: never":       {fenced: true, after: 12 * time.Second},
		"standalone routers: never":        {fenced: true, standalone: true, room: "1", after: 12 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			w, _ := newOrderingSimulation(t, test.standalone)
			e := newFakeEngine(t, w, test.fenced)
			e.message.Labels["room"], e.message.Labels["drain"] = test.room, test.drain
			w.run(test.after, e.announce())
			require.Equal(t, test.want, e.receivedOrders())
		})
	}
}

// Guards against a model that appears and vanishes again at an engine that ignores
// fencing numbers. Its scheduler stalls just before it sends an order; another
// router takes over the pool and the lease and sends an order; the first resumes. An
// order's timeout must count from when the lease was checked, not from when the
// order is sent.
func TestFormerHoldersOrderIsNotSent(t *testing.T) {
	w, leaser := newOrderingSimulation(t, false)
	leaser.extraPermits = 1
	e := newFakeEngine(t, w, false, model)
	w.run(12*time.Second, e.announce())
	require.Empty(t, e.receivedOrders())

	former := w.nodes[w.scheduler(0)]
	var stalled []func()
	former.launch = func(call func()) { stalled = append(stalled, call) }
	e.message.Incarnation, e.message.Loaded, e.message.Models = 2, nil, nil // the engine restarts without models
	w.run(1900*time.Millisecond, e.announce())
	former.stalled = true
	w.run(40*time.Second, e.announce())
	require.Equal(t, []string{"2 load " + model}, e.receivedOrders())

	former.stalled = false
	former.launch = func(call func()) { former.work = append(former.work, call) }
	former.work = append(former.work, stalled...)
	w.run(10*time.Second, e.announce())
	require.Equal(t, []string{"2 load " + model}, e.receivedOrders())
}

// Guards against a stream that breaks because its model is unloaded while it runs,
// and against a model that is never unloaded because new requests keep coming. A
// model is no longer offered while a request for it runs and further requests
// arrive. The commander must ask the pool which models are in use, and the pool must
// stop granting the model that is to be unloaded.
func TestModelIsHiddenAndDrainedBeforeItIsUnloaded(t *testing.T) {
	const old = "old"
	w, _ := newOrderingSimulation(t, false)
	e := newFakeEngine(t, w, true, old)
	n := w.nodes[w.scheduler(0)]
	enrol := func() *Waiter {
		waiter := &Waiter{Outcome: make(chan enlister.Outcome, 1), coordinator: n.Coordinator, service: service}
		n.enrol(waiter, scheduler.Ticket{Workspace: "small", Model: old, Hint: 10})
		return waiter
	}
	announce := e.announce()
	w.run(50*time.Millisecond, announce)
	running := enrol()
	w.run(50*time.Millisecond, announce)
	require.IsType(t, enlister.Granted{}, <-running.Outcome)

	w.run(4*time.Second, announce)
	late := enrol()
	w.run(4*time.Second, announce)
	require.Empty(t, late.Outcome, "no new requests for a model that is to be unloaded")
	require.Empty(t, e.receivedOrders(), "a request for the model still runs")

	running.Finish(scheduler.Finish{Charged: 10, Ending: scheduler.Done, Took: time.Second})
	w.run(8*time.Second, announce)
	require.Equal(t, []string{"1 unload " + old, "1 load " + model}, e.receivedOrders())
}

// Guards against an order to load a model that is loaded already. A router forwards
// an old announcement to a new scheduler, which must not take it for the current
// state of the endpoint.
func TestResentAnnouncementKeepsAge(t *testing.T) {
	w, _ := newOrderingSimulation(t, false)
	e := newFakeEngine(t, w, true)
	n := w.nodes[w.scheduler(0)]
	now := w.clock.Now()
	n.receiveAnnouncement(now, &messenger.AnnounceRequest{Announcement: e.message})
	old := &messenger.Announcement{
		Id: "e1", Incarnation: 1, Service: service, Zone: "zone-0", Address: e.message.GetAddress(), Slots: 4, TtlMs: 3000,
		Fenced: true, Loaded: []string{model}, Labels: e.message.GetLabels(),
	}
	n.receiveAnnouncement(now.Add(time.Second), &messenger.AnnounceRequest{Announcement: old, AgeMs: 2000})
	read := n.pools[service].commander.LastReading("e1")
	require.Empty(t, read.Loaded)
	require.Equal(t, now.Add(-maxTransit), read.At)

	a := &announcement{message: e.message, expires: now.Add(3 * time.Second)}
	require.Equal(t, 2*time.Second, a.age(now.Add(2*time.Second)))
}
