package newsreader

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/balancer"
	"shallotkeel.example/lib/lister"
	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/resolver"
	"shallotkeel.example/platform"
)

// keeper is a stand-in that has a configuration.
type keeper struct {
	messenger.Planning
	plan    *messenger.Plan
	fetches int
}

func (k *keeper) Fetch(context.Context, *messenger.CurrentRequest) (*messenger.Plan, error) {
	k.fetches++
	return k.plan, nil
}

type bed struct {
	t       *testing.T
	clock   *clockwork.FakeClock
	keepers map[netip.AddrPort]*keeper
	reader  *Reader
	mutex   sync.Mutex
	known   map[string]lister.Listing
	zones   [][]string // evacuated, as told
	rations []rations
}

// rations are leases as they were told.
type rations struct {
	asked  time.Time
	keeper netip.AddrPort
	leases []balancer.Ration
}

func newBed(t *testing.T) *bed {
	b := &bed{t: t, clock: clockwork.NewFakeClock(), known: make(map[string]lister.Listing), keepers: map[netip.AddrPort]*keeper{
		at(1): {}, at(2): {}, at(3): {},
	}}
	b.reader = New(Options{
		Name: "router", Dialect: platform.Dialect{}, Clock: b.clock, Log: zerolog.Nop(),
		Dial: func(address netip.AddrPort) messenger.Planning { return b.keepers[address] },
		Plan: func(*resolver.Table) {},
		Endpoints: func(listings []lister.Listing) {
			b.mutex.Lock()
			defer b.mutex.Unlock()
			for _, listing := range listings {
				b.known[listing.ID] = listing
			}
		},
		Evacuated: func(zones []string) { b.zones = append(b.zones, zones) },
		Rations: func(asked time.Time, keeper netip.AddrPort, leases []balancer.Ration) {
			b.rations = append(b.rations, rations{asked, keeper, leases})
		},
	})
	return b
}

func at(host byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, host}), 7400)
}

func plan(version string) *messenger.Plan {
	numbers := map[string]uint64{"1": 1, "2": 2, "3": 3}
	return &messenger.Plan{Version: numbers[version], Text: []byte(`{"version":` + version + `,"routes":[],"services":[]}`)}
}

func (b *bed) news(from byte, news *messenger.FollowResponse) {
	b.reader.News(b.t.Context(), at(from), news)
}

// Symptom: a router goes back to an older configuration. Sequence: a keeper that
// was cut off answers with what it knew. Cause: the last answer was taken for
// the newest.
func TestVersionNeverFalls(t *testing.T) {
	b := newBed(t)
	require.Nil(t, b.reader.Table())
	b.keepers[at(1)].plan, b.keepers[at(2)].plan = plan("2"), plan("1")
	b.news(1, &messenger.FollowResponse{Plan: 2})
	require.EqualValues(t, 2, b.reader.Table().Version())
	b.news(2, &messenger.FollowResponse{Plan: 1})
	require.Zero(t, b.keepers[at(2)].fetches)
	b.news(2, &messenger.FollowResponse{Plan: 3}) // and then it has an older one after all
	require.EqualValues(t, 2, b.reader.Table().Version())
	b.keepers[at(3)].plan = &messenger.Plan{Version: 3, Text: []byte("not to be read")}
	b.news(3, &messenger.FollowResponse{Plan: 3})
	require.EqualValues(t, 2, b.reader.Table().Version(), "what cannot be used changes nothing")
	require.EqualValues(t, 2, b.reader.Report(at(1), false).GetPlan())
}

// Symptom: each change of a configuration costs as many copies between zones as there are
// routers. Cause: routers fetched it from whichever keeper named it first. If the primary
// does not have it, because it is cut off, it still comes from another one in time.
func TestConfigurationComesFromThePrimary(t *testing.T) {
	tests := map[string]struct {
		primary uint64 // the version that it names meanwhile
		from    byte
	}{
		"the primary names it as well": {2, 1},
		"it is cut off":                {1, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBed(t)
			b.keepers[at(1)].plan, b.keepers[at(2)].plan = plan("1"), plan("2")
			b.keepers[at(3)].plan = plan("1")
			b.news(3, &messenger.FollowResponse{Plan: 1, Brief: true})
			require.Equal(t, 1, b.keepers[at(3)].fetches, "the first one comes from whoever has it")
			if test.primary == 2 {
				b.keepers[at(1)].plan = plan("2")
			}
			told := make(chan struct{})
			go func() {
				b.news(2, &messenger.FollowResponse{Plan: 2, Brief: true})
				close(told)
			}()
			require.NoError(t, b.clock.BlockUntilContext(t.Context(), 1))
			b.news(1, &messenger.FollowResponse{Plan: test.primary})
			if test.primary == 1 {
				b.clock.Advance(otherPause)
			}
			<-told
			require.EqualValues(t, 2, b.reader.Table().Version())
			for _, k := range []byte{1, 2} {
				want := 0
				if k == test.from {
					want = 1
				}
				require.Equal(t, want, b.keepers[at(k)].fetches, k)
			}
		})
	}
}

