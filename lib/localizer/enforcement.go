package localizer

import (
	"slices"
	"time"
)

// trialTerm is how long a router may use a trial.
const trialTerm = 5 * time.Second

// observedQuarantine is a quarantine as a router knows it.
type observedQuarantine struct {
	until      time.Time
	trialUntil time.Time // one request may be sent until then
	refusedAt  time.Time // of the latest request that was refused for it
}

// SetQuarantines applies the quarantines that a keeper tells of, and returns those that are new here.
func (o *Observer) SetQuarantines(now time.Time, quarantines []Quarantine) (added []Feature) {
	if len(quarantines) == 0 {
		return nil
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.quarantined == nil {
		o.quarantined = make(map[Feature]*observedQuarantine)
	}
	for _, q := range quarantines {
		if q.Left <= 0 {
			delete(o.quarantined, q.Feature)
			continue
		}
		known, found := o.quarantined[q.Feature]
		if !found {
			if len(o.quarantined) >= maxQuarantined {
				continue
			}
			known = &observedQuarantine{}
			o.quarantined[q.Feature] = known
			added = append(added, q.Feature)
		}
		known.until = now.Add(q.Left)
		if q.Trial {
			known.trialUntil = now.Add(trialTerm)
		}
	}
	return added
}

// Verdict is whether a request may be sent.
type Verdict uint8

// The verdicts.
const (
	Permitted Verdict = iota
	// Trial permits the request to be sent once, and to no second endpoint.
	Trial
	// Quarantined means that the request must not be sent.
	Quarantined
)

// Judge returns the verdict on a request, and the quarantine that applies to it if there is one. The
// verdict Trial uses up the trial that a keeper has granted.
func (o *Observer) Judge(now time.Time, profile Profile) (Verdict, Quarantine) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if len(o.quarantined) == 0 {
		return Permitted, Quarantine{}
	}
	var found *observedQuarantine
	var feature Feature
	check := func(f Feature) bool {
		q, quarantined := o.quarantined[f]
		if !quarantined || !now.Before(q.until) {
			return true
		}
		q.refusedAt = now
		if found != nil { // a trial of two features would tell nothing of either
			return false
		}
		found, feature = q, f
		return true
	}
	single := check(profile.Whole)
	for _, f := range profile.Shared {
		single = check(f) && single
	}
	switch {
	case found == nil:
		return Permitted, Quarantine{}
	case single && now.Before(found.trialUntil):
		found.trialUntil = time.Time{}
		return Trial, Quarantine{Feature: feature, Left: found.until.Sub(now), Trial: true}
	}
	return Quarantined, Quarantine{Feature: feature, Left: found.until.Sub(now)}
}

// Suspected reports whether a profile has a feature about which keepers ask and that was never answered
// here: a request that broke off with its endpoint may then be the cause, and crash the next one.
func (o *Observer) Suspected(now time.Time, profile Profile) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if len(o.asked) == 0 {
		return false
	}
	suspected := func(f Feature) bool {
		at, asked := o.asked[f]
		return asked && now.Sub(at) <= askedRetention && o.answers.latest(f).IsZero()
	}
	return suspected(profile.Whole) || slices.ContainsFunc(profile.Shared, suspected)
}

// Quarantined reports whether requests with any of a profile's features are refused.
func (o *Observer) Quarantined(now time.Time, profile Profile) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if len(o.quarantined) == 0 {
		return false
	}
	inForce := func(f Feature) bool {
		q, found := o.quarantined[f]
		return found && now.Before(q.until)
	}
	return inForce(profile.Whole) || slices.ContainsFunc(profile.Shared, inForce)
}

// QuarantineCount returns the number of quarantines in force at this router.
func (o *Observer) QuarantineCount() int {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return len(o.quarantined)
}
