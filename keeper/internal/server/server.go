// Package server runs a keeper process: the control loop around a driver, the
// RPC handlers for other processes, health checks and metrics.
//
// Invariants: only one goroutine, the control loop, accesses the driver; every
// other goroutine hands it functions to run and waits for their results. All
// tasks queued in the loop's inbox run before a single flush, so that concurrent
// calls share one disk sync. Every queue and table in this package is bounded.
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
	// inboxLength bounds the tasks queued for the control loop.
	inboxLength = 4096
	// ticksPerHeartbeat is the number of control loop ticks per heartbeat interval. It
	// bounds the delay of a heartbeat to that fraction of the interval.
	ticksPerHeartbeat = 2
	// stopGrace is how long in-flight calls may take to finish during a graceful shutdown.
	// It also is the timeout for reading the headers of a request.
	stopGrace = 3 * time.Second
	// maxHeaderBytes bounds the headers of a request from outside of the fleet, which the server holds in
	// memory; those of endpoints and operators have some hundred bytes.
	maxHeaderBytes = 16 << 10
	// handoverElections is the timeout of a leadership transfer, in election timeouts.
	handoverElections = 2
)

// ErrStopping is returned for calls that reach a keeper during its shutdown.
var ErrStopping = merry.Sentinel("this keeper is stopping")

// task is a function that the control loop runs with exclusive access to the driver.
type task func(now time.Time, d *driver.Driver)

// Server is a running keeper.
type Server struct {
	settings    *settings.Settings
	log         zerolog.Logger
	clock       clockwork.Clock
	timing      replicator.Timing
	callTimeout time.Duration // timeout of a call that needs a quorum

	inbox           chan task            // tasks for the control loop
	stopping        chan struct{}        // closed when a graceful shutdown begins
	stopped         chan struct{}        // closed when the control loop has ended
	snapshotResults chan snapshotWritten // results of snapshots, read by the control loop

	sender  *sender.Sender
	client  *http.Client
	traffic dialer.Counter // bytes on control connections
	peers   peerClients
	routers routerTable // routers that poll this keeper for configuration
	retired retired     // former members of the group
	// directory holds the list of endpoints, subscriber follows the other keepers, and updates
	// wakes the followers of this keeper after changes of the list or of the plan.
	directory       directory
	files           recorder.FileSystem // data folder; nil in tests without a disk
	subscriber      *subscriber.Subscriber
	updates         updateNotifier
	membership      membershipCache // members of the group, as sent to followers
	pollSlots       pollSlots       // bounds the polls processed at the same time
	pacer           pacer.Pacer     // measures the scheduling delay of this process
	heartbeatDamper damper.Damper   // limits log lines about unusable heartbeats and listings
	archiveDamper   damper.Damper   // limits log lines about failed copies of the list
	callDamper      damper.Damper   // limits log lines about calls of other processes that failed here
	serviceCache    serviceCache    // services of the plan in force
	platform        Platform
	epoch           uint64 // identifies this run of the keeper to its followers
	// seeds are the seeds of the settings file as last read.
	seeds atomic.Pointer[[]netip.AddrPort]
	// configurationChanged is notified of each new revision of the configuration or of the list
	// of quarantined fingerprints.
	configurationChanged broadcast
	// leadershipChanged is notified whenever the known leader changes.
	leadershipChanged broadcast
	view              atomic.Pointer[view]
	// unconfirmedDepartures counts announcements of departures that were not acknowledged.
	unconfirmedDepartures atomic.Uint64
	// failedCalls counts calls of other processes that failed here.
	failedCalls atomic.Uint64
	metrics     *metrics
}

// view is the snapshot of the driver's state that the control loop published last. Other
// goroutines read it without involving the loop.
type view struct {
	status             replicator.Status
	lastQuorum         time.Time // time of the last contact with a quorum
	diskFull           bool
	revision           uint64 // of the configuration
	quarantineRevision uint64 // of the list of quarantined fingerprints
	departuresRevision uint64 // number of endpoints' departures
	claims             int    // number of remembered idempotency keys
	appliedIndex       uint64 // index of the last applied log entry
	diskBytes          int64  // size of the log on disk
	plan               *messenger.Plan
	evacuations        applier.Evacuations
	counters           driver.Counters
	droppedMessages    uint64 // replication messages that were not delivered
}

// snapshotWritten is the result of writing a snapshot outside the control loop.
type snapshotWritten struct {
	snapshot *driver.PendingSnapshot
	err      error
}

