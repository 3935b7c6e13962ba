package passer

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/balancer"
	"shallotkeel.example/lib/lister"
)

const (
	leavingHeader    = "Server-Leaving"
	retryAfterHeader = "Retry-After"
)

// speaker is an endpoint that says of itself what a test wants, and counts what it gets.
type speaker struct {
	mutex    sync.Mutex
	status   int
	header   string // whole lines, each with its end
	stream   bool
	arrivals int
	release  chan struct{} // lets a stream end
}

// say sets what it answers from now on, and counts anew.
func (s *speaker) say(status int, header string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.status, s.header, s.arrivals = status, header, 0
}

func (s *speaker) got() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.arrivals
}

func (s *speaker) serve(conn net.Conn, request *http.Request) {
	s.mutex.Lock()
	s.arrivals++
	status, header, stream := s.status, s.header, s.stream && s.status == http.StatusOK
	s.mutex.Unlock()
	if stream {
		beginStream(conn, request, 1, 1)
		<-s.release
		endStream(conn)
		return
	}
	if status == http.StatusOK {
		header += stampHeader + ": stamp\r\n"
	}
	fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\n%s: %s\r\n%sContent-Length: 0\r\n\r\n",
		status, http.StatusText(status), idHeader, request.Header.Get(idHeader), header)
}

// list lists a speaker, or tells what a later heartbeat says of it.
func (b *bed) list(address netip.AddrPort, sequence uint64, started time.Time) {
	b.balance.Update(lister.Listing{
		ID: "speaker", Service: "desk", State: lister.Ready, Slots: 6, Sequence: sequence, Started: started, Address: address,
	})
}

// speak starts a speaker and lists it.
func (b *bed) speak(s *speaker) netip.AddrPort {
	b.t.Helper()
	address := b.listen(s.serve)
	b.list(address, 1, time.Time{})
	return address
}

// Guards against requests to an endpoint within the backoff that it has asked for.
func TestEndpointThatAsksForBackoffGetsNothing(t *testing.T) {
	const backoff, step = 3 * time.Second, 100 * time.Millisecond
	tests := map[string]struct {
		path   string
		others []func(net.Conn, *http.Request)
		before bool // an answer of before ends meanwhile
	}{
		"others serve":                       {path: "/read/x", others: []func(net.Conn, *http.Request){answering("a"), answering("b")}},
		"others serve what may not repeat":   {path: "/book/x", others: []func(net.Conn, *http.Request){answering("a")}},
		"an answer of before ends meanwhile": {path: "/read/x", others: []func(net.Conn, *http.Request){answering("a")}, before: true},
		"the others fail":                    {path: "/read/x", others: []func(net.Conn, *http.Request){shed, cut}},
		"there is no other":                  {path: "/read/x"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			b := newBedAt(t, clock)
			s := &speaker{status: http.StatusOK, stream: true, release: make(chan struct{})}
			b.speak(s)
			streamed := make(chan string, 1)
			if test.before {
				go func() {
					got, _ := b.fetch("POST", "/draft/x", "") // what it holds is compared below
					streamed <- got
				}()
				require.Eventually(t, func() bool { return s.got() == 1 }, patience, tick)
			}
			s.say(http.StatusServiceUnavailable, notRunHeader+": 1\r\n"+retryAfterHeader+": 3\r\n")
			_, err := b.fetch("GET", test.path, "")
			require.NoError(t, err)
			require.Equal(t, 1, s.got())
			for _, other := range test.others {
				b.endpoint(other)
			}
			for passed := step; passed < backoff; passed += step {
				clock.Advance(step)
				if passed == 5*step && test.before {
					close(s.release)
					require.Equal(t, events1to(1), <-streamed)
					require.Eventually(t, func() bool { return b.passer.Running() == 0 }, patience, tick)
				}
				response := b.ask("GET", test.path, "")
				_, err := text(response)
				require.NoError(t, err)
				require.Equal(t, 1, s.got(), "after %s", passed)
				if len(test.others) == 0 {
					require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
					seconds, err := strconv.ParseFloat(response.Header.Get(retryAfterHeader), 64)
					require.NoError(t, err)
					require.GreaterOrEqual(t, seconds, (backoff - passed).Seconds(), "nothing can be served before")
				}
			}
			clock.Advance(2 * step)
			s.mutex.Lock()
			s.stream = false
			s.mutex.Unlock()
			s.say(http.StatusOK, "")
			for range len(test.others) + 1 {
				_, err := b.fetch("GET", test.path, "")
				require.NoError(t, err)
			}
			require.Positive(t, s.got(), "its backoff is over")
		})
	}
}

