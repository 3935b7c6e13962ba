package server

import (
	"slices"
	"sync"
	"time"
	"unicode/utf8"

	"shallotkeel.example/lib/indexer"
	"shallotkeel.example/lib/lister"
	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/rationer"
)

const (
	// followerMemory is how long a follower counts after its last poll. Followers
	// poll twice a second.
	followerMemory = 2500 * time.Millisecond
)

// directory is the soft state of a keeper that serves the list of endpoints: the
// list itself, its followers (routers and other keepers), and their reports. Heartbeats
// and polls rebuild it after a restart. Only departures are replicated: an endpoint that
// has announced its departure may send no further heartbeat.
//
// It has a lock of its own and is not part of the control loop, because the control
// loop waits for the disk, and heartbeats must be answered while a disk hangs.
type directory struct {
	lock          sync.Mutex
	list          lister.List
	heartbeats    map[string]latestHeartbeat // received from the instances themselves, by instance id
	followers     map[string]*follower
	directSums    sums               // over the routers that report to this keeper
	totalSums     sums               // directSums plus the sums that the other keepers report
	summaryCache  routerSummaryCache // summary of the routers' reports
	lessor        rationer.Lessor    // leases this keeper's parts of cold endpoints to routers
	parts         []part
	partsAt       time.Time // when parts was last computed
	crashes       crashReports
	keeperZones   map[string]string // zones of the other keepers, by control address
	sources       sources
	fleet         fleetSize
	subset        subset
	streamOrigins streamOrigins
	holdings      holdings
	departures    departures
	mixed         mixedServices
}

// latestHeartbeat identifies the latest heartbeat that this keeper received from an instance.
type latestHeartbeat struct {
	started  time.Time
	sequence uint64
	at       time.Time
}

// follower is a router or another keeper that polls this keeper.
type follower struct {
	at               time.Time
	keeper           bool
	report           *messenger.FollowRequest
	sentQuarantine   uint64    // revision of the quarantines that the follower got last
	sentQuarantineAt time.Time // when it got them
	newlyUnreachable []string  // for a keeper: the keepers it reports as unreachable since this poll
	holdingsAt       time.Time // when it last got an answer that may contain holdings
	occasional       occasional
}

// receiveHeartbeat records a heartbeat that an instance sent to this keeper. It reports whether the
// list changed, and whether the change is urgent.
func (d *directory) receiveHeartbeat(now time.Time, heartbeat lister.Listing) (changed, urgent bool) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.departures.correct(&heartbeat)
	urgent = d.urgent(heartbeat)
	changed = d.changeEndpoint(heartbeat.ID, func() bool { return d.list.ApplyHeartbeat(now, heartbeat) })
	d.sources.recordDirect(heartbeat.ID)
	if d.heartbeats == nil {
		d.heartbeats = make(map[string]latestHeartbeat)
	}
	if !heartbeat.Started.Before(d.heartbeats[heartbeat.ID].started) {
		d.heartbeats[heartbeat.ID] = latestHeartbeat{started: heartbeat.Started, sequence: heartbeat.Sequence, at: now}
	}
	return changed, urgent
}

// urgent reports whether a listing invalidates an endpoint to which routers may be sending: the
// endpoint is leaving or gone, or it has restarted.
func (d *directory) urgent(l lister.Listing) bool {
	known, found := d.list.Find(l.ID)
	return l.State > lister.Ready || found && !known.Started.Equal(l.Started)
}

// hasListing reports whether an instance is listed under a service.
func (d *directory) hasListing(id, service string) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	listing, found := d.list.Find(id)
	return found && listing.Service == service
}

// hasInstance reports whether an instance is listed.
func (d *directory) hasInstance(id string) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	_, found := d.list.Find(id)
	return found
}

// leave marks an instance as leaving, at the instance's own request. It reports whether the
// list changed.
func (d *directory) leave(now time.Time, id string, started time.Time) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.sources.recordDirect(id)
	return d.changeEndpoint(id, func() bool { return d.list.Leave(now, id, started) })
}

// expire drops reports, followers, crashes and leases of parts that are too old, marks silent
// endpoints, and adapts the subsets to the size of the services. It reports whether the list
// changed.
func (d *directory) expire(now time.Time) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	for name, f := range d.followers {
		if now.Sub(f.at) > reportTTL {
			d.updateSums(f, -1)
			f.report.Loads, f.report.Uses = nil, nil
		}
		d.expireOccasional(now, f)
		if now.Sub(f.at) > followerMemory {
			delete(d.followers, name)
		}
	}
	quarantinesChanged := d.crashes.expire(now)
	d.summaryCache = routerSummaryCache{}
	d.lessor.DropExpired(now)
	d.expireDepartures(now)
	widened := d.subset.updateSizes(d.survey())
	for _, service := range widened {
		d.list.Resend(service)
	}
	return d.list.Expire(now) || len(widened) > 0 || quarantinesChanged
}

