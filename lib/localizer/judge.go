package localizer

import "time"

// lifetimeState is a lifetime of an endpoint that has crashed.
type lifetimeState struct {
	service   Feature
	at        time.Time
	heard     time.Time // when it was first reported
	explained Feature   // the quarantined feature that ran there, 0 if there is none
}

// evidence is what is known of one feature. Without crashes it is an acquittal: it is kept since reports
// of crashes before the answer may still come, from a router or another keeper that did not hear of it.
type evidence struct {
	crashes  map[Lifetime]bool
	answered time.Time // the latest answer that is known
	asked    time.Time // since when routers are asked for answers, zero if they are not
	ripe     time.Time // since when it suffices for a quarantine, zero if it does not
}

// Judge decides at a keeper which features are quarantined. Its zero value is ready to use. It is not
// safe for concurrent use.
type Judge struct {
	lifetimes   map[Lifetime]*lifetimeState
	evidence    map[Feature]*evidence
	quarantines map[Feature]*quarantineState
	answering   map[Feature]time.Time // when each service last began to answer a request
	revision    uint64                // increases with each change of the quarantines
	acquitted   int                   // number of acquittals in evidence
	recorded    uint64                // increases with each change of lifetimes and evidence
	suspects    []Feature
	pending     bool // something was reported that has not been judged
	judged      time.Time
}

// AddCrash records a crash that a router has reported.
func (j *Judge) AddCrash(now time.Time, crash Crash) {
	if now.Sub(crash.At) > crashRetention {
		return
	}
	if j.lifetimes == nil {
		j.lifetimes, j.evidence = make(map[Lifetime]*lifetimeState), make(map[Feature]*evidence)
	}
	known, found := j.lifetimes[crash.Lifetime]
	if !found {
		if len(j.lifetimes) >= maxLifetimes {
			j.dropOldestLifetime()
		}
		known = &lifetimeState{service: crash.Service, at: crash.At, heard: now}
		j.noteService(crash.Service)
		j.lifetimes[crash.Lifetime] = known
	}
	for _, feature := range crash.Features[:min(len(crash.Features), MaxFeatures)] {
		e := j.featureEvidence(feature)
		if e == nil || e.crashes[crash.Lifetime] || !e.answered.Before(known.at) {
			continue
		}
		if len(e.crashes) == 0 && !e.answered.IsZero() {
			j.acquitted--
		}
		e.crashes[crash.Lifetime] = true
		j.pending = true
		j.recorded++
		if j.quarantined(now, feature) && known.explained == 0 {
			j.explain(feature)
		}
	}
}

// noteService begins to remember the answers of a service that has crashes.
func (j *Judge) noteService(service Feature) {
	if j.answering == nil {
		j.answering = make(map[Feature]time.Time)
	}
	if _, found := j.answering[service]; !found && len(j.answering) < maxServices {
		j.answering[service] = time.Time{}
	}
}

// featureEvidence returns the evidence of a feature, nil if the table is full.
func (j *Judge) featureEvidence(feature Feature) *evidence {
	known, found := j.evidence[feature]
	if !found {
		if len(j.evidence) >= maxEvidence {
			j.dropAcquittals(time.Time{})
		}
		if len(j.evidence) >= maxEvidence {
			return nil
		}
		known = &evidence{crashes: make(map[Lifetime]bool)}
		j.evidence[feature] = known
	}
	return known
}

// dropOldestLifetime drops the crash that is longest ago, with what it says of features.
func (j *Judge) dropOldestLifetime() {
	var oldest Lifetime
	var at time.Time
	for lifetime, known := range j.lifetimes {
		if at.IsZero() || known.at.Before(at) {
			oldest, at = lifetime, known.at
		}
	}
	j.dropLifetime(oldest)
}

func (j *Judge) dropLifetime(lifetime Lifetime) {
	delete(j.lifetimes, lifetime)
	j.recorded++
	for feature, e := range j.evidence {
		if !e.crashes[lifetime] {
			continue
		}
		delete(e.crashes, lifetime)
		j.settleEmpty(feature, e)
	}
}