// Platform adapts a keeper to the platform that it runs on. It is used only if the
// settings contain an address for it.
type Platform struct {
	// Handler returns the HTTP handler for the platform's operators and endpoints.
	Handler func(Planner) http.Handler
	// Services parses the services of a configuration. An error means that the text is invalid.
	Services func(text []byte) ([]resolver.Service, error)
}

// Run runs a keeper until the context ends, and then shuts it down gracefully. An
// error means that the keeper could not start or had to stop by itself.
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
		Random: randomSource(), NewID: newDiskID,
	}, clock.Now())
	if err != nil {
		return err
	}
	defer closeAndLog(d, log)
	server.restore()
	return server.serve(ctx, d)
}

// closeAndLog closes a resource that is no longer used. An error is only logged, because
// nothing depends on the resource any more.
func closeAndLog(closer io.Closer, log zerolog.Logger) {
	if err := closer.Close(); err != nil {
		log.Debug().Err(err).Msg("closing a resource at shutdown failed; ignored")
	}
}

func newServer(s *settings.Settings, log zerolog.Logger, clock clockwork.Clock) *Server {
	server := &Server{
		settings: s, log: log, clock: clock, timing: s.ReplicationTiming(), callTimeout: proposalTimeout,
		inbox:           make(chan task, inboxLength),
		stopping:        make(chan struct{}),
		stopped:         make(chan struct{}),
		snapshotResults: make(chan snapshotWritten, 1),
	}
	server.client = dialer.Client(s.Secret, &server.traffic)
	server.peers.client = server.client
	server.sender = sender.New(server.client, s.Control.String(), server.timing.ElectionTimeout)
	server.epoch = uint64(newDiskID())
	server.pollSlots = make(pollSlots, maxConcurrentPolls)
	seeds := s.SeedAddresses()
	server.seeds.Store(&seeds)
	if s.Platform != nil {
		server.directory.list.Interval = s.Platform.Heartbeat.Duration
		server.directory.lessor.Start(clock.Now())
	}
	server.subscriber = subscriber.New(subscriber.Options{
		Host: peerSubscription{Server: server, deliveries: &deliveryTimes{}}, Clock: clock, Log: log, Own: s.Address(), Wait: subscriber.MinWait,
		Dial: func(address netip.AddrPort) messenger.Planning { return server.peers.forAddress(address.String()) },
	})
	server.updates.clock, server.updates.followers = clock, server.directory.followerCount
	server.metrics = newMetrics(server)
	server.view.Store(&view{lastQuorum: clock.Now()})
	return server
}

// randomSource returns the source of the randomized election timeouts. Its seed must
// differ between keepers.
func randomSource() *rand.Rand {
	return rand.New(rand.NewPCG(new(maphash.Hash).Sum64(), rand.Uint64()))
}

// newDiskID returns a random non-zero identity for a new disk.
func newDiskID() replicator.ID {
	for {
		if id := replicator.ID(rand.Uint64()); id != 0 {
			return id
		}
	}
}

// serve listens, runs the control loop and shuts all parts down in order. It returns the
// first failure of the loop, of a listener or of the membership maintenance.
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
	publicServer := &http.Server{Handler: s.publicHandler(), ReadHeaderTimeout: stopGrace, MaxHeaderBytes: maxHeaderBytes}
	go func() { failures <- controlServer.Serve(dialer.Listener(control, &s.traffic)) }()
	go func() { failures <- publicServer.Serve(public) }()

	servers := []*http.Server{controlServer, publicServer}
	if s.settings.Platform != nil {
		server, err := s.servePlatform(failures)
		if err != nil {
			return err
		}
		servers = append(servers, server)
	}
	var background sync.WaitGroup
	backgroundCtx, endBackground := context.WithCancel(context.Background())
	background.Go(func() {
		if err := s.maintainMembership(backgroundCtx); err != nil {
			failures <- err
		}
	})
	background.Go(func() { s.expireDirectory(backgroundCtx) })
	lastArchive, archiveWritten := make(chan struct{}), make(chan struct{})
	go func() {
		s.archive(lastArchive)
		close(archiveWritten)
	}()
	if s.settings.Platform != nil {
		background.Go(func() { s.runDirectory(backgroundCtx) })
	}
	s.log.Info().Str("name", s.settings.Name).Str("control", control.Addr().String()).Msg("keeper started")

	var failure error
	select {
	case <-ctx.Done():
	case failure = <-failures:
	}
	endBackground()
	background.Wait()
	s.stop(servers, failure == nil)
	close(lastArchive)
	s.awaitArchive(archiveWritten)
	endLoop()
	<-s.stopped
	return failure
}

