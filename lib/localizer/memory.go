package localizer

import (
	"cmp"
	"slices"
	"time"
)

const (
	// restoreTime is how long evidence from before a restart waits, beyond the time that any crash needs to
	// settle: routers have to find this keeper before they can say what they have answered since.
	restoreTime = 1500 * time.Millisecond
	// maxKept bounds the features of all crashes in Evidence, of 8 bytes each.
	maxKept = 1 << 14
)

// Recorded increases with each change of the evidence that Evidence returns.
func (j *Judge) Recorded() uint64 {
	return j.recorded
}

// CrashCount returns the number of lifetimes of endpoints that are known to have crashed.
func (j *Judge) CrashCount() int {
	return len(j.lifetimes)
}

// Evidence returns all crashes and answers that the Judge remembers, for another keeper or for the time
// after a restart. It is bounded: features with few crashes are left out first, then the oldest crashes.
func (j *Judge) Evidence() Report {
	var r Report
	for service, at := range j.answering {
		r.addAnswer(service, at)
	}
	features := make(map[Lifetime][]Feature)
	kept := 0
	for _, feature := range j.byWeight() {
		e := j.evidence[feature]
		if !e.answered.IsZero() && len(r.Answers) >= maxReported {
			continue // without its answer it would look as if there was none
		}
		if kept += len(e.crashes); kept > maxKept {
			break
		}
		r.addAnswer(feature, e.answered)
		for lifetime := range e.crashes {
			features[lifetime] = append(features[lifetime], feature)
		}
	}
	for lifetime, of := range features {
		known := j.lifetimes[lifetime]
		for part := range slices.Chunk(of, MaxFeatures) {
			r.Crashes = append(r.Crashes, Crash{Lifetime: lifetime, Service: known.service, At: known.at, Features: part})
		}
	}
	slices.SortFunc(r.Crashes, func(a, b Crash) int { return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.Lifetime, b.Lifetime)) })
	r.Crashes = r.Crashes[:min(len(r.Crashes), maxLifetimes)]
	return r
}

// byWeight returns the features with evidence, those with most crashes first.
func (j *Judge) byWeight() []Feature {
	all := make([]Feature, 0, len(j.evidence))
	for feature := range j.evidence {
		all = append(all, feature)
	}
	slices.SortFunc(all, func(a, b Feature) int {
		return cmp.Or(cmp.Compare(len(j.evidence[b].crashes), len(j.evidence[a].crashes)), cmp.Compare(a, b))
	})
	return all
}

// Restore adds evidence from before a restart.
func (j *Judge) Restore(now time.Time, evidence Report) {
	for _, crash := range evidence.Crashes {
		j.AddCrash(now, crash)
	}
	for _, answer := range evidence.Answers {
		j.AddAnswer(now, answer)
	}
	for _, known := range j.lifetimes {
		known.heard = now.Add(restoreTime)
	}
}

// dropEvidence drops what is known of a feature.
func (j *Judge) dropEvidence(feature Feature) {
	e, found := j.evidence[feature]
	if !found {
		return
	}
	if len(e.crashes) == 0 && !e.answered.IsZero() {
		j.acquitted--
	}
	delete(j.evidence, feature)
	j.recorded++
}
