// Package newsreader keeps what a router believes of the fleet: the
// configuration in force and the endpoints, as the keepers tell it.
//
// Invariants: the version in force never falls; an endpoint that any keeper has
// called leaving or gone is never taken for ready again; nothing is forgotten
// because a keeper is lost, so that a router that is cut off goes on with what
// it knew.
package newsreader

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"shallotkeel.example/lib/apportioner"
	"shallotkeel.example/lib/balancer"
	"shallotkeel.example/lib/damper"
	"shallotkeel.example/lib/forwarder"
	"shallotkeel.example/lib/lister"
	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/resolver"
)

// Options are what a Reader is made of.
type Options struct {
	Name    string
	Zone    string
	Dialect forwarder.Dialect
	Clock   clockwork.Clock
	Log     zerolog.Logger
	Dial    func(address netip.AddrPort) messenger.Planning
	// Endpoints is told of changes of endpoints, in their order.
	Endpoints func(listings []lister.Listing)
	// Plan is told of every configuration before it is in force.
	Plan func(table *resolver.Table)
	// Routers is told how many routers the fleet has.
	Routers func(count int)
	// Uses returns what becomes of what the workspaces ask for here.
	Uses func() map[string]apportioner.Use
	// Loads returns how many unread tokens this router has at the engines.
	Loads func() map[uint64]int
	// Backlog returns for how long engines still read what they have been sent, as this
	// router believes.
	Backlog func() time.Duration
	// Fleet is told of the whole fleet.
	Fleet func(fleet Fleet)
	// Homes is told, by service, which part of the endpoints all routers know, one in
	// 1<<shift; a service of which they know all is left out.
	Homes func(shifts map[string]int)
	// Begun returns the streams that began here and that the keeper which is reported to does not
	// know yet. Told is called when it has answered the report, Untold when it does not.
	Begun  func(keeper netip.AddrPort) []*messenger.Begun
	Told   func(keeper netip.AddrPort)
	Untold func(keeper netip.AddrPort)
	// Evacuated is told of the zones whose endpoints get no new work, with each change.
	Evacuated func(zones []string)
	// Rations is told of the leases on cold endpoints that a keeper has given which was
	// asked at a time.
	Rations func(asked time.Time, keeper netip.AddrPort, rations []balancer.Ration)
}

// Reader implements subscriber.Host.
type Reader struct {
	options Options
	table   atomic.Pointer[resolver.Table]
	begun   chan struct{} // closed once there is a configuration

	mutex       sync.Mutex
	list        lister.List
	silent      map[string]map[netip.AddrPort]bool // instances, by the keepers that say so
	told        map[string]bool                    // instances that were last told on as silent
	contacts    map[netip.AddrPort]bool            // keepers that answer
	crashes     map[uint64]*crash
	quarantined map[uint64]time.Time         // until when
	evacuations uint64                       // revision of the evacuated zones
	asked       map[netip.AddrPort]time.Time // when the keepers' polls under way were sent
	fetching    sync.Mutex
	lines       damper.Damper // of endpoints
	dropped     time.Time     // when endpoints that are gone were dropped last
	enforced    chan struct{} // closed when another configuration is in force
}

// New returns a reader that knows nothing yet.
func New(options Options) *Reader {
	return &Reader{
		options: options, silent: make(map[string]map[netip.AddrPort]bool), told: make(map[string]bool),
		contacts: make(map[netip.AddrPort]bool), begun: make(chan struct{}), enforced: make(chan struct{}),
		crashes: make(map[uint64]*crash), quarantined: make(map[uint64]time.Time),
		asked: make(map[netip.AddrPort]time.Time), lines: damper.Damper{LinesPerSecond: mostLogged},
	}
}

// Table returns the configuration in force, nil if there is none yet.
func (r *Reader) Table() *resolver.Table {
	return r.table.Load()
}

// Begun is closed once there is a configuration.
func (r *Reader) Begun() <-chan struct{} {
	return r.begun
}

// Report tells a keeper what this router has in force and has seen, and its primary what
// it has at the endpoints and what is asked for.
func (r *Reader) Report(keeper netip.AddrPort, brief bool) *messenger.FollowRequest {
	request := &messenger.FollowRequest{Node: r.options.Name, Zone: r.options.Zone, Plan: r.version()}
	if !brief {
		r.account(request)
		if r.options.Begun != nil {
			request.Begun = r.options.Begun(keeper)
		}
	}
	now := r.options.Clock.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.asked[keeper], request.Evacuations = now, r.evacuations
	for digest, seen := range r.crashes {
		if now.Sub(seen.at) > crashMemory {
			delete(r.crashes, digest)
			continue
		}
		request.Crashes = append(request.Crashes, &messenger.Crash{Digest: digest, Count: seen.count})
	}
	return request
}

// account fills in what is summed over all routers.
func (r *Reader) account(request *messenger.FollowRequest) {
	if r.options.Uses != nil {
		for workspace, use := range r.options.Uses() {
			request.Uses = append(request.Uses, &messenger.Use{Workspace: workspace, Asked: use.Demand, Got: use.Served, Unheard: use.Shed})
		}
	}
	if r.options.Loads != nil {
		for endpoint, unread := range r.options.Loads() {
			request.Loads = append(request.Loads, &messenger.Load{Endpoint: endpoint, Unread: uint32(max(unread, 0))})
		}
	}
	if r.options.Backlog != nil {
		request.BacklogMs = uint32(max(r.options.Backlog(), 0) / time.Millisecond)
	}
}

