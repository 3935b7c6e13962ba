package localizer

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"shallotkeel.example/lib/messenger"
)

// carried returns a report as it is read from a disk or another process.
func carried(now time.Time, r Report) Report {
	request := &messenger.FollowRequest{}
	r.AddTo(request, now)
	return ReportFrom(request, now)
}

// Guards against evidence that changes when it is kept or told: a sound feature would be quarantined, or a
// bad one not.
func TestEvidenceSurvivesARestart(t *testing.T) {
	const bad, beside, answered = 10, 20, 30
	tests := map[string]struct {
		before, after func(c *court)
		quarantined   map[Feature]bool
	}{
		"a third crash": {
			func(c *court) { c.crash(bad); c.crash(bad, beside) },
			func(c *court) { c.settle(); c.crash(bad) }, map[Feature]bool{bad: true, beside: false},
		},
		"a second crash": {func(c *court) { c.crash(bad) }, func(c *court) { c.crash(bad) }, map[Feature]bool{bad: false}},
		"a third crash, answered before it": {
			func(c *court) { c.crash(answered); c.crash(answered); c.answer(1, answered) },
			func(c *court) { c.crash(answered) }, map[Feature]bool{answered: false},
		},
		"a third crash, answered during the restart": {
			func(c *court) { c.crash(answered); c.crash(answered) },
			func(c *court) { c.answer(1, answered); c.crash(answered) }, map[Feature]bool{answered: false},
		},
		"five crashes after an answer": {
			func(c *court) {
				c.crash(answered)
				c.answer(1, answered)
				c.crash(answered)
				c.answer(1)
				c.crash(answered)
			},
			func(c *court) {
				c.settle()
				for range 3 {
					c.answer(1)
					c.crash(answered)
				}
				c.answer(1)
				c.settle()
			}, map[Feature]bool{answered: true},
		},
		"all crashes, before the verdict": {
			func(c *court) {
				c.settle()
				for range 3 {
					c.lifetime++
					c.AddCrash(c.now, Crash{Lifetime: c.lifetime, Service: 1, At: c.now, Features: []Feature{bad}})
				}
			},
			func(c *court) { c.settle(); c.settle() }, map[Feature]bool{bad: true},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := newCourt()
			test.before(c)
			restarted := newCourt()
			restarted.now, restarted.lifetime, restarted.answers = c.now, c.lifetime, c.answers
			restarted.Restore(c.now, carried(c.now, c.Evidence()))
			test.after(restarted)
			for feature, quarantined := range test.quarantined {
				require.Equal(t, quarantined, restarted.inForce(feature), "feature %d", feature)
			}
		})
	}
}

// Guards against a quarantine begun at a start, before routers could say what they have answered meanwhile.
func TestRestoredEvidenceWaitsForRouters(t *testing.T) {
	c := newCourt()
	var evidence Report
	for n := range 3 {
		evidence.Crashes = append(evidence.Crashes, Crash{Lifetime: Lifetime(n), Service: 1, At: c.now, Features: []Feature{10}})
	}
	c.Restore(c.now, evidence)
	c.settle()
	require.False(t, c.inForce(10))
	require.Equal(t, []Feature{10}, c.Suspects(), "routers are asked")
	c.settle()
	require.True(t, c.inForce(10))
}

// Guards against crashes that count again when they are told again, after their answer was forgotten by the
// router that gave it.
func TestCrashesToldAgainStayRefuted(t *testing.T) {
	c := newCourt()
	c.crash(10)
	c.crash(10)
	before := c.now
	c.answer(1, 10)
	c.answers = make(map[Feature]time.Time)
	c.now = c.now.Add(3 * time.Minute)
	for lifetime := range c.lifetime {
		c.AddCrash(c.now, Crash{Lifetime: lifetime + 1, Service: 1, At: testNow, Features: []Feature{10}})
		c.AddCrash(c.now, Crash{Lifetime: 100 + lifetime, Service: 1, At: before.Add(-time.Millisecond), Features: []Feature{10}})
	}
	c.settle()
	require.Empty(t, c.Suspects())
	c.crash(10)
	require.False(t, c.inForce(10))
}