// stop transfers leadership, answers long polls, and waits for in-flight calls, so that
// no caller waits for an election timeout after a graceful shutdown.
func (s *Server) stop(servers []*http.Server, graceful bool) {
	close(s.stopping)
	if graceful {
		s.handOver()
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopGrace)
	defer cancel()
	for _, server := range servers {
		if err := server.Shutdown(ctx); err != nil {
			s.log.Warn().Err(err).Msg("calls were cut off at the stop: they did not finish within the grace period; raise the timeouts of the callers or stop the keeper at a time of less load")
			closeAndLog(server, s.log)
		}
	}
	s.log.Info().Msg("keeper stopped")
}

// handOver transfers leadership to another keeper if this one leads, and waits until it
// has ceased to lead or the timeout ends.
func (s *Server) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), handoverElections*s.timing.ElectionTimeout)
	defer cancel()
	transferring, err := callLoop(ctx, s, func(now time.Time, d *driver.Driver) bool { return d.Transfer(now) })
	if err != nil || !transferring {
		return
	}
	for ctx.Err() == nil && s.view.Load().status.State == replicator.Leader {
		if s.pause(ctx, s.timing.HeartbeatInterval/ticksPerHeartbeat) != nil {
			return
		}
	}
}

// pause sleeps on the injected clock. It returns early with an error if the context ends.
func (s *Server) pause(ctx context.Context, length time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-s.clock.After(length):
		return nil
	}
}

// loop is the control loop: it ticks the driver, runs queued tasks and completes
// snapshots. It returns the first error of the driver.
func (s *Server) loop(ctx context.Context, d *driver.Driver) error {
	defer close(s.stopped)
	ticker := s.clock.NewTicker(s.timing.HeartbeatInterval / ticksPerHeartbeat)
	defer ticker.Stop()
	for {
		if err := s.commitBatch(d); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
			d.Tick(s.clock.Now())
		case first := <-s.inbox:
			s.drain(d, first)
		case written := <-s.snapshotResults:
			if err := d.SnapshotWritten(written.snapshot, written.err); err != nil {
				return err
			}
		}
	}
}

// drain runs the first task and the tasks that are queued in the inbox at that time. Their
// number is bounded by the inbox, so that a flood of calls does not delay the flush.
func (s *Server) drain(d *driver.Driver, first task) {
	first(s.clock.Now(), d)
	for range len(s.inbox) {
		(<-s.inbox)(s.clock.Now(), d)
	}
}

// commitBatch flushes one batch to disk, starts writing a snapshot if one is needed, and
// publishes the new state.
func (s *Server) commitBatch(d *driver.Driver) error {
	if err := d.Flush(s.clock.Now()); err != nil {
		return err
	}
	snapshot, err := d.TakeSnapshot()
	if err != nil {
		return err
	}
	if snapshot != nil {
		go func() { s.snapshotResults <- snapshotWritten{snapshot: snapshot, err: snapshot.Write()} }()
	}
	s.publish(d)
	return nil
}

