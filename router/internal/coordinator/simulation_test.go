package coordinator

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/describer"
	"shallotkeel.example/lib/enlister"
	"shallotkeel.example/lib/labeler"
	"shallotkeel.example/lib/matcher"
	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/scheduler"
)

const (
	model          = "draft-7b"
	service        = "modelli"
	simulationStep = 5 * time.Millisecond
	jobDuration    = time.Second
)

var errPartitioned = errors.New("cut")

// job is one client request.
type job struct {
	router    string
	workspace string
	waiter    *Waiter
	added     time.Time
	ends      time.Time // when its run ends
	endpoint  string
	done      bool
}

// node is one router of the simulation.
type node struct {
	*Coordinator
	server  *server
	work    []func()
	stalled bool
	stopped bool
}

// simulation runs coordinators step by step in one goroutine, with one clock.
type simulation struct {
	t           *testing.T
	clock       *clockwork.FakeClock
	nodes       map[netip.AddrPort]*node
	order       []netip.AddrPort
	partitioned func(from, to netip.AddrPort) bool
	standalone  bool
	jobs        []*job
	maxRunning  map[string]int // maximum of the jobs that ran at the same time, by endpoint
	delay       []time.Duration
	served      map[string]int
	calls       int
}

func newSimulation(t *testing.T, zones, each int, standalone bool) *simulation {
	w := &simulation{
		t: t, clock: clockwork.NewFakeClockAt(time.Unix(1_800_000_000, 0)), nodes: make(map[netip.AddrPort]*node), standalone: standalone,
		maxRunning: make(map[string]int), served: make(map[string]int),
	}
	for z := range zones {
		for i := range each {
			w.start(z, i)
		}
	}
	w.run(2*time.Second, nil)
	return w
}

func addressOf(zone, i int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("10.0.%d.%d:8100", zone, i+1))
}

func testRules() *matcher.Rules {
	objects := make(map[describer.Key]describer.Object)
	for _, object := range []describer.Object{
		{Kind: describer.Service, Name: service, Labels: labeler.Labels{"type": "model", "model." + model: "yes"}},
		{Kind: describer.Workspace, Name: "large"}, {Kind: describer.Workspace, Name: "small"},
	} {
		objects[object.Key()] = object
	}
	return matcher.Compile(describer.Snapshot{Revision: 1, Objects: objects})
}

// start starts a router, or restarts it without its state.
func (w *simulation) start(zone, i int) *node {
	at := addressOf(zone, i)
	if w.nodes[at] == nil {
		w.order = append(w.order, at)
	}
	c := New(Options{
		Name: fmt.Sprintf("router-%d-%d", zone, i), Zone: fmt.Sprintf("zone-%d", zone), Address: at,
		Incarnation: uint64(w.clock.Now().UnixMilli()), Standalone: w.standalone,
		Seeds: []netip.AddrPort{addressOf(0, 0), addressOf(zone, 0)},
		Clock: w.clock, Log: zerolog.Nop(),
	})
	n := &node{Coordinator: c, server: &server{coordinator: c}}
	c.launch = func(work func()) { n.work = append(n.work, work) }
	c.peers.dial = func(to netip.AddrPort) *peer {
		peerLink := &link{sim: w, from: at, to: to}
		return &peer{scheduling: peerLink, granting: peerLink, membership: peerLink}
	}
	c.rules = testRules()
	w.nodes[at] = n
	return n
}

// link delivers calls to another router directly, without a network.
type link struct {
	sim      *simulation
	from, to netip.AddrPort
}

func deliverCall[Q, A any](l *link, request *Q, answer func(*Coordinator, time.Time, *Q) *A) (*A, error) {
	target := l.sim.nodes[l.to]
	if target == nil || target.stalled || target.stopped || (l.sim.partitioned != nil && l.sim.partitioned(l.from, l.to)) {
		return nil, errPartitioned
	}
	l.sim.calls++
	return answer(target.Coordinator, l.sim.clock.Now(), request), nil
}

func (l *link) Exchange(_ context.Context, q *messenger.ExchangeRequest) (*messenger.ExchangeResponse, error) {
	return deliverCall(l, q, (*Coordinator).receiveExchange)
}

func (l *link) Announce(_ context.Context, q *messenger.AnnounceRequest) (*messenger.AnnounceResponse, error) {
	return deliverCall(l, q, (*Coordinator).receiveAnnouncement)
}

func (l *link) Compare(_ context.Context, q *messenger.CompareRequest) (*messenger.CompareResponse, error) {
	return deliverCall(l, q, (*Coordinator).receiveCompare)
}

func (l *link) Handover(_ context.Context, q *messenger.HandoverRequest) (*messenger.HandoverResponse, error) {
	return deliverCall(l, q, (*Coordinator).receiveHandover)
}

