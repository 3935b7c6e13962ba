// Package follower maintains the configuration in force at a router: it follows
// the keepers by long polling, compiles the rules and acknowledges the revision in
// force.
//
// Invariants: the revision in force never decreases while the process runs; rules
// are replaced atomically, so that no request sees parts of two revisions; without
// a quorum the highest revision of any reachable keeper or router is in force, and
// Stale reports that it may be outdated.
package follower

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"shallotkeel.example/lib/matcher"
	"shallotkeel.example/lib/messenger"
)

const (
	// pollWait is how long a keeper holds a poll while there is no newer revision.
	pollWait = 20 * time.Second
	// pollSlack is added to the wait of a poll to get the timeout of the call.
	pollSlack = 2 * time.Second
	// stalePollWait is the wait of a poll while the configuration is stale. It is short,
	// because another keeper may have a quorum.
	stalePollWait = time.Second
	// gatherTimeout bounds asking all keepers and routers at once.
	gatherTimeout = time.Second
	// retryPause is the pause between failed rounds over all keepers.
	retryPause = 200 * time.Millisecond
	// confirmationWait is how long a router that has started waits for a keeper with a quorum,
	// before it counts as ready with the newest configuration that it could reach. Keepers that
	// start at the same time elect a leader in a part of it.
	confirmationWait = 3 * time.Second
	// maxPeersQueried bounds the routers that are asked for their configuration.
	maxPeersQueried = 8
	// quarantineDuration is the quarantine requested for each published fingerprint.
	quarantineDuration = 10 * time.Minute
	// maxLocalQuarantined bounds the fingerprints that this router has published and still
	// holds itself.
	maxLocalQuarantined = 1024
)

// Keeping is the part of messenger.Keeping that a Follower needs.
type Keeping interface {
	Watch(ctx context.Context, request *messenger.WatchRequest) (*messenger.WatchResponse, error)
}

// Publisher publishes fingerprints to the first keeper that answers.
type Publisher interface {
	Quarantine(ctx context.Context, request *messenger.QuarantineRequest) (*messenger.QuarantineResponse, error)
}

// Options configures a Follower.
type Options struct {
	Name      string
	Zone      string
	Keepers   []messenger.Keeping // in order of preference: this zone's first
	Publisher Publisher
	// Peer returns a client for another router, used to read its snapshot.
	Peer func(netip.AddrPort) messenger.Membership
	// Peers lists the routers to ask when no keeper has a quorum.
	Peers func() []netip.AddrPort
	// Changed is called with the rules of each new revision in force; nil is allowed.
	Changed  func(*matcher.Rules)
	Clock    clockwork.Clock
	Log      zerolog.Logger
	Registry *prometheus.Registry
}

// Follower implements relayer.Ruler and relayer.Quarantine.
type Follower struct {
	options         Options
	rules           atomic.Pointer[matcher.Rules]
	mutex           sync.Mutex
	state           state
	localQuarantine map[uint64]time.Time // fingerprints published by this router, with their ends
	keeperIndex     int                  // of the keeper to poll next
	started         time.Time
}

// New returns a follower with an empty configuration. Metrics are registered if
// Options.Registry is set.
func New(options Options) *Follower {
	f := &Follower{options: options, localQuarantine: make(map[uint64]time.Time), started: options.Clock.Now()}
	f.rules.Store(matcher.Compile(f.state.snapshot))
	if options.Registry != nil {
		f.register(options.Registry)
	}
	return f
}

// register adds the metrics to a registry.
func (f *Follower) register(registry *prometheus.Registry) {
	registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "shallotkeel_revision_in_force", Help: "Revision of the configuration that this router applies.",
		}, func() float64 { return float64(f.Rules().Revision) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "shallotkeel_configuration_stale", Help: "1 while newer revisions may exist that this router cannot reach.",
		}, func() float64 {
			if f.Stale() {
				return 1
			}
			return 0
		}),
	)
}

// Rules returns the rules in force.
func (f *Follower) Rules() *matcher.Rules {
	return f.rules.Load()
}

// Stale reports whether a newer revision may exist that this router cannot reach.
func (f *Follower) Stale() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.state.stale
}

// HasConfiguration reports whether there is a configuration to serve with: a keeper with a
// quorum has confirmed one since the start, or none was reached for confirmationWait and
// another keeper or router has given one. A keeper that has just started has none or an old
// one to give.
func (f *Follower) HasConfiguration() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.state.confirmed || f.waited() && f.state.snapshot.Revision > 0
}

// waited reports whether confirmationWait is over.
func (f *Follower) waited() bool {
	return f.options.Clock.Since(f.started) >= confirmationWait
}

// Current reports whether the configuration in force is known to be the newest one: a keeper
// with a quorum has confirmed it, and contact with a quorum is not known to be lost. Whoever is
// not in a configuration that is not current may be in a newer one. Rules that are read after
// Current has returned true are those that it speaks of, or newer.
func (f *Follower) Current() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.state.confirmed && !f.state.stale
}

// Run follows the keepers until the context ends.
func (f *Follower) Run(ctx context.Context) {
	f.gather(ctx)
	for ctx.Err() == nil {
		f.poll(ctx)
	}
}

// gather asks all keepers and some routers at once and puts the highest revision in
// force. It ends early when a keeper with a quorum answers; that keeper is polled first.
func (f *Follower) gather(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout)
	defer cancel()
	var group sync.WaitGroup
	for at, keeper := range f.options.Keepers {
		group.Go(func() {
			request := &messenger.WatchRequest{Router: f.options.Name, Zone: f.options.Zone}
			answer, err := keeper.Watch(ctx, request)
			if err != nil {
				return
			}
			f.applyAnswer(0, answer)
			if !answer.GetStale() {
				f.setKeeper(at)
				cancel()
			}
		})
	}
	for _, address := range f.peers() {
		group.Go(func() { f.queryPeer(ctx, address) })
	}
	group.Wait()
}

