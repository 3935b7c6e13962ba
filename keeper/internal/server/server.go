// Package server is a keeper's shell: the control loop around a driver, the
// calls of the other processes, health checks and metrics.
//
// Invariants: one goroutine, the control loop, touches the driver; every other
// goroutine hands it functions to run and waits for their answers. All that
// waits in the loop's inbox is run before one flush, so that calls that come
// together share a sync. Every queue and table here is bounded.
package server

import (
	"context"
	"errors"
	"hash/maphash"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"shallotkeel.example/keeper/internal/applier"
	"shallotkeel.example/keeper/internal/driver"
	"shallotkeel.example/keeper/internal/sender"
	"shallotkeel.example/keeper/internal/settings"
	"shallotkeel.example/lib/damper"
	"shallotkeel.example/lib/dialer"
	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/pacer"
	"shallotkeel.example/lib/recorder"
	"shallotkeel.example/lib/replicator"
	"shallotkeel.example/lib/resolver"
	"shallotkeel.example/lib/subscriber"
)

const (
	// inboxLength bounds what waits for the control loop.
	inboxLength = 4096
	// ticksPerHeartbeat makes heartbeats punctual to a part of their pause.
	ticksPerHeartbeat = 2
	// stopGrace is how long calls in progress may take at a planned stop.
	stopGrace = 3 * time.Second
	// handoverElections is how many election timeouts a handover may take.
	handoverElections = 2
)

// ErrStopping means that this keeper is being stopped.
var ErrStopping = merry.Sentinel("this keeper is stopping")

// event is something for the control loop to do.
type event func(now time.Time, d *driver.Driver)

// Server is one keeper.
type Server struct {
	settings *settings.Settings
	log      zerolog.Logger
	clock    clockwork.Clock
	timing   replicator.Timing
	bound    time.Duration // of a call that needs a quorum

	inbox    chan event
	stopping chan struct{} // closed when a planned stop begins
	stopped  chan struct{} // closed when the control loop has ended
	written  chan snapshotWritten

	sender  *sender.Sender
	client  *http.Client
	bytes   dialer.Counter
	keepers keepers
	routers routers
	retired retired
	// directory, followed and bulletin serve the list of endpoints and the plan.
	directory directory
	files     recorder.FileSystem // nil in tests without a disk
	followed  *subscriber.Subscriber
	bulletin  bulletin
	roster    roster
	turns     turns
	pacer     pacer.Pacer // of this process
	unusable  damper.Damper
	unwritten damper.Damper // copies of the list that failed
	naming    naming
	platform  Platform
	epoch     uint64
	// seeds are the settings' own until the file changes.
	seeds atomic.Pointer[[]netip.AddrPort]
	watch watch
	// leadership is woken whenever the known leader changes.
	leadership watch
	view       atomic.Pointer[view]
	metrics    *metrics
}

// view is what the control loop last published for everyone to read.
type view struct {
	status     replicator.Status
	quorumAt   time.Time // when there was contact with a quorum last
	full       bool
	revision   uint64
	quarantine uint64
	claims     int
	applied    uint64
	diskBytes  int64
	plan       *messenger.Plan
	zones      applier.Evacuations
	counters   driver.Counters
	dropped    uint64
}

type snapshotWritten struct {
	snapshot *driver.Snapshot
	err      error
}

// Platform is the interface that a keeper serves on a platform. It is used only
// where the settings name an address for it.
type Platform struct {
	// Handler serves the platform's operators and endpoints.
	Handler func(Planner) http.Handler
	// Services returns the services of a configuration.
	Services func(text []byte) ([]resolver.Service, error)
}

