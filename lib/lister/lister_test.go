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

func heartbeat(id string, sequence uint64, state State) Listing {
	return Listing{ID: id, Service: "desk", Zone: "hall", Address: at(1), Slots: 6, Sequence: sequence, State: state}
}

func (l *List) stateOf(id string) State {
	listing, _ := l.Find(id)
	return listing.State
}

// Guards against a leaving instance getting requests again: a heartbeat from before it left
// arrives late over another path and must not be treated as the last one sent.
func TestLateHeartbeatChangesNothing(t *testing.T) {
	tests := map[string][]Listing{
		"from before it left":   {heartbeat("a", 1, Ready), heartbeat("a", 3, Leaving), heartbeat("a", 2, Ready)},
		"sent twice":            {heartbeat("a", 1, Ready), heartbeat("a", 2, Leaving), heartbeat("a", 2, Leaving)},
		"a later one, ready":    {heartbeat("a", 1, Ready), heartbeat("a", 2, Leaving), heartbeat("a", 9, Ready)},
		"received out of order": {heartbeat("a", 2, Leaving), heartbeat("a", 1, Ready)},
	}
	for name, beats := range tests {
		t.Run(name, func(t *testing.T) {
			l := &List{Interval: interval}
			for i, b := range beats {
				l.ApplyHeartbeat(start.Add(time.Duration(i)*time.Millisecond), b)
			}
			require.Equal(t, Leaving, l.stateOf("a"))
		})
	}
}

// Guards against sending requests to a crashed instance, which are lost for as long as its
// successor at the address is not listed: a heartbeat is delayed by a network cut, its sender
// crashes, a new instance announces itself at the address, then the old heartbeat arrives.
func TestAddressGoesToTheConfirmedInstance(t *testing.T) {
	tests := map[string]struct {
		beats  []Listing
		holder string
	}{
		"a successor takes over at once": {
			beats: []Listing{heartbeat("old", 40, Ready), heartbeat("new", 1, Ready)}, holder: "new",
		},
		"the old one's last heartbeat arrives after it": {
			beats: []Listing{heartbeat("old", 40, Ready), heartbeat("new", 1, Ready), heartbeat("old", 41, Ready)}, holder: "new",
		},
		"the old one is unknown": {
			beats: []Listing{heartbeat("new", 1, Ready), heartbeat("old", 41, Ready)}, holder: "new",
		},
		"a second heartbeat confirms the holder": {
			beats: []Listing{heartbeat("first", 9, Ready), heartbeat("second", 30, Ready), heartbeat("second", 31, Ready)}, holder: "second",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := &List{Interval: interval}
			for i, b := range test.beats {
				l.ApplyHeartbeat(start.Add(time.Duration(i)*10*time.Millisecond), b)
			}
			for _, id := range []string{"old", "new", "first", "second"} {
				listing, found := l.Find(id)
				if found && listing.State == Ready {
					require.Equal(t, test.holder, id)
				}
			}
			require.Equal(t, Ready, l.stateOf(test.holder))
		})
	}
}

// Guards against a serving endpoint getting no requests from any router: its first heartbeat
// to this keeper may be a delayed one of an instance that is gone, and the second confirms it;
// listing it then must count as a change.
func TestConfirmedInstanceIsAChange(t *testing.T) {
	l := &List{Interval: interval}
	l.ApplyHeartbeat(start, heartbeat("first", 9, Ready))
	require.False(t, l.ApplyHeartbeat(start, heartbeat("second", 30, Ready)))
	before := l.Revision()
	require.True(t, l.ApplyHeartbeat(start, heartbeat("second", 31, Ready)))
	states := make(map[string]State)
	for _, listing := range l.Since(before) {
		states[listing.ID] = listing.State
	}
	require.Equal(t, map[string]State{"first": Gone, "second": Ready}, states)
}

func TestLeaveIsFinal(t *testing.T) {
	l := &List{Interval: interval}
	l.Leave(start, "a", time.Time{})
	l.ApplyHeartbeat(start, heartbeat("a", 7, Ready))
	require.Equal(t, Gone, l.stateOf("a"), "its heartbeat arrived after its end")
	l.ApplyHeartbeat(start, heartbeat("b", 1, Ready))
	require.True(t, l.Leave(start, "b", time.Time{}))
	require.False(t, l.Leave(start, "b", time.Time{}))
	require.Equal(t, Gone, l.stateOf("b"))
}

func TestSilence(t *testing.T) {
	l := &List{Interval: interval}
	l.ApplyHeartbeat(start, heartbeat("a", 1, Ready))
	require.False(t, l.Expire(start.Add(SilentHeartbeats*interval)))
	require.True(t, l.Expire(start.Add(SilentHeartbeats*interval+1)))
	listing, _ := l.Find("a")
	require.True(t, listing.Silent)
	require.Equal(t, Ready, listing.State, "it may still serve")
	require.False(t, l.Refresh(start, "a", time.Time{}, 1), "an old sequence number ends no silence")
	require.True(t, l.Refresh(start.Add(5*interval), "a", time.Time{}, 2), "another list has received a heartbeat")
	listing, _ = l.Find("a")
	require.False(t, listing.Silent)
	l.Expire(start.Add((expiryHeartbeats + 6) * interval))
	_, found := l.Find("a")
	require.False(t, found, "it is removed after expiryBeats intervals")
}

func TestSinceReturnsEachChangeOnce(t *testing.T) {
	l := &List{Interval: interval}
	l.ApplyHeartbeat(start, heartbeat("a", 1, Ready))
	first := l.Revision()
	require.Len(t, l.Since(0), 1)
	l.ApplyHeartbeat(start, heartbeat("a", 2, Ready))
	require.Empty(t, l.Since(first), "a heartbeat without changes is not returned")
	l.ApplyHeartbeat(start, heartbeat("a", 3, Leaving))
	require.Len(t, l.Since(first), 1)
}

// Guards against keepers that disagree permanently about an instance: two lists receive the
// same heartbeats in different orders.
func TestListsAgreeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		beats := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Listing {
			b := heartbeat(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id"),
				rapid.Uint64Range(1, 6).Draw(t, "sequence"),
				rapid.SampledFrom([]State{Ready, Leaving, Gone}).Draw(t, "state"))
			b.Address = at(b.ID[0]) // a separate address for each id
			return b
		}), 1, 12).Draw(t, "beats")
		one, other := &List{Interval: interval}, &List{Interval: interval}
		for _, b := range beats {
			one.ApplyHeartbeat(start, b)
		}
		for _, i := range rapid.Permutation(indexes(len(beats))).Draw(t, "order") {
			other.ApplyHeartbeat(start, beats[i])
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
		"ready":              heartbeat("a", 4, Ready),
		"restarted instance": incarnationHeartbeat("a", 2, 4, Ready),
		"gone, never listed": {ID: "a", State: Gone},
	} {
		t.Run(name, func(t *testing.T) {
			read, err := FromWire(ToWire(listing, time.Time{}), time.Time{})
			require.NoError(t, err)
			require.Equal(t, listing, read)
		})
	}
	for name, corrupt := range map[string]func(*Listing){
		"no id":      func(l *Listing) { l.ID = "" },
		"no address": func(l *Listing) { l.Address = netip.AddrPort{} },
		"no state":   func(l *Listing) { l.State = 0 },
	} {
		t.Run(name, func(t *testing.T) {
			listing := heartbeat("a", 1, Ready)
			corrupt(&listing)
			_, err := FromWire(ToWire(listing, time.Time{}), time.Time{})
			require.ErrorIs(t, err, ErrWire)
		})
	}
}