// mergeResult is the effect of another keeper's update on the list.
type mergeResult struct {
	changed bool
	urgent  bool  // the update invalidates an endpoint to which routers may be sending
	invalid error // why the last malformed listing was skipped, nil if none was
}

// merge adds the listings that another keeper sent to the list.
func (d *directory) merge(now time.Time, keeper string, listings []*messenger.Listing) (m mergeResult) {
	d.lock.Lock()
	defer d.lock.Unlock()
	for _, wire := range listings {
		listing, err := lister.FromWire(wire, now)
		if err != nil {
			m.invalid = err
			continue
		}
		// Each keeper judges silence by itself: this one may still receive the heartbeats.
		listing.Silent = false
		d.departures.correct(&listing)
		urgent := d.urgent(listing)
		if d.changeEndpoint(listing.ID, func() bool { return d.list.ApplyHeartbeat(now, listing) }) {
			d.sources.recordKeeper(listing.ID, keeper)
			m.changed, m.urgent = true, m.urgent || urgent
		}
	}
	return m
}

// follow records a follower's report, and reports whether the list or the set of quarantined
// fingerprints changed by it.
func (d *directory) follow(now time.Time, request *messenger.FollowRequest) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	if d.followers == nil {
		d.followers = make(map[string]*follower)
	}
	known, found := d.followers[request.GetNode()]
	if !found {
		known = &follower{}
		d.followers[request.GetNode()] = known
	}
	d.updateSums(known, -1)
	known.newlyUnreachable = newlyUnreachable(known.report.GetUnheard(), request.GetUnheard())
	known.at, known.keeper, known.report = now, request.GetKeeper(), request
	d.updateSums(known, 1)
	d.updateOccasional(now, known, request)
	changed := false
	for _, h := range request.GetHeard() {
		if d.list.Refresh(now, h.GetId(), lister.FromMillis(h.GetStartedMs()), h.GetSequence()) {
			changed = true
		}
	}
	if d.crashes.receive(now, request) {
		changed = true
	}
	d.streamOrigins.receive(now, request)
	d.holdings.receive(now, request)
	// The records are kept in streamOrigins, crashes and holdings, not with the report.
	request.Begun, request.Crashes, request.Answered, request.Holdings = nil, nil, nil, nil
	if request.GetKeeper() {
		d.recordZone(request.GetAddress(), request.GetZone())
	}
	return changed
}

// recordZone records the zone of another keeper. The zone is kept when that keeper stops
// following, because any change of the group is sent to all routers again.
func (d *directory) recordZone(address, zone string) {
	if d.keeperZones == nil || len(d.keeperZones) >= maxPeerClients {
		d.keeperZones = make(map[string]string)
	}
	d.keeperZones[address] = zone
}

// followingKeepers returns the control addresses of the other keepers that follow this one.
func (d *directory) followingKeepers() []string {
	d.lock.Lock()
	defer d.lock.Unlock()
	var addresses []string
	for _, f := range d.followers {
		if f.keeper && f.report.GetAddress() != "" {
			addresses = append(addresses, f.report.GetAddress())
		}
	}
	slices.Sort(addresses)
	return addresses
}

// zoneOf returns the zone of the keeper with a control address, empty if it is unknown.
func (d *directory) zoneOf(address string) string {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.keeperZones[address]
}

// updateSums adds a follower's report to the sums if sign is 1, and subtracts it if sign is -1.
func (d *directory) updateSums(f *follower, sign int64) {
	d.totalSums.add(f.report, sign)
	if !f.keeper {
		d.directSums.add(f.report, sign)
	}
}

// maxSkippedChanges bounds the list changes that do not concern a follower before it gets an
// empty answer that moves its revision past them. Until then each wake-up filters these changes
// again.
const maxSkippedChanges = 128

// hasFollowUpdate reports whether a follower lacks listings or quarantined fingerprints, or has
// followed an earlier epoch of this keeper. It is called at each wake-up of each poll; the answer
// itself is built once, when it is sent.
func (d *directory) hasFollowUpdate(request *messenger.FollowRequest, epoch uint64) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	known, found := d.followers[request.GetNode()]
	if request.GetEpoch() != epoch || found && known.sentQuarantine != d.crashes.revision() {
		return true
	}
	skipped := d.list.Revision() - request.GetAfter()
	if skipped > maxSkippedChanges {
		return true
	}
	return len(d.pendingListings(request, epoch)) > 0
}

