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

// fleet runs detectors against each other on one clock. Calls are lost when
// cut says so.
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

// framing is what a unary call on a kept connection costs besides its
// payload, both directions; measured by the conductor's own test.
const framing = 54

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

func (f *fleet) call(from netip.AddrPort, beat Beat) {
	target := f.members[beat.To]
	if target == nil || f.frozen[beat.To] || (f.cut != nil && f.cut(from, beat.To)) {
		return
	}
	response := target.Receive(f.now, beat.Request)
	f.calls++
	f.bytes += framing + proto.Size(beat.Request) + proto.Size(response)
	for _, further := range f.members[from].Answer(f.now, beat, response) {
		f.call(from, further)
	}
}

func (f *fleet) run(span time.Duration) {
	for end := f.now.Add(span); f.now.Before(end); f.now = f.now.Add(DefaultHeartbeat) {
		for _, at := range f.order {
			if f.members[at] == nil || f.frozen[at] {
				continue
			}
			for _, beat := range f.members[at].Tick(f.now) {
				f.call(at, beat)
			}
		}
	}
}

func (f *fleet) live(zone, i int) int {
	return len(f.members[address(zone, i)].Live())
}

func TestEveryoneFindsEveryone(t *testing.T) {
	for name, size := range map[string]struct{ zones, each int }{
		"alone": {1, 1}, "pair": {1, 2}, "two zones": {2, 3}, "size of letter 1": {19, 22},
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

// Symptom: heartbeats alone use up the control budget of 29 KB a second.
// Sequence: 22 routers in a zone, 19 zones, nothing happens.
// Cause: all-to-all heartbeats grow with the square of the zone.
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

// Symptom: routers vanish from the list although they live.
// Sequence: one call in five is lost.
// Cause: beats that reach a member only over several hops grow old.
func TestLossyCallsKillNobody(t *testing.T) {
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

// Symptom: pools of a crashed router stay without a scheduler.
// Sequence: a router dies, and later comes back with no memory.
// Cause: nobody notices that its beat has stopped, or the old life's beat hides the new life.
func TestCrashIsNoticedAndRestartIsWelcome(t *testing.T) {
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

// Symptom: a router that was stopped and continued makes itself the scheduler
// of every pool. Sequence: SIGSTOP for longer than the suspect time, SIGCONT.
// Cause: it heard nobody while it stood still, and blames the others.
func TestThawedRouterBlamesNobody(t *testing.T) {
	f := newFleet(t, 1, 4)
	f.run(5 * time.Second)
	frozen := f.members[address(0, 2)]
	f.frozen[address(0, 2)] = true
	f.run(5 * time.Second)
	require.Equal(t, 3, f.live(0, 0))
	f.frozen[address(0, 2)] = false
	frozen.Tick(f.now)
	require.Len(t, frozen.Live(), 4)
	require.Equal(t, uint64(1), frozen.Thawed())
	f.run(4 * DefaultHeartbeat)
	require.Equal(t, 4, f.live(0, 0))
}

// Symptom: the halves of a zone stay apart after the network is whole again.
// Sequence: a zone is cut in two, each half forgets the other, the cut ends.
// Cause: nobody calls members that have died.
func TestHalvesRejoin(t *testing.T) {
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

// Symptom: new work keeps going to a scheduler that is about to stop.
// Sequence: a planned stop announces leaving.
// Cause: leaving reaches the others only with the list.
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
