// Package conductor is a router's control state and the one goroutine that
// owns it: the list of live routers, the router's ends of the pools that its
// requests wait for, and the pools whose scheduler this router is.
//
// Everything that happens is a function sent to that goroutine; calls to other
// routers run in goroutines of their own and send their result back the same
// way. Decisions are made by the pure machines of the packages detector,
// enlister and scheduler.
//
// Invariants: no control state is touched by another goroutine; at most one
// call for each enlister and one for each session of a desk is in flight, and
// every call has a timeout; a pool that this router no longer schedules is
// handed over and forgotten, and so are all pools after this process stood
// still for longer than the others wait before they take its pools over.
package conductor

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
	// callTimeout bounds a call between routers. It is well above a round trip
	// and below the time in which a dead scheduler is replaced.
	callTimeout = 700 * time.Millisecond
	// DefaultCompare is the least time between two exchanges with other zones.
	DefaultCompare = 100 * time.Millisecond
	// DefaultCompareBytes is for fleets of today's size, whose requests leave most
	// of a node's 29 KB/s. At the target size they do not: see docs/CAPACITY.md.
	DefaultCompareBytes = 20000
	queueLength         = 1024
	// tickPause is the least time between two Ticks of a pool.
	tickPause = 5 * time.Millisecond
)

// Options are what a Conductor is made of.
type Options struct {
	Name        string
	Zone        string
	Incarnation uint64
	Address     netip.AddrPort // of the control listener
	Seeds       []netip.AddrPort
	// Alone makes this router the scheduler of its own requests: the baseline.
	Alone        bool
	Heartbeat    time.Duration
	SuspectAfter time.Duration
	Compare      time.Duration
	// CompareBytes is the bytes a second for exchanges between zones;
	// DefaultCompareBytes if zero.
	CompareBytes int
	Client       *http.Client
	Clock        clockwork.Clock
	Log          zerolog.Logger
	Registry     *prometheus.Registry
	// Leaser and Sender let this router order the engines of its pools; without
	// them it gives no orders.
	Leaser commander.Leaser
	Sender commander.Sender
}

// Conductor owns a router's control state.
type Conductor struct {
	options Options
	clock   clockwork.Clock
	log     zerolog.Logger
	metrics *metrics
	peers   *peers
	events  chan func()
	launch  func(func()) // runs a call beside the control goroutine
	done    chan struct{}
	contact atomic.Bool
	// others are the control addresses of the zone's other live routers.
	others atomic.Pointer[[]netip.AddrPort]

	// Below is touched by the control goroutine only.
	self     scheduler.RouterID
	detector *detector.Detector
	version  uint64 // of the detector's lists, as last acted upon
	thawed   uint64
	rules    *matcher.Rules
	lines    map[string]*line
	pools    map[string]*hosted
	pending  map[uint64]*Waiter
	seq      uint64
	origins  uint64
	beatAt   time.Time
	roundAt  time.Time
	rounds   uint32
	announce announced
	passing  []passing // handovers to try again
}

