package detector

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
)

// fleet runs detectors against each other on one clock. Calls for which cut returns true are lost.
type fleet struct {
	t       *testing.T
	now     time.Time
	members map[netip.AddrPort]*Detector
	order   []netip.AddrPort
	frozen  map[netip.AddrPort]bool
	cut     func(from, to netip.AddrPort) bool
	bytes   int
	calls   int
}

// callOverheadBytes is the size of a unary call on a kept connection without its payload, both
// directions; as determined by the test of package coordinator.
const callOverheadBytes = 54

func address(zone, i int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("10.0.%d.%d:8100", zone, i+1))
}

func newFleet(t *testing.T, zones, each int) *fleet {
	f := &fleet{
		t: t, now: time.Unix(1000, 0),
		members: make(map[netip.AddrPort]*Detector), frozen: make(map[netip.AddrPort]bool),
	}
	for z := range zones {
		for i := range each {
			f.start(z, i, 1)
		}
	}
	return f
}

func (f *fleet) start(zone, i int, incarnation uint64) {
	at := address(zone, i)
	if f.members[at] == nil {
		f.order = append(f.order, at)
	}
	f.members[at] = New(f.now, Options{
		Self:  Member{Name: fmt.Sprintf("router-%d-%02d", zone, i), Zone: fmt.Sprintf("zone-%d", zone), Incarnation: incarnation, Address: at},
		Seeds: []netip.AddrPort{address(0, 0), address(zone, 0)},
	})
}

func (f *fleet) call(from netip.AddrPort, heartbeat Heartbeat) {
	target := f.members[heartbeat.To]
	if target == nil || f.frozen[heartbeat.To] || (f.cut != nil && f.cut(from, heartbeat.To)) {
		return
	}
	response := target.Receive(f.now, heartbeat.Request)
	f.calls++
	f.bytes += callOverheadBytes + proto.Size(heartbeat.Request) + proto.Size(response)
	for _, further := range f.members[from].HandleResponse(f.now, heartbeat, response) {
		f.call(from, further)
	}
}

func (f *fleet) run(span time.Duration) {
	for end := f.now.Add(span); f.now.Before(end); f.now = f.now.Add(DefaultHeartbeat) {
		for _, at := range f.order {
			if f.members[at] == nil || f.frozen[at] {
				continue
			}
			for _, heartbeat := range f.members[at].Tick(f.now) {
				f.call(at, heartbeat)
			}
		}
	}
}

func (f *fleet) live(zone, i int) int {
	return len(f.members[address(zone, i)].Live())
}

func TestAllRoutersDiscoverEachOther(t *testing.T) {
	for name, size := range map[string]struct{ zones, each int }{
		"alone": {1, 1}, "pair": {1, 2}, "two zones": {2, 3}, "a large fleet": {19, 22},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, size.zones, size.each)
			f.run(12 * time.Second)
			for at, d := range f.members {
				require.Len(t, d.Live(), size.each, at)
				require.Len(t, d.Zones(), size.zones-1)
				for _, zone := range d.Zones() {
					require.Len(t, d.Members(zone), size.each, "%s of %s", zone, at)
				}
			}
			for z := range size.zones {
				zone := fmt.Sprintf("zone-%d", z)
				owner, found := f.members[f.order[0]].Owner(zone, "modelli")
				require.True(t, found)
				for _, d := range f.members {
					same, _ := d.Owner(zone, "modelli")
					require.Equal(t, owner.Name, same.Name)
				}
			}
		})
	}
}

// Guards against heartbeats that alone use up the control budget of 29 KB a second, with 22
// routers in each of 19 zones and no changes: all-to-all heartbeats grow with the square of the
// zone's size.
func TestIdleTrafficIsBounded(t *testing.T) {
	f := newFleet(t, 19, 22)
	f.run(12 * time.Second)
	f.bytes, f.calls = 0, 0
	const span = 5 * time.Second
	f.run(span)
	perRouter := float64(f.bytes) / span.Seconds() / float64(len(f.order))
	t.Logf("%.0f bytes and %.1f calls a second and router", perRouter, float64(f.calls)/span.Seconds()/float64(len(f.order)))
	require.Less(t, perRouter, 5000.0)
}

