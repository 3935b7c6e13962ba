package conductor

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

const testLease = 15 * time.Second

// leases is the keepers as far as leases go.
type leases struct {
	world  *world
	spare  uint32 // permits that nobody asked for
	holder string
	fence  uint64
	until  time.Time
}

func (l *leases) Lease(_ context.Context, q *messenger.LeaseRequest) (*messenger.LeaseResponse, error) {
	now := l.world.clock.Now()
	if q.GetHolder() != l.holder {
		if now.Before(l.until) {
			return &messenger.LeaseResponse{HeldBy: l.holder, LeaseMs: 1000}, nil
		}
		l.fence++
		l.holder = q.GetHolder()
	}
	l.until = now.Add(testLease)
	return &messenger.LeaseResponse{Fence: l.fence, LeaseMs: uint32(testLease / time.Millisecond), Permits: l.spare + q.GetWantLoads()}, nil
}

// engine takes orders over HTTP and announces itself.
type engine struct {
	world   *world
	server  *httptest.Server
	message *messenger.Announcement
	mutex   sync.Mutex
	orders  []string
}

func newEngine(t *testing.T, w *world, fenced bool, loaded ...string) *engine {
	t.Helper()
	e := &engine{world: w}
	e.server = httptest.NewServer(e)
	t.Cleanup(e.server.Close)
	e.message = &messenger.Announcement{
		Id: "e1", Incarnation: 1, Service: service, Zone: "zone-0", Address: e.server.Listener.Addr().String(),
		Slots: 4, TtlMs: 3000, Fenced: fenced, Loaded: loaded, Models: loaded, Labels: map[string]string{"room": "1"},
	}
	return e
}

// ServeHTTP obeys like the stand-in.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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

// announce tells a router that lives what the engine has, every second.
func (e *engine) announce() func() {
	var told time.Time
	return func() {
		now := e.world.clock.Now()
		if now.Sub(told) < time.Second {
			return
		}
		told = now
		e.mutex.Lock()
		defer e.mutex.Unlock()
		message := &messenger.Announcement{
			Id: e.message.GetId(), Incarnation: e.message.GetIncarnation(), Service: service, Zone: "zone-0",
			Address: e.message.GetAddress(), Slots: e.message.GetSlots(), TtlMs: e.message.GetTtlMs(),
			Fenced: e.message.GetFenced(), Loaded: e.message.GetLoaded(), Models: e.message.GetModels(), Labels: e.message.GetLabels(),
		}
		e.world.nodes[e.world.live(0)].take(message, func(error) {})
	}
}

func (e *engine) obeyed() []string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return slices.Clone(e.orders)
}

// ordering is a world whose routers order engines.
func ordering(t *testing.T, alone bool) (*world, *leases) {
	t.Helper()
	w := newWorld(t, 1, 3, alone)
	keepers := &leases{world: w}
	for _, n := range w.nodes {
		n.options.Leaser, n.options.Sender = keepers, commander.NewHTTPSender(w.clock)
	}
	return w, keepers
}

func TestMissingModelIsLoaded(t *testing.T) {
	for name, test := range map[string]struct {
		fenced bool
		alone  bool
		room   string
		drain  string
		after  time.Duration
		want   []string
	}{
		"a fenced engine at once":      {fenced: true, room: "1", after: 8 * time.Second, want: []string{"1 load " + model}},
		"one that ignores numbers not": {room: "1", after: 4 * time.Second},
		"but after the last lease":     {room: "1", after: 12 * time.Second, want: []string{"1 load " + model}},
		"nor where it is drained":      {fenced: true, room: "1", drain: "yes", after: 12 * time.Second},
		"never without room":           {fenced: true, after: 12 * time.Second},
		"nor where routers are alone":  {fenced: true, alone: true, room: "1", after: 12 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			w, _ := ordering(t, test.alone)
			e := newEngine(t, w, test.fenced)
			e.message.Labels["room"], e.message.Labels["drain"] = test.room, test.drain
			w.run(test.after, e.announce())
			require.Equal(t, test.want, e.obeyed())
		})
	}
}

