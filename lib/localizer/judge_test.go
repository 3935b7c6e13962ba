package localizer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/messenger"
)

var testNow = time.Unix(1000, 0)

// court is a Judge with a clock and a router that answers its questions, for tests of single decisions.
type court struct {
	Judge
	now      time.Time
	lifetime Lifetime
	answers  map[Feature]time.Time
}

func newCourt() *court {
	return &court{now: testNow, answers: make(map[Feature]time.Time)}
}

// crash reports a new crash, and lets it settle.
func (c *court) crash(features ...Feature) {
	c.lifetime++
	c.AddCrash(c.now, Crash{Lifetime: c.lifetime, Service: 1, At: c.now, Features: features})
	c.settle()
}

func (c *court) settle() {
	for range 12 {
		c.now = c.now.Add(judgeInterval)
		for _, suspect := range append(c.Suspects(), 1) {
			if at, found := c.answers[suspect]; found {
				c.AddAnswer(c.now, Answer{Feature: suspect, At: at})
			}
		}
		c.Verdicts(c.now)
	}
}

func (c *court) answer(features ...Feature) {
	for _, feature := range features {
		c.answers[feature] = c.now
		c.AddAnswer(c.now, Answer{Feature: feature, At: c.now})
	}
	c.now = c.now.Add(time.Millisecond)
}

func (c *court) inForce(feature Feature) bool {
	return c.quarantined(c.now, feature)
}

// Guards against sound features that are quarantined, and bad ones that are not.
func TestVerdicts(t *testing.T) {
	const bad, beside, first = 10, 20, 30
	tests := map[string]struct {
		play        func(c *court)
		quarantined map[Feature]bool
	}{
		"two crashes prove nothing":                   {func(c *court) { c.crash(bad); c.crash(bad) }, map[Feature]bool{bad: false}},
		"three crashes without an answer":             {func(c *court) { c.crash(bad); c.crash(bad, beside); c.crash(bad, beside) }, map[Feature]bool{bad: true, beside: false}},
		"an answer between crashes":                   {func(c *court) { c.crash(bad); c.crash(bad); c.answer(1, bad); c.crash(bad); c.crash(bad) }, map[Feature]bool{bad: false}},
		"what is always there together":               {func(c *court) { c.crash(bad, beside); c.crash(bad, beside); c.crash(bad, beside) }, map[Feature]bool{bad: true, beside: true}},
		"five crashes after an answer":                {soundBefore(5), map[Feature]bool{bad: true}},
		"four crashes after an answer":                {soundBefore(4), map[Feature]bool{bad: false}},
		"a first part that is answered between":       {popularFirst, map[Feature]bool{bad: true, first: false}},
		"crashes that a quarantine explains":          {explained, map[Feature]bool{bad: true, beside: false}},
		"a service that answers nothing acquits none": {silentService, map[Feature]bool{bad: false}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := newCourt()
			test.play(c)
			for feature, quarantined := range test.quarantined {
				require.Equal(t, quarantined, c.inForce(feature), "feature %d", feature)
			}
		})
	}
}

// soundBefore plays crashes under a feature that was answered shortly before, while its service goes on
// to answer others.
func soundBefore(crashes int) func(*court) {
	return func(c *court) {
		c.crash(10)
		c.answer(1, 10)
		for range crashes {
			c.crash(10)
			c.answer(1)
		}
		c.settle()
	}
}

func popularFirst(c *court) {
	for range 4 {
		c.crash(30, 10)
		c.answer(1, 30)
	}
	c.settle()
}

func explained(c *court) {
	for range 3 {
		c.crash(10)
	}
	for range 6 {
		c.crash(10, 20)
	}
}

func silentService(c *court) {
	c.crash(10)
	c.answer(1, 10)
	for range 8 {
		c.crash(10)
	}
}

// Guards against a sound feature that stays quarantined because its answer was reported late.
func TestAnswersEndAQuarantineThatTheyRefute(t *testing.T) {
	c := newCourt()
	before := c.now
	for range 3 {
		c.crash(10)
	}
	require.True(t, c.inForce(10))
	require.False(t, c.AddAnswer(c.now, Answer{Feature: 10, At: before.Add(-time.Hour)}), "it was answered an hour ago")
	require.True(t, c.inForce(10))
	require.True(t, c.AddAnswer(c.now, Answer{Feature: 10, At: before.Add(time.Second)}), "it was answered between its crashes")
	require.False(t, c.inForce(10))
	require.False(t, c.Adopt(c.now, 10, time.Minute), "another keeper does not know yet that it was lifted")
}

// Guards against a keeper whose memory grows with what it is told.
func TestJudgeIsBounded(t *testing.T) {
	c := newCourt()
	for n := range 3 * maxLifetimes {
		c.AddCrash(c.now, Crash{Lifetime: Lifetime(n), Service: Feature(n), At: c.now, Features: []Feature{Feature(3 * n), Feature(3*n + 1), Feature(3*n + 2)}})
		c.Adopt(c.now, Feature(n), time.Minute)
		c.now = c.now.Add(time.Millisecond)
	}
	require.LessOrEqual(t, len(c.lifetimes), maxLifetimes)
	require.LessOrEqual(t, len(c.evidence), maxEvidence)
	require.LessOrEqual(t, len(c.quarantines), maxQuarantined)
	require.LessOrEqual(t, len(c.answering), maxServices)
	c.now = c.now.Add(crashRetention + liftedRetention)
	c.Expire(c.now)
	require.Empty(t, c.lifetimes)
	require.Empty(t, c.evidence)
	require.Empty(t, c.quarantines)
	require.Empty(t, c.answering)
}

// Guards against messages of another process that take memory without bound.
func TestReportsOffTheWireAreBounded(t *testing.T) {
	request := &messenger.FollowRequest{}
	response := &messenger.FollowResponse{}
	for n := range uint64(10_000) {
		request.Crashes = append(request.Crashes, &messenger.Crash{Endpoint: n, Features: make([]uint64, 200)})
		request.Answered = append(request.Answered, &messenger.Answered{Feature: n})
		request.Refused = append(request.Refused, n)
		response.Suspects = append(response.Suspects, n)
		response.Quarantined = append(response.Quarantined, &messenger.Fingerprint{Digest: n, LeftMs: 1})
	}
	report := ReportFrom(request, testNow)
	require.Len(t, report.Crashes, maxLifetimes)
	require.Len(t, report.Crashes[0].Features, MaxFeatures)
	require.Len(t, report.Answers, maxReported)
	require.Len(t, report.Refused, maxQuarantined)
	require.Len(t, SuspectsFrom(response), MaxSuspects)
	require.Len(t, QuarantinesFrom(response.GetQuarantined()), maxQuarantined)
}

// Guards against reports that change on their way.
func TestReportsSurviveTheWire(t *testing.T) {
	want := Report{
		Crashes: []Crash{{Lifetime: 5, Service: 1, At: testNow.Add(-time.Second), Features: []Feature{2, 3}}},
		Answers: []Answer{{Feature: 2, At: testNow.Add(-time.Minute)}},
		Refused: []Feature{7},
	}
	request := &messenger.FollowRequest{}
	want.AddTo(request, testNow)
	require.Equal(t, want, ReportFrom(request, testNow))
	quarantines := []Quarantine{{Feature: 4, Left: 5 * time.Second, Trial: true}, {Feature: 6}}
	response := &messenger.FollowResponse{}
	AddTo(response, quarantines, []Feature{8})
	require.Equal(t, quarantines, QuarantinesFrom(response.GetQuarantined()))
	require.Equal(t, []Feature{8}, SuspectsFrom(response))
}
