package lister

import "time"

// chill notes until when an instance is cold, and tells whether that is news. It is never
// cold for less long than was told before: a late heartbeat may be from before it became so.
func (l *List) chill(e *entry, until time.Time) bool {
	if until.Sub(e.ColdUntil) <= coldSlack {
		return false
	}
	e.ColdUntil = until
	l.noteCold(e)
	return true
}

func (l *List) noteCold(e *entry) {
	if e.ColdUntil.IsZero() {
		return
	}
	if l.cold == nil {
		l.cold = make(map[*entry]bool)
	}
	l.cold[e] = true
}

// Chill takes the instances of a zone to be cold for as long as their services need to get
// warm, 0 for not at all, and tells whether that is news. Instances that got nothing for a
// while may have become cold without having said so yet.
func (l *List) Chill(now time.Time, zone string, lengths func(service string) time.Duration) bool {
	changed := false
	for _, e := range l.entries {
		if e.Zone != zone || e.State == Gone {
			continue
		}
		length := lengths(e.Service)
		if length > 0 && l.chill(e, now.Add(length)) {
			l.touch(e)
			changed = true
		}
	}
	return changed
}

// Cold returns the instances that take work and are cold.
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

// InZone tells whether an instance of a zone is listed.
func (l *List) InZone(zone string) bool {
	for _, e := range l.entries {
		if e.Zone == zone {
			return true
		}
	}
	return false
}
