// Package detector maintains the list of live routers by gossip.
//
// Within an availability zone every router has a beat, a counter that rises with each of
// its heartbeats. Heartbeats go to a few members in rotation (to all members of a small
// zone) and carry the beats of all members. The beats thus spread by gossip, and the
// traffic of a router does not grow with the square of the zone's size. A member whose beat
// does not rise for the suspect time is dead. Lists are compared by digest and sent only
// when they differ. With each heartbeat, a member of one other zone is queried, the zones
// in rotation.
//
// Invariants:
//   - a Detector is a pure state machine: the caller sends its heartbeats and passes in the
//     responses;
//   - an older incarnation never replaces a newer one;
//   - old gossip never revives a dead member, only a higher beat does;
//   - a detector does not mark other members dead for the time in which its own process was
//     suspended and received nothing;
//   - memory is bounded by MaxMembers, MaxZones and MaxDead.
package detector

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"shallotkeel.example/lib/messenger"
)

// Bounds of a detector's memory.
const (
	MaxMembers = 256 // members of one zone
	MaxZones   = 64  // other zones
	MaxDead    = 64  // dead members of the own zone
)

// Default values of Options.
const (
	DefaultHeartbeat    = 250 * time.Millisecond
	DefaultSuspectAfter = time.Second
	DefaultFanout       = 3
)

// contactsPerZone is the number of members of each other zone in a full list, so that a
// starting router discovers zones that contain none of its seeds.
const contactsPerZone = 2

// Options configures a Detector.
type Options struct {
	Self  Member           // this router
	Seeds []netip.AddrPort // control addresses of some other routers
	// Heartbeat is the interval between two calls of Tick.
	Heartbeat time.Duration
	// SuspectAfter is how long a beat may stay unchanged before its member is dead.
	SuspectAfter time.Duration
	// Fanout is the number of members of the zone that each Tick sends a heartbeat to.
	Fanout int
}

// Heartbeat is a heartbeat to send.
type Heartbeat struct {
	To      netip.AddrPort
	Request *messenger.HeartbeatRequest
}

// Detector is one router's view of the fleet. It is not safe for concurrent use.
type Detector struct {
	options       Options
	self          Member
	records       map[string]*record // own zone, without self
	zones         map[string]*zone   // other zones
	agreedDigests map[netip.AddrPort]uint64
	ticks         int
	lastTick      time.Time
	version       uint64
	stalls        uint64
	live          []Member // cache: the live members, self included, sorted by name
	digest        uint64
	zoneOf        map[netip.AddrPort]string // cache: the zone name of each listed address
	contacts      int                       // number of heartbeats and responses received
}

// New returns a detector whose only member is this router.
func New(now time.Time, options Options) *Detector {
	if options.Heartbeat <= 0 {
		options.Heartbeat = DefaultHeartbeat
	}
	if options.SuspectAfter <= 0 {
		options.SuspectAfter = DefaultSuspectAfter
	}
	if options.Fanout <= 0 {
		options.Fanout = DefaultFanout
	}
	d := &Detector{
		options:       options,
		self:          options.Self,
		records:       make(map[string]*record),
		zones:         make(map[string]*zone),
		agreedDigests: make(map[netip.AddrPort]uint64),
		lastTick:      now,
	}
	d.refresh()
	return d
}

// Version returns a number that rises whenever a list of members or a leaving mark changes, and
// with each stall that Stalls counts.
func (d *Detector) Version() uint64 {
	return d.version
}

// Stalls returns how often this process was suspended for longer than the other routers wait
// before they take over its pools.
func (d *Detector) Stalls() uint64 {
	return d.stalls
}

// Contacts returns the number of heartbeats and responses received from other routers.
func (d *Detector) Contacts() int {
	return d.contacts
}

// Self returns this router's own member entry.
func (d *Detector) Self() Member {
	return d.self
}

