package policy

import (
	"math"
	"time"
)

// window returns the samples between two times after the start.
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

// gap is the largest difference of service, counted from the window's first
// sample, between any two workspaces at any sample of the window.
func gap(window []sample) float64 {
	largest := 0.0
	for _, s := range window {
		least, most := math.Inf(1), math.Inf(-1)
		for i := range s.served {
			since := s.served[i] - window[0].served[i]
			least, most = min(least, since), max(most, since)
		}
		largest = max(largest, most-least)
	}
	return largest
}

// mean is the service per workspace in the window, units by weight.
func mean(window []sample) float64 {
	first, last := window[0], window[len(window)-1]
	sum := 0.0
	for i := range last.served {
		sum += last.served[i] - first.served[i]
	}
	return sum / float64(len(last.served))
}

// utilisation is the units generated in the window over what all slots could
// have generated without a pause, the prefill of each request left aside.
func (f *fleet) utilisation(window []sample) float64 {
	first, last := window[0], window[len(window)-1]
	passed := last.at.Sub(first.at)
	slots := 0
	for _, z := range f.zones {
		for _, e := range z.engines {
			slots += e.slots
		}
	}
	return (last.units - first.units) / (float64(slots) * f.ideal(passed))
}

// busyShare is the mean share of the slots that were in use at the samples.
func (f *fleet) busyShare(window []sample) float64 {
	busy := 0
	for _, s := range window {
		busy += s.busy
	}
	return float64(busy) / float64(len(window)*f.plan.engines*f.slots)
}

// ideal is the units that one slot generates in a time with requests of the
// mean cost one after the other.
func (f *fleet) ideal(passed time.Duration) float64 {
	share, cost := 0.0, 0.0
	// Service is shared by weight, so requests come in the ratio of weight to cost.
	for i, weight := range f.weights {
		share += weight / float64(f.cost[i])
		cost += weight
	}
	usual := cost / share
	return passed.Seconds() / (f.prefill.Seconds() + usual*f.perUnit.Seconds()) * usual
}

// bound is the formula of docs/FAIRNESS.md for the gap over an interval: twice
// what may lie between two counters at one time.
func (f *fleet) bound() float64 {
	return 2 * (f.inFlight.reserved + f.inFlight.remaining + f.exchanged())
}

// exchanged is the service that can be had in other zones before it is told
// here, and the advantage of local work.
func (f *fleet) exchanged() float64 {
	if len(f.zones) == 1 {
		return 0
	}
	slots := float64(f.plan.engines * f.slots)
	least := math.Inf(1)
	for _, weight := range f.weights {
		least = min(least, weight)
	}
	delay := f.slowest + f.zoneHop + progressEvery
	return slots * delay.Seconds() / f.perUnit.Seconds() / least
}

// within returns how long after a time it takes until, from then to the end,
// the gap stays within the bound and the utilisation of each following window
// reaches the level. It is negative if that does not come about.
func (f *fleet) within(after, end time.Duration, level float64) time.Duration {
	const span = 5 * time.Second
	for from := after; from+span <= end; from += sampleEvery {
		if f.utilisation(f.window(from, from+span)) >= level && gap(f.window(from, end)) <= f.bound() {
			return from - after
		}
	}
	return -1
}
