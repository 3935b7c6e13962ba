package lister

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// incarnationStart returns the start time of an instance's nth incarnation.
func incarnationStart(number int) time.Time {
	return time.UnixMilli(1_700_000_000_000 + int64(number)*10_000)
}

func incarnationHeartbeat(id string, number int, sequence uint64, state State) Listing {
	b := heartbeat(id, sequence, state)
	b.Started = incarnationStart(number)
	return b
}

// Guards against ordering heartbeats by their sequence number alone: an instance crashes and
// restarts under its id with sequences from 1 while heartbeats from before the crash arrive
// late, from other keepers or through partitions. A serving endpoint would get no requests,
// or an ended one would get them.
func TestLaterIncarnationReplacesEarlier(t *testing.T) {
	tests := map[string]struct {
		beats    []Listing
		state    State
		sequence uint64
	}{
		"it restarts": {
			[]Listing{incarnationHeartbeat("a", 1, 40, Ready), incarnationHeartbeat("a", 2, 1, Ready)}, Ready, 1,
		},
		"it restarts after leaving": {
			[]Listing{incarnationHeartbeat("a", 1, 40, Leaving), incarnationHeartbeat("a", 2, 1, Ready)}, Ready, 1,
		},
		"it restarts after its end": {
			[]Listing{incarnationHeartbeat("a", 1, 40, Gone), incarnationHeartbeat("a", 2, 1, Ready)}, Ready, 1,
		},
		"a heartbeat from before is delayed": {
			[]Listing{incarnationHeartbeat("a", 1, 40, Ready), incarnationHeartbeat("a", 2, 1, Ready), incarnationHeartbeat("a", 1, 41, Ready)}, Ready, 1,
		},
		"the former life's leaving is delayed": {
			[]Listing{incarnationHeartbeat("a", 2, 1, Ready), incarnationHeartbeat("a", 1, 41, Leaving)}, Ready, 1,
		},
		"the former life's end is delayed": {
			[]Listing{incarnationHeartbeat("a", 2, 1, Ready), incarnationHeartbeat("a", 1, 41, Gone)}, Ready, 1,
		},
		"the new life leaves": {
			[]Listing{incarnationHeartbeat("a", 1, 40, Ready), incarnationHeartbeat("a", 2, 3, Leaving), incarnationHeartbeat("a", 2, 2, Ready)}, Leaving, 3,
		},
		"a heartbeat without a start is delayed": {
			[]Listing{incarnationHeartbeat("a", 2, 3, Ready), heartbeat("a", 41, Leaving)}, Ready, 3,
		},
		"it reports its start from now on": {
			[]Listing{heartbeat("a", 41, Leaving), incarnationHeartbeat("a", 1, 1, Ready)}, Ready, 1,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := &List{Interval: interval}
			for i, b := range test.beats {
				l.ApplyHeartbeat(start.Add(time.Duration(i)*time.Millisecond), b)
			}
			listing, _ := l.Find("a")
			require.Equal(t, test.state, listing.State)
			require.Equal(t, test.sequence, listing.Sequence)
		})
	}
}

func TestLeaveEndsOneIncarnation(t *testing.T) {
	tests := map[string]struct {
		ended time.Time
		state State
	}{
		"of the life that is listed": {incarnationStart(2), Gone},
		"of the previous life":       {incarnationStart(1), Ready},
		"of an unspecified life":     {time.Time{}, Gone},
		"of an unknown life":         {incarnationStart(3), Gone},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := &List{Interval: interval}
			l.ApplyHeartbeat(start, incarnationHeartbeat("a", 2, 1, Ready))
			require.Equal(t, test.state == Gone, l.Leave(start, "a", test.ended))
			l.ApplyHeartbeat(start, incarnationHeartbeat("a", 2, 2, Ready))
			require.Equal(t, test.state, l.stateOf("a"), "further heartbeats of this life change nothing")
			l.ApplyHeartbeat(start, incarnationHeartbeat("a", 4, 1, Ready))
			require.Equal(t, Ready, l.stateOf("a"), "the next life is listed")
		})
	}
}

// Guards against sending requests to an instance that has left permanently: it announces its
// end, without its start, to a keeper that does not know it yet, and its last heartbeat
// arrives after that; or other keepers learn of its end from that keeper.
func TestEndOfAnInstanceThatIsNotKnown(t *testing.T) {
	l := &List{Interval: interval}
	l.Leave(start, "a", time.Time{})
	listings := l.Since(0)
	l.ApplyHeartbeat(start.Add(interval), incarnationHeartbeat("a", 1, 40, Ready))
	require.Equal(t, Gone, l.stateOf("a"))
	l.ApplyHeartbeat(start.Add(interval), incarnationHeartbeat("a", 2, 1, Ready))
	require.Equal(t, Ready, l.stateOf("a"), "the end does not apply to the next life")

	other := &List{Interval: interval}
	other.ApplyHeartbeat(start, incarnationHeartbeat("a", 1, 40, Ready))
	require.Len(t, listings, 1)
	require.True(t, other.ApplyHeartbeat(start, listings[0]))
	require.Equal(t, Gone, other.stateOf("a"))
}

