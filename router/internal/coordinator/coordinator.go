// Package coordinator coordinates this router with the other routers of the fleet. It
// owns the router's control state: the membership list, the clients through which
// the router's requests wait for slots of a pool, and the pools whose scheduler runs
// on this router.
//
// Routers use two protocols. Within a zone, the poolClient of a router sends batches of
// its waiting and running requests to the scheduler of their pool (Exchange), which
// answers with grants or sends them later (Grant). Between zones, the schedulers of one
// service exchange offers: service counters, demand and loans of slots (Compare). The
// exchanges named in comments are those between zones.
//
// All control state belongs to one goroutine. Every event is a function sent to that
// goroutine; calls to other routers run in goroutines of their own and return their
// result the same way. Decisions are made by the pure state machines of the packages
// detector, enlister and scheduler.
//
// Invariants: no other goroutine touches control state; at most one call for each
// enlister and one for each session of a registrar is in flight, and every call has a
// timeout; a pool that this router no longer schedules is handed over and dropped;
// all pools are dropped after this process has stalled for longer than the other
// routers wait before they take its pools over.
package coordinator

import (
	"context"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"shallotkeel.example/lib/detector"
	"shallotkeel.example/lib/matcher"
	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/scheduler"
	"shallotkeel.example/router/internal/commander"
)

const (
	// callTimeout bounds a call between routers. It is well above a round trip and
	// below the time in which a dead scheduler is replaced.
	callTimeout = 700 * time.Millisecond
	// DefaultCompareInterval is the minimum time between two exchanges with other
	// zones.
	DefaultCompareInterval = 100 * time.Millisecond
	// DefaultCompareBytesPerSecond suits fleets of the current size, whose requests
	// leave most of a node's 29 KB/s unused. At the target size they do not: see
	// docs/CAPACITY.md.
	DefaultCompareBytesPerSecond = 20000
	eventQueueLength             = 1024
	// minTickInterval is the minimum time between two Ticks of a pool.
	minTickInterval = 5 * time.Millisecond
)

// Options configures a Coordinator.
type Options struct {
	Name        string
	Zone        string
	Incarnation uint64
	Address     netip.AddrPort // of the control listener
	Seeds       []netip.AddrPort
	// Standalone makes this router schedule its own requests without other routers.
	// It is the baseline for comparisons.
	Standalone      bool
	Heartbeat       time.Duration
	SuspectAfter    time.Duration
	CompareInterval time.Duration
	// CompareBytesPerSecond limits the exchanges between zones. Zero means
	// DefaultCompareBytesPerSecond.
	CompareBytesPerSecond int
	Client                *http.Client
	Clock                 clockwork.Clock
	Log                   zerolog.Logger
	Registry              *prometheus.Registry
	// Leaser and Sender let this router order the engines of its pools to load and
	// unload models; without them it sends no orders.
	Leaser commander.Leaser
	Sender commander.Sender
}

// Coordinator owns a router's control state.
type Coordinator struct {
	options Options
	clock   clockwork.Clock
	log     zerolog.Logger
	metrics *metrics
	peers   *peers
	events  chan func()
	launch  func(func()) // runs a call outside the control goroutine
	done    chan struct{}
	settled atomic.Bool // this router has joined its zone; see Ready
	// livePeers are the control addresses of the other live routers of the zone.
	livePeers atomic.Pointer[[]netip.AddrPort]

	// The fields below are accessed by the control goroutine only.
	self          scheduler.RouterID
	detector      *detector.Detector
	version       uint64 // last version of the detector's lists that was acted upon
	handledStalls uint64 // stalls of the detector after which the pools were dropped
	rules         *matcher.Rules
	poolClients   map[string]*poolClient // by service
	pools         map[string]*hostedPool // by service
	pending       map[uint64]*Waiter     // requests without an outcome, by their seq
	seq           uint64                 // of the last Waiter
	origins       uint64                 // number of origins generated so far
	heartbeatAt   time.Time              // next heartbeats
	compareAt     time.Time              // next check for pools with an exchange due
	announcements announcementTable
	handovers     []handover // handovers to be retried
}

