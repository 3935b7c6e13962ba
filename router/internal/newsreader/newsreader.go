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
	"math"
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

// fetchTimeout bounds the transfer of a configuration, a few hundred KB.
const fetchTimeout = 1500 * time.Millisecond

// otherPause is how long a newer configuration that a keeper names is waited for from the
// primary, which names it at the same moment if it hears the others. Then it is fetched from
// the one that named it.
const otherPause = 400 * time.Millisecond

// crashMemory is how long a crash that was seen here is reported. Polls come
// twice a second, and a keeper that is back within that time hears of it too.
const crashMemory = 30 * time.Second

// maxCrashes bounds the crashes that are reported, 12 bytes each on the way.
const maxCrashes = 1024

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
	// Evacuated is told of the zones whose endpoints get no new work, with each change.
	Evacuated func(zones []string)
	// Rations is told of the leases on cold endpoints that a keeper has given which was
	// asked at a time.
	Rations func(asked time.Time, keeper netip.AddrPort, rations []balancer.Ration)
}

// Fleet is what keepers add up of all routers' reports.
type Fleet struct {
	// Uses is what becomes of what the workspaces ask for.
	Uses map[string]apportioner.Use
	// Loads is how many unread tokens all other routers have at the engines.
	Loads map[uint64]int
	// Backlog is for how long engines still read, as the median router believes.
	Backlog time.Duration
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

type crash struct {
	at    time.Time
	count uint32
}

// New returns a reader that knows nothing yet.
func New(options Options) *Reader {
	return &Reader{
		options: options, silent: make(map[string]map[netip.AddrPort]bool), told: make(map[string]bool),
		contacts: make(map[netip.AddrPort]bool), begun: make(chan struct{}), enforced: make(chan struct{}),
		crashes: make(map[uint64]*crash), quarantined: make(map[uint64]time.Time),
		asked: make(map[netip.AddrPort]time.Time), lines: damper.Damper{Most: mostLogged},
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
			request.Uses = append(request.Uses, &messenger.Use{Workspace: workspace, Asked: use.Asked, Got: use.Got, Unheard: use.Unheard})
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

// awaited waits for a version to come from the primary, and tells whether it has come.
//
// A configuration is hundreds of kilobytes. Fetched from whichever keeper names it first,
// four of five copies go from zone to zone, to every router, with each change.
func (r *Reader) awaited(ctx context.Context, version uint64) bool {
	if r.version() == 0 {
		return false // whoever has one first
	}
	limit := r.options.Clock.After(otherPause)
	for {
		r.mutex.Lock()
		enforced := r.enforced
		r.mutex.Unlock()
		if r.version() >= version {
			return true
		}
		select {
		case <-ctx.Done():
			return true
		case <-limit:
			return false
		case <-enforced:
		}
	}
}

// mostScaled bounds by how much sums are scaled up for routers that are not in them. Half
// of the fleet is missing where keepers are cut in two; a larger part only for moments, as
// when all start, and then the few that are heard say little of the rest.
const mostScaled = 2

// fleetOf returns the whole fleet's sums. Where keepers do not hear one another, a keeper
// has the reports of some routers only, while the others still serve: taken for the whole
// fleet, they would make everybody's share here twice what it is. The others are taken to
// do as these do.
func fleetOf(news *messenger.FollowResponse) Fleet {
	scale := 1.0
	if counted := news.GetReporting(); counted > 0 {
		scale = min(max(float64(news.GetExpected())/float64(counted), 1), mostScaled)
	}
	fleet := Fleet{
		Uses:    make(map[string]apportioner.Use, len(news.GetUses())),
		Loads:   make(map[uint64]int, len(news.GetLoads())),
		Backlog: time.Duration(news.GetBacklogMs()) * time.Millisecond,
	}
	for _, use := range news.GetUses() {
		fleet.Uses[use.GetWorkspace()] = apportioner.Use{
			Asked: scaled(use.GetAsked(), scale), Got: scaled(use.GetGot(), scale), Unheard: scaled(use.GetUnheard(), scale),
		}
	}
	for _, at := range news.GetLoads() {
		fleet.Loads[at.GetEndpoint()] = scaled(int(at.GetUnread()), scale)
	}
	return fleet
}

func scaled[T int | uint64](value T, by float64) T {
	return T(math.Round(float64(value) * by))
}

// Lost notes that a keeper does not answer. Nothing that it said is forgotten but
// the silences, which it can no longer take back.
func (r *Reader) Lost(keeper netip.AddrPort, _ error) {
	r.mutex.Lock()
	delete(r.contacts, keeper)
	ids := make(map[string]bool)
	for id, by := range r.silent {
		delete(by, keeper)
		ids[id] = true
	}
	changed := r.verdicts(ids)
	r.mutex.Unlock()
	r.tell(keeper, changed)
}

// verdicts returns those of some instances on which this router's word on their silence
// has changed.
func (r *Reader) verdicts(ids map[string]bool) []lister.Listing {
	var changed []lister.Listing
	for id := range ids {
		listing, found := r.list.Find(id)
		if !found {
			continue
		}
		if silent := r.isSilent(id); silent != r.told[id] {
			listing.Silent = silent
			r.note(id, silent)
			changed = append(changed, listing)
		}
	}
	return changed
}

// note remembers what is told on of an instance's silence.
func (r *Reader) note(id string, silent bool) {
	if silent {
		r.told[id] = true
		return
	}
	delete(r.told, id)
}

// tell hands on what this router believes anew of endpoints.
func (r *Reader) tell(keeper netip.AddrPort, changed []lister.Listing) {
	r.log(keeper, changed)
	r.options.Endpoints(changed)
}

// isSilent tells whether all keepers that answer hear nothing of an instance. A
// keeper that is cut off from the others misses the heartbeats that they get;
// believing it alone would move all work to the few endpoints that it hears.
func (r *Reader) isSilent(id string) bool {
	for keeper := range r.contacts {
		if !r.silent[id][keeper] {
			return false
		}
	}
	return len(r.contacts) > 0
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

// noteSilence remembers which keepers hear nothing of an instance. What a keeper
// says of a life that is over says nothing of the one that followed.
func (r *Reader) noteSilence(keeper netip.AddrPort, listing lister.Listing) {
	known, found := r.list.Find(listing.ID)
	if found && listing.Started.Before(known.Started) {
		return
	}
	if found && listing.Started.After(known.Started) {
		delete(r.silent, listing.ID)
	}
	if !listing.Silent {
		delete(r.silent[listing.ID], keeper)
		return
	}
	if r.silent[listing.ID] == nil {
		r.silent[listing.ID] = make(map[netip.AddrPort]bool)
	}
	r.silent[listing.ID][keeper] = true
}

func (r *Reader) takeQuarantine(fingerprints []*messenger.Fingerprint) {
	if len(fingerprints) == 0 {
		return
	}
	now := r.options.Clock.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, fingerprint := range fingerprints {
		r.quarantined[fingerprint.GetDigest()] = now.Add(time.Duration(fingerprint.GetLeftMs()) * time.Millisecond)
	}
	for digest, until := range r.quarantined {
		if now.After(until) {
			delete(r.quarantined, digest)
		}
	}
}

// Quarantined tells whether a request has crashed endpoints and must not run.
func (r *Reader) Quarantined(digest uint64) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	until, found := r.quarantined[digest]
	return found && r.options.Clock.Now().Before(until)
}

// Crashed notes that an endpoint's connection broke under a request.
func (r *Reader) Crashed(digest uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known, found := r.crashes[digest]
	if !found {
		if len(r.crashes) >= maxCrashes {
			return
		}
		known = &crash{}
		r.crashes[digest] = known
	}
	known.at = r.options.Clock.Now()
	known.count++
}

// fetch gets the configuration from a keeper that has a newer one.
func (r *Reader) fetch(ctx context.Context, keeper netip.AddrPort) {
	r.fetching.Lock()
	defer r.fetching.Unlock()
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	plan, err := r.options.Dial(keeper).Fetch(ctx, &messenger.CurrentRequest{})
	if err != nil {
		r.options.Log.Warn().Err(err).Stringer("keeper", keeper).Msg("the configuration was not fetched; another answer brings it")
		return
	}
	if plan.GetVersion() <= r.version() {
		return
	}
	r.enforce(keeper, plan)
}

func (r *Reader) enforce(keeper netip.AddrPort, plan *messenger.Plan) {
	decoded, err := r.options.Dialect.Plan(plan.GetText())
	if err == nil {
		var table *resolver.Table
		if table, err = resolver.Compile(decoded); err == nil {
			table.Succeed(r.table.Load())
			r.options.Plan(table)
			before := r.version()
			if r.table.Swap(table) == nil {
				close(r.begun)
			}
			r.mutex.Lock()
			close(r.enforced)
			r.enforced = make(chan struct{})
			r.mutex.Unlock()
			r.options.Log.Info().Uint64("version", plan.GetVersion()).Uint64("before", before).
				Stringer("keeper", keeper).Msg("configuration in force")
			return
		}
	}
	// Keepers accept only what the same code has checked.
	r.options.Log.Error().Err(err).Uint64("version", plan.GetVersion()).Msg("an accepted configuration cannot be used; run one version of all programs")
}
