package server

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"github.com/twitchtv/twirp"

	"shallotkeel.example/keeper/internal/settings"
	"shallotkeel.example/lib/dialer"
	"shallotkeel.example/lib/loader"
	"shallotkeel.example/lib/messenger"
)

const (
	secret = "secret"
	// waitTimeout is how long a condition may take to become true before a test fails. No test
	// passes merely because time passes.
	waitTimeout = 20 * time.Second
)

// process is a keeper on loopback, run inside the test process.
type process struct {
	settings settings.Settings
	cancel   context.CancelFunc
	ended    chan error
	client   messenger.Keeping
}

// group is a group of keepers on loopback.
type group struct {
	t         testing.TB
	processes []*process
}

// lastHost counts the loopback addresses that the tests use.
var lastHost atomic.Uint32

// freeAddress returns an address that stays unused by others while its keeper is stopped: each
// address is a separate host in 127.0.0.0/8. A free port of 127.0.0.1 could be taken by another
// test or an outgoing connection before the keeper restarts.
func freeAddress() netip.AddrPort {
	process := os.Getpid()
	host := lastHost.Add(1)
	address := netip.AddrFrom4([4]byte{127, byte(1 + host/250), byte(process), byte(1 + host%250)})
	return netip.AddrPortFrom(address, uint16(10_000+process>>8%10_000))
}

// startGroup starts a group with an election timeout of 200 ms.
func startGroup(t testing.TB, size int) *group {
	t.Helper()
	return startGroupWithElection(t, size, 200*time.Millisecond)
}

// startGroupWithElection starts a group with a given election timeout.
func startGroupWithElection(t testing.TB, size int, election time.Duration) *group {
	t.Helper()
	g := &group{t: t}
	addresses := make(map[string]netip.AddrPort)
	for i := range size {
		addresses[fmt.Sprint("keeper-", i+1)] = freeAddress()
	}
	for i := range size {
		name := fmt.Sprint("keeper-", i+1)
		p := &process{settings: settings.Settings{
			Name: name, Zone: fmt.Sprint("zone-", i+1), Listen: freeAddress(), Control: addresses[name],
			Data: t.TempDir(), Keepers: addresses, Secret: secret,
			Timing: settings.Timing{
				Heartbeat: loader.Duration{Duration: 20 * time.Millisecond},
				Election:  loader.Duration{Duration: election},
			},
		}}
		p.client = messenger.NewKeepingProtobufClient("http://"+p.settings.Control.String(), dialer.Client(secret, &dialer.Counter{}))
		g.processes = append(g.processes, p)
		g.start(p)
	}
	t.Cleanup(func() {
		for _, p := range g.processes {
			g.stop(p)
		}
	})
	return g
}

func (g *group) start(p *process) {
	g.t.Helper()
	require.Empty(g.t, p.settings.Check())
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel, p.ended = cancel, make(chan error, 1)
	ended := p.ended
	go func() { ended <- Run(ctx, &p.settings, zerolog.Nop(), clockwork.NewRealClock(), Platform{}) }()
}

// stop stops a keeper gracefully.
func (g *group) stop(p *process) {
	if p.cancel == nil {
		return
	}
	p.cancel()
	p.cancel = nil
	require.NoError(g.t, <-p.ended)
}

// eventually waits until a condition holds, for at most waitTimeout.
func (g *group) eventually(condition func() bool, message string) {
	g.t.Helper()
	require.Eventually(g.t, condition, waitTimeout, 5*time.Millisecond, message)
}

// status returns the status of a keeper, empty if it does not answer.
func (g *group) status(p *process) *messenger.KeeperStatusResponse {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	status, err := p.client.Status(ctx, &messenger.KeeperStatusRequest{})
	if err != nil {
		return &messenger.KeeperStatusResponse{}
	}
	return status
}

