package balancer

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/lister"
)

var start = time.Unix(1000, 0)

func engine(i int) lister.Listing {
	return lister.Listing{
		ID: fmt.Sprint("i-", i), Service: "engines", State: lister.Ready, Slots: 32,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
	}
}

func fleet(count int) *Balancer {
	b := &Balancer{}
	b.Remember("engines", 500_000)
	for i := range count {
		b.Update(engine(i + 1))
	}
	return b
}

func prompt(shared, own uint64) *Work {
	return &Work{Model: "m", Prompt: 6000, Parts: []Part{{ID: shared, Tokens: 5000}, {ID: own, Tokens: 1000}}}
}

// Symptom: a fifth of the engines' time goes into reading what they had read
// before. Cause: requests with one prefix were spread over all engines.
func TestRequestsFollowTheirPrefix(t *testing.T) {
	routers := []*Balancer{fleet(18), fleet(18), fleet(18)}
	for shared := range uint64(20) {
		homes := make(map[string]bool)
		for i, b := range routers {
			for own := range uint64(5) {
				slot := b.Pick(start, "engines", prompt(shared, 1000+100*uint64(i)+own), nil)
				homes[slot.ID] = true
				slot.End(start, Served)
			}
		}
		require.Len(t, homes, 1, "routers agree without a word")
	}
}

func TestLoadMovesAPrefixElsewhere(t *testing.T) {
	b := fleet(4)
	used := make(map[string]bool)
	for own := range uint64(400) {
		used[b.Pick(start, "engines", prompt(1, 100+own), nil).ID] = true
	}
	require.Greater(t, len(used), 1)
}

func TestPlainRequestsSpreadEvenly(t *testing.T) {
	b := fleet(4)
	counts := make(map[string]int)
	for range 100 {
		counts[b.Pick(start, "engines", &Work{}, nil).ID]++
	}
	for id, count := range counts {
		require.Equal(t, 25, count, id)
	}
}

// Symptom: one endpoint of a plain service gets two thirds of its requests and
// answers after three times as long as the others. Sequence: many routers have one
// request now and then, each finds all endpoints idle. Cause: all of them broke the
// tie by the same order.
func TestIdleEndpointsTakeTurns(t *testing.T) {
	b := fleet(3)
	counts := make(map[string]int)
	for range 30 {
		slot := b.Pick(start, "engines", &Work{}, nil)
		counts[slot.ID]++
		slot.End(start, Served)
	}
	for id, count := range counts {
		require.Equal(t, 10, count, id)
	}
}

func TestOnlyReadyEndpointsGetWork(t *testing.T) {
	b := fleet(2)
	leaving := engine(1)
	leaving.State = lister.Leaving
	b.Update(leaving)
	for range 10 {
		require.Equal(t, "i-2", b.Pick(start, "engines", &Work{}, nil).ID)
	}
	gone := engine(2)
	gone.State = lister.Gone
	b.Update(gone)
	require.Nil(t, b.Pick(start, "engines", &Work{}, nil))
	require.Nil(t, fleet(2).Pick(start, "desk", &Work{}, nil))
	require.Nil(t, fleet(1).Pick(start, "engines", &Work{}, func(string) bool { return true }))
}

// Symptom: every request waits for a dead endpoint's timeout. Sequence: an
// endpoint dies, each request is offered to it because nothing runs there.
func TestFailedEndpointPauses(t *testing.T) {
	b := fleet(2)
	first := b.Pick(start, "engines", &Work{}, nil)
	first.End(start, Broken)
	for range 5 {
		require.NotEqual(t, first.ID, b.Pick(start, "engines", &Work{}, nil).ID)
	}
	later := start.Add(firstPause)
	probe := b.Pick(later, "engines", &Work{}, nil)
	require.Equal(t, first.ID, probe.ID, "one request finds out")
	require.NotEqual(t, first.ID, b.Pick(later, "engines", &Work{}, nil).ID, "and only one")
	probe.End(later, Broken)
	require.NotEqual(t, first.ID, b.Pick(later.Add(firstPause), "engines", &Work{}, nil).ID, "the pause doubles")
	again := b.Pick(later.Add(2*firstPause), "engines", &Work{}, nil)
	require.Equal(t, first.ID, again.ID)
	again.End(later, Served)
	require.Equal(t, first.ID, b.Pick(later, "engines", &Work{}, nil).ID, "it is back")
}

func TestEndpointThatFailsOftenPauses(t *testing.T) {
	b := fleet(2)
	now := start
	grey := 0
	for range 400 {
		now = now.Add(10 * time.Millisecond)
		slot := b.Pick(now, "engines", &Work{}, nil)
		outcome := Served
		if slot.ID == "i-1" {
			outcome = Faulty
			grey++
		}
		slot.End(now, outcome)
	}
	require.Less(t, grey, 40)
}

