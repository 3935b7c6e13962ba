package localizer

import "time"

// maxAnswered bounds the features of one generation, of some 40 bytes each.
const maxAnswered = 8192

// answerTable remembers when features were last answered. It holds two generations, and drops the
// older one when the newer one is full or has been filled for answerRetention. Its zero value is empty.
type answerTable struct {
	newer, older map[Feature]time.Time
	begun        time.Time // when the newer generation was begun
}

// add records when an answer began.
func (t *answerTable) add(at time.Time, feature Feature) {
	if t.newer == nil || len(t.newer) >= maxAnswered || at.Sub(t.begun) > answerRetention {
		t.older, t.newer, t.begun = t.newer, make(map[Feature]time.Time), at
	}
	if at.After(t.latest(feature)) {
		t.newer[feature] = at
	}
}

// latest returns when a feature was last answered, the zero time if that is not known.
func (t *answerTable) latest(feature Feature) time.Time {
	if at, found := t.newer[feature]; found {
		return at
	}
	return t.older[feature]
}