// Run runs a keeper until the context ends, and then stops it gracefully. An
// error means that it could not start or had to stop.
func Run(ctx context.Context, s *settings.Settings, log zerolog.Logger, clock clockwork.Clock, platform Platform) error {
	folder, err := recorder.OpenFolder(s.Data)
	if err != nil {
		return err
	}
	defer closeAndLog(folder, log)
	server := newServer(s, log, clock)
	server.platform, server.files = platform, folder
	defer server.sender.Close()
	d, err := driver.Open(driver.Config{
		Files: folder, Timing: server.timing, Transport: server.sender,
		Random: randomSource(), Mint: mint,
	}, clock.Now())
	if err != nil {
		return err
	}
	defer closeAndLog(d, log)
	server.restore()
	return server.serve(ctx, d)
}

// closeAndLog closes something whose work is done: an error changes nothing.
func closeAndLog(closer io.Closer, log zerolog.Logger) {
	if err := closer.Close(); err != nil {
		log.Debug().Err(err).Msg("close failed")
	}
}

func newServer(s *settings.Settings, log zerolog.Logger, clock clockwork.Clock) *Server {
	server := &Server{
		settings: s, log: log, clock: clock, timing: s.Agreement(), bound: proposalTimeout,
		inbox:    make(chan event, inboxLength),
		stopping: make(chan struct{}),
		stopped:  make(chan struct{}),
		written:  make(chan snapshotWritten, 1),
	}
	server.client = dialer.Client(s.Secret, &server.bytes)
	server.keepers.client = server.client
	server.sender = sender.New(server.client, s.Control.String(), server.timing.Election)
	server.epoch = uint64(mint())
	server.turns = make(turns, pollsAtOnce)
	seeds := s.SeedAddresses()
	server.seeds.Store(&seeds)
	if s.Platform != nil {
		server.directory.list.Interval = s.Platform.Heartbeat.Duration
		server.directory.lessor.Start(clock.Now())
	}
	server.followed = subscriber.New(subscriber.Options{
		Host: colleagues{Server: server, heard: &told{}}, Clock: clock, Log: log, Own: s.Address(), Wait: subscriber.LeastWait,
		Dial: func(address netip.AddrPort) messenger.Planning { return server.keepers.at(address.String()) },
	})
	server.bulletin.clock, server.bulletin.readers = clock, server.directory.size
	server.metrics = newMetrics(server)
	server.view.Store(&view{quorumAt: clock.Now()})
	return server
}

// randomSource spreads election timeouts; it must differ between keepers.
func randomSource() *rand.Rand {
	return rand.New(rand.NewPCG(new(maphash.Hash).Sum64(), rand.Uint64()))
}

// mint makes the identity of a new disk.
func mint() replicator.ID {
	for {
		if id := replicator.ID(rand.Uint64()); id != 0 {
			return id
		}
	}
}

// serve listens, runs the control loop and stops everything in order.
func (s *Server) serve(ctx context.Context, d *driver.Driver) error {
	control, err := net.Listen("tcp", s.settings.Control.String())
	if err != nil {
		return merry.Errorf("control address: %w; set \"control\" to a free address of this instance", err)
	}
	defer control.Close()
	public, err := net.Listen("tcp", s.settings.Listen.String())
	if err != nil {
		return merry.Errorf("listen address: %w; set \"listen\" to a free address of this instance", err)
	}
	defer public.Close()

	failures := make(chan error, 4)
	loopCtx, endLoop := context.WithCancel(context.Background())
	defer endLoop()
	go func() { failures <- s.loop(loopCtx, d) }()

	controlServer := dialer.Server(s.settings.Secret, s.controlHandler())
	publicServer := &http.Server{Handler: s.publicHandler(), ReadHeaderTimeout: stopGrace}
	go func() { failures <- controlServer.Serve(dialer.Listener(control, &s.bytes)) }()
	go func() { failures <- publicServer.Serve(public) }()

	servers := []*http.Server{controlServer, publicServer}
	if s.settings.Platform != nil {
		server, err := s.servePlatform(failures)
		if err != nil {
			return err
		}
		servers = append(servers, server)
	}
	var keeping sync.WaitGroup
	keepCtx, endKeep := context.WithCancel(context.Background())
	keeping.Go(func() {
		if err := s.maintain(keepCtx); err != nil {
			failures <- err
		}
	})
	if s.settings.Platform != nil {
		keeping.Go(func() { s.keepDirectory(keepCtx) })
	}
	s.log.Info().Str("name", s.settings.Name).Str("control", control.Addr().String()).Msg("keeper started")

	var failure error
	select {
	case <-ctx.Done():
	case failure = <-failures:
	}
	endKeep()
	keeping.Wait()
	s.stop(servers, failure == nil)
	endLoop()
	<-s.stopped
	return failure
}

