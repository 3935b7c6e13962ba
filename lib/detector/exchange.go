package detector

import (
	"time"

	"shallotkeel.example/lib/messenger"
)

// Receive applies another router's heartbeat and returns the response.
func (d *Detector) Receive(now time.Time, request *messenger.HeartbeatRequest) *messenger.HeartbeatResponse {
	d.contacts++
	from := request.GetFrom()
	if d.ofOtherZone(from) {
		return d.receiveFromOtherZone(now, request)
	}
	if member, ok := decode(from); ok {
		d.merge(now, member)
	}
	d.mergeAll(now, request.GetMembers())
	response := &messenger.HeartbeatResponse{Digest: d.digest}
	if request.GetDigest() == d.digest {
		d.raiseBeats(now, request.GetBeats())
		response.Beats = d.beats()
		return response
	}
	response.From = encode(d.self)
	response.Members = d.fullList()
	return response
}

// ofOtherZone reports whether a message is from a router of another zone.
func (d *Detector) ofOtherZone(from *messenger.Member) bool {
	return from.GetZone() != "" && from.GetZone() != d.self.Zone
}

// receiveFromOtherZone responds to a router of another zone, which only asks whether its list of
// this zone is still current.
func (d *Detector) receiveFromOtherZone(now time.Time, request *messenger.HeartbeatRequest) *messenger.HeartbeatResponse {
	if member, ok := decode(request.GetFrom()); ok {
		d.addContact(now, member)
	}
	response := &messenger.HeartbeatResponse{Digest: d.digest}
	if request.GetDigest() == d.digest {
		return response
	}
	response.From = encode(d.self)
	response.Members = d.fullList()
	return response
}

// fullList returns all live members of the own zone and contactsPerZone members of each other
// zone.
func (d *Detector) fullList() []*messenger.Member {
	members := make([]*messenger.Member, 0, len(d.live)+contactsPerZone*len(d.zones))
	for _, m := range d.live {
		if m.Name == d.self.Name {
			m.Beat = d.self.Beat
		} else {
			m.Beat = d.records[m.Name].Beat
		}
		members = append(members, encode(m))
	}
	for _, name := range d.Zones() {
		others := d.zones[name].members
		for _, m := range others[:min(contactsPerZone, len(others))] {
			members = append(members, encode(m))
		}
	}
	return members
}

// HandleResponse applies the response to a heartbeat, and returns a further heartbeat if the
// responder lacks members of the own list. The response to a further heartbeat leads to no
// other one: the two routers may disagree for a while about a member that only one of them
// considers dead.
func (d *Detector) HandleResponse(now time.Time, sent Heartbeat, response *messenger.HeartbeatResponse) []Heartbeat {
	d.contacts++
	to := sent.To
	from := response.GetFrom()
	if d.ofOtherZone(from) {
		d.replaceZone(now, response)
		return nil
	}
	if from == nil {
		if z := d.zones[d.zoneOf[to]]; z != nil {
			z.lastContact, z.unanswered = now, false
			return nil
		}
	}
	if member, ok := decode(from); ok {
		d.merge(now, member)
	}
	d.mergeAll(now, response.GetMembers())
	if response.GetDigest() == d.digest {
		d.agreedDigests[to] = d.digest
		d.raiseBeats(now, response.GetBeats())
		return nil
	}
	if len(response.GetMembers()) == 0 || len(sent.Request.GetMembers()) > 0 {
		return nil
	}
	further := d.newHeartbeat(to)
	further.Request.Members = d.fullList()
	return []Heartbeat{further}
}

// replaceZone replaces the list of another zone by the one in a response.
func (d *Detector) replaceZone(now time.Time, response *messenger.HeartbeatResponse) {
	name := response.GetFrom().GetZone()
	z := d.addZone(name)
	if z == nil {
		return
	}
	z.lastContact, z.unanswered = now, false
	if z.digest == response.GetDigest() {
		return
	}
	members := make([]Member, 0, len(response.GetMembers()))
	for _, encoded := range response.GetMembers() {
		m, ok := decode(encoded)
		switch {
		case !ok:
		case m.Zone == name && len(members) < MaxMembers:
			members = append(members, m)
		case m.Zone != d.self.Zone:
			d.addContact(time.Time{}, m)
		}
	}
	z.members = sorted(members)
	z.digest = response.GetDigest()
	d.refresh()
}

// addZone returns the entry of another zone and creates it if needed. It returns nil if there are
// already MaxZones zones.
func (d *Detector) addZone(name string) *zone {
	if z := d.zones[name]; z != nil {
		return z
	}
	if len(d.zones) >= MaxZones {
		return nil
	}
	z := &zone{}
	d.zones[name] = z
	return z
}

// addContact adds a member of another zone whose list has not been received yet. now is the time
// of a direct contact with the member, zero if it comes from another router's list.
func (d *Detector) addContact(now time.Time, member Member) {
	z := d.addZone(member.Zone)
	if z == nil {
		return
	}
	if now.After(z.lastContact) {
		z.lastContact = now
	}
	if z.digest != 0 {
		return
	}
	for _, m := range z.members {
		if m.Name == member.Name {
			return
		}
	}
	z.members = sorted(append(z.members, member))
	d.refresh()
}

// mergeAll applies a full list of another member of the own zone.
func (d *Detector) mergeAll(now time.Time, members []*messenger.Member) {
	for _, encoded := range members {
		m, ok := decode(encoded)
		switch {
		case !ok:
		case m.Zone == d.self.Zone:
			d.merge(now, m)
		default:
			d.addContact(time.Time{}, m)
		}
	}
}

// merge applies a received entry of a member of the own zone.
func (d *Detector) merge(now time.Time, m Member) {
	if m.Name == d.self.Name {
		return
	}
	r := d.records[m.Name]
	switch {
	case r == nil && len(d.records) >= MaxMembers:
	case r == nil || m.Incarnation > r.Incarnation:
		d.records[m.Name] = &record{Member: m, lastRise: now}
		d.refresh()
	case m.Incarnation == r.Incarnation:
		d.update(now, r, m)
	}
}

// update applies a received entry of the known incarnation of a member. Only a higher beat revives
// a dead member.
func (d *Detector) update(now time.Time, r *record, m Member) {
	if m.Beat > r.Beat {
		r.Beat = m.Beat
		r.lastRise = now
	}
	changed := m.Leaving && !r.Leaving
	r.Leaving = r.Leaving || m.Leaving
	if r.dead && r.lastRise.Equal(now) {
		r.dead = false
		changed = true
	}
	if changed {
		d.refresh()
	}
}

// raiseBeats applies received beats. They are in the order of this detector's own live list,
// because the digests are equal.
func (d *Detector) raiseBeats(now time.Time, beats []uint32) {
	if len(beats) != len(d.live) {
		return
	}
	for i, beat := range beats {
		r := d.records[d.live[i].Name]
		if r != nil && beat > r.Beat {
			r.Beat = beat
			r.lastRise = now
		}
	}
}
