package pacer

import "slices"

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