// Guards against new work for an endpoint that says in its answers that it leaves.
func TestEndpointThatSaysThatItLeavesGetsNothingNew(t *testing.T) {
	tests := map[string]struct {
		status int
		header string
	}{
		"in a success":        {status: http.StatusOK},
		"in a refusal":        {status: http.StatusServiceUnavailable, header: notRunHeader + ": 1\r\n"},
		"in its own failure":  {status: http.StatusInternalServerError, header: stampHeader + ": stamp\r\n"},
		"in an answer of 404": {status: http.StatusNotFound, header: stampHeader + ": stamp\r\n"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			b := newBedAt(t, clock)
			s := &speaker{}
			address := b.speak(s)
			s.say(test.status, test.header+leavingHeader+": 1\r\n")
			_, err := b.fetch("GET", "/book/x", "")
			require.NoError(t, err)
			s.say(http.StatusOK, "")
			b.list(address, 2, time.Time{}) // a heartbeat that was late on its way
			b.endpoint(answering("a"))
			for range 10 {
				clock.Advance(250 * time.Millisecond)
				_, err := b.fetch("GET", "/read/x", "")
				require.NoError(t, err)
			}
			require.Zero(t, s.got())
			b.list(address, 1, time.Unix(1000, 0))
			_, err = b.fetch("GET", "/read/x", "")
			require.NoError(t, err)
			_, err = b.fetch("GET", "/read/x", "")
			require.NoError(t, err)
			require.Positive(t, s.got(), "it has started again")
		})
	}
}

// Guards against an endpoint that is kept idle for what another instance at its address says.
func TestAnotherInstanceSpeaksForItself(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := newBedAt(t, clock)
	s := &speaker{}
	b.speak(s)
	s.say(http.StatusMisdirectedRequest, retryAfterHeader+": 60\r\n"+leavingHeader+": 1\r\n")
	_, err := b.fetch("GET", "/book/x", "")
	require.NoError(t, err)
	clock.Advance(time.Second)
	s.say(http.StatusOK, "")
	response := b.ask("GET", "/book/x", "")
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, 1, s.got())
}

// Guards against a request that reaches an endpoint which has asked for backoff since it was
// chosen, as while its connection was being made.
func TestBackoffThatWasAskedForMeanwhileHoldsARequestBack(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := newBedAt(t, clock)
	s := &speaker{status: http.StatusOK}
	b.speak(s)
	slot := b.balance.Pick(clock.Now(), "desk", &balancer.Work{}, nil)
	b.balance.Pick(clock.Now(), "desk", &balancer.Work{}, nil).BackOff(clock.Now(), time.Second)
	q := &request{
		http: httptest.NewRequest(http.MethodGet, "/read/x", nil), writer: httptest.NewRecorder(), route: &routes[1],
		target: "/read/x", until: clock.Now().Add(time.Minute), table: b.news.Table(),
	}
	ctx, cancel := context.WithCancelCause(t.Context())
	defer cancel(nil)
	next := b.passer.exchange(ctx, cancel, q, slot)
	require.NotNil(t, next)
	require.True(t, next.unsent)
	require.Equal(t, balancer.Cancelled, next.outcome)
	require.Zero(t, s.got())
	clock.Advance(time.Second)
	require.Nil(t, b.passer.exchange(ctx, cancel, q, slot))
	require.Equal(t, 1, s.got())
}

// Guards against a line of the log for each request of a flood while nothing takes work.
func TestRefusalsWithoutAnEndpointAreLoggedSparingly(t *testing.T) {
	const requests = 300
	clock := clockwork.NewFakeClock()
	b := newBedAt(t, clock)
	var lines lineCounter
	b.passer.options.Log = zerolog.New(&lines)
	b.speak(&speaker{status: http.StatusServiceUnavailable, header: notRunHeader + ": 1\r\n" + retryAfterHeader + ": 3\r\n"})
	for range requests {
		_, err := b.fetch("GET", "/read/x", "")
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool { return b.passer.Running() == 0 }, patience, tick)
	require.Less(t, lines.count.Load(), int64(requests/2))
}

// lineCounter counts the lines that are written to it.
type lineCounter struct{ count atomic.Int64 }

func (l *lineCounter) Write(line []byte) (int, error) {
	l.count.Add(1)
	return len(line), nil
}