func listing(id string, sequence uint64, state lister.State, silent bool) *messenger.Listing {
	return lister.ToWire(lister.Listing{
		ID: id, Service: "desk", Zone: "hall", Address: at(id[0]), Sequence: sequence, State: state, Silent: silent,
	}, time.Time{})
}

// Guards against a zone that gets work again because a keeper is behind the others.
func TestEvacuatedZonesFollowTheNewestRevision(t *testing.T) {
	b := newBed(t)
	b.news(1, &messenger.FollowResponse{})
	b.news(1, &messenger.FollowResponse{Evacuations: 2, Evacuated: []string{"hall", "barn"}})
	b.news(2, &messenger.FollowResponse{Evacuations: 1, Evacuated: []string{"hall"}, Brief: true})
	b.news(2, &messenger.FollowResponse{Evacuations: 2, Evacuated: []string{"hall", "barn"}})
	require.EqualValues(t, 2, b.reader.Report(at(3), true).GetEvacuations())
	b.news(3, &messenger.FollowResponse{Evacuations: 3, Brief: true})
	require.Equal(t, [][]string{{"hall", "barn"}, nil}, b.zones)
	require.EqualValues(t, 3, b.reader.Report(at(3), false).GetEvacuations())
}

// Guards against leases that are taken to last for longer than their keeper does: they count
// from when it was asked, however late its answer comes.
func TestLeasesCountFromWhenTheyWereAskedFor(t *testing.T) {
	b := newBed(t)
	asked := b.clock.Now()
	b.reader.Report(at(1), false)
	b.clock.Advance(400 * time.Millisecond)
	b.reader.Report(at(2), true)
	b.news(1, &messenger.FollowResponse{Rations: []*messenger.Ration{{Endpoint: 7, PauseMs: 350, LeaseMs: 1500}}})
	b.news(2, &messenger.FollowResponse{Brief: true})
	require.Equal(t, []rations{{asked, at(1), []balancer.Ration{{
		Endpoint: 7, Pause: 350 * time.Millisecond, Term: 1500 * time.Millisecond,
	}}}}, b.rations)
}

// Symptom: all work goes to a few endpoints while one keeper is cut off from the
// others. Cause: its silence about the rest was believed.
func TestSilenceTakesAllKeepersThatAnswer(t *testing.T) {
	b := newBed(t)
	for _, k := range []byte{1, 2, 3} {
		b.news(k, &messenger.FollowResponse{Listings: []*messenger.Listing{listing("a", 1, lister.Ready, false)}})
	}
	silent := &messenger.FollowResponse{Listings: []*messenger.Listing{listing("a", 1, lister.Ready, true)}}
	b.news(1, silent)
	b.news(2, silent)
	require.False(t, b.known["a"].Silent)
	b.reader.Lost(at(3), nil)
	require.True(t, b.known["a"].Silent, "the keeper that heard it answers no more")
	b.news(2, &messenger.FollowResponse{Listings: []*messenger.Listing{listing("a", 2, lister.Ready, false)}})
	require.False(t, b.known["a"].Silent)
}

// An instance that is not listed here, whatever was told of it, is no endpoint to tell of.
func TestSilenceOfAnUnlistedInstanceTellsNothing(t *testing.T) {
	b := newBed(t)
	b.reader.told["nobody"] = true
	require.Empty(t, b.reader.verdicts(map[string]bool{"nobody": true}))
}