// Guards against live routers missing from the list when one call in five is lost, because beats
// that reach a member only over several hops become too old.
func TestLostCallsMarkNoMemberDead(t *testing.T) {
	f := newFleet(t, 1, 22)
	f.run(5 * time.Second)
	random := rand.New(rand.NewPCG(1, 2))
	f.cut = func(_, _ netip.AddrPort) bool { return random.IntN(5) == 0 }
	for range 200 {
		f.run(DefaultHeartbeat)
		for at, d := range f.members {
			require.Len(t, d.Live(), 22, at)
		}
	}
}

// Guards against pools of a crashed router that stay without a scheduler: a router crashes and
// later restarts without state, and either its stopped beat is not detected, or the beat of the
// old incarnation hides the new one.
func TestCrashIsDetectedAndRestartIsAccepted(t *testing.T) {
	f := newFleet(t, 1, 6)
	f.run(5 * time.Second)
	f.members[address(0, 3)] = nil
	f.run(DefaultSuspectAfter + 4*DefaultHeartbeat)
	require.Equal(t, 5, f.live(0, 0))
	f.run(time.Minute)
	require.Equal(t, 5, f.live(0, 0), "old gossip must not revive it")

	f.members[address(0, 3)] = nil
	f.start(0, 3, 2)
	f.run(4 * DefaultHeartbeat)
	require.Equal(t, 6, f.live(0, 0))
	require.Equal(t, uint64(2), f.members[address(0, 0)].records["router-0-03"].Incarnation)
}

// Guards against a router that makes itself the scheduler of every pool after SIGSTOP for longer
// than the suspect time and SIGCONT: it received nothing while it was suspended, and must not mark
// the others dead for that.
func TestResumedRouterMarksNoMemberDead(t *testing.T) {
	f := newFleet(t, 1, 4)
	f.run(5 * time.Second)
	frozen := f.members[address(0, 2)]
	f.frozen[address(0, 2)] = true
	f.run(5 * time.Second)
	require.Equal(t, 3, f.live(0, 0))
	f.frozen[address(0, 2)] = false
	frozen.Tick(f.now)
	require.Len(t, frozen.Live(), 4)
	require.Equal(t, uint64(1), frozen.Stalls())
	f.run(4 * DefaultHeartbeat)
	require.Equal(t, 4, f.live(0, 0))
}

// Guards against the halves of a zone staying apart after a network partition ends: each half has
// marked the other dead, and they rejoin only if dead members are still called.
func TestPartitionedZoneRejoins(t *testing.T) {
	f := newFleet(t, 1, 6)
	f.run(5 * time.Second)
	half := func(at netip.AddrPort) bool { return at.Addr().As4()[3]%2 == 0 }
	f.cut = func(from, to netip.AddrPort) bool { return half(from) != half(to) }
	f.run(time.Minute)
	require.Equal(t, 3, f.live(0, 0))
	f.cut = nil
	f.run(2 * time.Second)
	for at, d := range f.members {
		require.Len(t, d.Live(), 6, at)
	}
}

// Guards against new requests to a scheduler that is about to stop: a planned stop announces
// leaving, which reaches the others only with the list.
func TestLeavingMovesThePools(t *testing.T) {
	f := newFleet(t, 2, 4)
	f.run(10 * time.Second)
	owner, _ := f.members[address(0, 0)].Owner("zone-0", "modelli")
	f.members[owner.Address].Leave()
	f.run(3 * DefaultHeartbeat)
	for i := range 4 {
		next, found := f.members[address(0, i)].Owner("zone-0", "modelli")
		require.True(t, found)
		require.NotEqual(t, owner.Name, next.Name)
	}
}
