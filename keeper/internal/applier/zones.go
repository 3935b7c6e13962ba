package applier

import (
	"slices"
	"strings"

	"shallotkeel.example/lib/messenger"
)

// maxZones bounds the availability zones that are remembered, 40 bytes each.
const maxZones = 1024

// Evacuations are the zones whose endpoints get no new work. Its zero value is none.
type Evacuations struct {
	// Revision rises with each change.
	Revision uint64
	// Zones are the evacuated ones, sorted. They are only for reading.
	Zones []string

	changed map[string]uint64 // revisions of the zones' last changes
}

// Changed returns the revision of a zone's last change, 0 if there was none. An order for
// the zone names the one that it was given after.
func (e Evacuations) Changed(zone string) uint64 {
	return e.changed[zone]
}

// zones is what was ordered for each zone last, and which of the orders takes effect. Orders
// bear no version: the one that is committed last wins, unless it arrived at a keeper before
// another one that has been committed meanwhile. Otherwise an order that hung in a keeper
// that stood still would undo a later one that has been acknowledged. Its zero value has no
// zone.
type zones struct {
	revision uint64
	byName   map[string]*messenger.ZoneState
	// evacuated is what readers in other goroutines get. It is replaced, never changed.
	evacuated Evacuations
}

// apply carries out an order, and tells whether it was overtaken: another one came between,
// and the zone is not as this one wants it. An order that is sent again finds it as wanted.
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
	z.show()
	return false
}

// show prepares what readers get.
func (z *zones) show() {
	shown := Evacuations{Revision: z.revision, changed: make(map[string]uint64, len(z.byName))}
	for name, zone := range z.byName {
		shown.changed[name] = zone.GetRevision()
		if zone.GetEvacuated() {
			shown.Zones = append(shown.Zones, name)
		}
	}
	slices.Sort(shown.Zones)
	z.evacuated = shown
}

// encode returns the zones for a snapshot, the same at every replica.
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
	z.show()
}
