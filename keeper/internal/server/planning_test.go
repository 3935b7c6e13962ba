package server

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"shallotkeel.example/keeper/internal/settings"
	"shallotkeel.example/lib/dialer"
	"shallotkeel.example/lib/lister"
	"shallotkeel.example/lib/loader"
	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/resolver"
)

// seededKeeper is a keeper that finds its peers by seed addresses.
type seededKeeper struct {
	settings settings.Settings
	planner  chan Planner
	served   Planner
	planning messenger.Planning
	cancel   context.CancelFunc
	ended    chan error
}

// newSeededKeeper prepares a keeper without starting it. All keepers of a test use the port of
// their seeds.
func newSeededKeeper(t *testing.T, name string, address netip.AddrPort, seeds []netip.AddrPort) *seededKeeper {
	t.Helper()
	p := &seededKeeper{settings: settings.Settings{
		Name: name, Zone: "zone", Listen: freeAddress(), Control: address, Data: t.TempDir(), Secret: secret,
		Seeds: seeds, Bootstrap: true,
		Platform: &settings.Platform{Listen: freeAddress(), Heartbeat: loader.Duration{Duration: time.Second}},
		Timing: settings.Timing{
			Heartbeat: loader.Duration{Duration: 20 * time.Millisecond}, Election: loader.Duration{Duration: 200 * time.Millisecond},
		},
	}}
	p.planning = messenger.NewPlanningProtobufClient("http://"+address.String(), dialer.Client(secret, &dialer.Counter{}))
	t.Cleanup(func() { p.stop(t) })
	return p
}

// parseServices parses the plan format of these tests: service names, separated by spaces, each
// followed by an equals sign and the rate per second of its cold endpoints if that is bounded.
func parseServices(text []byte) ([]resolver.Service, error) {
	var services []resolver.Service
	for _, field := range strings.Fields(string(text)) {
		name, rate, _ := strings.Cut(field, "=")
		service := resolver.Service{Name: name}
		if rate != "" {
			perSecond, err := strconv.ParseFloat(rate, 64)
			if err != nil {
				return nil, err
			}
			service.Cold = resolver.Cold{Rate: perSecond, Length: time.Minute}
		}
		services = append(services, service)
	}
	return services, nil
}

func (p *seededKeeper) start(t *testing.T) {
	t.Helper()
	require.Empty(t, p.settings.Check())
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel, p.ended, p.planner = cancel, make(chan error, 1), make(chan Planner, 1)
	ended, planner := p.ended, p.planner
	go func() {
		ended <- Run(ctx, &p.settings, zerolog.Nop(), clockwork.NewRealClock(), Platform{
			Handler: func(served Planner) http.Handler {
				planner <- served
				return http.NotFoundHandler()
			},
			Services: parseServices,
		})
	}()
	p.served = <-planner
}

func (p *seededKeeper) stop(t *testing.T) {
	if p.cancel == nil {
		return
	}
	p.cancel()
	p.cancel = nil
	require.NoError(t, <-p.ended)
}

// startSeededGroup starts a number of keepers. The first three are the seeds of all.
func startSeededGroup(t *testing.T, size int) []*seededKeeper {
	t.Helper()
	addresses := make([]netip.AddrPort, size)
	port := freeAddress().Port()
	for i := range addresses {
		addresses[i] = netip.AddrPortFrom(freeAddress().Addr(), port)
	}
	group := make([]*seededKeeper, size)
	for i := range group {
		group[i] = newSeededKeeper(t, fmt.Sprint("keeper-", i+1), addresses[i], addresses[:min(3, size)])
		group[i].start(t)
	}
	return group
}

// version returns a plan.
func version(number uint64, text string) *messenger.Plan {
	return &messenger.Plan{Version: number, Text: []byte(text)}
}

// submit submits a plan, with retries until it is acknowledged, as operators do. It returns the
// version in force.
func submit(t *testing.T, p Planner, plan *messenger.Plan) uint64 {
	t.Helper()
	var answer *messenger.SubmitResponse
	require.Eventually(t, func() bool {
		var err error
		answer, err = p.Submit(t.Context(), plan)
		return err == nil
	}, waitTimeout, 20*time.Millisecond)
	return answer.GetVersion()
}

// current returns the newest plan, with retries while the keeper has no quorum.
func current(t *testing.T, p Planner) *messenger.Plan {
	t.Helper()
	var plan *messenger.Plan
	require.Eventually(t, func() bool {
		var err error
		plan, err = p.Current(t.Context(), &messenger.CurrentRequest{})
		return err == nil
	}, waitTimeout, 20*time.Millisecond)
	return plan
}

// Guards against the loss of an acknowledged configuration, and against a version whose content
// changes: resends, older versions and two contents for one version reach different keepers,
// before all of them restart.
func TestHighestPlanVersionPersists(t *testing.T) {
	group := startSeededGroup(t, 3)
	require.EqualValues(t, 5, submit(t, group[0].served, version(5, "five")))
	for i, plan := range []*messenger.Plan{version(5, "five"), version(4, "four"), version(5, "another five")} {
		require.EqualValues(t, 5, submit(t, group[i].served, plan), "the plan is acknowledged and changes nothing")
	}
	require.EqualValues(t, 9, submit(t, group[1].served, version(9, "nine")))
	for _, p := range group {
		require.Equal(t, "nine", string(current(t, p.served).GetText()))
	}
	for _, p := range group {
		p.stop(t)
	}
	for _, p := range group {
		p.settings.Bootstrap = false
		p.start(t)
	}
	require.Equal(t, "nine", string(current(t, group[2].served).GetText()))
}