// stop hands leadership over, answers long polls, and waits for calls in
// progress, so that a planned stop costs no one an election timeout.
func (s *Server) stop(servers []*http.Server, graceful bool) {
	close(s.stopping)
	if graceful {
		s.handOver()
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopGrace)
	defer cancel()
	for _, server := range servers {
		if err := server.Shutdown(ctx); err != nil {
			s.log.Warn().Err(err).Msg("calls were cut off at the stop; raise the callers' patience or stop later")
			closeAndLog(server, s.log)
		}
	}
	s.log.Info().Msg("keeper stopped")
}

func (s *Server) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), handoverElections*s.timing.Election)
	defer cancel()
	transferring, err := ask(ctx, s, func(now time.Time, d *driver.Driver) bool { return d.Transfer(now) })
	if err != nil || !transferring {
		return
	}
	for ctx.Err() == nil && s.view.Load().status.State == replicator.Leader {
		if s.pause(ctx, s.timing.Heartbeat/ticksPerHeartbeat) != nil {
			return
		}
	}
}

// pause sleeps on the injected clock.
func (s *Server) pause(ctx context.Context, length time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-s.clock.After(length):
		return nil
	}
}

// loop is the control loop.
func (s *Server) loop(ctx context.Context, d *driver.Driver) error {
	defer close(s.stopped)
	ticker := s.clock.NewTicker(s.timing.Heartbeat / ticksPerHeartbeat)
	defer ticker.Stop()
	for {
		if err := s.turn(d); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
			d.Tick(s.clock.Now())
		case first := <-s.inbox:
			s.drain(d, first)
		case written := <-s.written:
			if err := d.SnapshotWritten(written.snapshot, written.err); err != nil {
				return err
			}
		}
	}
}

// drain runs what has gathered in the inbox, but no more than fits into it, so
// that a flood of calls does not keep the loop from flushing.
func (s *Server) drain(d *driver.Driver, first event) {
	first(s.clock.Now(), d)
	for range len(s.inbox) {
		(<-s.inbox)(s.clock.Now(), d)
	}
}

// turn makes one batch durable and publishes what it changed.
func (s *Server) turn(d *driver.Driver) error {
	if err := d.Flush(s.clock.Now()); err != nil {
		return err
	}
	snapshot, err := d.TakeSnapshot()
	if err != nil {
		return err
	}
	if snapshot != nil {
		go func() { s.written <- snapshotWritten{snapshot: snapshot, err: snapshot.Write()} }()
	}
	s.publish(d)
	return nil
}

// publish shows the driver's state to the other goroutines and logs changes.
func (s *Server) publish(d *driver.Driver) {
	now := s.clock.Now()
	next := &view{
		status: d.Status(now), full: d.Full(),
		revision:   d.State().Configuration().Revision(),
		quarantine: d.State().QuarantineRevision(),
		claims:     d.State().Claims(), applied: d.Applied(),
		plan: d.State().Plan(), zones: d.State().Evacuations(),
		diskBytes: d.DiskBytes(), counters: d.Counters(), dropped: s.sender.Dropped(),
	}
	next.quorumAt = s.view.Load().quorumAt
	if next.status.Quorum {
		next.quorumAt = now
	}
	// Before the view is shown: who hears that a zone is taken back must not find its endpoints warm.
	if shown := s.view.Load().zones; shown.Revision != next.zones.Revision {
		s.chillReturning(shown.Zones, next.zones)
	}
	last := s.view.Swap(next)
	s.retired.note(last.status.Group, next.status.Group)
	for _, replica := range next.status.Group {
		s.sender.Learn(replica.ID, replica.Address)
	}
	if last.revision != next.revision || last.quarantine != next.quarantine {
		s.watch.wake()
	}
	if last.plan.GetVersion() != next.plan.GetVersion() {
		s.log.Info().Uint64("version", next.plan.GetVersion()).Uint64("before", last.plan.GetVersion()).Msg("plan in force")
		s.bulletin.wake(true)
	}
	if last.zones.Revision != next.zones.Revision {
		s.bulletin.wake(true)
	}
	if last.status.Leader != next.status.Leader {
		s.leadership.wake()
	}
	s.logChanges(last, next)
}

