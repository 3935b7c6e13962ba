package conductor

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
	model     = "draft-7b"
	service   = "modelli"
	worldStep = 5 * time.Millisecond
	jobLength = time.Second
)

var errCut = errors.New("cut")

// job is one request of a caller.
type job struct {
	router    string
	workspace string
	waiter    *Waiter
	added     time.Time
	ends      time.Time // of its run
	endpoint  string
	done      bool
}

// node is one router of the world.
type node struct {
	*Conductor
	server  *server
	work    []func()
	frozen  bool
	stopped bool
}

// world runs conductors step by step in one goroutine, on one clock.
type world struct {
	t      *testing.T
	clock  *clockwork.FakeClock
	nodes  map[netip.AddrPort]*node
	order  []netip.AddrPort
	cut    func(from, to netip.AddrPort) bool
	alone  bool
	jobs   []*job
	most   map[string]int // of the jobs that ran at once at an endpoint
	delay  []time.Duration
	served map[string]int
	calls  int
}

func newWorld(t *testing.T, zones, each int, alone bool) *world {
	w := &world{
		t: t, clock: clockwork.NewFakeClockAt(time.Unix(1_800_000_000, 0)), nodes: make(map[netip.AddrPort]*node), alone: alone,
		most: make(map[string]int), served: make(map[string]int),
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

func worldRules() *matcher.Rules {
	objects := make(map[describer.Key]describer.Object)
	for _, object := range []describer.Object{
		{Kind: describer.Service, Name: service, Labels: labeler.Labels{"type": "model", "model." + model: "yes"}},
		{Kind: describer.Workspace, Name: "large"}, {Kind: describer.Workspace, Name: "small"},
	} {
		objects[object.Key()] = object
	}
	return matcher.Compile(describer.Snapshot{Revision: 1, Objects: objects})
}

// start starts a router, or starts it again without memory.
func (w *world) start(zone, i int) *node {
	at := addressOf(zone, i)
	if w.nodes[at] == nil {
		w.order = append(w.order, at)
	}
	c := New(Options{
		Name: fmt.Sprintf("router-%d-%d", zone, i), Zone: fmt.Sprintf("zone-%d", zone), Address: at,
		Incarnation: uint64(w.clock.Now().UnixMilli()), Alone: w.alone,
		Seeds: []netip.AddrPort{addressOf(0, 0), addressOf(zone, 0)},
		Clock: w.clock, Log: zerolog.Nop(),
	})
	n := &node{Conductor: c, server: &server{conductor: c}}
	c.launch = func(work func()) { n.work = append(n.work, work) }
	c.peers.dial = func(to netip.AddrPort) *peer {
		wire := &wire{world: w, from: at, to: to}
		return &peer{scheduling: wire, granting: wire, membership: wire}
	}
	c.rules = worldRules()
	w.nodes[at] = n
	return n
}

// wire carries calls to another router's pure answers.
type wire struct {
	world    *world
	from, to netip.AddrPort
}

func over[Q, A any](l *wire, request *Q, answer func(*Conductor, time.Time, *Q) *A) (*A, error) {
	target := l.world.nodes[l.to]
	if target == nil || target.frozen || target.stopped || (l.world.cut != nil && l.world.cut(l.from, l.to)) {
		return nil, errCut
	}
	l.world.calls++
	return answer(target.Conductor, l.world.clock.Now(), request), nil
}

func (l *wire) Exchange(_ context.Context, q *messenger.ExchangeRequest) (*messenger.ExchangeResponse, error) {
	return over(l, q, (*Conductor).receive)
}

func (l *wire) Announce(_ context.Context, q *messenger.AnnounceRequest) (*messenger.AnnounceResponse, error) {
	return over(l, q, (*Conductor).receiveAnnouncement)
}

func (l *wire) Compare(_ context.Context, q *messenger.CompareRequest) (*messenger.CompareResponse, error) {
	return over(l, q, (*Conductor).receiveCompare)
}

func (l *wire) Handover(_ context.Context, q *messenger.HandoverRequest) (*messenger.HandoverResponse, error) {
	return over(l, q, (*Conductor).takeOver)
}

func (l *wire) Grant(_ context.Context, q *messenger.GrantRequest) (*messenger.GrantResponse, error) {
	return over(l, q, func(c *Conductor, _ time.Time, q *messenger.GrantRequest) *messenger.GrantResponse { return c.grant(q) })
}

func (l *wire) Heartbeat(_ context.Context, q *messenger.HeartbeatRequest) (*messenger.HeartbeatResponse, error) {
	return over(l, q, func(c *Conductor, now time.Time, q *messenger.HeartbeatRequest) *messenger.HeartbeatResponse {
		return c.detector.Receive(now, q)
	})
}

func (l *wire) Snapshot(context.Context, *messenger.WatchRequest) (*messenger.WatchResponse, error) {
	return nil, errCut
}

func (l *wire) Report(context.Context, *messenger.ReportRequest) (*messenger.ReportResponse, error) {
	return nil, errCut
}

// announce lets an endpoint announce itself at a router that lives.
func (w *world) announce(zone int, id string, slots uint32) {
	for _, at := range w.order {
		n := w.nodes[at]
		if n.stopped || n.frozen || n.options.Zone != fmt.Sprintf("zone-%d", zone) {
			continue
		}
		n.take(&messenger.Announcement{
			Id: id, Incarnation: 1, Service: service, Zone: n.options.Zone, Models: []string{model},
			Address: "10.1.0.1:9000", Slots: slots, TtlMs: 3000,
		}, func(error) {})
		return
	}
}

func (w *world) add(at netip.AddrPort, workspace string) {
	n := w.nodes[at]
	j := &job{router: n.options.Name, workspace: workspace, added: w.clock.Now()}
	j.waiter = &Waiter{Outcome: make(chan enlister.Outcome, 1), conductor: n.Conductor, service: service}
	n.enrol(j.waiter, scheduler.Ticket{Workspace: workspace, Model: model, Hint: 100})
	w.jobs = append(w.jobs, j)
}

// run lets time pass. Each step calls also, if given.
func (w *world) run(span time.Duration, also func()) {
	for end := w.clock.Now().Add(span); w.clock.Now().Before(end); w.clock.Advance(worldStep) {
		if also != nil {
			also()
		}
		w.runJobs()
		for _, at := range w.order {
			w.step(w.nodes[at])
		}
	}
}

func (w *world) step(n *node) {
	if n.frozen || n.stopped {
		return
	}
	for range 4 { // answers to calls may make further calls
		n.step(w.clock.Now())
		work := n.work
		n.work = nil
		for _, call := range work {
			call()
		}
		n.drainQueue()
	}
}

func (w *world) runJobs() {
	now := w.clock.Now()
	running := make(map[string]int)
	for _, j := range w.jobs {
		n := w.owner(j)
		if j.done || n.frozen {
			continue
		}
		select {
		case outcome := <-j.waiter.Outcome:
			granted, ok := outcome.(enlister.Granted)
			require.True(w.t, ok, "%v", outcome)
			j.endpoint, j.ends = granted.Endpoint, now.Add(jobLength)
			w.delay = append(w.delay, now.Sub(j.added))
		default:
		}
		if !j.ends.IsZero() && !now.Before(j.ends) {
			j.done = true
			w.served[j.workspace]++
			j.waiter.Finish(scheduler.Finish{Charged: 100, Ending: scheduler.Done, First: 10 * time.Millisecond, Took: jobLength})
		}
		if !j.done && !j.ends.IsZero() {
			running[j.endpoint]++
		}
	}
	for endpoint, count := range running {
		w.most[endpoint] = max(w.most[endpoint], count)
	}
}

func (w *world) owner(j *job) *node {
	for _, n := range w.nodes {
		if n.Conductor == j.waiter.conductor {
			return n
		}
	}
	j.done = true // its router has died, and the caller with it
	return &node{frozen: true}
}

// kill stops a router without a word.
func (w *world) kill(at netip.AddrPort) {
	w.nodes[at].stopped = true
	for _, j := range w.jobs {
		j.done = j.done || j.waiter.conductor == w.nodes[at].Conductor
	}
}

func (w *world) scheduler(zone int) netip.AddrPort {
	owner, found := w.nodes[w.live(zone)].owner(service)
	require.True(w.t, found)
	return owner.Address
}

func (w *world) live(zone int) netip.AddrPort {
	at := slices.IndexFunc(w.order, func(at netip.AddrPort) bool {
		n := w.nodes[at]
		return !n.stopped && !n.frozen && n.options.Zone == fmt.Sprintf("zone-%d", zone)
	})
	return w.order[at]
}

func (w *world) left() (waiting, running int) {
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