func TestSilentEndpointIsTheLastChoice(t *testing.T) {
	b := fleet(2)
	silent := engine(1)
	silent.Silent = true
	b.Update(silent)
	for range 10 {
		require.Equal(t, "i-2", b.Pick(start, "engines", &Work{}, nil).ID)
	}
	require.Equal(t, "i-1", b.Pick(start, "engines", &Work{}, func(id string) bool { return id == "i-2" }).ID)
}

func TestSlotsAreGivenBackOnce(t *testing.T) {
	b := fleet(1)
	slot := b.Pick(start, "engines", prompt(1, 2), nil)
	require.Equal(t, 1, b.byID["i-1"].own.running)
	slot.Heard(start)
	slot.End(start, Served)
	slot.End(start, Served)
	require.Zero(t, b.byID["i-1"].own.running)
	require.Zero(t, b.byID["i-1"].own.unread)
}

// Symptom: the streams of an engine that is only slow are ended and read again
// elsewhere. Cause: one stream's silence was taken for the engine's.
func TestOnlyAnEndpointThatIsSilentToAllIsDark(t *testing.T) {
	b := fleet(1)
	slow := b.Pick(start, "engines", prompt(1, 2), nil)
	other := b.Pick(start, "engines", prompt(1, 3), nil)
	other.Heard(start.Add(time.Second))
	require.False(t, slow.Dark(start.Add(1500*time.Millisecond), time.Second))
	require.True(t, slow.Dark(start.Add(2*time.Second), time.Second))
}

func TestMemoryIsBounded(t *testing.T) {
	var p parts
	for own := range uint64(3 * maxParts) {
		p.note(prompt(own, own+1<<32), 0)
	}
	require.LessOrEqual(t, len(p.byKey), maxParts)
	require.Equal(t, len(p.byKey), p.order.Len())
	p.note(prompt(9, 10), 6000)
	require.LessOrEqual(t, p.tokens, 6000)
	require.Equal(t, 6000, p.kept(prompt(9, 10)))
	require.Equal(t, 5000, p.kept(prompt(9, 11)))
	require.Zero(t, p.kept(&Work{Model: "other", Parts: prompt(9, 10).Parts}))
}

// Symptom: an engine that has started again is idle beside refusals, or gets
// requests for memory that it has lost. Sequence: it crashes while requests run and
// comes back under its id; their slots are given back late. Cause: what was believed
// of the former life was believed of the new one.
func TestRestartedEndpointIsANewOne(t *testing.T) {
	b := fleet(1)
	var slots []*Slot
	for own := range uint64(3) {
		slots = append(slots, b.Pick(start, "engines", prompt(1, 10+own), nil))
	}
	slots[0].End(start, Broken)
	again := engine(1)
	again.Started = start.Add(time.Second)
	require.NoError(t, slots[1].Life().Err())
	require.True(t, b.Update(again))
	require.Error(t, slots[1].Life().Err(), "what ran there has ended")
	fresh := b.byID["i-1"]
	require.Zero(t, fresh.own.running)
	require.Zero(t, fresh.own.unread)
	require.Zero(t, fresh.held.kept(prompt(1, 10)))
	require.True(t, fresh.until.IsZero(), "the former life's failures are not its own")
	slot := b.Pick(start.Add(time.Second), "engines", prompt(1, 10), nil)
	require.Equal(t, 6000-int(guessed*5000), slot.Reading)
	slots[1].End(start.Add(time.Second), Broken)
	slots[2].Heard(start.Add(time.Second))
	slots[2].End(start.Add(time.Second), Unreached)
	require.Equal(t, 1, fresh.own.running)
	require.Equal(t, slot.Reading, fresh.own.unread)
	require.True(t, fresh.until.IsZero())
	require.False(t, b.Update(again))
	require.Same(t, fresh, b.byID["i-1"], "the same news again changes nothing")
}

// Symptom: while a zone is cut off, requests wait for four timeouts in a row and
// are refused. Sequence: every endpoint of that zone has to fail by itself.
func TestZoneThatCannotBeReachedIsTheLastChoice(t *testing.T) {
	b := &Balancer{}
	for i := range 6 {
		e := engine(i + 1)
		e.Zone = []string{"near", "far"}[i%2]
		b.Update(e)
	}
	now := start
	fail := func() string {
		slot := b.Pick(now, "engines", &Work{}, func(id string) bool { return b.byID[id].Zone != "far" })
		slot.End(now, Unreached)
		return slot.ID
	}
	first := fail()
	require.False(t, b.zones["far"].cut(now), "one may be its own fault")
	require.NotEqual(t, first, fail())
	for range 12 {
		require.Equal(t, "near", b.Pick(now, "engines", &Work{}, nil).endpoint.Zone)
	}
	now = now.Add(zonePause)
	probe := b.Pick(now, "engines", &Work{}, nil)
	require.Equal(t, "far", probe.endpoint.Zone)
	probe.End(now, Unreached)
	require.True(t, b.zones["far"].cut(now), "one more is enough now")
	now = now.Add(zonePause)
	probe = b.Pick(now, "engines", &Work{}, nil)
	probe.Heard(now)
	require.False(t, b.zones["far"].cut(now), "it is back")
}
