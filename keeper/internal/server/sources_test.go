package server

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/lister"
	"shallotkeel.example/lib/messenger"
)

// mesh is a group of keepers that follow one another.
type mesh struct {
	keepers      []*directory
	after        map[[2]int]uint64 // revision that the first has received from the second
	cut          map[[2]int]bool
	sentListings int // number of listings in all messages
}

// newMesh returns a mesh of connected keepers without endpoints.
func newMesh(size int) *mesh {
	m := &mesh{after: make(map[[2]int]uint64), cut: make(map[[2]int]bool)}
	for range size {
		d := &directory{}
		d.list.Interval = time.Second
		m.keepers = append(m.keepers, d)
	}
	return m
}

// disconnect cuts the connection of two keepers in both directions.
func (m *mesh) disconnect(a, b int) { m.cut[[2]int{a, b}], m.cut[[2]int{b, a}] = true, true }

// exchange lets each keeper poll every other keeper once.
func (m *mesh) exchange() {
	for from := range m.keepers {
		var unreachable []string
		for other := range m.keepers {
			if m.cut[[2]int{from, other}] {
				unreachable = append(unreachable, fmt.Sprint("keeper-", other))
			}
		}
		for to, d := range m.keepers {
			path := [2]int{from, to}
			if from == to || m.cut[path] {
				continue
			}
			request := &messenger.FollowRequest{
				Node: fmt.Sprint("keeper-", from), Keeper: true, Epoch: epoch, After: m.after[path], Unheard: unreachable,
			}
			d.follow(testStart, request)
			response := d.updatesFor(testStart, request, epoch)
			m.after[path] = response.GetNext()
			m.sentListings += len(response.GetListings())
			m.keepers[from].merge(testStart, fmt.Sprint("keeper-", to), response.GetListings())
		}
	}
}

// listingAt returns a listing with an address derived from its number.
func listingAt(id int, state lister.State, sequence uint64) lister.Listing {
	l := endpointAt(fmt.Sprint("i-", id), sequence, state)
	l.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(id >> 8), byte(id)}), 80)
	return l
}

// Guards against keepers that each relay every endpoint to every other keeper.
func TestKeepersExchangeEachEndpointOnce(t *testing.T) {
	for name, test := range map[string]struct{ keepers, endpoints int }{
		"three keepers": {3, 30}, "twenty-five": {25, 1000}, "fifty": {50, 2000},
	} {
		t.Run(name, func(t *testing.T) {
			m := newMesh(test.keepers)
			for i := range test.endpoints {
				m.keepers[i%test.keepers].receiveHeartbeat(testStart, listingAt(i, lister.Ready, 1))
			}
			for range 3 {
				m.exchange()
			}
			require.Equal(t, (test.keepers-1)*test.endpoints, m.sentListings)
			for _, d := range m.keepers {
				require.Len(t, d.list.Since(0), test.endpoints)
			}
		})
	}
}

// Guards against a keeper that misses an endpoint's leaving because it is cut off from the keeper
// that received it: the other keepers relay it, including changes from before the partition whose
// message was lost.
func TestUpdatesAreRelayedAroundPartition(t *testing.T) {
	state := func(d *directory, id int) lister.State {
		l, _ := d.list.Find(fmt.Sprint("i-", id))
		return l.State
	}
	m := newMesh(4)
	m.keepers[0].receiveHeartbeat(testStart, listingAt(1, lister.Ready, 1))
	m.exchange()
	m.keepers[0].receiveHeartbeat(testStart, listingAt(2, lister.Ready, 1))
	m.keepers[0].leave(testStart, "i-1", time.Time{})
	m.disconnect(0, 1)
	m.exchange()
	m.exchange()
	require.Equal(t, lister.Gone, state(m.keepers[1], 1))
	require.Equal(t, lister.Ready, state(m.keepers[1], 2))
	m.keepers[0].receiveHeartbeat(testStart, listingAt(2, lister.Leaving, 2))
	m.exchange()
	m.exchange()
	require.Equal(t, lister.Leaving, state(m.keepers[1], 2))
	clear(m.cut)
	m.keepers[1].receiveHeartbeat(testStart, listingAt(3, lister.Ready, 1))
	m.exchange()
	require.Equal(t, lister.Ready, state(m.keepers[0], 3))
}

// Guards against routers that keep sending to an endpoint that is leaving or has restarted until
// the next update that is not urgent.
func TestEndpointWithdrawalIsUrgent(t *testing.T) {
	later := listingAt(1, lister.Ready, 1)
	later.Started = testStart.Add(time.Minute)
	tests := map[string]struct {
		known   []lister.Listing
		listing lister.Listing
		urgent  bool
	}{
		"a new endpoint":   {nil, listingAt(1, lister.Ready, 1), false},
		"it leaves":        {[]lister.Listing{listingAt(1, lister.Ready, 1)}, listingAt(1, lister.Leaving, 2), true},
		"it restarts":      {[]lister.Listing{listingAt(1, lister.Ready, 1)}, later, true},
		"it sends another": {[]lister.Listing{listingAt(1, lister.Ready, 1)}, listingAt(1, lister.Ready, 2), false},
		"another endpoint": {[]lister.Listing{listingAt(1, lister.Ready, 1)}, listingAt(2, lister.Ready, 1), false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m := newMesh(2)
			for _, listing := range test.known {
				for _, d := range m.keepers {
					d.receiveHeartbeat(testStart, listing)
				}
			}
			_, urgent := m.keepers[0].receiveHeartbeat(testStart, test.listing)
			require.Equal(t, test.urgent, urgent)
			result := m.keepers[1].merge(testStart, "keeper-0", []*messenger.Listing{lister.ToWire(test.listing, testStart)})
			require.Equal(t, test.urgent && result.changed, result.urgent)
		})
	}
}
