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

// mesh is keepers that follow one another.
type mesh struct {
	keepers []*directory
	after   map[[2]int]uint64 // what one has told the other up to
	cut     map[[2]int]bool
	told    int // listings, counted over all messages
}

func newMesh(size int) *mesh {
	m := &mesh{after: make(map[[2]int]uint64), cut: make(map[[2]int]bool)}
	for range size {
		d := &directory{}
		d.list.Interval = time.Second
		m.keepers = append(m.keepers, d)
	}
	return m
}

func (m *mesh) sever(a, b int) { m.cut[[2]int{a, b}], m.cut[[2]int{b, a}] = true, true }

// exchange lets each keeper poll each other one once.
func (m *mesh) exchange() {
	for from := range m.keepers {
		var unheard []string
		for other := range m.keepers {
			if m.cut[[2]int{from, other}] {
				unheard = append(unheard, fmt.Sprint("keeper-", other))
			}
		}
		for to, d := range m.keepers {
			path := [2]int{from, to}
			if from == to || m.cut[path] {
				continue
			}
			request := &messenger.FollowRequest{
				Node: fmt.Sprint("keeper-", from), Keeper: true, Epoch: epoch, After: m.after[path], Unheard: unheard,
			}
			d.follow(began, request)
			news := d.news(began, request, epoch)
			m.after[path] = news.GetNext()
			m.told += len(news.GetListings())
			m.keepers[from].merge(began, fmt.Sprint("keeper-", to), news.GetListings())
		}
	}
}

func heardAt(id int, state lister.State, sequence uint64) lister.Listing {
	l := endpointAt(fmt.Sprint("i-", id), sequence, state)
	l.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(id >> 8), byte(id)}), 80)
	return l
}

// Guards against keepers that tell one another each endpoint as often as there are keepers.
func TestKeepersTellOneAnotherEachEndpointOnce(t *testing.T) {
	for name, test := range map[string]struct{ keepers, endpoints int }{
		"three keepers": {3, 30}, "twenty-five": {25, 1000}, "fifty": {50, 2000},
	} {
		t.Run(name, func(t *testing.T) {
			m := newMesh(test.keepers)
			for i := range test.endpoints {
				m.keepers[i%test.keepers].beat(began, heardAt(i, lister.Ready, 1))
			}
			for range 3 {
				m.exchange()
			}
			require.Equal(t, (test.keepers-1)*test.endpoints, m.told)
			for _, d := range m.keepers {
				require.Len(t, d.list.Since(0), test.endpoints)
			}
		})
	}
}

// Guards against an endpoint that leaves unheard by a keeper which is cut off from the one that
// it told: the others tell it on, also what was told before the cut and lost.
func TestNewsGoesRoundACut(t *testing.T) {
	state := func(d *directory, id int) lister.State {
		l, _ := d.list.Find(fmt.Sprint("i-", id))
		return l.State
	}
	m := newMesh(4)
	m.keepers[0].beat(began, heardAt(1, lister.Ready, 1))
	m.exchange()
	m.keepers[0].beat(began, heardAt(2, lister.Ready, 1))
	m.keepers[0].leave(began, "i-1", time.Time{})
	m.sever(0, 1)
	m.exchange()
	m.exchange()
	require.Equal(t, lister.Gone, state(m.keepers[1], 1))
	require.Equal(t, lister.Ready, state(m.keepers[1], 2))
	m.keepers[0].beat(began, heardAt(2, lister.Leaving, 2))
	m.exchange()
	m.exchange()
	require.Equal(t, lister.Leaving, state(m.keepers[1], 2))
	clear(m.cut)
	m.keepers[1].beat(began, heardAt(3, lister.Ready, 1))
	m.exchange()
	require.Equal(t, lister.Ready, state(m.keepers[0], 3))
}

// Guards against routers that go on sending to a life of an endpoint that is over until the next
// calm news.
func TestWhatSpeaksAgainstAnEndpointIsUrgent(t *testing.T) {
	later := heardAt(1, lister.Ready, 1)
	later.Started = began.Add(time.Minute)
	tests := map[string]struct {
		known   []lister.Listing
		listing lister.Listing
		urgent  bool
	}{
		"a new endpoint":   {nil, heardAt(1, lister.Ready, 1), false},
		"one that leaves":  {[]lister.Listing{heardAt(1, lister.Ready, 1)}, heardAt(1, lister.Leaving, 2), true},
		"its next life":    {[]lister.Listing{heardAt(1, lister.Ready, 1)}, later, true},
		"one more of its":  {[]lister.Listing{heardAt(1, lister.Ready, 1)}, heardAt(1, lister.Ready, 2), false},
		"another endpoint": {[]lister.Listing{heardAt(1, lister.Ready, 1)}, heardAt(2, lister.Ready, 1), false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m := newMesh(2)
			for _, listing := range test.known {
				for _, d := range m.keepers {
					d.beat(began, listing)
				}
			}
			_, urgent := m.keepers[0].beat(began, test.listing)
			require.Equal(t, test.urgent, urgent)
			told := m.keepers[1].merge(began, "keeper-0", []*messenger.Listing{lister.ToWire(test.listing, began)})
			require.Equal(t, test.urgent && told.any, told.urgent)
		})
	}
}
