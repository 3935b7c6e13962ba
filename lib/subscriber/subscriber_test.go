package subscriber

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/messenger"
)

const waitTimeout = 10 * time.Second

var errDown = errors.New("down")

// keeper is a fake keeper that answers polls by a function of the test.
type keeper struct {
	messenger.Planning
	mutex    sync.Mutex
	received []*messenger.FollowRequest
	answer   func(ctx context.Context, n int) (*messenger.FollowResponse, error)
}

func (k *keeper) Follow(ctx context.Context, request *messenger.FollowRequest) (*messenger.FollowResponse, error) {
	k.mutex.Lock()
	k.received = append(k.received, request)
	n := len(k.received)
	k.mutex.Unlock()
	return k.answer(ctx, n)
}

func (k *keeper) requests() []*messenger.FollowRequest {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return append([]*messenger.FollowRequest(nil), k.received...)
}

// host counts the calls of Update and Lost for each keeper.
type host struct {
	mutex   sync.Mutex
	updates map[netip.AddrPort]int
	lost    map[netip.AddrPort]int
}

func newHost() *host {
	return &host{updates: make(map[netip.AddrPort]int), lost: make(map[netip.AddrPort]int)}
}

func (h *host) Report(netip.AddrPort, bool) *messenger.FollowRequest {
	return &messenger.FollowRequest{Node: "me"}
}

func (h *host) Update(_ context.Context, k netip.AddrPort, _ *messenger.FollowResponse) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.updates[k]++
}

func (h *host) Lost(k netip.AddrPort, _ error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.lost[k]++
}

func (h *host) updatesFrom(k netip.AddrPort) int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.updates[k]
}

func (h *host) lossesOf(k netip.AddrPort) int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.lost[k]
}

func address(i byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, i}), 7400)
}

func run(t *testing.T, h *host, keepers map[netip.AddrPort]*keeper, own netip.AddrPort, seeds ...netip.AddrPort) *Subscriber {
	t.Helper()
	s := New(Options{
		Host: h, Clock: clockwork.NewRealClock(), Log: zerolog.Nop(), Own: own, Wait: time.Millisecond,
		Dial: func(a netip.AddrPort) messenger.Planning { return keepers[a] },
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.Run(ctx, seeds...)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return s
}

func respondAfterPause(ctx context.Context, response *messenger.FollowResponse) (*messenger.FollowResponse, error) {
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(time.Millisecond):
		return response, nil
	}
}

// Guards against a router that knows only the keepers named in its settings, and loses contact
// with the fleet when these are replaced, because it does not discover the others.
func TestAllKeepersAreFoundFromOne(t *testing.T) {
	group := []string{address(1).String(), address(2).String(), address(3).String(), "no address"}
	answers := func(ctx context.Context, _ int) (*messenger.FollowResponse, error) {
		return respondAfterPause(ctx, &messenger.FollowResponse{Epoch: 5, Next: 9, Keepers: group})
	}
	keepers := map[netip.AddrPort]*keeper{address(1): {answer: answers}, address(2): {answer: answers}, address(3): {answer: answers}}
	h := newHost()
	s := run(t, h, keepers, address(3), address(1))
	require.Eventually(t, func() bool { return h.updatesFrom(address(1)) > 2 && h.updatesFrom(address(2)) > 2 }, waitTimeout, time.Millisecond)
	require.Equal(t, 2, s.AnsweringCount())
	require.Zero(t, h.updatesFrom(address(3)), "a keeper does not follow itself")
	first, second := keepers[address(1)].requests()[0], keepers[address(1)].requests()[1]
	require.Zero(t, first.GetWaitMs(), "the first poll is not held")
	require.EqualValues(t, 5, second.GetEpoch())
	require.EqualValues(t, 9, second.GetAfter())
}

// Guards against a router that misses changes while one keeper is silent: a connection goes
// silent without a reset and its poll never ends, because waits are unbounded or keepers are
// polled sequentially.
func TestSilentKeeperDelaysNoOther(t *testing.T) {
	keepers := map[netip.AddrPort]*keeper{
		address(1): {answer: func(ctx context.Context, _ int) (*messenger.FollowResponse, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}},
		address(2): {answer: func(ctx context.Context, _ int) (*messenger.FollowResponse, error) {
			return respondAfterPause(ctx, &messenger.FollowResponse{})
		}},
	}
	h := newHost()
	s := run(t, h, keepers, netip.AddrPort{}, address(1), address(2))
	require.Eventually(t, func() bool { return h.updatesFrom(address(2)) > 20 }, waitTimeout, time.Millisecond)
	require.Eventually(t, func() bool { return len(keepers[address(1)].requests()) > 1 }, waitTimeout, time.Millisecond, "the silent keeper is polled again")
	require.Equal(t, 1, s.AnsweringCount())
}

func TestLossIsReportedOnce(t *testing.T) {
	keepers := map[netip.AddrPort]*keeper{address(1): {answer: func(ctx context.Context, n int) (*messenger.FollowResponse, error) {
		if n == 3 || n == 4 {
			return nil, errDown
		}
		return respondAfterPause(ctx, &messenger.FollowResponse{})
	}}}
	h := newHost()
	run(t, h, keepers, netip.AddrPort{}, address(1))
	require.Eventually(t, func() bool { return h.updatesFrom(address(1)) > 5 }, waitTimeout, time.Millisecond)
	require.Equal(t, 1, h.lossesOf(address(1)), "one loss for two failed polls in a row")
}

// Guards against routers without a configuration for 0.6 s after a power loss: all processes
// start together, a router's first polls find no keeper yet, and the pause between polls doubles
// as it does for a lost keeper.
func TestInitialPollsAreRetriedQuickly(t *testing.T) {
	tests := map[string]struct {
		answered bool
		tries    int
		want     time.Duration
	}{
		"no keeper has answered":      {false, 0, InitialPause},
		"no keeper has for long":      {false, InitialTries, MaxPause},
		"another keeper has answered": {true, 0, MaxPause},
		"the last initial try":        {false, InitialTries - 1, InitialPause},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := New(Options{Clock: clockwork.NewFakeClock(), Log: zerolog.Nop()})
			s.answered = test.answered
			require.Equal(t, test.want, s.pause(test.tries, MaxPause))
		})
	}
}

// Guards against routers without a configuration for half a second after their keepers are up
// again after a power loss: a router starts first, its messages to machines without power are
// lost, and with a single timeout it waits as long for each answer as for a busy keeper's.
func TestInitialPollsTimeOutSoon(t *testing.T) {
	tests := map[string]struct {
		answered bool
		tries    int
		want     time.Duration
	}{
		"the first poll":               {false, 0, initialSlack},
		"the fifth poll":               {false, slackDoublingTries - 1, initialSlack},
		"keepers may be busy":          {false, slackDoublingTries, 2 * initialSlack},
		"they may be very busy":        {false, 4 * slackDoublingTries, slack},
		"no keeper answered for long":  {false, InitialTries, slack},
		"another keeper has answered":  {true, 0, slack},
		"another one after some tries": {true, slackDoublingTries, slack},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := New(Options{Clock: clockwork.NewFakeClock(), Log: zerolog.Nop()})
			s.answered = test.answered
			require.Equal(t, test.want, s.slackFor(test.tries))
		})
	}
}
