// Package updatereader maintains a router's view of the fleet: the configuration in force and the
// endpoints, from the updates that the keepers send.
//
// Invariants: the version in force never decreases; an endpoint that any keeper has reported as
// leaving or gone is never considered ready again; losing a keeper removes neither the configuration
// nor endpoints, so that a router that is cut off continues with its last view.
package updatereader

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
	"shallotkeel.example/lib/indexer"
	"shallotkeel.example/lib/lister"
	"shallotkeel.example/lib/localizer"
	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/predictor"
	"shallotkeel.example/lib/resolver"
)

// Options configures a Reader. Functions are callbacks; those from Routers on may be nil.
type Options struct {
	Name    string
	Zone    string
	Dialect forwarder.Dialect
	Clock   clockwork.Clock
	Log     zerolog.Logger
	Dial    func(address netip.AddrPort) messenger.Planning
	// Crashes records the crashes of endpoints seen here, and the quarantines that keepers order.
	Crashes *localizer.Observer
	// Endpoints receives changes of endpoints, in order.
	Endpoints func(listings []lister.Listing)
	// Plan receives every configuration before it comes into force.
	Plan func(table *resolver.Table)
	// Routers receives the number of routers in the fleet.
	Routers func(count int)
	// Uses returns the demand of each workspace at this router, and how much of it is served and shed.
	Uses func() map[string]apportioner.Use
	// Loads returns the load that this router has on each engine.
	Loads func() map[uint64]balancer.Load
	// Speeds returns this router's observations of the speed of each engine.
	Speeds func() map[uint64]predictor.Sums
	// Backlog returns the prefill backlog of the engines, as this router estimates it.
	Backlog func() time.Duration
	// FleetSums receives the sums over the whole fleet.
	FleetSums func(sums FleetSums)
	// Sampling receives, by service, the sampled part of the endpoints that every router knows, one in
	// 1<<shift. A service is missing if the routers know all its endpoints.
	Sampling func(shifts map[string]int)
	// UnreportedStreams returns the origins of streams that began here and that no keeper has
	// acknowledged yet, for the report to a keeper. ReportAnswered is called when that keeper has
	// answered the report in an epoch, ReportLost when it does not answer.
	UnreportedStreams func(keeper netip.AddrPort) []*messenger.Begun
	ReportAnswered    func(keeper netip.AddrPort, epoch uint64)
	ReportLost        func(keeper netip.AddrPort)
	// Mixed receives the services whose endpoints have, or lately had, several software versions.
	Mixed func(services []string)
	// Prefixes is exchanged with the keeper that gets this router's reports. It may be nil.
	Prefixes *indexer.Exchange
	// Evacuated receives, at each change, the zones whose endpoints get no new work.
	Evacuated func(zones []string)
	// Rations receives the leases on cold endpoints that a keeper has granted in its answer to the poll
	// sent at pollSentAt.
	Rations func(pollSentAt time.Time, keeper netip.AddrPort, rations []balancer.Ration)
}

// Reader implements subscriber.Host.
type Reader struct {
	options Options
	table   atomic.Pointer[resolver.Table]
	ready   chan struct{} // closed once there is a configuration
	// updatedAt is the time of the last answer of any keeper, nil if there is none.
	updatedAt atomic.Pointer[time.Time]
	contact   contact

	mutex            sync.Mutex
	list             lister.List
	silent           map[string]map[netip.AddrPort]bool // endpoint instances, by the keepers that get no heartbeats of them
	reportedSilent   map[string]bool                    // instances last passed on to Endpoints as silent
	answeringKeepers map[netip.AddrPort]bool
	evacuations      uint64                       // revision of the evacuated zones
	pollSentAt       map[netip.AddrPort]time.Time // send time of each keeper's current poll
	crashes          localizer.Exchange
	fetching         sync.Mutex
	logDamper        damper.Damper // of log lines on endpoints
	droppedAt        time.Time     // time of the last removal of gone endpoints
	workReported     schedule
	speedsReported   schedule
	planChanged      chan struct{} // closed and replaced when another configuration comes into force
}

