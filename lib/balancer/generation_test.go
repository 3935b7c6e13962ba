package balancer

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/predictor"
	"shallotkeel.example/lib/resolver"
)

const stepTime = 4 * time.Millisecond

// engines returns a balancer that knows the capacity of its engines and their step times.
func engines(count int) *Balancer {
	b := fleet(count)
	b.SetEngine("engines", resolver.Engine{Slots: 16, Stride: 10})
	steps := b.stepTimes("engines")
	for range 100 {
		steps.Observe(8, stepTime)
	}
	return b
}

func streamOf(shared, own uint64, output int) *Work {
	work := prompt(shared, own)
	work.Output = output
	return work
}

// Guards against remaining work that does not fall as events arrive, or that is left over when a request ends.
func TestRemainingTokensFallWithEvents(t *testing.T) {
	b := engines(1)
	e := b.byID["i-1"]
	work := streamOf(1, 2, 400)
	work.Expected = 100
	slot := b.Pick(start, "engines", work, nil)
	require.Equal(t, 100, e.own.remaining)
	slot.NoteEvents(start, 4)
	require.Equal(t, Load{Unread: slot.PrefillTokens, Running: 1, Remaining: 60}, b.Loads()[e.key])
	slot.NoteEvents(start, 20)
	require.Equal(t, 10, e.own.remaining, "it goes on for at least an event")
	slot.NoteEvents(start, 0)
	require.Equal(t, 240, slot.OutputTokens())
	slot.End(start, Served)
	slot.NoteEvents(start, 1)
	require.Zero(t, e.own.remaining)
	require.Empty(t, b.Loads())
}

// Guards against an expected output above the maximum, or of 0 before anything is learned.
func TestExpectedOutputIsBounded(t *testing.T) {
	tests := map[string]struct{ expected, output, want int }{
		"nothing learned":    {0, 400, 400},
		"learned":            {100, 400, 100},
		"above the maximum":  {900, 400, 400},
		"no maximum":         {100, 0, 100},
		"neither is stated":  {0, 0, 0},
		"exactly as allowed": {400, 400, 400},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, test.want, (&Work{Expected: test.expected, Output: test.output}).expectedOutput())
		})
	}
}

// Guards against requests that wait for a slot at a full engine while others have free ones: unread
// tokens do not show it.
func TestFullEngineIsAvoided(t *testing.T) {
	tests := map[string]struct {
		running, remaining int
		wait               time.Duration
	}{
		"idle":                  {0, 0, 0},
		"one slot is free":      {15, 15 * 200, 0},
		"all slots are in use":  {16, 16 * 200, 2 * 200 * stepTime / 17},
		"three requests wait":   {19, 19 * 200, 4 * 2 * 200 * stepTime / 17},
		"they are about to end": {16, 16, 2 * stepTime / 17},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := engines(2)
			e := b.byID["i-1"]
			b.SetOtherLoads(start, map[uint64]Load{e.key: {Running: test.running, Remaining: test.remaining}})
			require.InDelta(t, test.wait.Seconds(), b.slotWait(start, e).Seconds(), 1e-6)
			require.Zero(t, b.slotWait(start, b.byID["i-2"]))
			require.Zero(t, b.slotWait(start.Add(maxLoadAge+1), e), "stale reports are not used")
			b.SetOtherLoads(start.Add(1), map[uint64]Load{e.key: {Unread: 5}})
			require.InDelta(t, test.wait.Seconds(), b.slotWait(start.Add(1), e).Seconds(), 1e-6, "loads without running requests leave the former ones")
		})
	}
	b := engines(2)
	b.SetOtherLoads(start, map[uint64]Load{b.byID["i-1"].key: {Running: 40, Remaining: 40 * 400}})
	for own := range uint64(10) {
		work := streamOf(100+own, own, 100) // nobody has the parts
		work.Target = 400 * time.Millisecond
		require.Equal(t, "i-2", b.Pick(start, "engines", work, nil).ID)
	}
}

