// Package follower keeps the configuration in force at a router: it follows
// the keepers by long poll, compiles the rules and acknowledges the revision.
//
// Invariants: the revision in force never decreases in a process's life; rules
// are swapped whole, so that no request sees a half of one revision; without a
// quorum the highest revision that any reachable keeper or router has is in
// force, and Stale says so.
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
	// pollWait is how long a keeper holds a poll without news.
	pollWait = 20 * time.Second
	// pollSlack is what an answer may take beyond that.
	pollSlack = 2 * time.Second
	// staleWait is the poll's wait while the keeper has no quorum: another may.
	staleWait  = time.Second
	gatherWait = time.Second
	retryPause = 200 * time.Millisecond
	// maxPeersAsked bounds the routers that are asked for their configuration.
	maxPeersAsked = 8
	// quarantineFor is asked for each published fingerprint.
	quarantineFor = 10 * time.Minute
	// maxQuarantined bounds the fingerprints that only this router knows yet.
	maxQuarantined = 1024
)

// Keeping is the part of messenger.Keeping that following needs.
type Keeping interface {
	Watch(ctx context.Context, request *messenger.WatchRequest) (*messenger.WatchResponse, error)
}

// Publisher publishes fingerprints at whichever keeper answers.
type Publisher interface {
	Quarantine(ctx context.Context, request *messenger.QuarantineRequest) (*messenger.QuarantineResponse, error)
}

// Options are what a Follower is made of.
type Options struct {
	Name      string
	Zone      string
	Keepers   []messenger.Keeping // this zone's first
	Publisher Publisher
	// Peer returns the client of another router, for its snapshot.
	Peer func(netip.AddrPort) messenger.Membership
	// Peers lists routers to ask when no keeper has a quorum.
	Peers func() []netip.AddrPort
	// Changed is called with each new revision's rules.
	Changed  func(*matcher.Rules)
	Clock    clockwork.Clock
	Log      zerolog.Logger
	Registry *prometheus.Registry
}

// Follower implements relayer.Ruler and relayer.Quarantine.
type Follower struct {
	options Options
	rules   atomic.Pointer[matcher.Rules]
	mutex   sync.Mutex
	state   state
	own     map[uint64]time.Time // fingerprints published here
	keeper  int
}

// New returns a follower with an empty configuration.
func New(options Options) *Follower {
	f := &Follower{options: options, own: make(map[uint64]time.Time)}
	f.rules.Store(matcher.Compile(f.state.snapshot))
	if options.Registry != nil {
		f.register(options.Registry)
	}
	return f
}

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

// Stale tells that a newer revision may exist.
func (f *Follower) Stale() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.state.stale
}

// Known tells that some keeper or router has told its configuration.
func (f *Follower) Known() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.state.known
}

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) {
	f.gather(ctx)
	for ctx.Err() == nil {
		f.poll(ctx)
	}
}

// gather asks everybody at once and takes the highest revision.
func (f *Follower) gather(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, gatherWait)
	defer cancel()
	var group sync.WaitGroup
	for at, keeper := range f.options.Keepers {
		group.Go(func() {
			request := &messenger.WatchRequest{Router: f.options.Name, Zone: f.options.Zone}
			answer, err := keeper.Watch(ctx, request)
			if err != nil {
				return
			}
			f.take(0, answer)
			if !answer.GetStale() {
				f.prefer(at)
				cancel()
			}
		})
	}
	for _, address := range f.peers() {
		group.Go(func() { f.askPeer(ctx, address) })
	}
	group.Wait()
}

func (f *Follower) peers() []netip.AddrPort {
	if f.options.Peers == nil {
		return nil
	}
	peers := f.options.Peers()
	return peers[:min(len(peers), maxPeersAsked)]
}

