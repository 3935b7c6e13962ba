package localizer

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

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
