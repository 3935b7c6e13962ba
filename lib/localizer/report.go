package localizer

import (
	"cmp"
	"slices"
	"time"
)

// Report is what a router tells a keeper.
type Report struct {
	Crashes []Crash
	Answers []Answer
	// Refused are the quarantined features for which requests were refused.
	Refused []Feature
	// Through is the time up to which the report holds all changes: its own time, or that of the last
	// change for which it has room.
	Through time.Time
}

// Report returns the crashes and refusals that have become known after a time, Through of the latest report
// that the keeper has answered, and the latest answers to the suspects. Features that were answered here
// after a crash are left out of it.
func (o *Observer) Report(now, since time.Time) Report {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	r := Report{Through: later(now, o.lastChanged)}
	o.reportCrashes(now, since, &r)
	o.lastReport = later(o.lastReport, r.Through)
	for feature, at := range o.asked {
		if now.Sub(at) > askedRetention {
			delete(o.asked, feature)
			continue
		}
		r.addAnswer(feature, o.answers.latest(feature))
	}
	for feature, q := range o.quarantined {
		if now.After(q.until) {
			delete(o.quarantined, feature)
			continue
		}
		if _, asked := o.asked[feature]; !asked {
			r.addAnswer(feature, o.answers.latest(feature))
		}
		if !q.refusedAt.IsZero() && !q.refusedAt.Before(since) {
			r.Refused = append(r.Refused, feature)
		}
	}
	slices.SortFunc(r.Answers, func(a, b Answer) int { return cmp.Compare(a.Feature, b.Feature) })
	slices.Sort(r.Refused)
	return r
}

// reportCrashes adds the crashes that have changed after a time to a report, as far as there is room, and
// the latest answers of the services that had crashes lately.
func (o *Observer) reportCrashes(now, since time.Time, r *Report) {
	var changed []Lifetime
	services := make(map[Feature]bool)
	for lifetime, b := range o.broken {
		if b.ended && !services[b.service] && now.Sub(b.at) <= serviceRetention {
			services[b.service] = true
			r.addAnswer(b.service, o.answers.latest(b.service))
		}
		if !o.dropIfOld(now, lifetime) && b.ended && b.changed.After(since) {
			changed = append(changed, lifetime)
		}
	}
	slices.SortFunc(changed, func(a, b Lifetime) int { return o.broken[a].changed.Compare(o.broken[b].changed) })
	reported, through := 0, since
	for _, lifetime := range changed {
		b := o.broken[lifetime]
		features := o.unanswered(b)
		features = features[:min(len(features), MaxFeatures)]
		if reported += len(features); reported > maxReported {
			r.Through = through
			return
		}
		through = b.changed
		if len(features) > 0 {
			r.Crashes = append(r.Crashes, Crash{Lifetime: lifetime, Service: b.service, At: b.at, Features: features})
		}
	}
}

// Reported reports whether a report that holds all changes up to a time holds all crashes.
func (o *Observer) Reported(through time.Time) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return !o.lastChanged.After(through)
}

// unanswered returns the features of a lifetime that were not answered after its end, those first
// that were answered least recently or never.
func (o *Observer) unanswered(b *brokenLifetime) []Feature {
	var features []Feature
	for feature := range b.features {
		if !o.answers.latest(feature).After(b.at) {
			features = append(features, feature)
		}
	}
	slices.SortFunc(features, func(a, b Feature) int {
		return cmp.Or(o.answers.latest(a).Compare(o.answers.latest(b)), cmp.Compare(a, b))
	})
	return features
}

// addAnswer adds the latest answer to a feature if there is one.
func (r *Report) addAnswer(feature Feature, at time.Time) {
	if !at.IsZero() {
		r.Answers = append(r.Answers, Answer{Feature: feature, At: at})
	}
}