// Symptom: a model appears and vanishes again at an engine that ignores fencing
// numbers. Sequence: its scheduler stands still just before it sends an order;
// another one takes the pool and the lease over and orders; the first resumes.
// Cause: an order's time counts from when it is sent, not from when the lease
// was looked at.
func TestFormerHoldersOrderIsNotSent(t *testing.T) {
	w, keepers := ordering(t, false)
	keepers.spare = 1
	e := newEngine(t, w, false, model)
	w.run(12*time.Second, e.announce())
	require.Empty(t, e.obeyed())

	former := w.nodes[w.scheduler(0)]
	var stood []func()
	former.launch = func(call func()) { stood = append(stood, call) }
	e.message.Incarnation, e.message.Loaded, e.message.Models = 2, nil, nil // it comes back empty
	w.run(1900*time.Millisecond, e.announce())
	former.frozen = true
	w.run(40*time.Second, e.announce())
	require.Equal(t, []string{"2 load " + model}, e.obeyed())

	former.frozen = false
	former.launch = func(call func()) { former.work = append(former.work, call) }
	former.work = append(former.work, stood...)
	w.run(10*time.Second, e.announce())
	require.Equal(t, []string{"2 load " + model}, e.obeyed())
}

// Symptom: a stream breaks because its model is unloaded under it, or a model is
// never unloaded because new work comes all the time. Sequence: a model is no
// longer offered, a request of it runs, and more come. Cause: the pool is not
// asked what is in use, or grants go on while the model is to be unloaded.
func TestModelIsHiddenAndDrainedBeforeItIsUnloaded(t *testing.T) {
	const old = "old"
	w, _ := ordering(t, false)
	e := newEngine(t, w, true, old)
	n := w.nodes[w.scheduler(0)]
	enrol := func() *Waiter {
		waiter := &Waiter{Outcome: make(chan enlister.Outcome, 1), conductor: n.Conductor, service: service}
		n.enrol(waiter, scheduler.Ticket{Workspace: "small", Model: old, Hint: 10})
		return waiter
	}
	tell := e.announce()
	w.run(50*time.Millisecond, tell)
	running := enrol()
	w.run(50*time.Millisecond, tell)
	require.IsType(t, enlister.Granted{}, <-running.Outcome)

	w.run(4*time.Second, tell)
	late := enrol()
	w.run(4*time.Second, tell)
	require.Empty(t, late.Outcome, "no new work for a model that is to go")
	require.Empty(t, e.obeyed(), "its request still runs")

	running.Finish(scheduler.Finish{Charged: 10, Ending: scheduler.Done, Took: time.Second})
	w.run(8*time.Second, tell)
	require.Equal(t, []string{"1 unload " + old, "1 load " + model}, e.obeyed())
}

// Symptom: an engine is told to load what it has loaded. Sequence: a router
// tells a new scheduler what an endpoint announced a while ago. Cause: it passes
// for what the endpoint has now.
func TestRetoldAnnouncementIsOld(t *testing.T) {
	w, _ := ordering(t, false)
	e := newEngine(t, w, true)
	n := w.nodes[w.scheduler(0)]
	now := w.clock.Now()
	n.receiveAnnouncement(now, &messenger.AnnounceRequest{Announcement: e.message})
	old := &messenger.Announcement{
		Id: "e1", Incarnation: 1, Service: service, Zone: "zone-0", Address: e.message.GetAddress(), Slots: 4, TtlMs: 3000,
		Fenced: true, Loaded: []string{model}, Labels: e.message.GetLabels(),
	}
	n.receiveAnnouncement(now.Add(time.Second), &messenger.AnnounceRequest{Announcement: old, AgeMs: 2000})
	read := n.pools[service].commander.Known("e1")
	require.Empty(t, read.Loaded)
	require.Equal(t, now.Add(-transit), read.At)

	a := &announcement{message: e.message, expires: now.Add(3 * time.Second)}
	require.Equal(t, 2*time.Second, a.age(now.Add(2*time.Second)))
}
