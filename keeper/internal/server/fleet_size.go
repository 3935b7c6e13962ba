package server

import "time"

// fleetSizeWindow is the period over which the maximum number of routers is kept. When keepers
// are partitioned from one another, each receives the reports of some routers only, while all
// routers keep running. With a smaller count, each router would take a larger part of a shared
// resource such as the retry budget, which is counted over a period of this length.
const fleetSizeWindow = 10 * time.Second

// fleetSize tracks the number of routers counted over the last fleetSizeWindow. Its zero value
// has counted none.
type fleetSize struct {
	// maxima holds the largest count of each step, the newest last.
	maxima   [fleetSizeWindow / fleetSizeStep]uint32
	lastStep int64 // number of the newest step, in multiples of fleetSizeStep since the Unix epoch
}

// fleetSizeStep is the resolution of the window.
const fleetSizeStep = 500 * time.Millisecond

// observe records a count. It returns the largest count of the last fleetSizeWindow, and that
// of the last followerMemory, which is the number of reports to expect.
func (f *fleetSize) observe(now time.Time, count uint32) (largest, expected uint32) {
	step := now.UnixNano() / int64(fleetSizeStep)
	for elapsed := min(step-f.lastStep, int64(len(f.maxima))); elapsed > 0; elapsed-- {
		copy(f.maxima[:], f.maxima[1:])
		f.maxima[len(f.maxima)-1] = 0
	}
	f.lastStep = max(f.lastStep, step)
	last := len(f.maxima) - 1
	f.maxima[last] = max(f.maxima[last], count)
	for i, count := range f.maxima {
		largest = max(largest, count)
		if last-i < int(followerMemory/fleetSizeStep) {
			expected = max(expected, count)
		}
	}
	return largest, expected
}
