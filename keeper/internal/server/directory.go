package server

import (
	"slices"
	"sync"
	"time"

	"shallotkeel.example/lib/lister"
	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/rationer"
)

const (
	// crashesToQuarantine is how often endpoints must have broken under one
	// request before no router sends it again. One is chance: whatever else ran
	// on the endpoint looks the same. A third would cost another endpoint.
	crashesToQuarantine = 2
	// crashMemory is how long crashes count, and how long a quarantine lasts
	// after the last one.
	crashMemory = 60 * time.Second
	// maxCrashes bounds the fingerprints that are remembered, 100 bytes each.
	maxCrashes = 8192
	// followerMemory is how long a follower that does not call is counted. Its
	// polls come twice a second.
	followerMemory = 2500 * time.Millisecond
)

// directory is the soft state of a keeper that serves the list of endpoints:
// the list itself, who follows it, and what followers report. All of it is told
// again after a restart.
//
// It has a lock of its own and no part in the control loop, because that waits
// for the disk: heartbeats must be answered while a disk hangs.
type directory struct {
	lock      sync.Mutex
	list      lister.List
	heard     map[string]heard // direct heartbeats, for the other keepers
	followers map[string]*follower
	direct    sums // of the routers that report here
	whole     sums // these, and what the other keepers add up
	taker     routerSummaryCache
	lessor    rationer.Lessor // of this keeper's parts of cold endpoints
	parts     []part
	divided   time.Time // when the parts were worked out
	crashes   map[uint64]*crashes
	convicted uint64            // rises with every quarantined fingerprint
	zones     map[string]string // of the other keepers, by their control addresses
	sources   sources
	fleet     fleetSize
	subset    subset
	streams   streams
}

// heard is an instance's latest heartbeat.
type heard struct {
	started  time.Time
	sequence uint64
	at       time.Time
}

type follower struct {
	at     time.Time
	keeper bool
	report *messenger.FollowRequest
	told   uint64   // convicted, as of the follower's last answer
	missed []string // of a keeper: others that it does not hear since the present poll
}

type crashes struct {
	at     time.Time
	by     map[string]uint32 // by router
	direct map[string]bool   // routers that told it here, not through another keeper
	total  uint32
	guilty bool // it is quarantined
}

// beat takes a heartbeat from an instance. It tells whether the list changed, and whether by
// something urgent.
func (d *directory) beat(now time.Time, beat lister.Listing) (changed, urgent bool) {
	d.lock.Lock()
	defer d.lock.Unlock()
	urgent = d.urgent(beat)
	changed = d.list.Beat(now, beat)
	d.sources.direct(beat.ID)
	if d.heard == nil {
		d.heard = make(map[string]heard)
	}
	if !beat.Started.Before(d.heard[beat.ID].started) {
		d.heard[beat.ID] = heard{started: beat.Started, sequence: beat.Sequence, at: now}
	}
	return changed, urgent
}

// urgent tells whether a listing speaks against an endpoint that may be in use: it leaves or is
// gone, or another life of it has begun.
func (d *directory) urgent(l lister.Listing) bool {
	known, found := d.list.Find(l.ID)
	return l.State > lister.Ready || found && !known.Started.Equal(l.Started)
}

// lists tells whether an instance is listed under a service.
func (d *directory) lists(id, service string) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	listing, found := d.list.Find(id)
	return found && listing.Service == service
}

func (d *directory) leave(now time.Time, id string, started time.Time) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.sources.direct(id)
	return d.list.Leave(now, id, started)
}

func (d *directory) pass(now time.Time) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	for name, f := range d.followers {
		if now.Sub(f.at) > reportTTL {
			d.account(f, -1)
			f.report.Loads, f.report.Uses = nil, nil
		}
		if now.Sub(f.at) > followerMemory {
			delete(d.followers, name)
		}
	}
	for digest, c := range d.crashes {
		if now.Sub(c.at) > crashMemory {
			delete(d.crashes, digest)
		}
	}
	d.taker = routerSummaryCache{}
	d.lessor.DropExpired(now)
	widened := d.subset.count(d.list.Services())
	for _, service := range widened {
		d.list.Retell(service)
	}
	return d.list.Pass(now) || len(widened) > 0
}

