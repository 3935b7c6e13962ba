package lister

import "time"

// extendCold extends an instance's cold phase to the given time, and reports whether that is a
// change. The phase is never shortened: a delayed heartbeat may have been sent before the
// instance became cold.
func (l *List) extendCold(e *entry, until time.Time) bool {
	if until.Sub(e.ColdUntil) <= minColdExtension {
		return false
	}
	e.ColdUntil = until
	l.indexCold(e)
	return true
}

// indexCold adds an entry that has a cold phase to the set that Cold reads.
func (l *List) indexCold(e *entry) {
	if e.ColdUntil.IsZero() {
		return
	}
	if l.cold == nil {
		l.cold = make(map[*entry]bool)
	}
	l.cold[e] = true
}

// MarkZoneCold marks the instances of a zone as cold for the time their service needs to warm
// up, as given by lengths (0: not marked), and reports whether that changed the list.
// Instances that got no requests for a while may have become cold without having reported it
// yet.
func (l *List) MarkZoneCold(now time.Time, zone string, lengths func(service string) time.Duration) bool {
	changed := false
	for _, e := range l.entries {
		if e.Zone != zone || e.State == Gone {
			continue
		}
		length := lengths(e.Service)
		if length > 0 && l.extendCold(e, now.Add(length)) {
			l.markChanged(e)
			changed = true
		}
	}
	return changed
}

// Cold returns the ready instances that are cold.
func (l *List) Cold(now time.Time) []Listing {
	var cold []Listing
	for e := range l.cold {
		switch {
		case !e.Cold(now) || e.State == Gone:
			delete(l.cold, e)
		case e.State == Ready && !e.pending:
			cold = append(cold, e.Listing)
		}
	}
	return cold
}

// InZone reports whether an instance of a zone is listed.
func (l *List) InZone(zone string) bool {
	for _, e := range l.entries {
		if e.Zone == zone {
			return true
		}
	}
	return false
}