// peers returns the routers to ask, at most maxPeersQueried.
func (f *Follower) peers() []netip.AddrPort {
	if f.options.Peers == nil {
		return nil
	}
	peers := f.options.Peers()
	return peers[:min(len(peers), maxPeersQueried)]
}

// queryPeer asks another router for its snapshot. Errors are ignored.
func (f *Follower) queryPeer(ctx context.Context, address netip.AddrPort) {
	answer, err := f.options.Peer(address).Snapshot(ctx, &messenger.WatchRequest{After: f.Rules().Revision})
	if err == nil && answer.GetRevision() > 0 {
		f.applyPeerAnswer(answer)
	}
}

// applyPeerAnswer applies another router's snapshot only if it is newer than the
// configuration in force: an answer of the same revision would otherwise change the
// stale flag, and the flag in a router's answer describes that router.
func (f *Follower) applyPeerAnswer(answer *messenger.WatchResponse) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if answer.GetRevision() > f.state.snapshot.Revision {
		f.applyLocked(0, answer)
	}
}

// setKeeper sets the keeper to poll next.
func (f *Follower) setKeeper(at int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.keeperIndex = at
}

// poll asks one keeper for a newer revision, and switches to the next keeper if this one
// does not answer, has no quorum, or is behind this router.
func (f *Follower) poll(ctx context.Context) {
	f.mutex.Lock()
	after, stale, known, at := f.state.snapshot.Revision, f.state.stale, f.state.received, f.keeperIndex
	unready := !f.state.confirmed && !f.waited()
	f.mutex.Unlock()
	if len(f.options.Keepers) == 0 {
		f.pause(ctx)
		return
	}
	wait := pollWait
	switch {
	case !known || unready:
		wait = 0 // an empty fleet has no newer revision to wait for, and a confirmation brings none
	case stale:
		wait = stalePollWait
	}
	answer, err := f.watch(ctx, f.options.Keepers[at%len(f.options.Keepers)], after, wait)
	if ctx.Err() != nil {
		return
	}
	if err == nil && f.applyAnswer(after, answer) != older && !answer.GetStale() {
		return
	}
	f.switchKeeper(ctx, at, err != nil)
}

// watch sends one poll for the revisions after a revision and acknowledges that revision
// as in force.
func (f *Follower) watch(ctx context.Context, keeper messenger.Keeping, after uint64, wait time.Duration) (*messenger.WatchResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+pollSlack)
	defer cancel()
	return keeper.Watch(ctx, &messenger.WatchRequest{
		After: after, InForce: after, WaitMs: uint32(wait.Milliseconds()),
		Router: f.options.Name, Zone: f.options.Zone,
	})
}

// switchKeeper switches from the keeper at index at to the next one. After the last
// keeper it asks other routers for their snapshots and pauses; if the last keeper did
// not answer (unanswered), the configuration also counts as stale.
func (f *Follower) switchKeeper(ctx context.Context, at int, unanswered bool) {
	next := (at + 1) % len(f.options.Keepers)
	f.setKeeper(next)
	if next != 0 {
		return
	}
	if unanswered {
		f.setStale()
	}
	queryCtx, cancel := context.WithTimeout(ctx, gatherTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, address := range f.peers() {
		group.Go(func() { f.queryPeer(queryCtx, address) })
	}
	group.Wait()
	f.pause(ctx)
}

// setStale marks the configuration as stale and logs the change.
func (f *Follower) setStale() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if !f.state.stale {
		f.options.Log.Warn().Uint64("revision", f.state.snapshot.Revision).
			Msg("no keeper with a quorum answers; the configuration in force may be stale and stays in force while the router retries")
	}
	f.state.stale = true
}

// pause waits for retryPause or until the context ends.
func (f *Follower) pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-f.options.Clock.After(retryPause):
	}
}

// applyAnswer applies the answer to a request for the revisions after a revision. If the
// answer brings a newer revision, its rules are put in force.
func (f *Follower) applyAnswer(after uint64, answer *messenger.WatchResponse) applyResult {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.applyLocked(after, answer)
}

// applyLocked is applyAnswer for a caller that holds the mutex.
func (f *Follower) applyLocked(after uint64, answer *messenger.WatchResponse) applyResult {
	wasStale := f.state.stale
	result := f.state.apply(f.options.Clock.Now(), after, answer)
	if wasStale != f.state.stale {
		f.options.Log.Info().Bool("stale", f.state.stale).Msg("contact with a quorum of keepers changed")
	}
	if result != newer {
		return result
	}
	rules := matcher.Compile(f.state.snapshot)
	f.rules.Store(rules)
	f.options.Log.Info().Uint64("revision", rules.Revision).Msg("configuration in force")
	if f.options.Changed != nil {
		f.options.Changed(rules)
	}
	return result
}

// Snapshot implements coordinator.Snapshots: it returns this router's configuration if it
// is newer than the requested revision, and an empty answer marked stale otherwise.
func (f *Follower) Snapshot(_ context.Context, request *messenger.WatchRequest) (*messenger.WatchResponse, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.state.snapshot.Revision <= request.GetAfter() {
		return &messenger.WatchResponse{Stale: true}, nil
	}
	return f.state.encode(f.options.Clock.Now()), nil
}
