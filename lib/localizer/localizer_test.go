package localizer

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// maxLate is how many requests with a bad part may reach engines later than a contact after the
	// fifth crash under it.
	maxLate = 3
	// maxRefused is the share of sound requests that quarantines may refuse.
	maxRefused = 0.01
)

// simSeeds is the number of seeds that each case is played with.
var simSeeds = flag.Uint64("seeds", 3, "seeds that each case of a fleet is played with")

// fleetCases are the circumstances under which a fleet is played, as changes of the defaults.
var fleetCases = map[string]func(*simSettings){
	"two a second":                  func(*simSettings) {},
	"ten a second":                  func(s *simSettings) { s.badRate = 10 },
	"one in five seconds":           func(s *simSettings) { s.badRate, s.length = 0.2, 2*time.Minute },
	"engines crash otherwise, too":  func(s *simSettings) { s.outages = seconds(8, 14, 19, 24) },
	"nothing but ordinary crashes":  func(s *simSettings) { s.badRate, s.outages = 0, seconds(14, 19, 24, 29) },
	"a part that was sound":         func(s *simSettings) { s.badSound, s.badFrom = true, 10*time.Second },
	"a part that was sound, often":  func(s *simSettings) { s.badSound, s.badFrom, s.badRate = true, 10*time.Second, 10 },
	"two parts":                     func(s *simSettings) { s.badParts = []part{"one", "two"} },
	"the first part":                func(s *simSettings) { s.badFirst = true },
	"a part below another":          func(s *simSettings) { s.badBelow = true },
	"prompts of a hundred parts":    func(s *simSettings) { s.moreParts = 97 },
	"rare second parts":             func(s *simSettings) { s.rarer = 40 },
	"sound requests repeat":         func(s *simSettings) { s.badRate, s.equalBodies = 10, true },
	"keepers lose their memory":     func(s *simSettings) { s.keeperRestarts = seconds(6, 12) },
	"routers lose their memory":     func(s *simSettings) { s.routerRestarts = seconds(6, 12) },
	"all lose their memory at once": func(s *simSettings) { s.keeperRestarts, s.routerRestarts = seconds(12), seconds(12) },
	"a zone is cut off":             func(s *simSettings) { s.cutFrom, s.cutUntil = 4*time.Second, 20*time.Second },
	"the keepers have no quorum":    func(s *simSettings) { s.noLog = true },
	"reports meet late":             func(s *simSettings) { s.poll = time.Second },
}

// Guards against engines that crash one after the other under one part of otherwise different prompts.
func TestFleetIsolatesThePartThatCrashesEngines(t *testing.T) {
	for name, change := range fleetCases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range *simSeeds {
				settings := defaults(seed)
				change(&settings)
				r := play(settings)
				which := fmt.Sprintf("seed %d: %+v", seed, r)
				require.LessOrEqual(t, r.late, maxLate, which)
				require.LessOrEqual(t, float64(r.refused), maxRefused*float64(r.sound), which)
				require.LessOrEqual(t, float64(r.refusedLate), maxRefused*float64(r.soundLate), which)
				if settings.badRate > 0 {
					require.Positive(t, r.badAtEnd, which)
				} else {
					require.Zero(t, r.wrong, which)
				}
			}
		})
	}
}

func seconds(at ...int) []time.Duration {
	var durations []time.Duration
	for _, s := range at {
		durations = append(durations, time.Duration(s)*time.Second)
	}
	return durations
}
