package lister

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

const interval = time.Second

func at(host byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, host}), 80)
}

func beat(id string, sequence uint64, state State) Listing {
	return Listing{ID: id, Service: "desk", Zone: "hall", Address: at(1), Slots: 6, Sequence: sequence, State: state}
}

func (l *List) stateOf(id string) State {
	listing, _ := l.Find(id)
	return listing.State
}

// Symptom: an instance that said it leaves gets work again. Sequence: its
// heartbeat from before arrives late, by another way. Cause: the last to arrive
// was taken for the last that was sent.
func TestLateHeartbeatChangesNothing(t *testing.T) {
	tests := map[string][]Listing{
		"from before it left":    {beat("a", 1, Ready), beat("a", 3, Leaving), beat("a", 2, Ready)},
		"sent again":             {beat("a", 1, Ready), beat("a", 2, Leaving), beat("a", 2, Leaving)},
		"a later one, confused":  {beat("a", 1, Ready), beat("a", 2, Leaving), beat("a", 9, Ready)},
		"heard from two keepers": {beat("a", 2, Leaving), beat("a", 1, Ready)},
	}
	for name, beats := range tests {
		t.Run(name, func(t *testing.T) {
			l := &List{Interval: interval}
			for i, b := range beats {
				l.Beat(start.Add(time.Duration(i)*time.Millisecond), b)
			}
			require.Equal(t, Leaving, l.stateOf("a"))
		})
	}
}

// Symptom: requests go to an instance that has crashed, and are lost for as long
// as its successor at the address is not listed. Sequence: a heartbeat is held up
// by a cut, its sender crashes, a new instance announces itself at the address,
// and then the old heartbeat arrives.
func TestAddressGoesToTheInstanceThatIsHeardAgain(t *testing.T) {
	tests := map[string]struct {
		beats []Listing
		holds string
	}{
		"a successor takes over at once": {
			beats: []Listing{beat("old", 40, Ready), beat("new", 1, Ready)}, holds: "new",
		},
		"the old one's last word arrives after it": {
			beats: []Listing{beat("old", 40, Ready), beat("new", 1, Ready), beat("old", 41, Ready)}, holds: "new",
		},
		"nobody has heard of the old one before": {
			beats: []Listing{beat("new", 1, Ready), beat("old", 41, Ready)}, holds: "new",
		},
		"one that is heard twice has it": {
			beats: []Listing{beat("first", 9, Ready), beat("second", 30, Ready), beat("second", 31, Ready)}, holds: "second",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := &List{Interval: interval}
			for i, b := range test.beats {
				l.Beat(start.Add(time.Duration(i)*10*time.Millisecond), b)
			}
			for _, id := range []string{"old", "new", "first", "second"} {
				listing, found := l.Find(id)
				if found && listing.State == Ready {
					require.Equal(t, test.holds, id)
				}
			}
			require.Equal(t, Ready, l.stateOf(test.holds))
		})
	}
}

// Symptom: an endpoint that serves gets no work from any router. Sequence: its first
// heartbeat to this keeper looks like a late one of an instance that is gone, the
// second shows that it is not. Cause: it was listed then without being news.
func TestInstanceThatIsHeardAgainIsNews(t *testing.T) {
	l := &List{Interval: interval}
	l.Beat(start, beat("first", 9, Ready))
	require.False(t, l.Beat(start, beat("second", 30, Ready)))
	before := l.Revision()
	require.True(t, l.Beat(start, beat("second", 31, Ready)))
	told := make(map[string]State)
	for _, listing := range l.Since(before) {
		told[listing.ID] = listing.State
	}
	require.Equal(t, map[string]State{"first": Gone, "second": Ready}, told)
}

func TestLeaveIsFinal(t *testing.T) {
	l := &List{Interval: interval}
	l.Leave(start, "a", time.Time{})
	l.Beat(start, beat("a", 7, Ready))
	require.Equal(t, Gone, l.stateOf("a"), "its heartbeat was overtaken")
	l.Beat(start, beat("b", 1, Ready))
	require.True(t, l.Leave(start, "b", time.Time{}))
	require.False(t, l.Leave(start, "b", time.Time{}))
	require.Equal(t, Gone, l.stateOf("b"))
}

func TestSilence(t *testing.T) {
	l := &List{Interval: interval}
	l.Beat(start, beat("a", 1, Ready))
	require.False(t, l.Pass(start.Add(SilentBeats*interval)))
	require.True(t, l.Pass(start.Add(SilentBeats*interval+1)))
	listing, _ := l.Find("a")
	require.True(t, listing.Silent)
	require.Equal(t, Ready, listing.State, "it may still serve")
	require.False(t, l.Heard(start, "a", time.Time{}, 1), "an old number ends no silence")
	require.True(t, l.Heard(start.Add(5*interval), "a", time.Time{}, 2), "another list has heard it")
	listing, _ = l.Find("a")
	require.False(t, listing.Silent)
	l.Pass(start.Add((lostBeats + 6) * interval))
	_, found := l.Find("a")
	require.False(t, found, "it is forgotten in the end")
}

func TestSinceTellsEachChangeOnce(t *testing.T) {
	l := &List{Interval: interval}
	l.Beat(start, beat("a", 1, Ready))
	first := l.Revision()
	require.Len(t, l.Since(0), 1)
	l.Beat(start, beat("a", 2, Ready))
	require.Empty(t, l.Since(first), "a heartbeat that changes nothing is no news")
	l.Beat(start, beat("a", 3, Leaving))
	require.Len(t, l.Since(first), 1)
}

// The symptom would be two keepers that disagree for good about an instance. The
// events are the same heartbeats in any two orders.
func TestListsAgreeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		beats := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Listing {
			b := beat(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id"),
				rapid.Uint64Range(1, 6).Draw(t, "sequence"),
				rapid.SampledFrom([]State{Ready, Leaving, Gone}).Draw(t, "state"))
			b.Address = at(b.ID[0]) // each its own
			return b
		}), 1, 12).Draw(t, "beats")
		one, other := &List{Interval: interval}, &List{Interval: interval}
		for _, b := range beats {
			one.Beat(start, b)
		}
		for _, i := range rapid.Permutation(indexes(len(beats))).Draw(t, "order") {
			other.Beat(start, beats[i])
		}
		for _, id := range []string{"a", "b", "c"} {
			require.Equal(t, one.stateOf(id), other.stateOf(id))
		}
	})
}

func indexes(count int) []int {
	all := make([]int, count)
	for i := range all {
		all[i] = i
	}
	return all
}

func TestWire(t *testing.T) {
	for name, listing := range map[string]Listing{
		"ready":              beat("a", 4, Ready),
		"started again":      lifeBeat("a", 2, 4, Ready),
		"gone, never listed": {ID: "a", State: Gone},
	} {
		t.Run(name, func(t *testing.T) {
			read, err := FromWire(ToWire(listing, time.Time{}), time.Time{})
			require.NoError(t, err)
			require.Equal(t, listing, read)
		})
	}
	for name, spoil := range map[string]func(*Listing){
		"no id":      func(l *Listing) { l.ID = "" },
		"no address": func(l *Listing) { l.Address = netip.AddrPort{} },
		"no state":   func(l *Listing) { l.State = 0 },
	} {
		t.Run(name, func(t *testing.T) {
			listing := beat("a", 1, Ready)
			spoil(&listing)
			_, err := FromWire(ToWire(listing, time.Time{}), time.Time{})
			require.ErrorIs(t, err, ErrWire)
		})
	}
}