// settleEmpty drops the evidence of a feature whose last crash was removed, or counts it as an acquittal.
func (j *Judge) settleEmpty(feature Feature, e *evidence) {
	switch {
	case len(e.crashes) > 0:
	case e.answered.IsZero():
		delete(j.evidence, feature)
	default:
		j.acquitted++
	}
}

// dropAcquittals drops the acquittals by answers before a time, all if it is zero.
func (j *Judge) dropAcquittals(before time.Time) {
	if j.acquitted == 0 {
		return
	}
	for feature, e := range j.evidence {
		if len(e.crashes) == 0 && (before.IsZero() || e.answered.Before(before)) {
			delete(j.evidence, feature)
			j.acquitted--
			j.recorded++
		}
	}
}

// AddAnswer records an answer that a router has reported, and returns whether it ends a quarantine.
func (j *Judge) AddAnswer(now time.Time, answer Answer) (lifted bool) {
	if q, found := j.quarantines[answer.Feature]; found && q.inForce(now) && answer.At.After(q.since) {
		j.lift(now, answer.Feature)
		lifted = true
	}
	if at, found := j.answering[answer.Feature]; found {
		j.answering[answer.Feature] = later(at, answer.At)
	}
	e, found := j.evidence[answer.Feature]
	if !found || !answer.At.After(e.answered) {
		return lifted
	}
	first, removed := e.answered.IsZero(), 0
	e.answered = answer.At
	for lifetime := range e.crashes {
		if known := j.lifetimes[lifetime]; known == nil || !known.at.After(answer.At) {
			delete(e.crashes, lifetime)
			removed++
		}
	}
	if q, found := j.quarantines[answer.Feature]; found && q.inForce(now) && q.convicted && len(e.crashes) < e.needed(j) {
		// The answer was given before the quarantine and is reported after it.
		j.lift(now, answer.Feature)
		lifted = true
	}
	if removed > 0 {
		j.settleEmpty(answer.Feature, e)
	}
	if first || removed > 0 {
		j.recorded++
	}
	j.pending = true
	return lifted
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// needed returns the number of crashes after which the feature is quarantined.
func (e *evidence) needed(j *Judge) int {
	if e.answered.IsZero() {
		return crashesToConvict
	}
	for lifetime := range e.crashes {
		if known := j.lifetimes[lifetime]; known != nil && known.at.Sub(e.answered) < answerRetention {
			return crashesAfterAnswer
		}
	}
	return crashesToConvict
}

// Verdicts judges what has been reported, and returns the features that are newly quarantined.
func (j *Judge) Verdicts(now time.Time) []Feature {
	if !j.pending || now.Sub(j.judged) < judgeInterval {
		return nil
	}
	j.judged = now
	var convicted []Feature
	ranked := j.ranking(now)
	for culprits := j.culprits(now, ranked); len(culprits) > 0; culprits = j.culprits(now, ranked) {
		for _, feature := range culprits {
			j.begin(now, feature, QuarantineTime, true)
			convicted = append(convicted, feature)
		}
		ranked = j.ranking(now)
	}
	j.ask(now, ranked)
	j.pending = len(ranked) > 0 // they settle without further reports
	return convicted
}

// Revision increases with each change of the quarantines.
func (j *Judge) Revision() uint64 {
	return j.revision
}

// Expire drops crashes and quarantines that are too old.
func (j *Judge) Expire(now time.Time) {
	for lifetime, known := range j.lifetimes {
		if now.Sub(known.at) > crashRetention {
			j.dropLifetime(lifetime)
		}
	}
	j.dropAcquittals(now.Add(-crashRetention))
	if len(j.lifetimes) == 0 {
		j.answering = nil
	}
	for feature, q := range j.quarantines {
		if !q.inForce(now) && (q.lifted.IsZero() || now.Sub(q.lifted) > liftedRetention) {
			delete(j.quarantines, feature)
		}
	}
}