// Guards against acquittals that take the room of crashes.
func TestAcquittalsMakeRoomForCrashes(t *testing.T) {
	c := newCourt()
	for n := range maxEvidence {
		c.AddCrash(c.now, Crash{Lifetime: 1, Service: 1, At: c.now, Features: []Feature{Feature(n + 10)}})
		c.AddAnswer(c.now, Answer{Feature: Feature(n + 10), At: c.now.Add(time.Millisecond)})
	}
	require.Equal(t, maxEvidence, c.acquitted)
	c.lifetime = 1
	for range 3 {
		c.crash(9)
	}
	require.True(t, c.inForce(9))
	require.Zero(t, c.acquitted)
}

// Guards against acquittals that are kept for ever, or counted wrongly.
func TestAcquittalsExpire(t *testing.T) {
	c := newCourt()
	c.crash(10, 20)
	c.answer(1, 10)
	c.answer(10)
	c.crash(10)
	require.Zero(t, c.acquitted, "it has a crash again")
	c.answer(10)
	require.Equal(t, 1, c.acquitted)
	c.now = c.now.Add(crashRetention + time.Second)
	c.Expire(c.now)
	require.Zero(t, c.acquitted)
	require.Empty(t, c.evidence)
}

// Guards against evidence that exceeds a report: what is left out must not make a feature look worse.
func TestEvidenceIsBounded(t *testing.T) {
	c := newCourt()
	for n := range 3 * maxReported {
		lifetime := Lifetime(n)
		c.AddCrash(c.now, Crash{Lifetime: lifetime, Service: 1, At: c.now, Features: []Feature{Feature(10 + n)}})
		c.AddAnswer(c.now, Answer{Feature: Feature(10 + n), At: c.now.Add(-time.Second)})
		c.AddAnswer(c.now, Answer{Feature: 1, At: c.now})
		c.AddCrash(c.now, Crash{Lifetime: 1, Service: 1, At: c.now, Features: []Feature{Feature(1e6 + n)}})
	}
	evidence := c.Evidence()
	received := carried(c.now, evidence)
	require.Equal(t, len(evidence.Crashes), len(received.Crashes))
	require.Equal(t, len(evidence.Answers), len(received.Answers))
	named := make(map[Feature]bool)
	for _, answer := range received.Answers {
		named[answer.Feature] = true
	}
	for _, crash := range received.Crashes {
		for _, feature := range crash.Features {
			require.True(t, feature >= 1e6 || named[feature], "feature %d was answered", feature)
		}
	}
}

// Guards against a copy of the evidence that grows with the crashes of a large fleet.
func TestEvidenceTakesLittleSpace(t *testing.T) {
	tests := map[string]struct {
		crashes, features, most int // most is in bytes
	}{
		"one crash under one request":   {1, 1, 50},
		"one crash under many requests": {1, 1000, 12_000},
		"many crashes":                  {maxLifetimes, 1, 50_000},
		"more than there is room for":   {maxLifetimes, MaxFeatures, 250_000},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := newCourt()
			for n := range test.crashes {
				for first := 0; first < test.features; first += MaxFeatures {
					crash := Crash{Lifetime: Lifetime(math.MaxUint64 - uint64(n)), Service: math.MaxUint64, At: c.now.Add(-time.Minute)}
					for feature := range min(MaxFeatures, test.features-first) {
						crash.Features = append(crash.Features, Feature(math.MaxUint64-uint64(first+feature)))
					}
					c.AddCrash(c.now, crash)
				}
			}
			request := &messenger.FollowRequest{}
			evidence := c.Evidence()
			evidence.AddTo(request, c.now)
			size := proto.Size(request)
			t.Logf("%d bytes", size)
			require.LessOrEqual(t, size, test.most)
			require.NotEmpty(t, evidence.Crashes)
		})
	}
}
