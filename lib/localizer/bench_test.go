package localizer

import (
	"fmt"
	"testing"
	"time"
)

// benchProfile returns the profile of a request with ten shared parts.
func benchProfile(n int) Profile {
	profile := Profile{Service: 1, Whole: Feature(n)<<32 | 1}
	for i := range 10 {
		profile.Shared = append(profile.Shared, Feature(n%500*100+i+10))
	}
	return profile
}

// BenchmarkRequest measures what a request costs that is sent and answered: its verdict and its answer.
func BenchmarkRequest(b *testing.B) {
	for name, quarantined := range map[string]int{"nothing quarantined": 0, "ten features quarantined": 10} {
		b.Run(name, func(b *testing.B) {
			var o Observer
			now := time.Unix(1000, 0)
			var quarantines []Quarantine
			for n := range quarantined {
				quarantines = append(quarantines, Quarantine{Feature: Feature(n) << 48, Left: time.Hour})
			}
			o.SetQuarantines(now, quarantines)
			profiles := make([]Profile, 1000)
			for n := range profiles {
				profiles[n] = benchProfile(n)
			}
			b.ReportAllocs()
			for n := range b.N {
				p := profiles[n%len(profiles)]
				o.Judge(now, p)
				o.Answered(now, p)
			}
		})
	}
}

// BenchmarkVerdicts measures one evaluation at a keeper to which routers have reported as many crashes
// and features as it keeps.
func BenchmarkVerdicts(b *testing.B) {
	for _, features := range []int{100, 1000, maxEvidence} {
		b.Run(fmt.Sprint(features, " features"), func(b *testing.B) {
			var j Judge
			now := time.Unix(1000, 0)
			for n := range features {
				for crash := range 2 {
					j.AddCrash(now, Crash{Lifetime: Lifetime((n + crash*7) % 300), Service: 1, At: now, Features: []Feature{Feature(n + 10)}})
				}
			}
			b.ReportAllocs()
			for range b.N {
				now = now.Add(judgeInterval)
				j.Verdicts(now)
			}
		})
	}
}