// New returns a conductor; Run makes it work.
func New(options Options) *Conductor {
	if options.Compare <= 0 {
		options.Compare = DefaultCompare
	}
	if options.CompareBytes <= 0 {
		options.CompareBytes = DefaultCompareBytes
	}
	now := options.Clock.Now()
	c := &Conductor{
		options: options,
		clock:   options.Clock,
		log:     options.Log,
		metrics: newMetrics(options.Registry),
		peers:   newPeers(options.Client),
		events:  make(chan func(), queueLength),
		launch:  func(work func()) { go work() },
		done:    make(chan struct{}),
		self:    scheduler.RouterID{Name: options.Name, Incarnation: options.Incarnation},
		detector: detector.New(now, detector.Options{
			Self: detector.Member{
				Name: options.Name, Zone: options.Zone, Incarnation: options.Incarnation, Address: options.Address,
			},
			Seeds: options.Seeds, Heartbeat: options.Heartbeat, SuspectAfter: options.SuspectAfter,
		}),
		lines:   make(map[string]*line),
		pools:   make(map[string]*hosted),
		pending: make(map[uint64]*Waiter),
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
func (c *Conductor) Run(ctx context.Context) {
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

// drainQueue takes what has queued up, so that many events make one batch.
func (c *Conductor) drainQueue() {
	for range queueLength {
		select {
		case event := <-c.events:
			event()
		default:
			return
		}
	}
}

// post sends an event to the control goroutine. It is dropped once that has
// ended, since nothing is left to be decided then.
func (c *Conductor) post(event func()) {
	select {
	case c.events <- event:
	case <-c.done:
	}
}

// do runs a function on the control goroutine and waits for it. It returns
// false if the goroutine has ended or the context ends first.
func (c *Conductor) do(ctx context.Context, event func()) bool {
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

// step lets time pass, sends what there is to send, and returns when the next
// step is due if nothing else happens.
func (c *Conductor) step(now time.Time) time.Time {
	if !now.Before(c.beatAt) {
		c.beatAt = now.Add(c.options.Heartbeat)
		c.sendBeats(c.detector.Tick(now))
	}
	if c.detector.Thawed() != c.thawed {
		c.thawed = c.detector.Thawed()
		c.thaw(now)
	}
	if c.detector.Version() != c.version {
		c.version = c.detector.Version()
		c.regroup(now)
	}
	if !now.Before(c.roundAt) {
		c.roundAt = now.Add(c.options.Compare)
		c.compare(now)
	}
	next := earliest(c.beatAt, c.roundAt)
	next = earliest(next, c.stepAnnounced(now))
	next = earliest(next, c.stepPassing(now))
	next = earliest(next, c.stepLines(now))
	// Pools come last: whatever the others brought may have made grants.
	return earliest(next, c.stepPools(now))
}

// earliest ignores zero times, which mean never.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// thaw forgets all pools. While this process stood still, others took its
// pools over and gave their slots to other requests; what it knows is old.
func (c *Conductor) thaw(now time.Time) {
	c.log.Warn().Msg("this process stood still for longer than its lease; its pools start anew")
	clear(c.pools)
	for _, l := range c.lines {
		l.enlister.Restart(now)
	}
}

// regroup follows a change of the lists of routers.
func (c *Conductor) regroup(now time.Time) {
	c.metrics.live.Set(float64(len(c.detector.Live())))
	var others []netip.AddrPort
	for _, m := range c.detector.Live() {
		if m.Name != c.self.Name {
			others = append(others, m.Address)
		}
	}
	c.others.Store(&others)
	for _, l := range c.lines {
		c.reassign(now, l)
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

// owner is the router that schedules this zone's pool of a service.
func (c *Conductor) owner(service string) (detector.Member, bool) {
	if c.options.Alone {
		return c.detector.Self(), true
	}
	return c.detector.Owner(c.options.Zone, service)
}

// origin makes a number that names one scheduler's life in the whole fleet.
// Forty bits keep it short in every message; two of the few origins of a
// service meet by chance once in a million million lives.
func (c *Conductor) origin(service string) uint64 {
	const bits = 40
	c.origins++
	hash := xxhash.New()
	_, _ = hash.WriteString(c.options.Zone + "\x00" + service + "\x00" + c.self.Name)
	_, _ = hash.WriteString(time.Unix(0, int64(c.self.Incarnation+c.origins)).String())
	return max(1, hash.Sum64()>>(64-bits))
}

// Configured passes new rules on to all pools.
func (c *Conductor) Configured(rules *matcher.Rules) {
	c.post(func() {
		c.rules = rules
		now := c.clock.Now()
		for service, h := range c.pools {
			if c.plain(service) != h.plain {
				// Its units mean something else now: routers and endpoints come again.
				delete(c.pools, service)
				continue
			}
			h.desk.Apply(now, scheduler.Configured{Rules: rules})
		}
	})
}

// Leave announces that this router is about to stop, and hands its pools over.
func (c *Conductor) Leave(ctx context.Context) {
	c.do(ctx, func() {
		c.log.Info().Int("pools", len(c.pools)).Msg("leaving; handing pools over")
		c.sendBeats(c.detector.Leave())
	})
}

// Peers lists the control addresses of other routers, live ones first.
func (c *Conductor) Peers() []netip.AddrPort {
	var peers []netip.AddrPort
	if others := c.others.Load(); others != nil {
		peers = append(peers, *others...)
	}
	return append(peers, c.options.Seeds...)
}

// Peer returns the client of another router.
func (c *Conductor) Peer(address netip.AddrPort) messenger.Membership {
	return c.peers.get(address).membership
}

// Flush waits until the schedulers have heard of every ending, or the context
// ends; a scheduler that has not frees the slots when the router's lease ends.
func (c *Conductor) Flush(ctx context.Context) {
	const pause = 10 * time.Millisecond
	for quiet := false; !quiet && ctx.Err() == nil; {
		ran := c.do(ctx, func() {
			quiet = true
			for _, l := range c.lines {
				quiet = quiet && l.enlister.EndingsDelivered()
			}
		})
		if !ran || quiet {
			return
		}
		select {
		case <-ctx.Done():
		case <-c.clock.After(pause):
		}
	}
}

// Alive tells whether the control goroutine answers before the context ends.
func (c *Conductor) Alive(ctx context.Context) bool {
	return c.do(ctx, func() {})
}

// Ready tells whether this router has settled into its zone: it has heard
// another router, or there was time enough to.
func (c *Conductor) Ready() bool {
	return c.contact.Load()
}
