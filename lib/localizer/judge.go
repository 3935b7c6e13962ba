package localizer

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// lifetimeState is a lifetime of an endpoint that has crashed.
type lifetimeState struct {
	service   Feature
	at        time.Time
	heard     time.Time // when it was first reported
	explained Feature   // the quarantined feature that ran there, 0 if there is none
}

// evidence is what is known of one feature.
type evidence struct {
	crashes  map[Lifetime]bool
	answered time.Time // the latest answer that is known
	asked    time.Time // since when routers are asked for answers, zero if they are not
	ripe     time.Time // since when it suffices for a quarantine, zero if it does not
}

// quarantineState is a quarantine that a Judge has begun or was told of.
type quarantineState struct {
	since   time.Time
	until   time.Time
	lifted  time.Time // zero while it is in force
	crashes int       // under the feature, when it was quarantined
	// replicated says that it is, so that it ends when its replica is removed.
	replicated bool
	trial      time.Time // when the next trial is due
	pause      time.Duration
}

// inForce reports whether requests with the feature are refused.
func (q *quarantineState) inForce(now time.Time) bool {
	return q.lifted.IsZero() && now.Before(q.until)
}

// Judge decides at a keeper which features are quarantined. Its zero value is ready to use. It is not
// safe for concurrent use.
type Judge struct {
	// Duration is how long a quarantine lasts, DefaultQuarantine if it is 0.
	Duration time.Duration

	lifetimes   map[Lifetime]*lifetimeState
	evidence    map[Feature]*evidence
	quarantines map[Feature]*quarantineState
	answering   map[Feature]time.Time // when each service last began to answer a request
	revision    uint64                // increases with each change of the quarantines or of the suspects
	suspects    []Feature
	pending     bool // something was reported that has not been judged
	judged      time.Time
}

// quarantined reports whether requests with a feature are refused.
func (j *Judge) quarantined(now time.Time, feature Feature) bool {
	q, found := j.quarantines[feature]
	return found && q.inForce(now)
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
		e.crashes[crash.Lifetime] = true
		j.pending = true
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
	for feature, e := range j.evidence {
		delete(e.crashes, lifetime)
		j.dropIfEmpty(feature, e)
	}
}

// dropIfEmpty drops evidence that says nothing any more: no crash since the last answer.
func (j *Judge) dropIfEmpty(feature Feature, e *evidence) {
	if len(e.crashes) == 0 {
		delete(j.evidence, feature)
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
	e.answered = answer.At
	for lifetime := range e.crashes {
		if known := j.lifetimes[lifetime]; known == nil || !known.at.After(answer.At) {
			delete(e.crashes, lifetime)
		}
	}
	if q, found := j.quarantines[answer.Feature]; found && q.inForce(now) && q.crashes > 0 && len(e.crashes) < e.needed(j) {
		// The answer was given before the quarantine and is reported after it.
		j.lift(now, answer.Feature)
		lifted = true
	}
	j.dropIfEmpty(answer.Feature, e)
	j.pending = true
	return lifted
}

// Lift ends the quarantine of a feature. It reports whether there was one.
func (j *Judge) Lift(now time.Time, feature Feature) bool {
	q, found := j.quarantines[feature]
	if !found || !q.inForce(now) {
		return false
	}
	j.lift(now, feature)
	delete(j.evidence, feature)
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
	j.begin(now, feature, left, 0)
	return true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
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
func (j *Judge) begin(now time.Time, feature Feature, left time.Duration, crashes int) {
	if j.quarantines == nil {
		j.quarantines = make(map[Feature]*quarantineState)
	}
	if _, found := j.quarantines[feature]; !found && len(j.quarantines) >= maxQuarantined {
		j.dropFirstToEnd()
	}
	j.quarantines[feature] = &quarantineState{
		since: now, until: now.Add(left), crashes: crashes, trial: now.Add(firstTrial), pause: firstTrial * trialBackoff,
	}
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
			j.begin(now, feature, j.duration(), len(j.evidence[feature].crashes))
			convicted = append(convicted, feature)
		}
		ranked = j.ranking(now)
	}
	j.ask(now, ranked)
	j.pending = len(ranked) > 0 // they settle without further reports
	return convicted
}

func (j *Judge) duration() time.Duration {
	if j.Duration == 0 {
		return DefaultQuarantine
	}
	return j.Duration
}

// suspect is a feature with the number of crashes under it that nothing explains.
type suspect struct {
	feature Feature
	count   int
	settled bool // the needed crashes have been known for settleTime
}

// ranking returns the first MaxSuspects suspects, those that explain the most first. Of those that
// explain as many, the one that was answered least recently is first.
func (j *Judge) ranking(now time.Time) []suspect {
	var ranked []suspect
	for feature, e := range j.evidence {
		count, settled := j.unexplained(now, e)
		if count >= crashesToSuspect && !j.quarantined(now, feature) {
			ranked = append(ranked, suspect{feature, count, settled})
		}
	}
	slices.SortFunc(ranked, func(a, b suspect) int {
		return cmp.Or(cmp.Compare(b.count, a.count),
			j.evidence[a.feature].answered.Compare(j.evidence[b.feature].answered), cmp.Compare(a.feature, b.feature))
	})
	return ranked[:min(len(ranked), MaxSuspects)]
}