// ready waits until all keepers are voters and have contact with a quorum.
func (g *group) ready() {
	g.t.Helper()
	g.eventually(func() bool {
		for _, p := range g.processes {
			status := g.status(p)
			if !status.GetQuorum() || len(status.GetKeepers()) != len(g.processes) {
				return false
			}
			for _, keeper := range status.GetKeepers() {
				if keeper.GetRole() != messenger.Role_ROLE_VOTER {
					return false
				}
			}
		}
		return true
	}, "all keepers are voters with a quorum")
}

// leader waits for a leader and returns it.
func (g *group) leader() *process {
	var leader *process
	g.eventually(func() bool {
		for _, p := range g.processes {
			if status := g.status(p); status.GetQuorum() && status.GetLeader() == p.settings.Name {
				leader = p
				return true
			}
		}
		return false
	}, "there is a leader")
	return leader
}

// follower returns a running keeper other than the leader, nil if there is none.
func (g *group) follower() *process {
	leader := g.leader()
	for _, p := range g.processes {
		if p != leader && p.cancel != nil {
			return p
		}
	}
	return nil
}

// awaitRemoved waits until a keeper has stopped because it was removed from the group.
func (g *group) awaitRemoved(p *process) {
	g.t.Helper()
	select {
	case err := <-p.ended:
		require.ErrorIs(g.t, err, ErrRemoved)
	case <-time.After(waitTimeout):
		g.t.Fatal("the removed keeper did not stop")
	}
	p.cancel = nil
}

// apply applies a change that creates an endpoint with the id as its name.
func (g *group) apply(p *process, id string) *messenger.ApplyResponse {
	g.t.Helper()
	response, err := p.client.Apply(context.Background(), &messenger.ApplyRequest{Change: id, Edits: []*messenger.Edit{
		{Object: &messenger.Object{Kind: "endpoint", Name: id}},
	}})
	require.NoError(g.t, err)
	require.Equal(g.t, messenger.ApplyOutcome_APPLY_ACCEPTED, response.GetOutcome())
	return response
}

// Guards against a keeper that answers a call differently from its peers: changes, claims, records
// and history are accepted at every keeper with the same result.
func TestAnyKeeperAnswers(t *testing.T) {
	t.Parallel()
	g := startGroup(t, 3)
	g.ready()
	for i, p := range g.processes {
		require.EqualValues(t, i+1, g.apply(p, fmt.Sprint("change-", i)).GetRevision())
	}
	require.True(t, g.apply(g.processes[0], "change-2").GetResent())

	claim := &messenger.ClaimRequest{Claims: []*messenger.ClaimEntry{{Workspace: "club", Key: "k", Digest: 7, Owner: "one"}}}
	response, err := g.processes[0].client.Claim(context.Background(), claim)
	require.NoError(t, err)
	require.Equal(t, messenger.ClaimOutcome_CLAIM_GRANTED, response.GetResults()[0].GetOutcome())
	_, err = g.processes[1].client.Record(context.Background(), &messenger.RecordRequest{Entries: []*messenger.RecordEntry{
		{Workspace: "club", Key: "k", Digest: 7, Owner: "one", Answer: &messenger.Answer{Status: 201}},
	}})
	require.NoError(t, err)
	claim.Claims[0].Owner = "two"
	response, err = g.processes[2].client.Claim(context.Background(), claim)
	require.NoError(t, err)
	require.Equal(t, messenger.ClaimOutcome_CLAIM_RECORDED, response.GetResults()[0].GetOutcome())

	history, err := g.leader().client.History(context.Background(), &messenger.HistoryRequest{At: 1})
	require.NoError(t, err)
	require.Len(t, history.GetObjects(), 1)
	history, err = g.leader().client.History(context.Background(), &messenger.HistoryRequest{Limit: 2})
	require.NoError(t, err)
	require.EqualValues(t, 3, history.GetRevisions()[0].GetRevision())
	require.Len(t, history.GetRevisions(), 2)
}

