package relayer_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/router/internal/relayer"
)

// chatWith returns the body of a streamed chat completion whose prompt is a text.
func chatWith(text string) string {
	return fmt.Sprintf(`{"model":"draft-7b","messages":[{"content":%q}],"stream":true}`, text)
}

// poisoned is the state of engines that crash when they run a request with the prompt poison. If
// broken is set, their other requests wait until an engine crashes, and break with it.
type poisoned struct {
	crashed atomic.Int32 // number of crashes
	lock    sync.Mutex
	broken  chan struct{}
}

// serve is the script of these engines.
func (p *poisoned) serve(w http.ResponseWriter, r *http.Request, n int) {
	body, _ := io.ReadAll(r.Body)
	if strings.Contains(string(body), "poison") {
		p.crashed.Add(1)
		p.lock.Lock()
		if p.broken != nil {
			close(p.broken)
			p.broken = nil
		}
		p.lock.Unlock()
		panic(http.ErrAbortHandler)
	}
	p.lock.Lock()
	broken := p.broken
	p.lock.Unlock()
	if broken != nil {
		<-broken
		panic(http.ErrAbortHandler)
	}
	healthy(w, r, n)
}

// Guards against a request that crashes one endpoint after the other because it is retried and resent
// like any other, and against failures of the innocent requests that run at the same endpoints.
func TestPoisonIsQuarantinedAndNeighboursAreAnswered(t *testing.T) {
	p := &poisoned{broken: make(chan struct{})}
	tb := newTestbed(t, relayer.Limits{}, p.serve, p.serve, p.serve, p.serve)
	innocent := make(chan answer, 1)
	go func() { innocent <- tb.call(http.MethodPost, chatPath, chatWith("innocent")) }()
	tb.enroller.await(t, "the innocent request", func() bool { return len(tb.enroller.waiting) == 1 })

	got := tb.call(http.MethodPost, chatPath, chatWith("poison"))
	require.Equal(t, "endpoint_failed", got.failure.Code)
	require.Equal(t, "unknown", got.headers.Get("X-Outcome"))
	require.Equal(t, fullAnswer, receive(t, innocent).text(t))
	require.EqualValues(t, 2, p.crashed.Load())
	for range 5 {
		got = tb.call(http.MethodPost, chatPath, chatWith("poison"))
		require.Equal(t, http.StatusUnprocessableEntity, got.status)
		require.Equal(t, "quarantined", got.failure.Code)
		require.Equal(t, "not-run", got.headers.Get("X-Outcome"))
		require.NotEmpty(t, got.headers.Get("Retry-After"))
	}
	require.EqualValues(t, 2, p.crashed.Load())
	require.Len(t, tb.quarantine, 1, "the quarantine must be published to the fleet")
	require.Equal(t, fullAnswer, tb.call(http.MethodPost, chatPath, chatWith("innocent")).text(t))

	other := newTestbed(t, relayer.Limits{}, p.serve)
	other.quarantine = tb.quarantine
	got = other.call(http.MethodPost, chatPath, chatWith("poison"))
	require.Equal(t, "quarantined", got.failure.Code, "another router must get the quarantine from the fleet")
	require.EqualValues(t, 2, p.crashed.Load())
}

// Guards against concurrent retries of suspect requests: many copies of a crashing request, sent at the
// same moment, would crash as many endpoints again with each retry.
func TestConcurrentCopiesOfPoison(t *testing.T) {
	p := &poisoned{}
	endpoints := make([]endpoint, 40)
	for n := range endpoints {
		endpoints[n] = p.serve
	}
	tb := newTestbed(t, relayer.Limits{}, endpoints...)
	var group sync.WaitGroup
	const copies = 20
	for range copies {
		group.Go(func() {
			require.Contains(t, []string{"endpoint_failed", "quarantined"},
				tb.call(http.MethodPost, chatPath, chatWith("poison")).failure.Code)
		})
	}
	group.Wait()
	require.LessOrEqual(t, int(p.crashed.Load()), copies+1, "each copy may crash one endpoint, and one trial another")
}

// Guards against copies of an innocent suspect request that are refused, or that wait indefinitely,
// during its trial. An endpoint crashes under a popular request, and many copies are sent while it is
// suspect.
func TestCopiesOfSuspectWaitForItsTrial(t *testing.T) {
	var crashed atomic.Bool
	tb := newTestbed(t, relayer.Limits{}, func(w http.ResponseWriter, r *http.Request, n int) {
		if crashed.CompareAndSwap(false, true) {
			panic(http.ErrAbortHandler)
		}
		healthy(w, r, n)
	}, healthy)
	require.Equal(t, fullAnswer, tb.chat(true).text(t), "the trial run must be answered")
	crashed.Store(false)
	var group sync.WaitGroup
	for range 20 {
		group.Go(func() { require.Equal(t, fullAnswer, tb.chat(true).text(t)) })
	}
	group.Wait()
	require.Zero(t, tb.metric("shallotkeel_suspects{}"))
	require.Empty(t, tb.quarantine)
}