// Leave marks this router as leaving because it is about to stop, and returns heartbeats that
// announce this to every member of the zone immediately.
func (d *Detector) Leave() []Heartbeat {
	d.self.Leaving = true
	d.self.Beat++
	d.refresh()
	var heartbeats []Heartbeat
	for _, m := range d.live {
		if m.Name != d.self.Name {
			heartbeats = append(heartbeats, d.newHeartbeat(m.Address))
		}
	}
	return heartbeats
}

// Live returns the live members of the own zone, this router included, sorted
// by name. The slice must not be changed.
func (d *Detector) Live() []Member {
	return d.live
}

// Zones returns the names of the other zones, sorted.
func (d *Detector) Zones() []string {
	return slices.Sorted(maps.Keys(d.zones))
}

// Members returns the last known members of a zone.
func (d *Detector) Members(name string) []Member {
	if name == d.self.Zone {
		return d.live
	}
	if z := d.zones[name]; z != nil {
		return z.members
	}
	return nil
}

// LastContact returns the time of the last contact with another zone, zero if there was none.
func (d *Detector) LastContact(name string) time.Time {
	if z := d.zones[name]; z != nil {
		return z.lastContact
	}
	return time.Time{}
}

// Owner returns the router that schedules a pool.
func (d *Detector) Owner(zone, service string) (Member, bool) {
	return Owner(d.Members(zone), zone, service)
}

// Tick marks the members as dead whose beat has not risen for too long, and returns the heartbeats
// to send now.
func (d *Detector) Tick(now time.Time) []Heartbeat {
	d.compensateStall(now)
	d.ticks++
	d.self.Beat++
	d.markDead(now)
	heartbeats := d.zoneHeartbeats()
	heartbeats = append(heartbeats, d.otherZoneQueries()...)
	return append(heartbeats, d.rejoinHeartbeats()...)
}

// compensateStall extends the members' last rise times by the time for which this process was
// suspended. A process that is stopped and continued would otherwise find every other member
// silent, and make itself the scheduler of all pools.
func (d *Detector) compensateStall(now time.Time) {
	stalled := now.Sub(d.lastTick) - d.options.Heartbeat
	d.lastTick = now
	if stalled < d.options.SuspectAfter/2 {
		return
	}
	for _, r := range d.records {
		r.lastRise = r.lastRise.Add(stalled)
	}
	if stalled >= d.options.SuspectAfter-d.options.Heartbeat {
		d.stalls++
		d.version++
	}
}

// markDead marks the members as dead whose beat has not risen for longer than SuspectAfter.
func (d *Detector) markDead(now time.Time) {
	changed := false
	for _, r := range d.records {
		if !r.dead && now.Sub(r.lastRise) > d.options.SuspectAfter {
			r.dead = true
			changed = true
		}
	}
	if changed {
		d.removeOldestDead()
		d.refresh()
	}
}

// removeOldestDead removes the members that have been dead for longest, down to MaxDead dead
// members.
func (d *Detector) removeOldestDead() {
	var dead []*record
	for _, r := range d.records {
		if r.dead {
			dead = append(dead, r)
		}
	}
	slices.SortFunc(dead, func(a, b *record) int { return a.lastRise.Compare(b.lastRise) })
	for _, r := range dead[:max(0, len(dead)-MaxDead)] {
		delete(d.records, r.Name)
		delete(d.agreedDigests, r.Address)
	}
}

// refresh recomputes the live list, its digest and the zones of the addresses.
func (d *Detector) refresh() {
	d.live = []Member{d.self}
	for _, r := range d.records {
		if !r.dead {
			d.live = append(d.live, r.Member)
		}
	}
	sorted(d.live)
	d.indexZones()
	d.digest = digestOf(d.live, d.Zones())
	d.version++
}

// indexZones recomputes the zone of each listed address.
func (d *Detector) indexZones() {
	d.zoneOf = make(map[netip.AddrPort]string)
	for name, z := range d.zones {
		for _, m := range z.members {
			d.zoneOf[m.Address] = name
		}
	}
	for _, m := range d.live {
		d.zoneOf[m.Address] = d.self.Zone
	}
}