// Guards against a router that receives a change long after it was accepted, because its long
// poll is not woken at the keeper that it polls.
func TestWatchWakesAtEveryKeeper(t *testing.T) {
	t.Parallel()
	g := startGroup(t, 3)
	g.ready()
	var group sync.WaitGroup
	for _, p := range g.processes {
		group.Go(func() {
			response, err := p.client.Watch(context.Background(), &messenger.WatchRequest{
				WaitMs: uint32(waitTimeout.Milliseconds()), Router: "router-at-" + p.settings.Name, Zone: "z",
			})
			if err != nil || response.GetRevision() != 1 || len(response.GetObjects()) != 1 || response.GetStale() {
				t.Errorf("watch at %s: %v, %v", p.settings.Name, response, err)
			}
		})
	}
	start := time.Now()
	g.apply(g.follower(), "change")
	group.Wait()
	require.Less(t, time.Since(start), waitTimeout/2, "no poll waited until its timeout")

	status := g.status(g.processes[0])
	require.Len(t, status.GetRouters(), 3, "one keeper lists the routers of all keepers")
	require.Zero(t, status.GetRouters()[0].GetInForce())
	_, err := g.processes[1].client.Watch(context.Background(), &messenger.WatchRequest{
		After: 1, Router: "router-at-keeper-1", Zone: "z", InForce: 1,
	})
	require.NoError(t, err)
	require.EqualValues(t, 1, g.status(g.processes[2]).GetRouters()[0].GetInForce(), "the newest entry of a router that changed keepers")
}

// Guards against a router that admits a quarantined request again because its long poll is only
// woken by configuration changes and misses new fingerprints.
func TestWatchReturnsQuarantineOnce(t *testing.T) {
	t.Parallel()
	g := startGroup(t, 1)
	g.ready()
	p := g.processes[0]
	_, err := p.client.Quarantine(context.Background(), &messenger.QuarantineRequest{
		Fingerprints: []*messenger.Fingerprint{{Digest: 7, LeftMs: 60_000}},
	})
	require.NoError(t, err)
	watch := func(wait time.Duration) *messenger.WatchResponse {
		response, err := p.client.Watch(context.Background(), &messenger.WatchRequest{Router: "router", WaitMs: uint32(wait.Milliseconds())})
		require.NoError(t, err)
		return response
	}
	start := time.Now()
	require.EqualValues(t, 7, watch(waitTimeout).GetQuarantined()[0].GetDigest())
	require.Less(t, time.Since(start), waitTimeout/2, "it did not wait")
	start = time.Now()
	require.Len(t, watch(50*time.Millisecond).GetQuarantined(), 1, "later answers contain the list too")
	require.GreaterOrEqual(t, time.Since(start), 50*time.Millisecond, "but the list does not end their wait")
}

// Guards against a group that accepts no changes while one keeper is down, and against accepted
// changes that are lost when that keeper restarts.
func TestAChangeSurvivesItsLeader(t *testing.T) {
	t.Parallel()
	g := startGroup(t, 3)
	g.ready()
	g.apply(g.processes[0], "before")
	old := g.leader()
	g.stop(old)
	require.EqualValues(t, 2, g.apply(g.follower(), "meanwhile").GetRevision())
	g.start(old)
	g.ready()
	g.eventually(func() bool { return g.status(old).GetRevision() == 2 }, "the restarted keeper has the missed change")
}

// Guards against a planned stop after which all callers wait for an election timeout. The stopping
// leader transfers leadership, so that another keeper leads long before the timeout.
func TestPlannedStopHandsOver(t *testing.T) {
	t.Parallel()
	const election = time.Second
	g := startGroupWithElection(t, 3, election)
	g.ready()
	old, next := g.leader(), g.follower()
	term := g.status(old).GetTerm()
	start := time.Now()
	old.cancel()
	g.eventually(func() bool { return g.status(next).GetTerm() > term && g.status(next).GetQuorum() }, "another keeper leads")
	require.Less(t, time.Since(start), election*3/4)
	require.Equal(t, term+1, g.status(next).GetTerm(), "the first election has a winner")
	old.cancel = nil
	require.NoError(t, <-old.ended)
}

