package server

import "time"

// fleetMemory is for how long the fleet counts as large as it was. Where keepers are cut from one
// another, each has the reports of some routers, while all go on: counted as few, each of them
// would take a larger part of what all share, as of the budget for requests that are sent once
// more. That is counted over such a time.
const fleetMemory = 10 * time.Second

// fleet is how many routers there are, as counted in the last seconds. Its zero value knows of
// none.
type fleet struct {
	// counts are the largest of each step of time, the newest last.
	counts [fleetMemory / fleetStep]uint32
	step   int64
}

// fleetStep is the length of a step.
const fleetStep = 500 * time.Millisecond

// sizes takes a count and returns the largest of the last fleetMemory, and of the last
// followerMemory: so many reports are expected.
func (f *fleet) sizes(now time.Time, count uint32) (most, expected uint32) {
	step := now.UnixNano() / int64(fleetStep)
	for gone := min(step-f.step, int64(len(f.counts))); gone > 0; gone-- {
		copy(f.counts[:], f.counts[1:])
		f.counts[len(f.counts)-1] = 0
	}
	f.step = max(f.step, step)
	last := len(f.counts) - 1
	f.counts[last] = max(f.counts[last], count)
	for i, count := range f.counts {
		most = max(most, count)
		if last-i < int(followerMemory/fleetStep) {
			expected = max(expected, count)
		}
	}
	return most, expected
}