func (f *Follower) askPeer(ctx context.Context, address netip.AddrPort) {
	answer, err := f.options.Peer(address).Snapshot(ctx, &messenger.WatchRequest{After: f.Rules().Revision})
	if err == nil && answer.GetRevision() > 0 {
		f.takePeer(answer)
	}
}

// takePeer takes another router's configuration only if it is newer: what that
// router says about staleness is about itself.
func (f *Follower) takePeer(answer *messenger.WatchResponse) {
	f.mutex.Lock()
	newer := answer.GetRevision() > f.state.snapshot.Revision
	f.mutex.Unlock()
	if newer {
		f.take(0, answer)
	}
}

func (f *Follower) prefer(at int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.keeper = at
}

// poll asks one keeper for news, and turns to the next one when this one does
// not answer, has no quorum, or is behind this router.
func (f *Follower) poll(ctx context.Context) {
	f.mutex.Lock()
	after, stale, known, at := f.state.snapshot.Revision, f.state.stale, f.state.known, f.keeper
	f.mutex.Unlock()
	if len(f.options.Keepers) == 0 {
		f.pause(ctx)
		return
	}
	wait := pollWait
	switch {
	case !known:
		wait = 0 // a fleet without any configuration has no news to wait for
	case stale:
		wait = staleWait
	}
	answer, err := f.watch(ctx, f.options.Keepers[at%len(f.options.Keepers)], after, wait)
	if ctx.Err() != nil {
		return
	}
	if err == nil && f.take(after, answer) != older && !answer.GetStale() {
		return
	}
	f.lost(ctx, at, err != nil)
}

func (f *Follower) watch(ctx context.Context, keeper messenger.Keeping, after uint64, wait time.Duration) (*messenger.WatchResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+pollSlack)
	defer cancel()
	return keeper.Watch(ctx, &messenger.WatchRequest{
		After: after, InForce: after, WaitMs: uint32(wait.Milliseconds()),
		Router: f.options.Name, Zone: f.options.Zone,
	})
}

// lost turns to the next keeper. After a round without a quorum the
// configuration counts as stale, and other routers are asked too.
func (f *Follower) lost(ctx context.Context, at int, silent bool) {
	next := (at + 1) % len(f.options.Keepers)
	f.prefer(next)
	if next != 0 {
		return
	}
	if silent {
		f.setStale()
	}
	ask, cancel := context.WithTimeout(ctx, gatherWait)
	defer cancel()
	var group sync.WaitGroup
	for _, address := range f.peers() {
		group.Go(func() { f.askPeer(ask, address) })
	}
	group.Wait()
	f.pause(ctx)
}

func (f *Follower) setStale() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if !f.state.stale {
		f.options.Log.Warn().Uint64("revision", f.state.snapshot.Revision).
			Msg("no keeper answers; the configuration in force may be stale")
	}
	f.state.stale = true
}

func (f *Follower) pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-f.options.Clock.After(retryPause):
	}
}

// take applies an answer and puts a new revision in force.
func (f *Follower) take(after uint64, answer *messenger.WatchResponse) verdict {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	was := f.state.stale
	brought := f.state.apply(f.options.Clock.Now(), after, answer)
	if was != f.state.stale {
		f.options.Log.Info().Bool("stale", f.state.stale).Msg("contact with a quorum of keepers changed")
	}
	if brought != newer {
		return brought
	}
	rules := matcher.Compile(f.state.snapshot)
	f.rules.Store(rules)
	f.options.Log.Info().Uint64("revision", rules.Revision).Msg("configuration in force")
	if f.options.Changed != nil {
		f.options.Changed(rules)
	}
	return brought
}

// Snapshot implements conductor.Snapshots.
func (f *Follower) Snapshot(_ context.Context, request *messenger.WatchRequest) (*messenger.WatchResponse, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.state.snapshot.Revision <= request.GetAfter() {
		return &messenger.WatchResponse{Stale: true}, nil
	}
	return f.state.encode(f.options.Clock.Now()), nil
}
