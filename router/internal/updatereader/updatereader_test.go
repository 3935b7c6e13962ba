package updatereader

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
	"shallotkeel.example/lib/indexer"
	"shallotkeel.example/lib/lister"
	"shallotkeel.example/lib/localizer"
	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/resolver"
	"shallotkeel.example/platform"
)

// keeper is a stub that serves a configuration.
type keeper struct {
	messenger.Planning
	plan    *messenger.Plan
	fetches int
}

func (k *keeper) Fetch(context.Context, *messenger.CurrentRequest) (*messenger.Plan, error) {
	k.fetches++
	return k.plan, nil
}

// fixture is a reader with three stub keepers, and the values that its callbacks have received.
type fixture struct {
	t       *testing.T
	clock   *clockwork.FakeClock
	keepers map[netip.AddrPort]*keeper
	reader  *Reader
	crashes localizer.Observer
	mutex   sync.Mutex
	known   map[string]lister.Listing
	zones   [][]string // evacuated zones, one entry per call
	rations []leaseUpdate
}

// leaseUpdate holds the arguments of a call of Options.Rations.
type leaseUpdate struct {
	pollSentAt time.Time
	keeper     netip.AddrPort
	leases     []balancer.Ration
}

func newFixture(t *testing.T) *fixture {
	b := &fixture{t: t, clock: clockwork.NewFakeClock(), known: make(map[string]lister.Listing), keepers: map[netip.AddrPort]*keeper{
		at(1): {}, at(2): {}, at(3): {},
	}}
	b.reader = New(Options{
		Name: "router", Dialect: platform.Dialect{}, Clock: b.clock, Log: zerolog.Nop(),
		Dial: func(address netip.AddrPort) messenger.Planning { return b.keepers[address] },
		Plan: func(*resolver.Table) {}, Crashes: &b.crashes,
		Endpoints: func(listings []lister.Listing) {
			b.mutex.Lock()
			defer b.mutex.Unlock()
			for _, listing := range listings {
				b.known[listing.ID] = listing
			}
		},
		Evacuated: func(zones []string) { b.zones = append(b.zones, zones) },
		Rations: func(pollSentAt time.Time, keeper netip.AddrPort, leases []balancer.Ration) {
			b.rations = append(b.rations, leaseUpdate{pollSentAt, keeper, leases})
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

func (b *fixture) update(from byte, update *messenger.FollowResponse) {
	b.reader.Update(b.t.Context(), at(from), update)
}

// Guards against a router that returns to an older configuration because a keeper that was cut off
// answers last, with the state that it had before.
func TestVersionNeverFalls(t *testing.T) {
	b := newFixture(t)
	require.Nil(t, b.reader.Table())
	b.keepers[at(1)].plan, b.keepers[at(2)].plan = plan("2"), plan("1")
	b.update(1, &messenger.FollowResponse{Plan: 2})
	require.EqualValues(t, 2, b.reader.Table().Version())
	b.update(2, &messenger.FollowResponse{Plan: 1})
	require.Zero(t, b.keepers[at(2)].fetches)
	b.update(2, &messenger.FollowResponse{Plan: 3}) // its Fetch returns version 1
	require.EqualValues(t, 2, b.reader.Table().Version())
	b.keepers[at(3)].plan = &messenger.Plan{Version: 3, Text: []byte("not to be read")}
	b.update(3, &messenger.FollowResponse{Plan: 3})
	require.EqualValues(t, 2, b.reader.Table().Version(), "an unusable configuration changes nothing")
	require.EqualValues(t, 2, b.reader.Report(at(1), false).GetPlan())
}

// Guards against as many copies between zones as there are routers at each change of the configuration,
// because routers fetch it from the keeper that names it first. If the primary is cut off and does not
// have it, it must still come from another keeper in time.
func TestConfigurationComesFromThePrimary(t *testing.T) {
	tests := map[string]struct {
		primary uint64 // version that the primary names meanwhile
		from    byte
	}{
		"the primary names it as well": {2, 1},
		"the primary is cut off":       {1, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := newFixture(t)
			b.keepers[at(1)].plan, b.keepers[at(2)].plan = plan("1"), plan("2")
			b.keepers[at(3)].plan = plan("1")
			b.update(3, &messenger.FollowResponse{Plan: 1, Brief: true})
			require.Equal(t, 1, b.keepers[at(3)].fetches, "the first configuration comes from any keeper")
			if test.primary == 2 {
				b.keepers[at(1)].plan = plan("2")
			}
			updated := make(chan struct{})
			go func() {
				b.update(2, &messenger.FollowResponse{Plan: 2, Brief: true})
				close(updated)
			}()
			require.NoError(t, b.clock.BlockUntilContext(t.Context(), 1))
			b.update(1, &messenger.FollowResponse{Plan: test.primary})
			if test.primary == 1 {
				b.clock.Advance(primaryWait)
			}
			<-updated
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

// Guards against an evacuated zone that gets work again because a keeper lags behind its peers.
func TestEvacuatedZonesFollowTheNewestRevision(t *testing.T) {
	b := newFixture(t)
	b.update(1, &messenger.FollowResponse{})
	b.update(1, &messenger.FollowResponse{Evacuations: 2, Evacuated: []string{"hall", "barn"}})
	b.update(2, &messenger.FollowResponse{Evacuations: 1, Evacuated: []string{"hall"}, Brief: true})
	b.update(2, &messenger.FollowResponse{Evacuations: 2, Evacuated: []string{"hall", "barn"}})
	require.EqualValues(t, 2, b.reader.Report(at(3), true).GetEvacuations())
	b.update(3, &messenger.FollowResponse{Evacuations: 3, Brief: true})
	require.Equal(t, [][]string{{"hall", "barn"}, nil}, b.zones)
	require.EqualValues(t, 3, b.reader.Report(at(3), false).GetEvacuations())
}

// Guards against leases that the router holds for longer than their keeper does: they count from when
// the poll was sent, however late its answer arrives.
func TestLeasesCountFromWhenTheyWereAskedFor(t *testing.T) {
	b := newFixture(t)
	pollSentAt := b.clock.Now()
	b.reader.Report(at(1), false)
	b.clock.Advance(400 * time.Millisecond)
	b.reader.Report(at(2), true)
	b.update(1, &messenger.FollowResponse{Rations: []*messenger.Ration{{Endpoint: 7, PauseMs: 350, LeaseMs: 1500}}})
	b.update(2, &messenger.FollowResponse{Brief: true})
	require.Equal(t, []leaseUpdate{{pollSentAt, at(1), []balancer.Ration{{
		Endpoint: 7, Pause: 350 * time.Millisecond, Term: 1500 * time.Millisecond,
	}}}}, b.rations)
}

// Guards against all work going to a few endpoints while one keeper is cut off from its peers and
// reports the other endpoints as silent.
func TestSilenceRequiresAllAnsweringKeepers(t *testing.T) {
	b := newFixture(t)
	for _, k := range []byte{1, 2, 3} {
		b.update(k, &messenger.FollowResponse{Listings: []*messenger.Listing{listing("a", 1, lister.Ready, false)}})
	}
	silent := &messenger.FollowResponse{Listings: []*messenger.Listing{listing("a", 1, lister.Ready, true)}}
	b.update(1, silent)
	b.update(2, silent)
	require.False(t, b.known["a"].Silent)
	b.reader.Lost(at(3), nil)
	require.True(t, b.known["a"].Silent, "the only keeper that got its heartbeats does not answer")
	b.update(2, &messenger.FollowResponse{Listings: []*messenger.Listing{listing("a", 2, lister.Ready, false)}})
	require.False(t, b.known["a"].Silent)
}

// An instance that is not in the list is no endpoint to publish, even if it was published before.
func TestSilenceOfAnUnlistedInstanceIsNotPublished(t *testing.T) {
	b := newFixture(t)
	b.reader.reportedSilent["nobody"] = true
	require.Empty(t, b.reader.silenceChanges(map[string]bool{"nobody": true}))
}

// Guards against an endpoint that has just restarted and is the last choice because silence was
// recorded by instance only: all keepers had missed heartbeats of the earlier incarnation, and one of
// them reports so late.
func TestSilenceAppliesToOneIncarnation(t *testing.T) {
	b := newFixture(t)
	report := func(started int64, silent bool) *messenger.FollowResponse {
		l := listing("a", 1, lister.Ready, silent)
		l.StartedMs = uint64(started)
		return &messenger.FollowResponse{Listings: []*messenger.Listing{l}}
	}
	for _, k := range []byte{1, 2, 3} {
		b.update(k, report(1000, true))
	}
	require.True(t, b.known["a"].Silent)
	b.update(1, report(9000, false))
	require.False(t, b.known["a"].Silent)
	b.update(2, report(1000, true))
	b.update(3, report(1000, true))
	b.reader.Lost(at(1), nil)
	require.False(t, b.known["a"].Silent)
	require.Equal(t, time.UnixMilli(9000), b.known["a"].Started)
	b.update(2, report(9000, true))
	b.update(3, report(9000, true))
	require.True(t, b.known["a"].Silent)
}

func TestLeavingIsAcceptedFromAnyKeeper(t *testing.T) {
	b := newFixture(t)
	b.update(1, &messenger.FollowResponse{Listings: []*messenger.Listing{listing("a", 3, lister.Leaving, false)}})
	b.update(2, &messenger.FollowResponse{Listings: []*messenger.Listing{listing("a", 2, lister.Ready, false)}})
	require.Equal(t, lister.Leaving, b.known["a"].State)
	b.update(2, &messenger.FollowResponse{}) // a restarted keeper lists no endpoints
	require.Equal(t, lister.Leaving, b.known["a"].State)
}

// Guards against crashes that a keeper never learns of, and against reports that repeat them.
func TestCrashesAreReportedUntilAcknowledged(t *testing.T) {
	b := newFixture(t)
	b.crashes.Broke(b.clock.Now(), 7, localizer.Profile{Shared: []localizer.Feature{1, 2}, Whole: 3}, 0)
	reported := func(k byte) int { return len(b.reader.Report(at(k), k == 2).GetCrashes()) }
	require.Zero(t, reported(1), "the endpoint is not known to have crashed")
	b.crashes.Ended(b.clock.Now(), 7)
	for _, k := range []byte{1, 2, 1} {
		crashes := b.reader.Report(at(k), k == 2).GetCrashes()
		require.Len(t, crashes, 1)
		require.EqualValues(t, 7, crashes[0].GetEndpoint())
		require.Equal(t, []uint64{1, 2, 3}, crashes[0].GetFeatures())
		b.clock.Advance(time.Second)
	}
	b.update(1, &messenger.FollowResponse{})
	require.Zero(t, reported(1))
	require.Equal(t, 1, reported(2))
	b.reader.Lost(at(1), nil)
	require.Equal(t, 1, reported(1), "it may have lost what it was told")
	b.clock.Advance(9 * time.Minute)
	require.Equal(t, 1, reported(1), "keepers may be away for long")
	b.clock.Advance(time.Minute)
	require.Zero(t, reported(1)+reported(2))
}

func TestQuarantineEnds(t *testing.T) {
	b := newFixture(t)
	refused := func(feature localizer.Feature) bool {
		return b.crashes.Quarantined(b.clock.Now(), localizer.Profile{Shared: []localizer.Feature{feature}})
	}
	b.update(1, &messenger.FollowResponse{Quarantined: []*messenger.Fingerprint{{Digest: 7, LeftMs: 5000}, {Digest: 9, LeftMs: 5000}}})
	require.True(t, refused(7))
	require.False(t, refused(8))
	b.update(1, &messenger.FollowResponse{Quarantined: []*messenger.Fingerprint{{Digest: 7, LeftMs: 5000}, {Digest: 9}}})
	require.False(t, refused(9), "a keeper has lifted it")
	require.True(t, refused(7))
	b.clock.Advance(6 * time.Second)
	require.False(t, refused(7))
}

// Guards against a router that accepts no new endpoints after some weeks of replacements, because its
// list is full of endpoints that are gone.
func TestEndpointsThatAreGoneAreForgotten(t *testing.T) {
	b := newFixture(t)
	replace := func(i int) {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, byte(i >> 8), byte(i)}), 80)
		for _, state := range []lister.State{lister.Ready, lister.Gone} {
			listing := lister.Listing{ID: fmt.Sprint("i-", i), Service: "desk", Address: address, State: state, Sequence: uint64(state)}
			b.update(1, &messenger.FollowResponse{Listings: []*messenger.Listing{lister.ToWire(listing, b.clock.Now())}})
		}
	}
	replace(0)
	b.clock.Advance(goneRetention / 2)
	replace(1)
	_, found := b.reader.list.Find("i-0")
	require.True(t, found, "a late update must not bring it back")
	for i := 2; i < 200; i++ {
		b.clock.Advance(goneRetention / 10)
		replace(i)
	}
	require.LessOrEqual(t, len(b.reader.list.Since(0)), 15)
}

// Guards against records of streams that are dropped before their report has arrived, because the
// answer to a brief poll, which follows once another keeper gets the reports, counts as its answer.
func TestOnlyAnswersToReportsConfirmThem(t *testing.T) {
	b := newFixture(t)
	var answered, lost []netip.AddrPort
	var epochs []uint64
	var mixed []string
	b.reader.options.Mixed = func(services []string) { mixed = services }
	b.reader.options.UnreportedStreams = func(netip.AddrPort) []*messenger.Begun {
		return []*messenger.Begun{{Service: "desk", Version: "v1", Streams: []uint64{7}}}
	}
	b.reader.options.ReportAnswered = func(keeper netip.AddrPort, epoch uint64) {
		answered, epochs = append(answered, keeper), append(epochs, epoch)
	}
	b.reader.options.ReportLost = func(keeper netip.AddrPort) { lost = append(lost, keeper) }
	require.Len(t, b.reader.Report(at(1), false).GetBegun(), 1)
	require.Empty(t, b.reader.Report(at(1), true).GetBegun())
	b.update(1, &messenger.FollowResponse{Brief: true})
	require.Empty(t, answered)
	require.Empty(t, mixed)
	b.update(1, &messenger.FollowResponse{Epoch: 5, Mixed: []string{"desk"}})
	require.Equal(t, []netip.AddrPort{at(1)}, answered)
	require.Equal(t, []uint64{5}, epochs)
	require.Equal(t, []string{"desk"}, mixed)
	b.reader.Lost(at(1), nil)
	require.Equal(t, []netip.AddrPort{at(1)}, lost)
}

// Guards against prefixes that are reported to a keeper which does not tell its peers, and against a
// report that a keeper's failure loses.
func TestPrefixesAreExchangedWithThePrimary(t *testing.T) {
	b := newFixture(t)
	prefixes := &indexer.Exchange{}
	b.reader.options.Prefixes = prefixes
	held := indexer.Holding{Prefix: 1, Endpoint: 10}
	prefixes.Add(b.clock.Now(), held, true)
	require.Empty(t, b.reader.Report(at(2), true).GetHoldings(), "a brief poll")
	require.Len(t, b.reader.Report(at(1), false).GetHoldings(), 1)
	b.update(2, &messenger.FollowResponse{Brief: true})
	require.Len(t, b.reader.Report(at(1), false).GetHoldings(), 1, "another keeper's answer")
	b.reader.Lost(at(1), nil)
	require.Len(t, b.reader.Report(at(2), false).GetHoldings(), 1)
	other := indexer.Holding{Prefix: 2, Endpoint: 10}
	b.update(2, &messenger.FollowResponse{Holdings: indexer.ToWire([]indexer.Holding{other}), HoldingsNext: 9})
	report := b.reader.Report(at(2), false)
	require.Empty(t, report.GetHoldings())
	require.EqualValues(t, 9, report.GetHoldingsAfter())
	require.Equal(t, 2, prefixes.Len(b.clock.Now()))
}

// Guards against a router whose lines do not tell that it sent by an old list of endpoints.
func TestListAgeCountsFromTheLastAnswerOfAnyKeeper(t *testing.T) {
	b := newFixture(t)
	require.Zero(t, b.reader.ListAge(), "no keeper has answered yet")
	b.update(1, &messenger.FollowResponse{})
	b.clock.Advance(time.Second)
	b.update(2, &messenger.FollowResponse{Brief: true})
	b.clock.Advance(2 * time.Second)
	b.reader.Lost(at(2), nil)
	require.Equal(t, 2*time.Second, b.reader.ListAge())
}
