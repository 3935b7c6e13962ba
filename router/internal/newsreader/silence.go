package newsreader

import (
	"net/netip"

	"shallotkeel.example/lib/lister"
)

// Lost notes that a keeper does not answer. Nothing that it said is forgotten but
// the silences, which it can no longer take back.
func (r *Reader) Lost(keeper netip.AddrPort, _ error) {
	if r.options.Untold != nil {
		r.options.Untold(keeper)
	}
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
