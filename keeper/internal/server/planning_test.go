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

// seeded is a keeper that finds the others by seeds.
type seeded struct {
	settings settings.Settings
	planner  chan Planner
	served   Planner
	planning messenger.Planning
	cancel   context.CancelFunc
	ended    chan error
}

// newSeeded prepares a keeper; all of a test share the port of their seeds.
func newSeeded(t *testing.T, name string, address netip.AddrPort, seeds []netip.AddrPort) *seeded {
	t.Helper()
	p := &seeded{settings: settings.Settings{
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

// servicesOf reads a plan of these tests: the names of its services, each with what its cold
// endpoints bear a second behind an equals sign if that is bounded.
func servicesOf(text []byte) ([]resolver.Service, error) {
	var services []resolver.Service
	for _, field := range strings.Fields(string(text)) {
		name, rate, _ := strings.Cut(field, "=")
		service := resolver.Service{Name: name}
		if rate != "" {
			bears, err := strconv.ParseFloat(rate, 64)
			if err != nil {
				return nil, err
			}
			service.Cold = resolver.Cold{Rate: bears, Length: time.Minute}
		}
		services = append(services, service)
	}
	return services, nil
}

func (p *seeded) start(t *testing.T) {
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
			Services: servicesOf,
		})
	}()
	p.served = <-planner
}

func (p *seeded) stop(t *testing.T) {
	if p.cancel == nil {
		return
	}
	p.cancel()
	p.cancel = nil
	require.NoError(t, <-p.ended)
}

// seededGroup starts keepers of which the first three are the seeds of all.
func seededGroup(t *testing.T, size int) []*seeded {
	t.Helper()
	addresses := make([]netip.AddrPort, size)
	port := freeAddress().Port()
	for i := range addresses {
		addresses[i] = netip.AddrPortFrom(freeAddress().Addr(), port)
	}
	group := make([]*seeded, size)
	for i := range group {
		group[i] = newSeeded(t, fmt.Sprint("keeper-", i+1), addresses[i], addresses[:min(3, size)])
		group[i].start(t)
	}
	return group
}

func version(number uint64, text string) *messenger.Plan {
	return &messenger.Plan{Version: number, Text: []byte(text)}
}

// submit sends a plan until it is acknowledged, as operators do.
func submit(t *testing.T, p Planner, plan *messenger.Plan) uint64 {
	t.Helper()
	var answer *messenger.SubmitResponse
	require.Eventually(t, func() bool {
		var err error
		answer, err = p.Submit(t.Context(), plan)
		return err == nil
	}, patience, 20*time.Millisecond)
	return answer.GetVersion()
}

func current(t *testing.T, p Planner) *messenger.Plan {
	t.Helper()
	var plan *messenger.Plan
	require.Eventually(t, func() bool {
		var err error
		plan, err = p.Current(t.Context(), &messenger.CurrentRequest{})
		return err == nil
	}, patience, 20*time.Millisecond)
	return plan
}

// Symptom: an acknowledged configuration is gone, or another stands under its
// version. Sequence: resends, older versions and two contents for one version
// come to any keeper, before and after restarts of all of them.
func TestHighestVersionStays(t *testing.T) {
	group := seededGroup(t, 3)
	require.EqualValues(t, 5, submit(t, group[0].served, version(5, "five")))
	for i, plan := range []*messenger.Plan{version(5, "five"), version(4, "four"), version(5, "another five")} {
		require.EqualValues(t, 5, submit(t, group[i].served, plan), "it is acknowledged and changes nothing")
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

// Symptom: a keeper that is alone answers with an old configuration. It must say
// that it is not sure.
func TestKeeperWithoutQuorumIsNotSure(t *testing.T) {
	group := seededGroup(t, 3)
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
	require.EqualValues(t, 1, fetched.GetVersion(), "routers of a zone that is cut off still get what there is")
}

// Symptom: a keeper that is no seed, or one with an empty disk at a new address,
// never takes part; or it founds a second group. Sequence: a fourth joins the
// three; one is lost for good and another comes in its place.
func TestKeepersFindTheGroupBySeeds(t *testing.T) {
	group := seededGroup(t, 4)
	submit(t, group[3].served, version(1, "one"))
	lost := group[1]
	lost.stop(t)
	seeds := lost.settings.Seeds
	fresh := newSeeded(t, "keeper-5", netip.AddrPortFrom(freeAddress().Addr(), lost.settings.Control.Port()), seeds)
	fresh.settings.Bootstrap = false
	fresh.start(t)
	require.Eventually(t, func() bool {
		plan, err := fresh.planning.Fetch(t.Context(), &messenger.CurrentRequest{})
		return err == nil && plan.GetVersion() == 1
	}, patience, 20*time.Millisecond)
	require.EqualValues(t, 2, submit(t, fresh.served, version(2, "two")))
	require.Equal(t, "two", string(current(t, group[0].served).GetText()))
}

func endpointAt(id string, sequence uint64, state lister.State) lister.Listing {
	return lister.Listing{
		ID: id, Service: "desk", Zone: "zone", Sequence: sequence, State: state, Slots: 6,
		Address: netip.MustParseAddrPort("10.0.0.9:80"),
	}
}

// Symptom: a router sends work to an endpoint whose leaving was acknowledged.
// Sequence: the endpoint tells one keeper; routers follow that one and others.
func TestLeavingReachesEveryFollower(t *testing.T) {
	group := seededGroup(t, 3)
	group[0].served.Beat(endpointAt("a", 1, lister.Ready))
	follow := func(p *seeded, request *messenger.FollowRequest) *messenger.FollowResponse {
		var news *messenger.FollowResponse
		require.Eventually(t, func() bool {
			var err error
			news, err = p.planning.Follow(t.Context(), request)
			return err == nil
		}, patience, 20*time.Millisecond)
		return news
	}
	for _, p := range group {
		last := &messenger.FollowResponse{}
		require.Eventually(t, func() bool {
			last = follow(p, &messenger.FollowRequest{Node: "router", WaitMs: 200})
			// What another keeper has acknowledged comes from there, after a moment.
			return len(last.GetListings()) == 1 &&
				(p == group[0] || last.GetListings()[0].GetState() >= uint32(lister.Leaving))
		}, patience, 20*time.Millisecond, "keepers tell one another")
		waiting := make(chan *messenger.FollowResponse, 1)
		go func() {
			waiting <- follow(p, &messenger.FollowRequest{Node: "router", Epoch: last.GetEpoch(), After: last.GetNext(), WaitMs: 10_000})
		}()
		if p == group[0] {
			p.served.Beat(endpointAt("a", 2, lister.Leaving))
		}
		if p != group[0] {
			require.EqualValues(t, lister.Leaving, last.GetListings()[0].GetState())
			p.served.Leave("a", time.Time{})
		}
		news := <-waiting
		require.Len(t, news.GetListings(), 1)
		require.GreaterOrEqual(t, news.GetListings()[0].GetState(), uint32(lister.Leaving))
		if p != group[0] {
			break // it is gone now, and no more news is to come
		}
	}
}