// merged is what the news of a keeper changed.
type merged struct {
	any    bool
	urgent bool  // something speaks against an endpoint
	unread error // why the last entry that could not be read was left out
}

// merge takes the news of a keeper.
func (d *directory) merge(now time.Time, keeper string, listings []*messenger.Listing) (m merged) {
	d.lock.Lock()
	defer d.lock.Unlock()
	for _, wire := range listings {
		listing, err := lister.FromWire(wire, now)
		if err != nil {
			m.unread = err
			continue
		}
		// Whether it is silent is for each keeper to say: this one may hear it.
		listing.Silent = false
		urgent := d.urgent(listing)
		if d.list.Beat(now, listing) {
			d.sources.told(listing.ID, keeper)
			m.any, m.urgent = true, m.urgent || urgent
		}
	}
	return m
}

// follow notes a follower's report and tells whether the list changed by it.
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
	d.account(known, -1)
	known.missed = missed(known.report.GetUnheard(), request.GetUnheard())
	known.at, known.keeper, known.report = now, request.GetKeeper(), request
	d.account(known, 1)
	changed := false
	for _, h := range request.GetHeard() {
		if d.list.Heard(now, h.GetId(), lister.FromMillis(h.GetStartedMs()), h.GetSequence()) {
			changed = true
		}
	}
	for _, crash := range request.GetCrashes() {
		if d.count(now, request, crash) {
			changed = true
		}
	}
	d.streams.take(now, request)
	request.Begun = nil // it is not kept with the rest of the report
	if request.GetKeeper() {
		d.place(request.GetAddress(), request.GetZone())
	}
	return changed
}

// place notes the zone of another keeper. It is remembered when that one follows no more: the
// group is told anew to all routers when anything of it changes.
func (d *directory) place(address, zone string) {
	if d.zones == nil || len(d.zones) >= maxPeerClients {
		d.zones = make(map[string]string)
	}
	d.zones[address] = zone
}

// keepers returns the control addresses of the other keepers that follow this one.
func (d *directory) keepers() []string {
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

// zoneOf returns the zone of another keeper, empty if it is not known.
func (d *directory) zoneOf(address string) string {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.zones[address]
}

// account adds a follower's report to the sums, or takes it off.
func (d *directory) account(f *follower, sign int64) {
	d.whole.add(f.report, sign)
	if !f.keeper {
		d.direct.add(f.report, sign)
	}
}

// count notes how often a router has seen endpoints crash under a request, and
// tells whether that proves its guilt.
func (d *directory) count(now time.Time, report *messenger.FollowRequest, crash *messenger.Crash) bool {
	node := report.GetNode()
	if report.GetKeeper() {
		node = crash.GetNode()
	}
	if d.crashes == nil {
		d.crashes = make(map[uint64]*crashes)
	}
	known, found := d.crashes[crash.GetDigest()]
	if !found {
		if len(d.crashes) >= maxCrashes {
			return false
		}
		known = &crashes{by: make(map[string]uint32), direct: make(map[string]bool)}
		d.crashes[crash.GetDigest()] = known
	}
	if !report.GetKeeper() {
		known.direct[node] = true
	}
	before := known.by[node]
	if crash.GetCount() <= before {
		return false
	}
	known.by[node] = crash.GetCount()
	known.total += crash.GetCount() - before
	known.at = now
	if known.total < crashesToQuarantine || known.guilty {
		return false
	}
	known.guilty = true
	d.convicted++
	return true
}

// mostUntold bounds the changes that a follower is not told of, because they do not concern
// it, before it is told that there are none: until then they are looked through at each
// wake-up.
const mostUntold = 128

// fresh tells whether there is anything that a follower does not know yet. It is asked
// at each wake-up of each poll; the answer itself is built once, when it is sent.
func (d *directory) fresh(request *messenger.FollowRequest, epoch uint64) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	known, found := d.followers[request.GetNode()]
	if request.GetEpoch() != epoch || found && known.told != d.convicted {
		return true
	}
	untold := d.list.Revision() - request.GetAfter()
	if untold > mostUntold {
		return true
	}
	return len(d.unknown(request, epoch)) > 0
}

