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

func chatSaying(text string) string {
	return fmt.Sprintf(`{"model":"draft-7b","messages":[{"content":%q}],"stream":true}`, text)
}

// poisoned engines break all their connections when they run the poison. Their
// other requests wait for that, if there is one, so that they break with it.
type poisoned struct {
	crashed atomic.Int32
	lock    sync.Mutex
	broken  chan struct{}
}

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
	well(w, r, n)
}

// Symptom: one request takes the endpoints down one after the other, and the
// requests beside it fail with it. Sequence: a request that crashes each
// endpoint that runs it is sent, and sent again and again; innocent requests run
// beside it. Cause: it is retried and sent again like any other.
func TestPoisonIsQuarantinedAndNeighboursAreAnswered(t *testing.T) {
	p := &poisoned{broken: make(chan struct{})}
	f := newFleet(t, relayer.Limits{}, p.serve, p.serve, p.serve, p.serve)
	innocent := make(chan answer, 1)
	go func() { innocent <- f.call(http.MethodPost, chatPath, chatSaying("innocent")) }()
	f.enroller.await(t, "the innocent one", func() bool { return len(f.enroller.waiting) == 1 })

	got := f.call(http.MethodPost, chatPath, chatSaying("poison"))
	require.Equal(t, "endpoint_failed", got.failure.Code)
	require.Equal(t, "unknown", got.headers.Get("X-Outcome"))
	require.Equal(t, whole, receive(t, innocent).text(t))
	require.EqualValues(t, 2, p.crashed.Load())
	for range 5 {
		got = f.call(http.MethodPost, chatPath, chatSaying("poison"))
		require.Equal(t, http.StatusUnprocessableEntity, got.status)
		require.Equal(t, "quarantined", got.failure.Code)
		require.Equal(t, "not-run", got.headers.Get("X-Outcome"))
		require.NotEmpty(t, got.headers.Get("Retry-After"))
	}
	require.EqualValues(t, 2, p.crashed.Load())
	require.Len(t, f.quarantine, 1, "published for the whole fleet")
	require.Equal(t, whole, f.call(http.MethodPost, chatPath, chatSaying("innocent")).text(t))

	other := newFleet(t, relayer.Limits{}, p.serve)
	other.quarantine = f.quarantine
	got = other.call(http.MethodPost, chatPath, chatSaying("poison"))
	require.Equal(t, "quarantined", got.failure.Code, "another router knows it from the fleet")
	require.EqualValues(t, 2, p.crashed.Load())
}

// Symptom: many copies of a poison, sent at once, take as many endpoints as
// there are copies, again and again. Sequence: its caller sends it many times at
// the same moment. Cause: suspects that are retried side by side.
func TestCopiesOfPoisonAtOnce(t *testing.T) {
	p := &poisoned{}
	endpoints := make([]endpoint, 40)
	for n := range endpoints {
		endpoints[n] = p.serve
	}
	f := newFleet(t, relayer.Limits{}, endpoints...)
	var group sync.WaitGroup
	const copies = 20
	for range copies {
		group.Go(func() {
			require.Contains(t, []string{"endpoint_failed", "quarantined"},
				f.call(http.MethodPost, chatPath, chatSaying("poison")).failure.Code)
		})
	}
	group.Wait()
	require.LessOrEqual(t, int(p.crashed.Load()), copies+1, "each copy once, and one trial")
}

// Symptom: a popular request is refused because an endpoint crashed. Sequence:
// many copies of an innocent request are sent while it is a suspect. Cause:
// copies that are refused, or that wait for ever, during the trial.
func TestCopiesOfSuspectWaitForItsTrial(t *testing.T) {
	var crashed atomic.Bool
	f := newFleet(t, relayer.Limits{}, func(w http.ResponseWriter, r *http.Request, n int) {
		if crashed.CompareAndSwap(false, true) {
			panic(http.ErrAbortHandler)
		}
		well(w, r, n)
	}, well)
	require.Equal(t, whole, f.chat(true).text(t), "the trial of the first")
	crashed.Store(false)
	var group sync.WaitGroup
	for range 20 {
		group.Go(func() { require.Equal(t, whole, f.chat(true).text(t)) })
	}
	group.Wait()
	require.Zero(t, f.metric("shallotkeel_suspects{}"))
	require.Empty(t, f.quarantine)
}