// Guards against the loss of an accepted change after a disk is replaced: the keeper that is
// listed first in the settings restarts with an empty data folder, and must join the existing
// group instead of founding a new one.
func TestWipedFounderJoins(t *testing.T) {
	t.Parallel()
	g := startGroup(t, 3)
	g.ready()
	g.apply(g.processes[1], "before")
	founder := g.processes[0]
	disk := g.status(founder).GetDisk()
	g.stop(founder)
	require.NoError(t, os.RemoveAll(founder.settings.Data))
	g.start(founder)
	g.ready()
	g.eventually(func() bool { return g.status(founder).GetRevision() == 1 }, "the new disk has the accepted change")
	require.NotEqual(t, disk, g.status(founder).GetDisk())
	for _, keeper := range g.status(g.leader()).GetKeepers() {
		require.NotEqual(t, disk, keeper.GetDisk(), "the old disk is not a member any more")
	}
}

// Guards against routers of a partitioned zone that get no configuration at all. A keeper without
// a quorum returns its applied configuration, marked as possibly stale, and refuses calls that
// need a quorum.
func TestKeeperWithoutQuorum(t *testing.T) {
	t.Parallel()
	g := startGroup(t, 3)
	g.ready()
	g.apply(g.processes[0], "before")
	alone := g.processes[2]
	g.eventually(func() bool { return g.status(alone).GetRevision() == 1 }, "the keeper has the change")
	g.stop(g.processes[0])
	g.stop(g.processes[1])
	g.eventually(func() bool { return !g.status(alone).GetQuorum() }, "the keeper notices the loss of its quorum")
	response, err := alone.client.Watch(context.Background(), &messenger.WatchRequest{})
	require.NoError(t, err)
	require.True(t, response.GetStale())
	require.Len(t, response.GetObjects(), 1)
	_, err = alone.client.Claim(context.Background(), &messenger.ClaimRequest{Claims: []*messenger.ClaimEntry{
		{Workspace: "club", Key: "k", Owner: "one"},
	}})
	require.ErrorContains(t, err, "quorum")

	code, text := get(t, "http://"+alone.settings.Listen.String()+"/readyz")
	require.Equal(t, http.StatusServiceUnavailable, code)
	require.Contains(t, text, "quorum")
	code, _ = get(t, "http://"+alone.settings.Listen.String()+"/healthz")
	require.Equal(t, http.StatusOK, code)
	require.Zero(t, metric(t, alone, "keeper_quorum"))
	require.EqualValues(t, 1, metric(t, alone, "keeper_revision"))
}

// Guards against an operator who is told for good that a revision does not exist, by a keeper that has not
// heard of it yet.
func TestRevisionIsUnknownOnlyToACurrentKeeper(t *testing.T) {
	g := startGroup(t, 2)
	alone := g.processes[0]
	g.eventually(func() bool { return g.status(alone).GetQuorum() }, "the group has a leader")
	later := &messenger.HistoryRequest{At: 7}
	g.eventually(func() bool { return errorCode(alone.client.History(t.Context(), later)) == twirp.NotFound }, "a current keeper knows")
	g.stop(g.processes[1])
	g.eventually(func() bool { return !g.status(alone).GetQuorum() }, "the keeper notices the loss of its quorum")
	require.Equal(t, twirp.Unavailable, errorCode(alone.client.History(t.Context(), later)))
}

// errorCode returns the code of a keeper's error, none if there is no error.
func errorCode(_ *messenger.HistoryResponse, err error) twirp.ErrorCode {
	var answered twirp.Error
	if errors.As(err, &answered) {
		return answered.Code()
	}
	return twirp.NoError
}

