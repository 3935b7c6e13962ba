package detector

import (
	"time"

	"shallotkeel.example/lib/messenger"
)

// Receive answers another router's heartbeat.
func (d *Detector) Receive(now time.Time, request *messenger.HeartbeatRequest) *messenger.HeartbeatResponse {
	d.contacts++
	from := request.GetFrom()
	if d.foreign(from) {
		return d.receiveOther(now, request)
	}
	if member, ok := decode(from); ok {
		d.merge(now, member)
	}
	d.mergeAll(now, request.GetMembers())
	response := &messenger.HeartbeatResponse{Digest: d.digest}
	if request.GetDigest() == d.digest {
		d.raise(now, request.GetBeats())
		response.Beats = d.beats()
		return response
	}
	response.From = encode(d.self)
	response.Members = d.everyone()
	return response
}

func (d *Detector) foreign(from *messenger.Member) bool {
	return from.GetZone() != "" && from.GetZone() != d.self.Zone
}

// receiveOther answers a router of another zone, which only wants to know
// whether its list of this zone still holds.
func (d *Detector) receiveOther(now time.Time, request *messenger.HeartbeatRequest) *messenger.HeartbeatResponse {
	if member, ok := decode(request.GetFrom()); ok {
		d.contact(now, member)
	}
	response := &messenger.HeartbeatResponse{Digest: d.digest}
	if request.GetDigest() == d.digest {
		return response
	}
	response.From = encode(d.self)
	response.Members = d.everyone()
	return response
}

// everyone is the own zone whole and a few members of each other zone.
func (d *Detector) everyone() []*messenger.Member {
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

// Answer takes in the answer to a heartbeat and returns a further heartbeat
// when the other has to hear what it does not know. A further heartbeat is not
// followed by another: the two may differ for a while over a member that only
// one of them holds for dead.
func (d *Detector) Answer(now time.Time, sent Beat, response *messenger.HeartbeatResponse) []Beat {
	d.contacts++
	to := sent.To
	from := response.GetFrom()
	if d.foreign(from) {
		d.answerOther(now, response)
		return nil
	}
	if from == nil {
		if z := d.zones[d.places[to]]; z != nil {
			z.heard, z.asked = now, false
			return nil
		}
	}
	if member, ok := decode(from); ok {
		d.merge(now, member)
	}
	d.mergeAll(now, response.GetMembers())
	if response.GetDigest() == d.digest {
		d.agreed[to] = d.digest
		d.raise(now, response.GetBeats())
		return nil
	}
	if len(response.GetMembers()) == 0 || len(sent.Request.GetMembers()) > 0 {
		return nil
	}
	beat := d.beatTo(to)
	beat.Request.Members = d.everyone()
	return []Beat{beat}
}

// answerOther replaces the list of another zone.
func (d *Detector) answerOther(now time.Time, response *messenger.HeartbeatResponse) {
	name := response.GetFrom().GetZone()
	z := d.addZone(name)
	if z == nil {
		return
	}
	z.heard, z.asked = now, false
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
			d.contact(time.Time{}, m)
		}
	}
	z.members = sorted(members)
	z.digest = response.GetDigest()
	d.refresh()
}

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

// contact remembers the first members of a zone that was not known.
func (d *Detector) contact(now time.Time, member Member) {
	z := d.addZone(member.Zone)
	if z == nil {
		return
	}
	if now.After(z.heard) {
		z.heard = now
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

func (d *Detector) mergeAll(now time.Time, members []*messenger.Member) {
	for _, encoded := range members {
		m, ok := decode(encoded)
		switch {
		case !ok:
		case m.Zone == d.self.Zone:
			d.merge(now, m)
		default:
			d.contact(time.Time{}, m)
		}
	}
}

// merge takes in what is said of a member of the own zone.
func (d *Detector) merge(now time.Time, m Member) {
	if m.Name == d.self.Name {
		return
	}
	r := d.records[m.Name]
	switch {
	case r == nil && len(d.records) >= MaxMembers:
	case r == nil || m.Incarnation > r.Incarnation:
		d.records[m.Name] = &record{Member: m, heard: now}
		d.refresh()
	case m.Incarnation == r.Incarnation:
		d.update(now, r, m)
	}
}

func (d *Detector) update(now time.Time, r *record, m Member) {
	if m.Beat > r.Beat {
		r.Beat = m.Beat
		r.heard = now
	}
	changed := m.Leaving && !r.Leaving
	r.Leaving = r.Leaving || m.Leaving
	if r.dead && r.heard.Equal(now) {
		r.dead = false
		changed = true
	}
	if changed {
		d.refresh()
	}
}

// raise takes in beats that are in the order of this detector's own list,
// which the equal digest has shown.
func (d *Detector) raise(now time.Time, beats []uint32) {
	if len(beats) != len(d.live) {
		return
	}
	for i, beat := range beats {
		r := d.records[d.live[i].Name]
		if r != nil && beat > r.Beat {
			r.Beat = beat
			r.heard = now
		}
	}
}