// New returns a coordinator. Run starts it.
func New(options Options) *Coordinator {
	if options.CompareInterval <= 0 {
		options.CompareInterval = DefaultCompareInterval
	}
	if options.CompareBytesPerSecond <= 0 {
		options.CompareBytesPerSecond = DefaultCompareBytesPerSecond
	}
	now := options.Clock.Now()
	c := &Coordinator{
		options: options,
		clock:   options.Clock,
		log:     options.Log,
		metrics: newMetrics(options.Registry),
		peers:   newPeers(options.Client),
		events:  make(chan func(), eventQueueLength),
		launch:  func(work func()) { go work() },
		done:    make(chan struct{}),
		self:    scheduler.RouterID{Name: options.Name, Incarnation: options.Incarnation},
		detector: detector.New(now, detector.Options{
			Self: detector.Member{
				Name: options.Name, Zone: options.Zone, Incarnation: options.Incarnation, Address: options.Address,
			},
			Seeds: options.Seeds, Heartbeat: options.Heartbeat, SuspectAfter: options.SuspectAfter,
		}),
		poolClients: make(map[string]*poolClient),
		pools:       make(map[string]*hostedPool),
		pending:     make(map[uint64]*Waiter),
	}
	if c.options.Heartbeat <= 0 {
		c.options.Heartbeat = detector.DefaultHeartbeat
	}
	if c.options.SuspectAfter <= 0 {
		c.options.SuspectAfter = detector.DefaultSuspectAfter
	}
	return c
}

// Run is the control goroutine. It returns when the context ends.
func (c *Coordinator) Run(ctx context.Context) {
	defer close(c.done)
	timer := c.clock.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-c.events:
			event()
			c.drainQueue()
		case <-timer.Chan():
		}
		next := c.step(c.clock.Now())
		timer.Reset(max(0, next.Sub(c.clock.Now())))
	}
}

// drainQueue handles the queued events, so that many events form one batch.
func (c *Coordinator) drainQueue() {
	for range eventQueueLength {
		select {
		case event := <-c.events:
			event()
		default:
			return
		}
	}
}

// post sends an event to the control goroutine. The event is dropped if that
// goroutine has ended, since no decision is left to make.
func (c *Coordinator) post(event func()) {
	select {
	case c.events <- event:
	case <-c.done:
	}
}

// do runs a function on the control goroutine and waits for it. It returns
// false if the goroutine has ended or the context ends first.
func (c *Coordinator) do(ctx context.Context, event func()) bool {
	ran := make(chan struct{})
	c.post(func() {
		event()
		close(ran)
	})
	select {
	case <-ran:
		return true
	case <-ctx.Done():
		return false
	case <-c.done:
		return false
	}
}

// step advances the control state to now, sends pending calls, and returns the time
// of the next step if no event comes before.
func (c *Coordinator) step(now time.Time) time.Time {
	if !now.Before(c.heartbeatAt) {
		c.heartbeatAt = now.Add(c.options.Heartbeat)
		c.sendHeartbeats(c.detector.Tick(now))
	}
	if c.detector.Stalls() != c.handledStalls {
		c.handledStalls = c.detector.Stalls()
		c.resetAfterStall(now)
	}
	if c.detector.Version() != c.version {
		c.version = c.detector.Version()
		c.applyMembership(now)
	}
	if !now.Before(c.compareAt) {
		c.compareAt = now.Add(c.options.CompareInterval)
		c.compare(now)
	}
	next := earliest(c.heartbeatAt, c.compareAt)
	next = earliest(next, c.stepAnnouncements(now))
	next = earliest(next, c.retryHandovers(now))
	next = earliest(next, c.stepPoolClients(now))
	// Pools come last, because the previous steps may have caused grants.
	return earliest(next, c.stepPools(now))
}

// earliest returns the earlier of two times. A zero time means never.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// resetAfterStall drops all pools. While this process stalled, other routers took
// its pools over and gave their slots to other requests, so its state is stale.
func (c *Coordinator) resetAfterStall(now time.Time) {
	c.log.Warn().Msg("this process stood still for longer than its lease; dropping its pools, which other routers may have taken over")
	clear(c.pools)
	for _, pc := range c.poolClients {
		pc.enlister.Restart(now)
	}
}