// get returns the status code and the body of an HTTP GET.
func get(t testing.TB, url string) (int, string) {
	t.Helper()
	response, err := http.Get(url)
	require.NoError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, string(body)
}

// metric returns the value of a keeper's metric without labels.
func metric(t testing.TB, p *process, name string) float64 {
	t.Helper()
	_, text := get(t, "http://"+p.settings.Listen.String()+"/metrics")
	for line := range strings.Lines(text) {
		if value, found := strings.CutPrefix(line, name+" "); found {
			number, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
			require.NoError(t, err)
			return number
		}
	}
	require.Fail(t, "no metric "+name)
	return 0
}

// Guards against a removed keeper that continues to run as a member, or that joins the group again
// by itself.
func TestRemovedKeeperStops(t *testing.T) {
	t.Parallel()
	g := startGroup(t, 3)
	g.ready()
	gone := g.follower()
	// A keeper that has not yet applied its own membership would treat itself as a new one.
	g.eventually(func() bool { return g.status(gone).GetCommit() > 1 }, "the keeper has applied its own membership")
	g.eventually(func() bool {
		response, err := g.leader().client.Alter(context.Background(), &messenger.AlterRequest{Remove: gone.settings.Name})
		return err == nil && response.GetError() == ""
	}, "the keeper is removed")
	g.awaitRemoved(gone)
	require.Len(t, g.status(g.leader()).GetKeepers(), 2)
	g.apply(g.leader(), "afterwards")
}

// Guards against an operator who removes a keeper and gets the error that there is no such member:
// the removal is committed, its answer is lost, and the operator resends it. A repeated removal
// must not be treated like the removal of a name that never was a member.
func TestRemovalIsIdempotent(t *testing.T) {
	t.Parallel()
	g := startGroup(t, 3)
	g.ready()
	gone := g.follower()
	g.eventually(func() bool { return g.status(gone).GetCommit() > 1 }, "the keeper has applied its own membership")
	remove := func(name string) (string, error) {
		response, err := g.leader().client.Alter(context.Background(), &messenger.AlterRequest{Remove: name})
		return response.GetError(), err
	}
	removed := func() bool {
		refusal, err := remove(gone.settings.Name)
		return err == nil && refusal == ""
	}
	g.eventually(removed, "the keeper is removed")
	g.awaitRemoved(gone)
	g.eventually(removed, "the resent removal succeeds")
	refusal, err := remove("nobody")
	require.NoError(t, err)
	require.Contains(t, refusal, "no such member")
}

// Guards against calls with a wrong secret or with invalid arguments that are accepted.
func TestCallersAreChecked(t *testing.T) {
	t.Parallel()
	g := startGroup(t, 1)
	g.ready()
	p := g.processes[0]
	stranger := messenger.NewKeepingProtobufClient("http://"+p.settings.Control.String(), dialer.Client("wrong", &dialer.Counter{}))
	_, err := stranger.Status(context.Background(), &messenger.KeeperStatusRequest{})
	require.Error(t, err)
	tests := map[string]func() error{
		"a claim without key": func() error {
			_, err := p.client.Claim(context.Background(), &messenger.ClaimRequest{Claims: []*messenger.ClaimEntry{{}}})
			return err
		},
		"too many claims": func() error {
			_, err := p.client.Claim(context.Background(), &messenger.ClaimRequest{Claims: make([]*messenger.ClaimEntry, maxBatchEntries+1)})
			return err
		},
		"an edit of nothing": func() error {
			_, err := p.client.Apply(context.Background(), &messenger.ApplyRequest{Change: "c", Edits: []*messenger.Edit{{}}})
			return err
		},
		"an unknown revision": func() error {
			_, err := p.client.History(context.Background(), &messenger.HistoryRequest{At: 99})
			return err
		},
	}
	for name, call := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			require.Error(t, call())
		})
	}
}