// news returns what a follower does not know yet, and what all routers report.
func (d *directory) news(now time.Time, request *messenger.FollowRequest, epoch uint64) *messenger.FollowResponse {
	d.lock.Lock()
	defer d.lock.Unlock()
	response := &messenger.FollowResponse{Epoch: epoch, Next: d.list.Revision(), Brief: request.GetBrief()}
	for _, listing := range d.unknown(request, epoch) {
		response.Listings = append(response.Listings, lister.ToWire(listing, now))
	}
	if !request.GetKeeper() {
		census := d.taker.get(now, d.followers)
		response.Routers, response.Expected, response.Reporting = census.routers, census.routers, census.reporting
		if request.GetPartial() {
			response.Routers, response.Expected = d.fleet.observe(now, census.total())
		}
		if !request.GetBrief() {
			response.Uses = d.whole.uses.toWire()
			response.Loads = d.whole.loads.excluding(request.GetLoads())
			response.BacklogMs = census.backlog
			response.Homes = d.subset.homes()
		}
	}
	for digest, c := range d.crashes {
		if c.guilty {
			left := crashMemory - now.Sub(c.at)
			response.Quarantined = append(response.Quarantined, &messenger.Fingerprint{Digest: digest, LeftMs: uint32(max(left, 0) / time.Millisecond)})
		}
	}
	if known, found := d.followers[request.GetNode()]; found {
		known.told = d.convicted
	}
	return response
}

// unknown returns the part of the list that a follower does not know yet. A router is told of
// its subset, and of all that leave. One that follows briefly has the subset from its primary:
// from here it only hears what speaks against an endpoint, or no longer does. Else each endpoint
// that announces itself would be told to every router by every keeper. A keeper is told what
// no other one tells it.
func (d *directory) unknown(request *messenger.FollowRequest, epoch uint64) []lister.Listing {
	after := request.GetAfter()
	if request.GetEpoch() != epoch {
		after = 0
	}
	if request.GetKeeper() {
		return d.untold(request, after)
	}
	router := d.subset.of(request.GetNode(), request.GetZone())
	return d.list.Select(after, func(l *lister.Listing) bool {
		return l.State > lister.Ready || (!request.GetBrief() || !l.Well()) && router.has(l)
	})
}

// summary fills in what the routers that report here tell, for another keeper.
func (d *directory) summary(now time.Time, report *messenger.FollowRequest) {
	d.lock.Lock()
	defer d.lock.Unlock()
	census := d.taker.get(now, d.followers)
	report.Reporting, report.BacklogMs = census.direct, census.directBacklog
	report.Uses, report.Loads = d.direct.uses.toWire(), d.direct.loads.excluding(nil)
	for digest, c := range d.crashes {
		for node := range c.direct {
			report.Crashes = append(report.Crashes, &messenger.Crash{Digest: digest, Count: c.by[node], Node: node})
		}
	}
}

// size is how many followers there are.
func (d *directory) size() int {
	d.lock.Lock()
	defer d.lock.Unlock()
	return len(d.followers)
}

// routers is how many routers the fleet has.
func (d *directory) routers(now time.Time) int {
	d.lock.Lock()
	defer d.lock.Unlock()
	return int(d.taker.get(now, d.followers).total())
}

// recent returns the direct heartbeats since a time, of the last intervals at most.
func (d *directory) recent(now, since time.Time) []*messenger.Heard {
	d.lock.Lock()
	defer d.lock.Unlock()
	var recent []*messenger.Heard
	for id, h := range d.heard {
		if now.Sub(h.at) > 2*d.list.Interval {
			delete(d.heard, id)
			continue
		}
		if h.at.Before(since) {
			continue
		}
		recent = append(recent, &messenger.Heard{Id: id, Sequence: h.sequence, StartedMs: lister.ToMillis(h.started)})
	}
	return recent
}
