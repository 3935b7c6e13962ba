// Package detector keeps the list of live routers.
//
// Within an availability zone every router has a beat, a number that rises
// with each of its heartbeats. Heartbeats go to a few members in turn (to all
// of them in a small zone) and carry the beats of all members, so that beats
// spread like gossip and the traffic of a router does not grow with the square
// of the zone. A member whose beat stops rising for the suspect time is dead.
// Lists are compared by digest and sent only when they differ. Of the other
// zones, one member is asked in turn with each heartbeat.
//
// Invariants: the machine is pure, the host sends its beats and gives it what
// comes back; an older incarnation never replaces a newer one; old gossip
// never revives a dead member, only a higher beat does; a detector that was
// itself frozen does not blame the others for the time in which it heard
// nothing; memory is bounded by MaxMembers, MaxZones and MaxDead.
package detector

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"shallotkeel.example/lib/messenger"
)

// Bounds of what a detector remembers.
const (
	MaxMembers = 256 // members of one zone
	MaxZones   = 64
	MaxDead    = 64
)

// Defaults of the options.
const (
	DefaultHeartbeat    = 250 * time.Millisecond
	DefaultSuspectAfter = time.Second
	DefaultFanout       = 3
)

// contactsPerZone is how many members of each other zone a full list names, so
// that a router that starts learns of zones that none of its seeds is in.
const contactsPerZone = 2

// Options say who a detector is and how fast it judges.
type Options struct {
	Self  Member
	Seeds []netip.AddrPort // control addresses of some other routers
	// Heartbeat is the time between two calls of Tick.
	Heartbeat time.Duration
	// SuspectAfter is how long a beat may stand still.
	SuspectAfter time.Duration
	// Fanout is how many members of the zone a heartbeat goes to.
	Fanout int
}

// Beat is a heartbeat to send.
type Beat struct {
	To      netip.AddrPort
	Request *messenger.HeartbeatRequest
}

// Detector is one router's view of the fleet. The methods are called by one
// goroutine.
type Detector struct {
	options  Options
	self     Member
	records  map[string]*record // own zone, without self
	zones    map[string]*zone   // other zones
	agreed   map[netip.AddrPort]uint64
	ticks    int
	last     time.Time
	version  uint64
	thawed   uint64
	live     []Member // cache, self included, sorted by name
	digest   uint64
	places   map[netip.AddrPort]string // cache: the zone of each listed address
	contacts int                       // answers and beats heard in all
}

// New returns a detector that knows only itself.
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
		options: options,
		self:    options.Self,
		records: make(map[string]*record),
		zones:   make(map[string]*zone),
		agreed:  make(map[netip.AddrPort]uint64),
		last:    now,
	}
	d.refresh()
	return d
}

// Version rises whenever a list of members or a leaving mark has changed.
func (d *Detector) Version() uint64 {
	return d.version
}

// Thawed counts how often this process stood still for longer than the others
// wait before they take over its pools.
func (d *Detector) Thawed() uint64 {
	return d.thawed
}

// Contacts counts the heartbeats and answers heard from others.
func (d *Detector) Contacts() int {
	return d.contacts
}

// Self returns this router as it presents itself.
func (d *Detector) Self() Member {
	return d.self
}