// Guards against a keeper without a quorum that returns an old configuration as the current one.
// It must return an error instead.
func TestKeeperWithoutQuorumRefusesCurrent(t *testing.T) {
	group := startSeededGroup(t, 3)
	submit(t, group[0].served, version(1, "one"))
	group[1].stop(t)
	group[2].stop(t)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	_, err := group[0].served.Current(ctx, &messenger.CurrentRequest{})
	require.Error(t, err)
	_, err = group[0].served.Submit(ctx, version(2, "two"))
	require.Error(t, err)
	fetched, err := group[0].planning.Fetch(t.Context(), &messenger.CurrentRequest{})
	require.NoError(t, err)
	require.EqualValues(t, 1, fetched.GetVersion(), "routers of a partitioned zone still get the applied plan")
}

// Guards against a keeper that is not a seed, or that has an empty disk and a new address, and
// never joins or founds a second group: a fourth keeper joins the three seeds, one of which is
// then lost permanently and replaced by a new keeper.
func TestKeepersFindTheGroupBySeeds(t *testing.T) {
	group := startSeededGroup(t, 4)
	submit(t, group[3].served, version(1, "one"))
	lost := group[1]
	lost.stop(t)
	seeds := lost.settings.Seeds
	fresh := newSeededKeeper(t, "keeper-5", netip.AddrPortFrom(freeAddress().Addr(), lost.settings.Control.Port()), seeds)
	fresh.settings.Bootstrap = false
	fresh.start(t)
	require.Eventually(t, func() bool {
		plan, err := fresh.planning.Fetch(t.Context(), &messenger.CurrentRequest{})
		return err == nil && plan.GetVersion() == 1
	}, waitTimeout, 20*time.Millisecond)
	require.EqualValues(t, 2, submit(t, fresh.served, version(2, "two")))
	require.Equal(t, "two", string(current(t, group[0].served).GetText()))
}

// endpointAt returns a heartbeat of an endpoint.
func endpointAt(id string, sequence uint64, state lister.State) lister.Listing {
	return lister.Listing{
		ID: id, Service: "desk", Zone: "zone", Sequence: sequence, State: state, Slots: 6,
		Address: netip.MustParseAddrPort("10.0.0.9:80"),
	}
}

// heartbeat sends a heartbeat, with retries until it is acknowledged, as endpoints do.
func heartbeat(t *testing.T, p Planner, listing lister.Listing) {
	t.Helper()
	require.Eventually(t, func() bool { return p.ReceiveHeartbeat(t.Context(), listing) == nil }, waitTimeout, 20*time.Millisecond)
}

// leave announces the end of an instance, with retries until it is acknowledged, as endpoints do.
func leave(t *testing.T, p Planner, id string, started time.Time) {
	t.Helper()
	require.Eventually(t, func() bool { return p.Leave(t.Context(), id, started) == nil }, waitTimeout, 20*time.Millisecond)
}

// Guards against a router that sends work to an endpoint after its leaving was acknowledged: the
// endpoint announces that it leaves to one keeper, and routers follow that keeper and others.
func TestLeavingReachesEveryFollower(t *testing.T) {
	group := startSeededGroup(t, 3)
	heartbeat(t, group[0].served, endpointAt("a", 1, lister.Ready))
	follow := func(p *seededKeeper, request *messenger.FollowRequest) *messenger.FollowResponse {
		var response *messenger.FollowResponse
		require.Eventually(t, func() bool {
			var err error
			response, err = p.planning.Follow(t.Context(), request)
			return err == nil
		}, waitTimeout, 20*time.Millisecond)
		return response
	}
	for _, p := range group {
		last := &messenger.FollowResponse{}
		require.Eventually(t, func() bool {
			last = follow(p, &messenger.FollowRequest{Node: "router", WaitMs: 200})
			// A change acknowledged by another keeper arrives from that keeper with a delay.
			return len(last.GetListings()) == 1 &&
				(p == group[0] || last.GetListings()[0].GetState() >= uint32(lister.Leaving))
		}, waitTimeout, 20*time.Millisecond, "keepers exchange their listings")
		waiting := make(chan *messenger.FollowResponse, 1)
		go func() {
			waiting <- follow(p, &messenger.FollowRequest{Node: "router", Epoch: last.GetEpoch(), After: last.GetNext(), WaitMs: 10_000})
		}()
		if p == group[0] {
			heartbeat(t, p.served, endpointAt("a", 2, lister.Leaving))
		}
		if p != group[0] {
			require.EqualValues(t, lister.Leaving, last.GetListings()[0].GetState())
			leave(t, p.served, "a", time.Time{})
		}
		update := <-waiting
		require.Len(t, update.GetListings(), 1)
		require.GreaterOrEqual(t, update.GetListings()[0].GetState(), uint32(lister.Leaving))
		if p != group[0] {
			break // the endpoint is gone now, and no further update follows
		}
	}
}
