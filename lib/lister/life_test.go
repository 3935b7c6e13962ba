package lister

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// life is when the nth life of an instance began.
func life(number int) time.Time {
	return time.UnixMilli(1_700_000_000_000 + int64(number)*10_000)
}

func lifeBeat(id string, number int, sequence uint64, state State) Listing {
	b := beat(id, sequence, state)
	b.Started = life(number)
	return b
}

// Symptom: an endpoint that serves gets no work, or an ended one gets it. Sequence:
// an instance crashes and starts again under its id, with sequences from 1; what it
// said before its crash arrives late, from other keepers and through partitions.
// Cause: heartbeats were ordered by their sequence alone.
func TestLaterLifeIsBelieved(t *testing.T) {
	tests := map[string]struct {
		beats    []Listing
		state    State
		sequence uint64
	}{
		"it comes back": {
			[]Listing{lifeBeat("a", 1, 40, Ready), lifeBeat("a", 2, 1, Ready)}, Ready, 1,
		},
		"it comes back behind leaving": {
			[]Listing{lifeBeat("a", 1, 40, Leaving), lifeBeat("a", 2, 1, Ready)}, Ready, 1,
		},
		"it comes back behind its end": {
			[]Listing{lifeBeat("a", 1, 40, Gone), lifeBeat("a", 2, 1, Ready)}, Ready, 1,
		},
		"a heartbeat from before comes late": {
			[]Listing{lifeBeat("a", 1, 40, Ready), lifeBeat("a", 2, 1, Ready), lifeBeat("a", 1, 41, Ready)}, Ready, 1,
		},
		"the former life's leaving comes late": {
			[]Listing{lifeBeat("a", 2, 1, Ready), lifeBeat("a", 1, 41, Leaving)}, Ready, 1,
		},
		"the former life's end comes late": {
			[]Listing{lifeBeat("a", 2, 1, Ready), lifeBeat("a", 1, 41, Gone)}, Ready, 1,
		},
		"the new life leaves": {
			[]Listing{lifeBeat("a", 1, 40, Ready), lifeBeat("a", 2, 3, Leaving), lifeBeat("a", 2, 2, Ready)}, Leaving, 3,
		},
		"a heartbeat without a start comes late": {
			[]Listing{lifeBeat("a", 2, 3, Ready), beat("a", 41, Leaving)}, Ready, 3,
		},
		"it tells its start from now on": {
			[]Listing{beat("a", 41, Leaving), lifeBeat("a", 1, 1, Ready)}, Ready, 1,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := &List{Interval: interval}
			for i, b := range test.beats {
				l.Beat(start.Add(time.Duration(i)*time.Millisecond), b)
			}
			listing, _ := l.Find("a")
			require.Equal(t, test.state, listing.State)
			require.Equal(t, test.sequence, listing.Sequence)
		})
	}
}

func TestLeaveEndsOneLife(t *testing.T) {
	tests := map[string]struct {
		ended time.Time
		state State
	}{
		"of the life that is listed":  {life(2), Gone},
		"of the one before":           {life(1), Ready},
		"of one that is not told":     {time.Time{}, Gone},
		"of one that is not known of": {life(3), Gone},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := &List{Interval: interval}
			l.Beat(start, lifeBeat("a", 2, 1, Ready))
			require.Equal(t, test.state == Gone, l.Leave(start, "a", test.ended))
			l.Beat(start, lifeBeat("a", 2, 2, Ready))
			require.Equal(t, test.state, l.stateOf("a"), "its heartbeats change nothing")
			l.Beat(start, lifeBeat("a", 4, 1, Ready))
			require.Equal(t, Ready, l.stateOf("a"), "but its next life does")
		})
	}
}

// Symptom: an instance that has left for good gets work. Sequence: it says so to a
// keeper that does not know it yet, without telling its start, and its last heartbeat
// arrives behind that; or other keepers hear of its end from that one.
func TestEndOfAnInstanceThatIsNotKnown(t *testing.T) {
	l := &List{Interval: interval}
	l.Leave(start, "a", time.Time{})
	told := l.Since(0)
	l.Beat(start.Add(interval), lifeBeat("a", 1, 40, Ready))
	require.Equal(t, Gone, l.stateOf("a"))
	l.Beat(start.Add(interval), lifeBeat("a", 2, 1, Ready))
	require.Equal(t, Ready, l.stateOf("a"), "its next life is another matter")

	other := &List{Interval: interval}
	other.Beat(start, lifeBeat("a", 1, 40, Ready))
	require.Len(t, told, 1)
	require.True(t, other.Beat(start, told[0]))
	require.Equal(t, Gone, other.stateOf("a"))
}

