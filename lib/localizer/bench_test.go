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

// BenchmarkEvidence measures what it costs a keeper to write down, or to tell another keeper, all that it knows.
func BenchmarkEvidence(b *testing.B) {
	for name, size := range map[string]struct{ crashes, features int }{
		"ten crashes": {10, 64}, "full tables": {maxLifetimes, 4 * MaxFeatures},
	} {
		b.Run(name, func(b *testing.B) {
			var j Judge
			now := time.Unix(1000, 0)
			for n := range size.crashes {
				for first := 0; first < size.features; first += MaxFeatures {
					crash := Crash{Lifetime: Lifetime(n), Service: 1, At: now}
					for feature := range min(MaxFeatures, size.features-first) {
						crash.Features = append(crash.Features, Feature(n*size.features/64+first+feature+10))
					}
					j.AddCrash(now, crash)
				}
			}
			b.ReportAllocs()
			for range b.N {
				j.Evidence()
			}
		})
	}
}

// BenchmarkAnsweredAfterCrashes measures what a request costs a router that remembers as many crashes as it can.
func BenchmarkAnsweredAfterCrashes(b *testing.B) {
	var o Observer
	now := time.Unix(1000, 0)
	for n := range maxBroken {
		for repeat := range 16 {
			o.Broke(now, Lifetime(n), benchProfile(1000+16*n+repeat), 0)
		}
		o.Ended(now, Lifetime(n))
	}
	now = now.Add(time.Second)
	profiles := make([]Profile, 1000)
	for n := range profiles {
		profiles[n] = Profile{Service: 1, Whole: Feature(n)<<40 | 1}
		for i := range 10 {
			profiles[n].Shared = append(profiles[n].Shared, Feature(n)<<40|Feature(i+2))
		}
	}
	b.ReportAllocs()
	for n := range b.N {
		o.Answered(now, profiles[n%len(profiles)])
	}
}