func (l *link) Grant(_ context.Context, q *messenger.GrantRequest) (*messenger.GrantResponse, error) {
	return deliverCall(l, q, func(c *Coordinator, _ time.Time, q *messenger.GrantRequest) *messenger.GrantResponse {
		return c.receiveGrant(q)
	})
}

func (l *link) Heartbeat(_ context.Context, q *messenger.HeartbeatRequest) (*messenger.HeartbeatResponse, error) {
	return deliverCall(l, q, func(c *Coordinator, now time.Time, q *messenger.HeartbeatRequest) *messenger.HeartbeatResponse {
		return c.detector.Receive(now, q)
	})
}

func (l *link) Snapshot(context.Context, *messenger.WatchRequest) (*messenger.WatchResponse, error) {
	return nil, errPartitioned
}

func (l *link) Report(context.Context, *messenger.ReportRequest) (*messenger.ReportResponse, error) {
	return nil, errPartitioned
}

// announce announces an endpoint at a live router of a zone.
func (w *simulation) announce(zone int, id string, slots uint32) {
	for _, at := range w.order {
		n := w.nodes[at]
		if n.stopped || n.stalled || n.options.Zone != fmt.Sprintf("zone-%d", zone) {
			continue
		}
		n.acceptAnnouncement(&messenger.Announcement{
			Id: id, Incarnation: 1, Service: service, Zone: n.options.Zone, Models: []string{model},
			Address: "10.1.0.1:9000", Slots: slots, TtlMs: 3000,
		}, func(error) {})
		return
	}
}

func (w *simulation) add(at netip.AddrPort, workspace string) {
	n := w.nodes[at]
	j := &job{router: n.options.Name, workspace: workspace, added: w.clock.Now()}
	j.waiter = &Waiter{Outcome: make(chan enlister.Outcome, 1), coordinator: n.Coordinator, service: service}
	n.enrol(j.waiter, scheduler.Ticket{Workspace: workspace, Model: model, Hint: 100})
	w.jobs = append(w.jobs, j)
}

// run advances the clock by a span. Each step calls also, if it is not nil.
func (w *simulation) run(span time.Duration, also func()) {
	for end := w.clock.Now().Add(span); w.clock.Now().Before(end); w.clock.Advance(simulationStep) {
		if also != nil {
			also()
		}
		w.runJobs()
		for _, at := range w.order {
			w.step(w.nodes[at])
		}
	}
}

func (w *simulation) step(n *node) {
	if n.stalled || n.stopped {
		return
	}
	for range 4 { // answers to calls may cause further calls
		n.step(w.clock.Now())
		work := n.work
		n.work = nil
		for _, call := range work {
			call()
		}
		n.drainQueue()
	}
}

func (w *simulation) runJobs() {
	now := w.clock.Now()
	running := make(map[string]int)
	for _, j := range w.jobs {
		n := w.owner(j)
		if j.done || n.stalled {
			continue
		}
		select {
		case outcome := <-j.waiter.Outcome:
			granted, ok := outcome.(enlister.Granted)
			require.True(w.t, ok, "%v", outcome)
			j.endpoint, j.ends = granted.Endpoint, now.Add(jobDuration)
			w.delay = append(w.delay, now.Sub(j.added))
		default:
		}
		if !j.ends.IsZero() && !now.Before(j.ends) {
			j.done = true
			w.served[j.workspace]++
			j.waiter.Finish(scheduler.Finish{Charged: 100, Ending: scheduler.Done, First: 10 * time.Millisecond, Took: jobDuration})
		}
		if !j.done && !j.ends.IsZero() {
			running[j.endpoint]++
		}
	}
	for endpoint, count := range running {
		w.maxRunning[endpoint] = max(w.maxRunning[endpoint], count)
	}
}

func (w *simulation) owner(j *job) *node {
	for _, n := range w.nodes {
		if n.Coordinator == j.waiter.coordinator {
			return n
		}
	}
	j.done = true // its router has died, and its client connection with it
	return &node{stalled: true}
}

// kill stops a router without notice to the others.
func (w *simulation) kill(at netip.AddrPort) {
	w.nodes[at].stopped = true
	for _, j := range w.jobs {
		j.done = j.done || j.waiter.coordinator == w.nodes[at].Coordinator
	}
}

func (w *simulation) scheduler(zone int) netip.AddrPort {
	owner, found := w.nodes[w.live(zone)].owner(service)
	require.True(w.t, found)
	return owner.Address
}

func (w *simulation) live(zone int) netip.AddrPort {
	at := slices.IndexFunc(w.order, func(at netip.AddrPort) bool {
		n := w.nodes[at]
		return !n.stopped && !n.stalled && n.options.Zone == fmt.Sprintf("zone-%d", zone)
	})
	return w.order[at]
}

func (w *simulation) unfinished() (waiting, running int) {
	for _, j := range w.jobs {
		switch {
		case j.done:
		case j.ends.IsZero():
			waiting++
		default:
			running++
		}
	}
	return waiting, running
}