// Symptom: an endpoint that has just started again is the last choice. Sequence: all
// keepers had missed its former life's heartbeats; one of them tells so late. Cause:
// silence was remembered by the instance, whichever life it was of.
func TestSilenceIsOfOneLife(t *testing.T) {
	b := newBed(t)
	said := func(started int64, silent bool) *messenger.FollowResponse {
		l := listing("a", 1, lister.Ready, silent)
		l.StartedMs = uint64(started)
		return &messenger.FollowResponse{Listings: []*messenger.Listing{l}}
	}
	for _, k := range []byte{1, 2, 3} {
		b.news(k, said(1000, true))
	}
	require.True(t, b.known["a"].Silent)
	b.news(1, said(9000, false))
	require.False(t, b.known["a"].Silent)
	b.news(2, said(1000, true))
	b.news(3, said(1000, true))
	b.reader.Lost(at(1), nil)
	require.False(t, b.known["a"].Silent)
	require.Equal(t, time.UnixMilli(9000), b.known["a"].Started)
	b.news(2, said(9000, true))
	b.news(3, said(9000, true))
	require.True(t, b.known["a"].Silent)
}

func TestLeavingIsBelievedOfAnyKeeper(t *testing.T) {
	b := newBed(t)
	b.news(1, &messenger.FollowResponse{Listings: []*messenger.Listing{listing("a", 3, lister.Leaving, false)}})
	b.news(2, &messenger.FollowResponse{Listings: []*messenger.Listing{listing("a", 2, lister.Ready, false)}})
	require.Equal(t, lister.Leaving, b.known["a"].State)
	b.news(2, &messenger.FollowResponse{}) // a keeper that restarted lists nothing
	require.Equal(t, lister.Leaving, b.known["a"].State)
}

func TestCrashesAreToldToEveryKeeperUntilTheyAreOld(t *testing.T) {
	b := newBed(t)
	b.reader.Crashed(7)
	b.reader.Crashed(7)
	for _, k := range []byte{1, 2, 1} {
		crashes := b.reader.Report(at(k), false).GetCrashes()
		require.Len(t, crashes, 1)
		require.EqualValues(t, 7, crashes[0].GetDigest())
		require.EqualValues(t, 2, crashes[0].GetCount())
	}
	b.clock.Advance(crashMemory + time.Second)
	require.Empty(t, b.reader.Report(at(1), false).GetCrashes())
}

func TestQuarantineEnds(t *testing.T) {
	b := newBed(t)
	b.news(1, &messenger.FollowResponse{Quarantined: []*messenger.Fingerprint{{Digest: 7, LeftMs: 5000}}})
	require.True(t, b.reader.Quarantined(7))
	require.False(t, b.reader.Quarantined(8))
	b.clock.Advance(6 * time.Second)
	require.False(t, b.reader.Quarantined(7))
}

// Guards against a router that takes no new endpoints after some weeks of replacements, because
// its list is full of those that are gone.
func TestEndpointsThatAreGoneAreForgotten(t *testing.T) {
	b := newBed(t)
	replace := func(i int) {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, byte(i >> 8), byte(i)}), 80)
		for _, state := range []lister.State{lister.Ready, lister.Gone} {
			listing := lister.Listing{ID: fmt.Sprint("i-", i), Service: "desk", Address: address, State: state, Sequence: uint64(state)}
			b.news(1, &messenger.FollowResponse{Listings: []*messenger.Listing{lister.ToWire(listing, b.clock.Now())}})
		}
	}
	replace(0)
	b.clock.Advance(goneMemory / 2)
	replace(1)
	_, found := b.reader.list.Find("i-0")
	require.True(t, found, "late news of it must not bring it back")
	for i := 2; i < 200; i++ {
		b.clock.Advance(goneMemory / 10)
		replace(i)
	}
	require.LessOrEqual(t, len(b.reader.list.Since(0)), 15)
}

// Records of streams were forgotten though their report had not arrived: a brief poll's answer, which
// follows where another keeper takes the reports, counted as the answer to it.
func TestOnlyAnswersToReportsCountAsTold(t *testing.T) {
	b := newBed(t)
	var told, untold []netip.AddrPort
	b.reader.options.Begun = func(netip.AddrPort) []*messenger.Begun {
		return []*messenger.Begun{{Service: "desk", Version: "v1", Streams: []uint64{7}}}
	}
	b.reader.options.Told = func(keeper netip.AddrPort) { told = append(told, keeper) }
	b.reader.options.Untold = func(keeper netip.AddrPort) { untold = append(untold, keeper) }
	require.Len(t, b.reader.Report(at(1), false).GetBegun(), 1)
	require.Empty(t, b.reader.Report(at(1), true).GetBegun())
	b.news(1, &messenger.FollowResponse{Brief: true})
	require.Empty(t, told)
	b.news(1, &messenger.FollowResponse{})
	require.Equal(t, []netip.AddrPort{at(1)}, told)
	b.reader.Lost(at(1), nil)
	require.Equal(t, []netip.AddrPort{at(1)}, untold)
}
