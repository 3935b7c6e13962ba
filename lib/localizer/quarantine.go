package localizer

import (
	"cmp"
	"slices"
	"time"
)

// quarantineState is a quarantine that a Judge has begun or was told of.
type quarantineState struct {
	since  time.Time
	until  time.Time
	lifted time.Time // zero while it is in force
	// convicted says that this Judge has begun it, from evidence of its own.
	convicted bool
	// replicated says that it is, so that it ends when its replica is removed.
	replicated bool
	trial      time.Time // when the next trial is due
	pause      time.Duration
}

// skipTrials moves the next trial behind a time, on the schedule that all keepers derive from the begin
// of the quarantine.
func (q *quarantineState) skipTrials(now time.Time) {
	for !now.Before(q.trial) {
		q.trial = q.trial.Add(q.pause)
		q.pause *= trialBackoff
	}
}

// inForce reports whether requests with the feature are refused.
func (q *quarantineState) inForce(now time.Time) bool {
	return q.lifted.IsZero() && now.Before(q.until)
}

// quarantined reports whether requests with a feature are refused.
func (j *Judge) quarantined(now time.Time, feature Feature) bool {
	q, found := j.quarantines[feature]
	return found && q.inForce(now)
}

// Lift ends the quarantine of a feature. It reports whether there was one.
func (j *Judge) Lift(now time.Time, feature Feature) bool {
	q, found := j.quarantines[feature]
	if !found || !q.inForce(now) {
		return false
	}
	j.lift(now, feature)
	j.dropEvidence(feature)
	return true
}

// lift ends a quarantine. The crashes that it explained count against other features again.
func (j *Judge) lift(now time.Time, feature Feature) {
	j.quarantines[feature].lifted = now
	for _, known := range j.lifetimes {
		if known.explained == feature {
			known.explained = 0
		}
	}
	for other, q := range j.quarantines {
		if q.inForce(now) {
			j.explain(other)
		}
	}
	j.revision++
	j.pending = true
}

// Adopt records a quarantine that another keeper has begun. It reports whether it was new.
func (j *Judge) Adopt(now time.Time, feature Feature, left time.Duration) bool {
	q, found := j.quarantines[feature]
	switch {
	case left <= 0:
		return false
	case found && q.inForce(now):
		q.until = later(q.until, now.Add(left))
		return false
	case found && now.Sub(q.lifted) < liftedRetention:
		return false // the order to lift it is on its way
	}
	j.begin(now, feature, left, false)
	return true
}

// SetReplicated applies the quarantines that the group of keepers has replicated.
func (j *Judge) SetReplicated(now time.Time, quarantines []Quarantine) {
	present := make(map[Feature]bool, len(quarantines))
	for _, q := range quarantines {
		present[q.Feature] = true
		j.Adopt(now, q.Feature, q.Left)
		if known, found := j.quarantines[q.Feature]; found {
			known.replicated = true
		}
	}
	for feature, q := range j.quarantines {
		if q.replicated && !present[feature] {
			q.replicated = false
			j.Lift(now, feature)
		}
	}
}

// begin begins a quarantine, in place of the one that ends first if there are too many.
func (j *Judge) begin(now time.Time, feature Feature, left time.Duration, convicted bool) {
	if j.quarantines == nil {
		j.quarantines = make(map[Feature]*quarantineState)
	}
	if _, found := j.quarantines[feature]; !found && len(j.quarantines) >= maxQuarantined {
		j.dropFirstToEnd()
	}
	begun := now.Add(left - max(left, QuarantineTime))
	j.quarantines[feature] = &quarantineState{
		since: now, until: now.Add(left), convicted: convicted, trial: begun.Add(firstTrial), pause: firstTrial * trialBackoff,
	}
	j.quarantines[feature].skipTrials(now)
	j.explain(feature)
	j.revision++
}

func (j *Judge) dropFirstToEnd() {
	var first Feature
	var until time.Time
	for feature, q := range j.quarantines {
		if until.IsZero() || q.until.Before(until) {
			first, until = feature, q.until
		}
	}
	delete(j.quarantines, first)
}

// explain marks the crashes under a feature as explained by it, if there are enough of them for a
// quarantine. A single request may be quarantined after fewer, by a router that ran it apart from others:
// what it shares with other requests may still be the cause.
func (j *Judge) explain(feature Feature) {
	e, found := j.evidence[feature]
	if !found || len(e.crashes) < crashesToConvict {
		return
	}
	for lifetime := range e.crashes {
		if known := j.lifetimes[lifetime]; known != nil && known.explained == 0 {
			known.explained = feature
		}
	}
}

// QuarantineCount returns the number of quarantines, those included that were lifted recently.
func (j *Judge) QuarantineCount() int {
	return len(j.quarantines)
}

// Quarantines returns the quarantines in force and those that were lifted recently, in the order of
// their features.
func (j *Judge) Quarantines(now time.Time) []Quarantine {
	var all []Quarantine
	for feature, q := range j.quarantines {
		switch {
		case q.inForce(now):
			all = append(all, Quarantine{Feature: feature, Left: q.until.Sub(now)})
		case !q.lifted.IsZero() && now.Sub(q.lifted) < liftedRetention:
			all = append(all, Quarantine{Feature: feature})
		}
	}
	slices.SortFunc(all, func(a, b Quarantine) int { return cmp.Compare(a.Feature, b.Feature) })
	return all
}

// GrantTrial reports whether a router that refuses requests with a feature may send one of them now,
// and sets the time of the next trial. Only one keeper of a group may call it, the leader.
func (j *Judge) GrantTrial(now time.Time, feature Feature) bool {
	q, found := j.quarantines[feature]
	if !found || !q.inForce(now) || now.Before(q.trial) {
		return false
	}
	q.trial = now.Add(q.pause)
	q.pause *= trialBackoff
	return true
}

// Lead makes this Judge the one that grants trials. The trials that were due before are skipped: the
// leader before may have granted them, and each may crash an endpoint.
func (j *Judge) Lead(now time.Time) {
	for _, q := range j.quarantines {
		q.skipTrials(now)
	}
}