// Guards against routers that keep the backoff and counters of an incarnation that has ended,
// because a restart that changes only the sequence number is not reported as a change.
func TestRestartIsAChange(t *testing.T) {
	l := &List{Interval: interval}
	l.ApplyHeartbeat(start, incarnationHeartbeat("a", 1, 40, Ready))
	before := l.Revision()
	require.True(t, l.ApplyHeartbeat(start, incarnationHeartbeat("a", 2, 1, Ready)))
	require.Equal(t, []Listing{incarnationHeartbeat("a", 2, 1, Ready)}, l.Since(before))
	require.False(t, l.Refresh(start, "a", incarnationStart(1), 50), "the refresh is of the former life")
	l.Expire(start.Add((SilentHeartbeats + 1) * interval))
	require.True(t, l.Refresh(start.Add(6*interval), "a", incarnationStart(2), 2))
}

// Guards against sending requests to an ended instance whose address another instance holds:
// the later holder of an address must be determined by the start times, where both are
// reported, and not guessed from the sequence numbers.
func TestAddressBelongsToTheLatestStart(t *testing.T) {
	tests := map[string][]Listing{
		"the successor arrives later":                {incarnationHeartbeat("old", 1, 40, Ready), incarnationHeartbeat("new", 2, 30, Ready)},
		"the old one's last heartbeat arrives later": {incarnationHeartbeat("new", 2, 1, Ready), incarnationHeartbeat("old", 1, 41, Ready)},
		"and another one after it":                   {incarnationHeartbeat("new", 2, 1, Ready), incarnationHeartbeat("old", 1, 41, Ready), incarnationHeartbeat("old", 1, 42, Ready)},
		"an instance without a start claims it":      {incarnationHeartbeat("new", 2, 1, Ready), heartbeat("old", 1, Ready), heartbeat("old", 2, Ready)},
	}
	for name, beats := range tests {
		t.Run(name, func(t *testing.T) {
			l := &List{Interval: interval}
			for _, b := range beats {
				l.ApplyHeartbeat(start, b)
			}
			require.Equal(t, Ready, l.stateOf("new"))
			require.Equal(t, Gone, l.stateOf("old"))
		})
	}
}

// Guards against a delayed heartbeat bringing back an incarnation whose successor at the
// address has ended as well, including the case that the successor's end arrives before its
// heartbeat.
func TestAddressIsRememberedBehindItsHolder(t *testing.T) {
	tests := map[string]func(l *List){
		"its end arrives last": func(l *List) {
			l.ApplyHeartbeat(start, incarnationHeartbeat("new", 2, 1, Ready))
			l.Leave(start, "new", incarnationStart(2))
		},
		"its end arrives first": func(l *List) {
			l.Leave(start, "new", incarnationStart(2))
			l.ApplyHeartbeat(start, incarnationHeartbeat("new", 2, 1, Ready))
		},
	}
	for name, apply := range tests {
		t.Run(name, func(t *testing.T) {
			l := &List{Interval: interval}
			apply(l)
			l.ApplyHeartbeat(start, incarnationHeartbeat("old", 1, 41, Ready))
			require.Equal(t, Gone, l.stateOf("old"))
			l.Expire(start.Add((expiryHeartbeats + 1) * interval))
			require.Empty(t, l.entries)
			l.Expire(start.Add((expiryHeartbeats + 2) * interval))
			require.Empty(t, l.holders, "holders expire as well")
		})
	}
}

// Guards against keepers that disagree permanently about an instance: two lists receive the
// same heartbeats and ends of several incarnations, at shared addresses, in different orders.
func TestListsAgreeOnIncarnationsInAnyOrder(t *testing.T) {
	type event struct {
		beat  Listing
		leave bool
	}
	ids := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		events := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) event {
			id := rapid.IntRange(0, len(ids)-1).Draw(t, "id")
			number := rapid.IntRange(1, 3).Draw(t, "life")
			b := incarnationHeartbeat(ids[id], number*len(ids)+id, rapid.Uint64Range(1, 4).Draw(t, "sequence"),
				rapid.SampledFrom([]State{Ready, Leaving, Gone}).Draw(t, "state"))
			// An incarnation keeps its address; other incarnations, of the same id or of
			// another, may share it.
			b.Address = at(byte((id + number) % 2))
			return event{beat: b, leave: rapid.Bool().Draw(t, "leave")}
		}), 1, 12).Draw(t, "events")
		one, other := &List{Interval: interval}, &List{Interval: interval}
		apply := func(l *List, e event) {
			if e.leave {
				l.Leave(start, e.beat.ID, e.beat.Started)
				return
			}
			l.ApplyHeartbeat(start, e.beat)
		}
		for _, e := range events {
			apply(one, e)
		}
		for _, i := range rapid.Permutation(indexes(len(events))).Draw(t, "order") {
			apply(other, events[i])
		}
		listed := make(map[string]string)
		for _, id := range ids {
			first, _ := one.Find(id)
			second, _ := other.Find(id)
			require.Equal(t, first.State, second.State, id)
			require.Equal(t, first.Started, second.Started, id)
			if first.State == Ready || first.State == Leaving {
				address := first.Address.String()
				require.Empty(t, listed[address], fmt.Sprint(address, " has two holders"))
				listed[address] = id
			}
		}
	})
}