// publish stores the driver's state in the view for other goroutines, wakes waiting calls
// and logs changes.
func (s *Server) publish(d *driver.Driver) {
	now := s.clock.Now()
	next := &view{
		status: d.Status(now), diskFull: d.DiskFull(),
		revision:           d.State().Configuration().Revision(),
		quarantineRevision: d.State().QuarantineRevision(),
		departuresRevision: d.State().DeparturesRevision(),
		claims:             d.State().ClaimCount(), appliedIndex: d.Applied(),
		plan: d.State().Plan(), evacuations: d.State().Evacuations(),
		diskBytes: d.DiskBytes(), counters: d.Counters(), droppedMessages: s.sender.Dropped(),
	}
	next.lastQuorum = s.view.Load().lastQuorum
	if next.status.Quorum {
		next.lastQuorum = now
	}
	// The endpoints are marked before the view is published: a reader that sees the end of a zone's
	// evacuation in the view must not find the zone's endpoints marked as warm.
	if published := s.view.Load().evacuations; published.Revision != next.evacuations.Revision {
		s.markReturnedZonesCold(published.Zones, next.evacuations)
	}
	// The list is changed before the view is published, so that no follower gets a listing that the
	// departures of this revision contradict.
	if applied := s.view.Load().departuresRevision; applied != next.departuresRevision {
		s.applyDepartures(now, d.State(), applied)
	}
	last := s.view.Swap(next)
	s.retired.update(last.status.Group, next.status.Group)
	for _, replica := range next.status.Group {
		s.sender.Learn(replica.ID, replica.Address)
	}
	if last.revision != next.revision || last.quarantineRevision != next.quarantineRevision {
		s.configurationChanged.notify()
	}
	if last.plan.GetVersion() != next.plan.GetVersion() {
		s.log.Info().Uint64("version", next.plan.GetVersion()).Uint64("before", last.plan.GetVersion()).Msg("plan in force")
		s.updates.notify(true)
	}
	if last.evacuations.Revision != next.evacuations.Revision {
		s.updates.notify(true)
	}
	if last.quarantineRevision != next.quarantineRevision {
		fingerprints, _ := d.State().Quarantined(d.Clock(now))
		if s.directory.applyReplicated(now, fingerprints) {
			s.updates.notify(true)
		}
	}
	if leads := next.status.State == replicator.Leader; leads != (last.status.State == replicator.Leader) {
		s.directory.setLeads(now, leads)
	}
	if last.status.Leader != next.status.Leader {
		s.leadershipChanged.notify()
	}
	s.logChanges(last, next)
}

// logChanges logs differences in leadership, quorum and disk space between two views.
func (s *Server) logChanges(last, next *view) {
	if last.status.State != next.status.State || last.status.Leader != next.status.Leader {
		s.log.Info().Stringer("state", next.status.State).Uint64("term", next.status.Term).
			Str("leader", nameOf(next.status.Group, next.status.Leader)).Msg("leadership changed")
	}
	if last.status.Quorum != next.status.Quorum {
		s.log.Info().Bool("quorum", next.status.Quorum).Msg("contact with a quorum of keepers changed")
	}
	if last.diskFull != next.diskFull {
		s.log.Warn().Bool("full", next.diskFull).Msg("room on the disk changed; while the disk is full this keeper takes no part in the group")
	}
}

// nameOf returns the name of a replica of the group, empty if the group has no such replica.
func nameOf(group replicator.Group, id replicator.ID) string {
	replica, found := group.Find(id)
	if !found {
		return ""
	}
	return replica.Name
}

// enqueue adds a task to the inbox of the control loop. It blocks while the inbox is full.
func (s *Server) enqueue(ctx context.Context, t task) error {
	select {
	case s.inbox <- t:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-s.stopped:
		return ErrStopping
	}
}

// callLoop runs a function in the control loop and returns its result.
func callLoop[T any](ctx context.Context, s *Server, call func(time.Time, *driver.Driver) T) (T, error) {
	answer := make(chan T, 1)
	var none T
	err := s.enqueue(ctx, func(now time.Time, d *driver.Driver) { answer <- call(now, d) })
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

// outcome is the result of an operation: a value or an error.
type outcome[T any] struct {
	value T
	err   error
}

// await runs a function in the control loop and waits until the function's callback receives
// the outcome, which may be many batches later. If the context or the loop ends first, the
// error contains driver.ErrUnknown: the operation may still take effect.
func await[T any](ctx context.Context, s *Server, begin func(time.Time, *driver.Driver, func(T, error))) (T, error) {
	answer := make(chan outcome[T], 1)
	var none T
	err := s.enqueue(ctx, func(now time.Time, d *driver.Driver) {
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

// peerClients creates and caches clients of the other keepers.
type peerClients struct {
	client *http.Client
	lock   sync.Mutex
	byAddr map[string]peerClient
}

// peerClient is the RPC client of another keeper.
type peerClient struct {
	messenger.Keeping
	messenger.Planning
}

// maxPeerClients bounds the cache of clients. The cache is emptied when it is full.
const maxPeerClients = 256

// forAddress returns the client of the keeper at a control address.
func (p *peerClients) forAddress(address string) peerClient {
	p.lock.Lock()
	defer p.lock.Unlock()
	known, found := p.byAddr[address]
	if found {
		return known
	}
	if p.byAddr == nil || len(p.byAddr) >= maxPeerClients {
		p.byAddr = make(map[string]peerClient)
	}
	known = peerClient{
		Keeping:  messenger.NewKeepingProtobufClient("http://"+address, p.client),
		Planning: messenger.NewPlanningProtobufClient("http://"+address, p.client),
	}
	p.byAddr[address] = known
	return known
}