func (s *Server) logChanges(last, next *view) {
	if last.status.State != next.status.State || last.status.Leader != next.status.Leader {
		s.log.Info().Stringer("state", next.status.State).Uint64("term", next.status.Term).
			Str("leader", nameOf(next.status.Group, next.status.Leader)).Msg("leadership changed")
	}
	if last.status.Quorum != next.status.Quorum {
		s.log.Info().Bool("quorum", next.status.Quorum).Msg("contact with the quorum changed")
	}
	if last.full != next.full {
		s.log.Warn().Bool("full", next.full).Msg("room on the disk changed; a full disk keeps this keeper out of the group")
	}
}

func nameOf(group replicator.Group, id replicator.ID) string {
	replica, found := group.Find(id)
	if !found {
		return ""
	}
	return replica.Name
}

// post hands an event to the control loop.
func (s *Server) post(ctx context.Context, e event) error {
	select {
	case s.inbox <- e:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-s.stopped:
		return ErrStopping
	}
}

// ask runs a function in the control loop and returns its answer.
func ask[T any](ctx context.Context, s *Server, question func(time.Time, *driver.Driver) T) (T, error) {
	answer := make(chan T, 1)
	var none T
	err := s.post(ctx, func(now time.Time, d *driver.Driver) { answer <- question(now, d) })
	if err != nil {
		return none, err
	}
	select {
	case got := <-answer:
		return got, nil
	case <-ctx.Done():
		return none, ctx.Err()
	case <-s.stopped:
		return none, ErrStopping
	}
}

// outcome is an answer that comes later than the event that asked for it.
type outcome[T any] struct {
	value T
	err   error
}

// await runs a function in the control loop and waits until it has been told
// the outcome, which may be many turns later.
func await[T any](ctx context.Context, s *Server, begin func(time.Time, *driver.Driver, func(T, error))) (T, error) {
	answer := make(chan outcome[T], 1)
	var none T
	err := s.post(ctx, func(now time.Time, d *driver.Driver) {
		begin(now, d, func(value T, err error) { answer <- outcome[T]{value: value, err: err} })
	})
	if err != nil {
		return none, err
	}
	select {
	case got := <-answer:
		return got.value, got.err
	case <-ctx.Done():
		return none, errors.Join(driver.ErrUnknown, ctx.Err())
	case <-s.stopped:
		return none, errors.Join(driver.ErrUnknown, ErrStopping)
	}
}

// keepers makes clients of the other keepers.
type keepers struct {
	client *http.Client
	lock   sync.Mutex
	byAddr map[string]colleague
}

// colleague is another keeper's calls.
type colleague struct {
	messenger.Keeping
	messenger.Planning
}

// maxKeepers bounds the clients that are kept.
const maxKeepers = 256

func (k *keepers) at(address string) colleague {
	k.lock.Lock()
	defer k.lock.Unlock()
	known, found := k.byAddr[address]
	if found {
		return known
	}
	if k.byAddr == nil || len(k.byAddr) >= maxKeepers {
		k.byAddr = make(map[string]colleague)
	}
	known = colleague{
		Keeping:  messenger.NewKeepingProtobufClient("http://"+address, k.client),
		Planning: messenger.NewPlanningProtobufClient("http://"+address, k.client),
	}
	k.byAddr[address] = known
	return known
}