// New returns a reader without a configuration and endpoints.
func New(options Options) *Reader {
	return &Reader{
		options: options, silent: make(map[string]map[netip.AddrPort]bool), reportedSilent: make(map[string]bool),
		answeringKeepers: make(map[netip.AddrPort]bool), ready: make(chan struct{}), planChanged: make(chan struct{}),
		pollSentAt: make(map[netip.AddrPort]time.Time), crashes: localizer.Exchange{Observer: options.Crashes, Clock: options.Clock, Log: options.Log}, logDamper: damper.Damper{LinesPerSecond: maxLogged},
	}
}

// Table returns the configuration in force, nil if there is none yet.
func (r *Reader) Table() *resolver.Table {
	return r.table.Load()
}

// Ready returns a channel that is closed once there is a configuration.
func (r *Reader) Ready() <-chan struct{} {
	return r.ready
}

// ListAge returns how long ago a keeper last answered a poll, so that this router knew the changes of
// endpoints. It is 0 if none has answered yet.
func (r *Reader) ListAge() time.Duration {
	updated := r.updatedAt.Load()
	if updated == nil {
		return 0
	}
	return r.options.Clock.Since(*updated)
}

// CrashesReported reports whether a keeper has acknowledged all crashes that were seen here.
func (r *Reader) CrashesReported() bool {
	return r.crashes.Reported()
}

// Report returns the report for a keeper: the version in force and the crashes seen here, and, for the
// primary keeper, this router's load at the endpoints and the demand.
func (r *Reader) Report(keeper netip.AddrPort, brief bool) *messenger.FollowRequest {
	request := &messenger.FollowRequest{Node: r.options.Name, Zone: r.options.Zone, Plan: r.version()}
	if !brief {
		r.addTotals(request)
		if r.options.UnreportedStreams != nil {
			request.Begun = r.options.UnreportedStreams(keeper)
		}
		if r.options.Prefixes != nil {
			r.options.Prefixes.AddReport(r.options.Clock.Now(), keeper, request)
		}
	}
	now := r.options.Clock.Now()
	r.mutex.Lock()
	r.pollSentAt[keeper], request.Evacuations = now, r.evacuations
	r.mutex.Unlock()
	r.crashes.AddReport(keeper, request)
	return request
}

// addTotals adds the values that keepers sum over all routers.
func (r *Reader) addTotals(request *messenger.FollowRequest) {
	if r.options.Uses != nil {
		for workspace, use := range r.options.Uses() {
			request.Uses = append(request.Uses, &messenger.Use{Workspace: workspace, Asked: use.Demand, Got: use.Served, Unheard: use.Shed})
		}
	}
	r.addLoads(request)
	r.addSpeeds(request)
	if r.options.Backlog != nil {
		request.BacklogMs = uint32(max(r.options.Backlog(), 0) / time.Millisecond)
	}
}

// version returns the version of the configuration in force, 0 if there is none.
func (r *Reader) version() uint64 {
	if table := r.table.Load(); table != nil {
		return table.Version()
	}
	return 0
}

// Update applies the update in a keeper's answer to a poll.
func (r *Reader) Update(ctx context.Context, keeper netip.AddrPort, update *messenger.FollowResponse) {
	now := r.options.Clock.Now()
	r.updatedAt.Store(&now)
	r.mutex.Lock()
	r.answeringKeepers[keeper] = true
	sent := r.pollSentAt[keeper]
	r.mutex.Unlock()
	r.contact.answered(sent, update.GetPlan(), update.GetIsolated())
	if r.options.ReportAnswered != nil && !update.GetBrief() {
		r.options.ReportAnswered(keeper, update.GetEpoch())
	}
	if r.options.Mixed != nil && !update.GetBrief() {
		r.options.Mixed(update.GetMixed())
	}
	if r.options.Prefixes != nil && !update.GetBrief() {
		r.options.Prefixes.Answered(r.options.Clock.Now(), keeper, update)
	}
	r.updateEvacuations(keeper, update)
	r.updateListings(keeper, update.GetListings())
	r.updateRations(keeper, update.GetRations())
	r.crashes.Answered(keeper, update)
	if r.options.Routers != nil {
		r.options.Routers(int(update.GetRouters()))
	}
	if r.options.FleetSums != nil && !update.GetBrief() {
		r.options.FleetSums(fleetSumsOf(update))
	}
	if r.options.Sampling != nil && !update.GetBrief() {
		shifts := make(map[string]int, len(update.GetHomes()))
		for _, sample := range update.GetHomes() {
			shifts[sample.GetService()] = int(min(sample.GetShift(), maxShift))
		}
		r.options.Sampling(shifts)
	}
	if update.GetPlan() <= r.version() || update.GetBrief() && r.awaitPrimary(ctx, update.GetPlan()) {
		return
	}
	r.fetch(ctx, keeper)
}