// updatesFor returns the answer to a follower's poll: the listings that it lacks, the quarantined
// fingerprints and, for routers, the sums over all routers' reports.
func (d *directory) updatesFor(now time.Time, request *messenger.FollowRequest, epoch uint64) *messenger.FollowResponse {
	d.lock.Lock()
	defer d.lock.Unlock()
	response := &messenger.FollowResponse{Epoch: epoch, Next: d.list.Revision(), Brief: request.GetBrief()}
	response.Listings = lister.EncodableToWire(d.pendingListings(request, epoch), now)
	if !request.GetKeeper() {
		summary := d.summaryCache.get(now, d.followers)
		response.Mixed = d.mixed.names()
		response.Routers, response.Expected, response.Reporting = summary.routers, summary.routers, summary.reporting
		if request.GetPartial() {
			response.Routers, response.Expected = d.fleet.observe(now, summary.total())
		}
		if !request.GetBrief() {
			response.Uses = d.totalSums.uses.toWire()
			response.Loads = d.totalSums.loads.excluding(request.GetLoads())
			d.addOccasional(now, request, response)
			response.BacklogMs = summary.backlog
			response.Homes = d.subset.homeSamples()
		}
	}
	if known, found := d.followers[request.GetNode()]; found {
		d.crashes.answer(now, known, request, response)
		d.holdings.answer(now, known, request, epoch, response)
	}
	return response
}

// pendingListings returns the listings that a follower lacks. A router receives its subset, and
// all endpoints that leave. A router that follows briefly receives the subset from its primary
// keeper: this keeper only sends it endpoints that became unhealthy or recovered. Otherwise every
// keeper would send each endpoint that announces itself to every router. A keeper receives the
// listings that no other keeper sends it.
func (d *directory) pendingListings(request *messenger.FollowRequest, epoch uint64) []lister.Listing {
	after := request.GetAfter()
	if request.GetEpoch() != epoch {
		after = 0
	}
	if request.GetKeeper() {
		return d.pendingForKeeper(request, after)
	}
	subset := d.subset.forRouter(request.GetNode(), request.GetZone())
	return d.list.Select(after, func(l *lister.Listing) bool {
		return l.State > lister.Ready || (!request.GetBrief() || !l.Healthy()) && subset.includes(l)
	})
}

// summarize adds the reports of the routers that report to this keeper to its own report, which
// it sends to another keeper. Reports of crashes are added if they arrived from a time on, or, for a
// keeper that may have missed earlier ones, all that this keeper knows of crashes.
func (d *directory) summarize(now, since time.Time, missed bool, report *messenger.FollowRequest) {
	d.lock.Lock()
	defer d.lock.Unlock()
	summary := d.summaryCache.get(now, d.followers)
	report.Reporting, report.BacklogMs = summary.direct, summary.directBacklog
	report.Uses, report.Loads = d.directSums.uses.toWire(), d.directSums.loads.excluding(nil)
	if missed {
		evidence := d.crashes.judge.Evidence()
		evidence.AddTo(report, now)
	} else {
		d.crashes.relay(now, since, report)
	}
	report.Holdings = indexer.ToWire(d.holdings.direct.RefreshedSince(now, since))
}

// followerCount returns the number of followers, routers and keepers.
func (d *directory) followerCount() int {
	d.lock.Lock()
	defer d.lock.Unlock()
	return len(d.followers)
}

// routerCount returns the number of routers of the fleet.
func (d *directory) routerCount(now time.Time) int {
	d.lock.Lock()
	defer d.lock.Unlock()
	return int(d.summaryCache.get(now, d.followers).total())
}

// recentHeartbeats returns the heartbeats that this keeper received from instances since a time,
// limited to the last two heartbeat intervals.
func (d *directory) recentHeartbeats(now, since time.Time) []*messenger.Heard {
	d.lock.Lock()
	defer d.lock.Unlock()
	var recent []*messenger.Heard
	for id, h := range d.heartbeats {
		if now.Sub(h.at) > 2*d.list.Interval {
			delete(d.heartbeats, id)
			continue
		}
		if h.at.Before(since) || !utf8.ValidString(id) {
			continue
		}
		recent = append(recent, &messenger.Heard{Id: id, Sequence: h.sequence, StartedMs: lister.ToMillis(h.started)})
	}
	return recent
}