// Guards against running requests of an engine that has restarted.
func TestRestartDropsWorkAndSpeeds(t *testing.T) {
	b := engines(1)
	key := b.byID["i-1"].key
	report := func() {
		b.SetOtherLoads(start, map[uint64]Load{key: {Running: 30, Remaining: 3000}})
		b.SetOtherSpeeds(start, map[uint64]predictor.Sums{key: {Waits: 100, WaitLog: 90}})
	}
	report()
	require.Greater(t, b.byID["i-1"].waitFactor, 2.0)
	again := engine(1)
	again.Started = start.Add(time.Second)
	require.True(t, b.Update(again))
	report() // keepers still have reports on the former lifetime
	e := b.byID["i-1"]
	require.InDelta(t, 1, e.waitFactor, 0)
	require.Zero(t, b.slotWait(start, e))
	require.Empty(t, b.Speeds(start))
}

// Guards against an engine that generates slowly and is not recognized, because each router sees a few streams.
func TestSpeedIsLearnedFromEvents(t *testing.T) {
	b := engines(2)
	now := start
	for range 60 {
		for id, factor := range map[string]float64{"i-1": 1 / 0.55, "i-2": 1 / 1.2} {
			slot := b.Pick(now, "engines", streamOf(1, 2, 400), func(other string) bool { return other != id })
			at := now
			for range 38 {
				at = at.Add(scale(10*stepTime, factor))
				slot.NoteEvents(at, 1)
			}
			slot.End(at, Served)
		}
		now = now.Add(200 * time.Millisecond)
	}
	slow, fast := b.byID["i-1"], b.byID["i-2"]
	require.InDelta(t, 1.2/0.55, slow.gapFactor/fast.gapFactor, 0.2)
}

// Guards against speeds that are forgotten while no keeper answers, and against the time between the last event
// of a stream and its end that counts as a gap.
func TestSpeedsStayWithoutKeepers(t *testing.T) {
	b := engines(1)
	e := b.byID["i-1"]
	b.SetOtherSpeeds(start, map[uint64]predictor.Sums{e.key: {Waits: 100, WaitLog: 80, Gaps: 100, GapLog: 80}})
	learned := e.waitFactor
	later := start.Add(time.Minute)
	b.SetOtherLoads(later, nil)
	slot := b.Pick(later, "engines", streamOf(1, 2, 400), nil)
	require.InDelta(t, learned, e.waitFactor, 0)
	slot.NoteEvents(later, 1)
	slot.NoteEvents(later.Add(10*stepTime), 1)
	slot.End(later.Add(5*time.Second), Cancelled)
	sums := e.speed.Sums(later.Add(10 * stepTime))
	require.InDelta(t, 1, sums.Gaps, 0.01)
	require.InDelta(t, 0, sums.GapLog, 0.01)
}

// Guards against homes on which routers disagree because their observations differ a little, and against
// homes that move with each observation.
func TestHomesFollowSpeedInSteps(t *testing.T) {
	const fast, slow = 1 / 1.2, 1 / 0.55
	sums := func(factor float64) predictor.Sums {
		return predictor.Sums{Waits: 1000, WaitLog: 1004 * math.Log(factor)}
	}
	routers := []*Balancer{engines(40), engines(40), engines(40)}
	for r, b := range routers {
		speeds := make(map[uint64]predictor.Sums)
		for i := range 40 {
			factor := fast
			if i%4 == 0 {
				factor = slow
			}
			speeds[Key(engine(i+1))] = sums(factor * (0.97 + 0.03*float64(r)))
		}
		b.SetOtherSpeeds(start, speeds)
	}
	homesOf := make(map[string]int)
	for part := range uint64(2000) {
		ids := make(map[string]bool)
		for _, b := range routers {
			ids[b.home(b.services["engines"], prompt(part, 1)).fleet.ID] = true
		}
		require.Len(t, ids, 1)
		for id := range ids {
			homesOf[id]++
		}
	}
	slowHomes := 0
	for i := 0; i < 40; i += 4 {
		slowHomes += homesOf[engine(i+1).ID]
	}
	require.InDelta(t, 2000*0.25*0.55, slowHomes, 120, "slow engines are homes in proportion to their speed")
	e := routers[0].byID["i-1"]
	before := e.rankStep
	e.otherSpeed = sums(slow * 1.15)
	e.updateSpeed(start)
	require.Equal(t, before, e.rankStep)
}