// Symptom: routers keep the pauses and counts of a life that is over. Cause: a
// restart changed nothing but the sequence, and so was no news.
func TestRestartIsNews(t *testing.T) {
	l := &List{Interval: interval}
	l.Beat(start, lifeBeat("a", 1, 40, Ready))
	before := l.Revision()
	require.True(t, l.Beat(start, lifeBeat("a", 2, 1, Ready)))
	require.Equal(t, []Listing{lifeBeat("a", 2, 1, Ready)}, l.Since(before))
	require.False(t, l.Heard(start, "a", life(1), 50), "of the former life")
	l.Pass(start.Add((SilentBeats + 1) * interval))
	require.True(t, l.Heard(start.Add(6*interval), "a", life(2), 2))
}

// Symptom: requests go to an instance that has ended, at an address that another
// one has. Cause: which of two instances had an address last was guessed from their
// sequences, though both tell when they started.
func TestAddressBelongsToTheLatestStart(t *testing.T) {
	tests := map[string][]Listing{
		"the successor comes later":           {lifeBeat("old", 1, 40, Ready), lifeBeat("new", 2, 30, Ready)},
		"the old one's last word comes later": {lifeBeat("new", 2, 1, Ready), lifeBeat("old", 1, 41, Ready)},
		"and is heard again":                  {lifeBeat("new", 2, 1, Ready), lifeBeat("old", 1, 41, Ready), lifeBeat("old", 1, 42, Ready)},
		"one without a start claims it":       {lifeBeat("new", 2, 1, Ready), beat("old", 1, Ready), beat("old", 2, Ready)},
	}
	for name, beats := range tests {
		t.Run(name, func(t *testing.T) {
			l := &List{Interval: interval}
			for _, b := range beats {
				l.Beat(start, b)
			}
			require.Equal(t, Ready, l.stateOf("new"))
			require.Equal(t, Gone, l.stateOf("old"))
		})
	}
}

// A heartbeat of a life whose successor at the address has ended as well brings
// nobody back, also where the successor's end was heard of first.
func TestAddressIsRememberedBehindItsHolder(t *testing.T) {
	tests := map[string]func(l *List){
		"its end comes last": func(l *List) {
			l.Beat(start, lifeBeat("new", 2, 1, Ready))
			l.Leave(start, "new", life(2))
		},
		"its end comes first": func(l *List) {
			l.Leave(start, "new", life(2))
			l.Beat(start, lifeBeat("new", 2, 1, Ready))
		},
	}
	for name, tell := range tests {
		t.Run(name, func(t *testing.T) {
			l := &List{Interval: interval}
			tell(l)
			l.Beat(start, lifeBeat("old", 1, 41, Ready))
			require.Equal(t, Gone, l.stateOf("old"))
			l.Pass(start.Add((lostBeats + 1) * interval))
			require.Empty(t, l.entries)
			l.Pass(start.Add((lostBeats + 2) * interval))
			require.Empty(t, l.holders, "in the end it is forgotten")
		})
	}
}

// The symptom would be keepers that disagree for good about an instance. The events
// are the same heartbeats and ends of several lives, at shared addresses, in any two
// orders.
func TestListsAgreeOnLivesInAnyOrder(t *testing.T) {
	type event struct {
		beat  Listing
		leave bool
	}
	ids := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		events := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) event {
			id := rapid.IntRange(0, len(ids)-1).Draw(t, "id")
			number := rapid.IntRange(1, 3).Draw(t, "life")
			b := lifeBeat(ids[id], number*len(ids)+id, rapid.Uint64Range(1, 4).Draw(t, "sequence"),
				rapid.SampledFrom([]State{Ready, Leaving, Gone}).Draw(t, "state"))
			// A life keeps its address; others of its id and of other ids may have it.
			b.Address = at(byte((id + number) % 2))
			return event{beat: b, leave: rapid.Bool().Draw(t, "leave")}
		}), 1, 12).Draw(t, "events")
		one, other := &List{Interval: interval}, &List{Interval: interval}
		tell := func(l *List, e event) {
			if e.leave {
				l.Leave(start, e.beat.ID, e.beat.Started)
				return
			}
			l.Beat(start, e.beat)
		}
		for _, e := range events {
			tell(one, e)
		}
		for _, i := range rapid.Permutation(indexes(len(events))).Draw(t, "order") {
			tell(other, events[i])
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