// applyMembership acts on a change of the membership lists: it updates the
// schedulers in use and hands over the pools that belong to another router.
func (c *Coordinator) applyMembership(now time.Time) {
	c.metrics.live.Set(float64(len(c.detector.Live())))
	var peers []netip.AddrPort
	for _, m := range c.detector.Live() {
		if m.Name != c.self.Name {
			peers = append(peers, m.Address)
		}
	}
	c.livePeers.Store(&peers)
	for _, pc := range c.poolClients {
		c.reassign(now, pc)
	}
	for _, h := range c.pools {
		if owner, found := c.owner(h.service); found && owner.Name != c.self.Name {
			c.handOver(now, h, owner)
		}
	}
	c.checkRouters(now)
	c.rescale(now)
	c.reannounce(now)
}

// owner returns the router that schedules this zone's pool of a service.
func (c *Coordinator) owner(service string) (detector.Member, bool) {
	if c.options.Standalone {
		return c.detector.Self(), true
	}
	return c.detector.Owner(c.options.Zone, service)
}

// origin returns a number that identifies one incarnation of a scheduler in the
// whole fleet. It has 40 bits to keep messages short; the few origins of a service
// collide with a probability of one in a million million incarnations.
func (c *Coordinator) origin(service string) uint64 {
	const bits = 40
	c.origins++
	hash := xxhash.New()
	_, _ = hash.WriteString(c.options.Zone + "\x00" + service + "\x00" + c.self.Name)
	_, _ = hash.WriteString(time.Unix(0, int64(c.self.Incarnation+c.origins)).String())
	return max(1, hash.Sum64()>>(64-bits))
}

// SetRules applies new rules to all pools.
func (c *Coordinator) SetRules(rules *matcher.Rules) {
	c.post(func() {
		c.rules = rules
		now := c.clock.Now()
		for service, h := range c.pools {
			if c.plain(service) != h.plain {
				// The units of its counters have changed. Routers and endpoints
				// register with a new pool.
				delete(c.pools, service)
				continue
			}
			h.registrar.Apply(now, scheduler.Configured{Rules: rules})
		}
	})
}

// Leave announces that this router is about to stop, and hands its pools over.
func (c *Coordinator) Leave(ctx context.Context) {
	c.do(ctx, func() {
		c.log.Info().Int("pools", len(c.pools)).Msg("router is leaving; handing its pools over to other routers")
		c.sendHeartbeats(c.detector.Leave())
	})
}

// Peers returns the control addresses of other routers, live ones first, then the
// seeds.
func (c *Coordinator) Peers() []netip.AddrPort {
	var peers []netip.AddrPort
	if live := c.livePeers.Load(); live != nil {
		peers = append(peers, *live...)
	}
	return append(peers, c.options.Seeds...)
}

// Peer returns the membership client of another router.
func (c *Coordinator) Peer(address netip.AddrPort) messenger.Membership {
	return c.peers.get(address).membership
}

// Flush waits until the schedulers have acknowledged the end of every request, or
// the context ends. A scheduler without that acknowledgement frees the slots when
// the router's lease expires.
func (c *Coordinator) Flush(ctx context.Context) {
	const pollInterval = 10 * time.Millisecond
	for flushed := false; !flushed && ctx.Err() == nil; {
		ran := c.do(ctx, func() {
			flushed = true
			for _, pc := range c.poolClients {
				flushed = flushed && pc.enlister.EndingsDelivered()
			}
		})
		if !ran || flushed {
			return
		}
		select {
		case <-ctx.Done():
		case <-c.clock.After(pollInterval):
		}
	}
}

// Alive reports whether the control goroutine answers before the context ends.
func (c *Coordinator) Alive(ctx context.Context) bool {
	return c.do(ctx, func() {})
}

// Ready reports whether this router has joined its zone: it has had contact with
// another router, or the time to wait for contact has passed.
func (c *Coordinator) Ready() bool {
	return c.settled.Load()
}