// culprits returns the suspect that explains the most crashes, if it is to be quarantined, and those
// that were present at the same crashes: nothing tells them apart. A suspect whose crashes another
// one with more of them may explain has to wait for the verdict on that one.
func (j *Judge) culprits(now time.Time, ranked []suspect) []Feature {
	var undecided []suspect
	for _, s := range ranked {
		e := j.evidence[s.feature]
		if slices.ContainsFunc(undecided, func(u suspect) bool { return j.covers(u.feature, e) }) {
			continue
		}
		if s.count < e.needed(j) || !s.settled || !e.askedFor(now, settleTime) {
			e.ripe = time.Time{}
			undecided = append(undecided, s)
			continue
		}
		if e.ripe.IsZero() {
			e.ripe = now
		}
		if now.Sub(e.ripe) < patience && (!e.answered.IsZero() && j.hasNewRival(now, ranked, s) || j.hasStrongerRival(s)) {
			undecided = append(undecided, s)
			continue
		}
		culprits := []Feature{s.feature}
		for _, other := range ranked {
			o := j.evidence[other.feature]
			if other.feature != s.feature && o.answered.Equal(e.answered) && maps.Equal(o.crashes, e.crashes) {
				culprits = append(culprits, other.feature)
			}
		}
		return culprits
	}
	return nil
}

// askedFor reports whether routers have been asked about a feature for some time.
func (e *evidence) askedFor(now time.Time, span time.Duration) bool {
	return !e.asked.IsZero() && now.Sub(e.asked) >= span
}

// hasNewRival reports whether another suspect has about as many crashes as a given one, and routers have
// not been asked about it for long. When a service answers again after a pause, the crashes of all
// features with earlier answers count at once.
func (j *Judge) hasNewRival(now time.Time, ranked []suspect, s suspect) bool {
	return slices.ContainsFunc(ranked, func(u suspect) bool {
		return u.feature != s.feature && u.count >= s.count-1 && !j.evidence[u.feature].askedFor(now, settleTime)
	})
}

// hasStrongerRival reports whether another feature was present at all crashes of a suspect and at
// several more. It may have earlier answers, so that its crashes do not count while its service
// answers nothing.
func (j *Judge) hasStrongerRival(s suspect) bool {
	e := j.evidence[s.feature]
	for feature, other := range j.evidence {
		if feature != s.feature && len(other.crashes) >= len(e.crashes)+crashesToConvict && j.covers(feature, e) && !j.explained(other) {
			return true
		}
	}
	return false
}

// explained reports whether quarantined features explain all crashes of some evidence.
func (j *Judge) explained(e *evidence) bool {
	for lifetime := range e.crashes {
		if known := j.lifetimes[lifetime]; known != nil && known.explained == 0 {
			return false
		}
	}
	return true
}

// covers reports whether a feature was present at all unexplained crashes of some evidence.
func (j *Judge) covers(feature Feature, e *evidence) bool {
	covering := j.evidence[feature].crashes
	for lifetime := range e.crashes {
		known := j.lifetimes[lifetime]
		if known != nil && known.explained == 0 && !covering[lifetime] {
			return false
		}
	}
	return true
}

// unexplained returns the number of crashes under a feature that no other feature explains, and
// whether at least the needed ones have been known for settleTime.
func (j *Judge) unexplained(now time.Time, e *evidence) (count int, settled bool) {
	old := 0
	for lifetime := range e.crashes {
		known := j.lifetimes[lifetime]
		if known == nil || known.explained != 0 || !e.answered.IsZero() && !j.answering[known.service].After(known.at) {
			continue
		}
		count++
		if now.Sub(known.heard) >= settleTime {
			old++
		}
	}
	return count, old >= e.needed(j)
}

// ask has routers asked about the suspects of a ranking.
func (j *Judge) ask(now time.Time, ranked []suspect) {
	suspects := make([]Feature, len(ranked))
	for n, s := range ranked {
		suspects[n] = s.feature
		if e := j.evidence[s.feature]; e.asked.IsZero() {
			e.asked = now
		}
	}
	slices.Sort(suspects)
	for _, former := range j.suspects {
		if _, asked := slices.BinarySearch(suspects, former); !asked && j.evidence[former] != nil {
			j.evidence[former].asked = time.Time{}
		}
	}
	j.suspects = suspects
}

// Suspects returns the features about whose answers routers are asked.
func (j *Judge) Suspects() []Feature {
	return j.suspects
}

// Revision increases with each change of the quarantines.
func (j *Judge) Revision() uint64 {
	return j.revision
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

// QuarantineCount returns the number of quarantines, those included that were lifted recently.
func (j *Judge) QuarantineCount() int {
	return len(j.quarantines)
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

// Expire drops crashes and quarantines that are too old.
func (j *Judge) Expire(now time.Time) {
	for lifetime, known := range j.lifetimes {
		if now.Sub(known.at) > crashRetention {
			j.dropLifetime(lifetime)
		}
	}
	if len(j.lifetimes) == 0 {
		j.answering = nil
	}
	for feature, q := range j.quarantines {
		if !q.inForce(now) && (q.lifted.IsZero() || now.Sub(q.lifted) > liftedRetention) {
			delete(j.quarantines, feature)
		}
	}
}