// zoneHeartbeats returns the heartbeats for the next members of the own zone in rotation. Each
// router starts after its own position in the list, so that every member receives as many
// heartbeats as it sends.
func (d *Detector) zoneHeartbeats() []Heartbeat {
	others := len(d.live) - 1
	own := slices.IndexFunc(d.live, func(m Member) bool { return m.Name == d.self.Name })
	count := min(d.options.Fanout, others)
	heartbeats := make([]Heartbeat, 0, count+2)
	for i := range count {
		step := 1 + (d.ticks*count+i)%others
		to := d.live[(own+step)%len(d.live)]
		heartbeats = append(heartbeats, d.newHeartbeat(to.Address))
	}
	return heartbeats
}

// newHeartbeat returns a heartbeat for an address. It carries the own member entry in full only if
// the last known digest of the receiver differs from the own one.
func (d *Detector) newHeartbeat(address netip.AddrPort) Heartbeat {
	request := &messenger.HeartbeatRequest{Digest: d.digest, Beats: d.beats()}
	if d.agreedDigests[address] == d.digest {
		request.From = &messenger.Member{Name: d.self.Name, Incarnation: d.self.Incarnation}
	} else {
		request.From = encode(d.self)
	}
	return Heartbeat{To: address, Request: request}
}

// otherZoneQueries returns a query for one member of one other zone, the zones in rotation. It
// keeps querying a member that responds, which avoids idle connections to all members of all
// zones.
func (d *Detector) otherZoneQueries() []Heartbeat {
	names := d.Zones()
	if len(names) == 0 {
		return nil
	}
	z := d.zones[names[d.ticks%len(names)]]
	if len(z.members) == 0 {
		return nil
	}
	offset := xxhash.Sum64String(d.self.Name) % MaxMembers
	if z.unanswered {
		z.cursor++ // the last queried member did not respond
	}
	z.unanswered = true
	to := z.members[(z.cursor+int(offset))%len(z.members)]
	return []Heartbeat{d.newZoneQuery(to.Address, z.digest)}
}

// newZoneQuery returns a heartbeat that asks a member of another zone for its list, unless the list
// still has the known digest.
func (d *Detector) newZoneQuery(address netip.AddrPort, known uint64) Heartbeat {
	request := &messenger.HeartbeatRequest{Digest: known, From: &messenger.Member{Zone: d.self.Zone}}
	if known == 0 {
		request.From = encode(d.self)
	}
	return Heartbeat{To: address, Request: request}
}

// rejoinHeartbeats returns a heartbeat for one address of a router that is in no list: a seed, or a
// dead member. This lets the halves of a partitioned zone discover each other again.
func (d *Detector) rejoinHeartbeats() []Heartbeat {
	var unlisted []netip.AddrPort
	for _, seed := range d.options.Seeds {
		if d.zoneOf[seed] == "" {
			unlisted = append(unlisted, seed)
		}
	}
	for _, r := range d.records {
		if r.dead && d.zoneOf[r.Address] == "" && !slices.Contains(unlisted, r.Address) {
			unlisted = append(unlisted, r.Address)
		}
	}
	if len(unlisted) == 0 {
		return nil
	}
	slices.SortFunc(unlisted, netip.AddrPort.Compare)
	delete(d.agreedDigests, unlisted[d.ticks%len(unlisted)])
	return []Heartbeat{d.newHeartbeat(unlisted[d.ticks%len(unlisted)])}
}

// beats returns the members' beats in the order of the live list.
func (d *Detector) beats() []uint32 {
	beats := make([]uint32, 0, len(d.live))
	for _, m := range d.live {
		if m.Name == d.self.Name {
			beats = append(beats, d.self.Beat)
			continue
		}
		beats = append(beats, d.records[m.Name].Beat)
	}
	return beats
}