// maxShift bounds the shift of a sample: no fleet is so large that only one endpoint in 2^20, about a
// million, is sampled.
const maxShift = 20

// updateEvacuations applies the zones whose endpoints get no new work, unless the update's revision
// is old: a keeper that lags behind its peers may send former zones.
func (r *Reader) updateEvacuations(keeper netip.AddrPort, update *messenger.FollowResponse) {
	// Evacuated is called with the mutex held: of two concurrent updates, the older revision must
	// not be applied after the newer one.
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if update.GetEvacuations() <= r.evacuations {
		return
	}
	r.options.Log.Info().Strs("evacuated", update.GetEvacuated()).Uint64("revision", update.GetEvacuations()).
		Uint64("before", r.evacuations).Stringer("keeper", keeper).Msg("evacuated zones changed")
	r.evacuations = update.GetEvacuations()
	if r.options.Evacuated != nil {
		r.options.Evacuated(update.GetEvacuated())
	}
}

// updateRations passes on the leases on cold endpoints in an update.
func (r *Reader) updateRations(keeper netip.AddrPort, granted []*messenger.Ration) {
	if len(granted) == 0 || r.options.Rations == nil {
		return
	}
	rations := make([]balancer.Ration, 0, len(granted))
	for _, ration := range granted {
		rations = append(rations, balancer.Ration{
			Endpoint: ration.GetEndpoint(), Pause: time.Duration(ration.GetPauseMs()) * time.Millisecond,
			Term: time.Duration(ration.GetLeaseMs()) * time.Millisecond,
		})
	}
	r.mutex.Lock()
	pollSentAt := r.pollSentAt[keeper]
	r.mutex.Unlock()
	r.options.Rations(pollSentAt, keeper, rations)
}

// publish logs changes of endpoints and passes them on.
func (r *Reader) publish(keeper netip.AddrPort, changed []lister.Listing) {
	r.log(keeper, changed)
	r.options.Endpoints(changed)
}

// Learn adds endpoints that a keeper has named outside the regular updates. An endpoint known as
// leaving or gone stays so.
func (r *Reader) Learn(keeper netip.AddrPort, listings []*messenger.Listing) {
	r.updateListings(keeper, listings)
}

// updateListings merges a keeper's listings into the list and publishes the changes.
func (r *Reader) updateListings(keeper netip.AddrPort, listings []*messenger.Listing) {
	if len(listings) == 0 {
		return
	}
	now := r.options.Clock.Now()
	r.mutex.Lock()
	r.dropGone(now)
	before := r.list.Revision()
	listed := make(map[string]bool, len(listings))
	for _, wire := range listings {
		listing, err := lister.FromWire(wire, now)
		if err != nil {
			r.options.Log.Warn().Err(err).Stringer("keeper", keeper).Msg("keeper sent a listing that cannot be decoded; ignoring it")
			continue
		}
		r.recordSilence(keeper, listing)
		listing.Silent = false
		r.list.ApplyHeartbeat(now, listing)
		listed[listing.ID] = true
	}
	var changed []lister.Listing
	for _, listing := range r.list.Since(before) {
		delete(listed, listing.ID)
		listing.Silent = r.isSilent(listing.ID)
		r.recordReported(listing.ID, listing.Silent)
		changed = append(changed, listing)
	}
	changed = append(changed, r.silenceChanges(listed)...)
	r.mutex.Unlock()
	r.publish(keeper, changed)
}

// goneRetention is how long an endpoint that is gone is remembered: longer than by any keeper, whose
// late updates must not bring it back.
const goneRetention = 10 * time.Minute

// dropGone removes endpoints that have been gone for goneRetention. Otherwise replaced endpoints would
// fill the list within weeks, and new ones would not be accepted.
func (r *Reader) dropGone(now time.Time) {
	if now.Sub(r.droppedAt) < goneRetention/10 {
		return
	}
	r.droppedAt = now
	for _, id := range r.list.RemoveGone(now, goneRetention) {
		delete(r.silent, id)
		delete(r.reportedSilent, id)
	}
}
