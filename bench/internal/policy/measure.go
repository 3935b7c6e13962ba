package policy

import (
	"math"
	"time"
)

// window returns the samples between two times, both counted from the start.
func (f *fleet) window(from, to time.Duration) []sample {
	start := time.Unix(0, 0)
	var inside []sample
	for _, s := range f.samples {
		if since := s.at.Sub(start); since >= from && since <= to {
			inside = append(inside, s)
		}
	}
	return inside
}

// gap returns the largest difference in service between any two workspaces at any
// sample of the window, counted from the window's first sample, in units by weight.
func gap(window []sample) float64 {
	largest := 0.0
	for _, s := range window {
		lowest, highest := math.Inf(1), math.Inf(-1)
		for i := range s.served {
			since := s.served[i] - window[0].served[i]
			lowest, highest = min(lowest, since), max(highest, since)
		}
		largest = max(largest, highest-lowest)
	}
	return largest
}

// mean returns the mean service per workspace in the window, in units by weight.
func mean(window []sample) float64 {
	first, last := window[0], window[len(window)-1]
	sum := 0.0
	for i := range last.served {
		sum += last.served[i] - first.served[i]
	}
	return sum / float64(len(last.served))
}

// utilisation returns the units generated in the window, divided by those that all slots
// could have generated with no idle time between requests. The prefill of a request does
// not count as idle time.
func (f *fleet) utilisation(window []sample) float64 {
	first, last := window[0], window[len(window)-1]
	passed := last.at.Sub(first.at)
	slots := 0
	for _, z := range f.zones {
		for _, e := range z.engines {
			slots += e.slots
		}
	}
	return (last.units - first.units) / (float64(slots) * f.idealUnits(passed))
}

// slotUtilisation returns the mean share of the slots that were in use at the samples.
func (f *fleet) slotUtilisation(window []sample) float64 {
	busy := 0
	for _, s := range window {
		busy += s.busy
	}
	return float64(busy) / float64(len(window)*f.plan.engines*f.slots)
}

// idealUnits returns the units that one slot generates in a time with back-to-back
// requests of the mean cost, including the prefill of each.
func (f *fleet) idealUnits(passed time.Duration) float64 {
	share, cost := 0.0, 0.0
	// Service is shared by weight, so the number of a workspace's requests is
	// proportional to its weight divided by its cost.
	for i, weight := range f.weights {
		share += weight / float64(f.cost[i])
		cost += weight
	}
	meanCost := cost / share
	return passed.Seconds() / (f.prefill.Seconds() + meanCost*f.perUnit.Seconds()) * meanCost
}

// bound returns the bound of docs/FAIRNESS.md for the gap over an interval: twice the
// largest difference of two counters at one time.
func (f *fleet) bound() float64 {
	return 2 * (f.inFlight.reserved + f.inFlight.remaining + f.exchangeLag())
}

// exchangeLag returns the service, in units by weight, that a workspace can get in
// other zones before its own zone receives it in an exchange, and the advantage of
// local work.
func (f *fleet) exchangeLag() float64 {
	if len(f.zones) == 1 {
		return 0
	}
	slots := float64(f.plan.engines * f.slots)
	lowest := math.Inf(1)
	for _, weight := range f.weights {
		lowest = min(lowest, weight)
	}
	delay := f.maxCompareInterval + f.zoneHop + progressInterval
	return slots * delay.Seconds() / f.perUnit.Seconds() / lowest
}

// recoveryTime returns the time from after until the fleet has recovered: the gap stays
// within the bound until end, and the utilisation over the following span reaches the
// level. It is negative if the fleet does not recover.
func (f *fleet) recoveryTime(after, end time.Duration, level float64) time.Duration {
	const span = 5 * time.Second
	for from := after; from+span <= end; from += sampleInterval {
		if f.utilisation(f.window(from, from+span)) >= level && gap(f.window(from, end)) <= f.bound() {
			return from - after
		}
	}
	return -1
}
