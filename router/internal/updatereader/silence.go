package updatereader

import (
	"net/netip"

	"shallotkeel.example/lib/lister"
)

// Lost records that a keeper does not answer. Its listings are kept, but not its reports of silent
// endpoints, which it can no longer withdraw.
func (r *Reader) Lost(keeper netip.AddrPort, _ error) {
	if r.options.ReportLost != nil {
		r.options.ReportLost(keeper)
	}
	if r.options.Prefixes != nil {
		r.options.Prefixes.Lost(keeper)
	}
	r.crashes.Lost(keeper)
	r.workReported.reset()
	r.speedsReported.reset()
	r.mutex.Lock()
	delete(r.answeringKeepers, keeper)
	ids := make(map[string]bool)
	for id, by := range r.silent {
		delete(by, keeper)
		ids[id] = true
	}
	changed := r.silenceChanges(ids)
	r.mutex.Unlock()
	r.publish(keeper, changed)
}

// silenceChanges returns the listings of those of the given instances whose silence, in this router's
// view, differs from what was last published.
func (r *Reader) silenceChanges(ids map[string]bool) []lister.Listing {
	var changed []lister.Listing
	for id := range ids {
		listing, found := r.list.Find(id)
		if !found {
			continue
		}
		if silent := r.isSilent(id); silent != r.reportedSilent[id] {
			listing.Silent = silent
			r.recordReported(id, silent)
			changed = append(changed, listing)
		}
	}
	return changed
}

// recordReported records the silence of an instance as published.
func (r *Reader) recordReported(id string, silent bool) {
	if silent {
		r.reportedSilent[id] = true
		return
	}
	delete(r.reportedSilent, id)
}

// isSilent reports whether all keepers that answer get no heartbeats of an instance. A keeper that is
// cut off from its peers misses heartbeats that they get; relying on it alone would move all work to
// the few endpoints whose heartbeats it gets.
func (r *Reader) isSilent(id string) bool {
	for keeper := range r.answeringKeepers {
		if !r.silent[id][keeper] {
			return false
		}
	}
	return len(r.answeringKeepers) > 0
}

// recordSilence records which keepers get no heartbeats of an instance. A keeper's report on an
// earlier incarnation of an instance is ignored once a later one is known.
func (r *Reader) recordSilence(keeper netip.AddrPort, listing lister.Listing) {
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