// Leave announces that this router is about to stop, and returns heartbeats
// that tell every member of the zone at once.
func (d *Detector) Leave() []Beat {
	d.self.Leaving = true
	d.self.Beat++
	d.refresh()
	var beats []Beat
	for _, m := range d.live {
		if m.Name != d.self.Name {
			beats = append(beats, d.beatTo(m.Address))
		}
	}
	return beats
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

// Members returns the last known list of a zone.
func (d *Detector) Members(name string) []Member {
	if name == d.self.Zone {
		return d.live
	}
	if z := d.zones[name]; z != nil {
		return z.members
	}
	return nil
}

// Heard returns when another zone last answered.
func (d *Detector) Heard(name string) time.Time {
	if z := d.zones[name]; z != nil {
		return z.heard
	}
	return time.Time{}
}

// Owner returns the router that schedules a pool.
func (d *Detector) Owner(zone, service string) (Member, bool) {
	return Owner(d.Members(zone), zone, service)
}

// Tick judges the members and returns the heartbeats to send now.
func (d *Detector) Tick(now time.Time) []Beat {
	d.thaw(now)
	d.ticks++
	d.self.Beat++
	d.judge(now)
	beats := d.beatZone()
	beats = append(beats, d.beatOther()...)
	return append(beats, d.beatLost()...)
}

// thaw shifts what was heard by the time in which this process stood still. A
// process that is stopped and continued would otherwise find every other
// member silent, and make itself the scheduler of everything.
func (d *Detector) thaw(now time.Time) {
	stood := now.Sub(d.last) - d.options.Heartbeat
	d.last = now
	if stood < d.options.SuspectAfter/2 {
		return
	}
	for _, r := range d.records {
		r.heard = r.heard.Add(stood)
	}
	if stood >= d.options.SuspectAfter-d.options.Heartbeat {
		d.thawed++
		d.version++
	}
}

func (d *Detector) judge(now time.Time) {
	changed := false
	for _, r := range d.records {
		if !r.dead && now.Sub(r.heard) > d.options.SuspectAfter {
			r.dead = true
			changed = true
		}
	}
	if changed {
		d.forget()
		d.refresh()
	}
}

// forget drops the members that have been dead for longest beyond MaxDead.
func (d *Detector) forget() {
	var dead []*record
	for _, r := range d.records {
		if r.dead {
			dead = append(dead, r)
		}
	}
	slices.SortFunc(dead, func(a, b *record) int { return a.heard.Compare(b.heard) })
	for _, r := range dead[:max(0, len(dead)-MaxDead)] {
		delete(d.records, r.Name)
		delete(d.agreed, r.Address)
	}
}

// refresh computes the live list and its digest again.
func (d *Detector) refresh() {
	d.live = []Member{d.self}
	for _, r := range d.records {
		if !r.dead {
			d.live = append(d.live, r.Member)
		}
	}
	sorted(d.live)
	d.place()
	d.digest = digestOf(d.live, d.Zones())
	d.version++
}

func (d *Detector) place() {
	d.places = make(map[netip.AddrPort]string)
	for name, z := range d.zones {
		for _, m := range z.members {
			d.places[m.Address] = name
		}
	}
	for _, m := range d.live {
		d.places[m.Address] = d.self.Zone
	}
}

// beatZone goes on around the zone, each member starting behind its own place,
// so that every member gets as many heartbeats as it sends.
func (d *Detector) beatZone() []Beat {
	others := len(d.live) - 1
	own := slices.IndexFunc(d.live, func(m Member) bool { return m.Name == d.self.Name })
	count := min(d.options.Fanout, others)
	beats := make([]Beat, 0, count+2)
	for i := range count {
		step := 1 + (d.ticks*count+i)%others
		to := d.live[(own+step)%len(d.live)]
		beats = append(beats, d.beatTo(to.Address))
	}
	return beats
}

// beatTo leaves out whatever the other knows if it still agrees with us.
func (d *Detector) beatTo(address netip.AddrPort) Beat {
	request := &messenger.HeartbeatRequest{Digest: d.digest, Beats: d.beats()}
	if d.agreed[address] == d.digest {
		request.From = &messenger.Member{Name: d.self.Name, Incarnation: d.self.Incarnation}
	} else {
		request.From = encode(d.self)
	}
	return Beat{To: address, Request: request}
}

// beatOther asks one member of one other zone, zones in turn. It stays with a
// member that answers: connections to all members of all zones would be kept
// alive for nothing.
func (d *Detector) beatOther() []Beat {
	names := d.Zones()
	if len(names) == 0 {
		return nil
	}
	z := d.zones[names[d.ticks%len(names)]]
	if len(z.members) == 0 {
		return nil
	}
	offset := xxhash.Sum64String(d.self.Name) % MaxMembers
	if z.asked {
		z.cursor++ // the last one did not answer
	}
	z.asked = true
	to := z.members[(z.cursor+int(offset))%len(z.members)]
	return []Beat{d.ask(to.Address, z.digest)}
}

func (d *Detector) ask(address netip.AddrPort, known uint64) Beat {
	request := &messenger.HeartbeatRequest{Digest: known, From: &messenger.Member{Zone: d.self.Zone}}
	if known == 0 {
		request.From = encode(d.self)
	}
	return Beat{To: address, Request: request}
}

// beatLost tries one address that should be a router and is not in any list:
// a seed, or a member that has died. This is how the halves of a zone that
// was cut find each other again.
func (d *Detector) beatLost() []Beat {
	var lost []netip.AddrPort
	for _, seed := range d.options.Seeds {
		if d.places[seed] == "" {
			lost = append(lost, seed)
		}
	}
	for _, r := range d.records {
		if r.dead && d.places[r.Address] == "" && !slices.Contains(lost, r.Address) {
			lost = append(lost, r.Address)
		}
	}
	if len(lost) == 0 {
		return nil
	}
	slices.SortFunc(lost, netip.AddrPort.Compare)
	delete(d.agreed, lost[d.ticks%len(lost)])
	return []Beat{d.beatTo(lost[d.ticks%len(lost)])}
}

// beats are the members' beats in the order of the live list.
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