func (r *Reader) version() uint64 {
	if table := r.table.Load(); table != nil {
		return table.Version()
	}
	return 0
}

// News takes a keeper's answer.
func (r *Reader) News(ctx context.Context, keeper netip.AddrPort, news *messenger.FollowResponse) {
	r.mutex.Lock()
	r.contacts[keeper] = true
	r.mutex.Unlock()
	if r.options.Told != nil && !news.GetBrief() {
		r.options.Told(keeper)
	}
	r.takeEvacuations(keeper, news)
	r.takeListings(keeper, news.GetListings())
	r.takeRations(keeper, news.GetRations())
	r.takeQuarantine(news.GetQuarantined())
	if r.options.Routers != nil {
		r.options.Routers(int(news.GetRouters()))
	}
	if r.options.Fleet != nil && !news.GetBrief() {
		r.options.Fleet(fleetOf(news))
	}
	if r.options.Homes != nil && !news.GetBrief() {
		shifts := make(map[string]int, len(news.GetHomes()))
		for _, sample := range news.GetHomes() {
			shifts[sample.GetService()] = int(min(sample.GetShift(), mostShift))
		}
		r.options.Homes(shifts)
	}
	if news.GetPlan() <= r.version() || news.GetBrief() && r.awaited(ctx, news.GetPlan()) {
		return
	}
	r.fetch(ctx, keeper)
}

// mostShift bounds the shift of a sample: of no fleet only one endpoint in a million is told of.
const mostShift = 20

// takeEvacuations takes the zones whose endpoints get no new work. A keeper that is behind
// the others may tell of former ones.
func (r *Reader) takeEvacuations(keeper netip.AddrPort, news *messenger.FollowResponse) {
	// Told on under the mutex: of two answers that come together the later one must not be
	// undone by the other.
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if news.GetEvacuations() <= r.evacuations {
		return
	}
	r.options.Log.Info().Strs("evacuated", news.GetEvacuated()).Uint64("revision", news.GetEvacuations()).
		Uint64("before", r.evacuations).Stringer("keeper", keeper).Msg("evacuated zones changed")
	r.evacuations = news.GetEvacuations()
	if r.options.Evacuated != nil {
		r.options.Evacuated(news.GetEvacuated())
	}
}

// takeRations takes the leases on cold endpoints that came with an answer.
func (r *Reader) takeRations(keeper netip.AddrPort, told []*messenger.Ration) {
	if len(told) == 0 || r.options.Rations == nil {
		return
	}
	rations := make([]balancer.Ration, 0, len(told))
	for _, ration := range told {
		rations = append(rations, balancer.Ration{
			Endpoint: ration.GetEndpoint(), Pause: time.Duration(ration.GetPauseMs()) * time.Millisecond,
			Term: time.Duration(ration.GetLeaseMs()) * time.Millisecond,
		})
	}
	r.mutex.Lock()
	asked := r.asked[keeper]
	r.mutex.Unlock()
	r.options.Rations(asked, keeper, rations)
}

// tell hands on what this router believes anew of endpoints.
func (r *Reader) tell(keeper netip.AddrPort, changed []lister.Listing) {
	r.log(keeper, changed)
	r.options.Endpoints(changed)
}

// Learn takes endpoints that a keeper has named besides its news. What is known of one that leaves
// or is gone stands.
func (r *Reader) Learn(keeper netip.AddrPort, listings []*messenger.Listing) {
	r.takeListings(keeper, listings)
}

func (r *Reader) takeListings(keeper netip.AddrPort, listings []*messenger.Listing) {
	if len(listings) == 0 {
		return
	}
	now := r.options.Clock.Now()
	r.mutex.Lock()
	r.dropGone(now)
	before := r.list.Revision()
	said := make(map[string]bool, len(listings))
	for _, wire := range listings {
		listing, err := lister.FromWire(wire, now)
		if err != nil {
			r.options.Log.Warn().Err(err).Stringer("keeper", keeper).Msg("a listing cannot be read; it is left out")
			continue
		}
		r.noteSilence(keeper, listing)
		listing.Silent = false
		r.list.Beat(now, listing)
		said[listing.ID] = true
	}
	var changed []lister.Listing
	for _, listing := range r.list.Since(before) {
		delete(said, listing.ID)
		listing.Silent = r.isSilent(listing.ID)
		r.note(listing.ID, listing.Silent)
		changed = append(changed, listing)
	}
	changed = append(changed, r.verdicts(said)...)
	r.mutex.Unlock()
	r.tell(keeper, changed)
}

// goneMemory is for how long an endpoint that is gone is remembered: longer than by any keeper,
// whose late news must not bring it back.
const goneMemory = 10 * time.Minute

// dropGone forgets endpoints that have long been gone. Else their number, as replacements go on,
// would fill the list in some weeks, and no new ones would be taken.
func (r *Reader) dropGone(now time.Time) {
	if now.Sub(r.dropped) < goneMemory/10 {
		return
	}
	r.dropped = now
	for _, id := range r.list.Drop(now, goneMemory) {
		delete(r.silent, id)
		delete(r.told, id)
	}
}
