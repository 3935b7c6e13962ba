package pacer

import (
	"iter"
	"slices"
	"time"
)

// levelAge is how long a fair level is used: sorting many clients for each refusal would take as
// long as the refusal.
const levelAge = 25 * time.Millisecond

// Level caches the fair level of a capacity. Its zero value has none. It is not safe for concurrent use.
type Level struct {
	value    float64
	computed time.Time
	used     []int // buffer
}

// At returns the fair level, computed at most levelAge ago from what each client used then.
func (l *Level) At(now time.Time, capacity float64, used iter.Seq[int]) float64 {
	if !l.computed.IsZero() && now.Sub(l.computed) < levelAge {
		return l.value
	}
	l.used = slices.AppendSeq(l.used[:0], used)
	l.value, l.computed = FairLevel(l.used, capacity), now
	return l.value
}

// FairLevel returns the most that one client may use of a capacity if it is divided by max-min fairness:
// clients that use less leave the rest to the others. With an even part as the bound instead, clients
// with few requests would be refused beside one that floods, although together they leave room. It
// sorts used.
func FairLevel(used []int, capacity float64) float64 {
	slices.Sort(used)
	level := capacity
	for i, count := range used {
		level = capacity / float64(len(used)-i)
		if float64(count) > level {
			break
		}
		capacity -= float64(count)
	}
	return level
}
