package applier

import (
	"slices"
	"strings"

	"shallotkeel.example/lib/messenger"
)

// maxZones bounds the number of availability zones with an order, which take
// about 40 bytes each.
const maxZones = 1024

// Evacuations lists the zones whose endpoints get no new work. The zero value has
// no zones.
type Evacuations struct {
	// Revision rises with each change.
	Revision uint64
	// Zones are the names of the evacuated zones, sorted. They are read-only.
	Zones []string

	changed map[string]uint64 // revision of the last change, by zone
}

// Changed returns the revision of a zone's last change, 0 if there was none. An order for
// the zone carries the revision that was current when the order arrived at a keeper.
func (e Evacuations) Changed(zone string) uint64 {
	return e.changed[zone]
}

// zones holds the last order for each zone and decides which orders take effect. Orders have
// no version from the client: the one that is committed last wins, unless it arrived at a
// keeper before another order for the zone was committed. Without that exception, an order
// that was delayed in a stalled keeper would undo a later one that has been acknowledged. The
// zero value has no zones.
type zones struct {
	revision uint64
	byName   map[string]*messenger.ZoneState
	// evacuated is handed to readers in other goroutines. It is replaced, never modified.
	evacuated Evacuations
}

// apply applies an order and reports whether it was overtaken: another order for the zone was
// applied in between, and the zone is not in the state that this order asks for. It also
// reports an order for a zone beyond maxZones as overtaken. A repeated order finds the zone in
// the state that it asks for, and changes nothing.
func (z *zones) apply(order *messenger.EvacuationOrder) (overtaken bool) {
	known := z.byName[order.GetZone()]
	if known.GetEvacuated() == order.GetEvacuated() {
		return false
	}
	if known.GetRevision() != order.GetBase() || known == nil && len(z.byName) >= maxZones {
		return true
	}
	if z.byName == nil {
		z.byName = make(map[string]*messenger.ZoneState)
	}
	z.revision++
	z.byName[order.GetZone()] = &messenger.ZoneState{Zone: order.GetZone(), Evacuated: order.GetEvacuated(), Revision: z.revision}
	z.publish()
	return false
}

// publish replaces evacuated by the current state of the zones.
func (z *zones) publish() {
	published := Evacuations{Revision: z.revision, changed: make(map[string]uint64, len(z.byName))}
	for name, zone := range z.byName {
		published.changed[name] = zone.GetRevision()
		if zone.GetEvacuated() {
			published.Zones = append(published.Zones, name)
		}
	}
	slices.Sort(published.Zones)
	z.evacuated = published
}

// encode returns the zones for a snapshot, sorted so that all replicas encode the
// same bytes.
func (z *zones) encode() []*messenger.ZoneState {
	encoded := make([]*messenger.ZoneState, 0, len(z.byName))
	for _, zone := range z.byName {
		encoded = append(encoded, zone)
	}
	slices.SortFunc(encoded, func(a, b *messenger.ZoneState) int { return strings.Compare(a.GetZone(), b.GetZone()) })
	return encoded
}

func (z *zones) decode(states []*messenger.ZoneState, revision uint64) {
	if revision == 0 {
		return
	}
	z.revision, z.byName = revision, make(map[string]*messenger.ZoneState, len(states))
	for _, state := range states {
		z.byName[state.GetZone()] = state
	}
	z.publish()
}
