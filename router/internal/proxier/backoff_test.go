package proxier

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

// scriptedEndpoint is an endpoint that answers as a test sets it, and counts the requests that it gets.
type scriptedEndpoint struct {
	mutex    sync.Mutex
	status   int
	header   string // complete lines, each with its CRLF
	stream   bool
	arrivals int
	release  chan struct{} // lets a stream end
}

// setAnswer sets the answer from now on, and resets the count of requests.
func (s *scriptedEndpoint) setAnswer(status int, header string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.status, s.header, s.arrivals = status, header, 0
}

func (s *scriptedEndpoint) received() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.arrivals
}

func (s *scriptedEndpoint) serve(conn net.Conn, request *http.Request) {
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

// listScripted lists a scripted endpoint at an address, with the given heartbeat sequence and start time.
func (f *fixture) listScripted(address netip.AddrPort, sequence uint64, started time.Time) {
	f.balancer.Update(lister.Listing{
		ID: "speaker", Service: "desk", State: lister.Ready, Slots: 6, Sequence: sequence, Started: started, Address: address,
	})
}

// startScripted starts a scripted endpoint and lists it.
func (f *fixture) startScripted(s *scriptedEndpoint) netip.AddrPort {
	f.t.Helper()
	address := f.listen(s.serve)
	f.listScripted(address, 1, time.Time{})
	return address
}

// Guards against requests to an endpoint during the backoff that it has asked for, with other
// endpoints, without them, and while an earlier answer of the endpoint ends.
func TestEndpointInBackoffGetsNoRequests(t *testing.T) {
	const backoff, step = 3 * time.Second, 100 * time.Millisecond
	tests := map[string]struct {
		path   string
		others []func(net.Conn, *http.Request)
		before bool // an answer that began before the backoff ends during it
	}{
		"other endpoints serve":                             {path: "/read/x", others: []func(net.Conn, *http.Request){answerWith("a"), answerWith("b")}},
		"another endpoint serves what must not be repeated": {path: "/book/x", others: []func(net.Conn, *http.Request){answerWith("a")}},
		"an earlier answer ends during the backoff":         {path: "/read/x", others: []func(net.Conn, *http.Request){answerWith("a")}, before: true},
		"the other endpoints fail":                          {path: "/read/x", others: []func(net.Conn, *http.Request){decline, resetConn}},
		"there is no other endpoint":                        {path: "/read/x"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			f := newFixtureAt(t, clock)
			s := &scriptedEndpoint{status: http.StatusOK, stream: true, release: make(chan struct{})}
			f.startScripted(s)
			streamed := make(chan string, 1)
			if test.before {
				go func() {
					got, _ := f.fetch("POST", "/draft/x", "") // a truncated body fails the comparison below
					streamed <- got
				}()
				require.Eventually(t, func() bool { return s.received() == 1 }, waitTimeout, pollInterval)
			}
			s.setAnswer(http.StatusServiceUnavailable, notRunHeader+": 1\r\n"+retryAfterHeader+": 3\r\n")
			_, err := f.fetch("GET", test.path, "")
			require.NoError(t, err)
			require.Equal(t, 1, s.received())
			for _, other := range test.others {
				f.endpoint(other)
			}
			for elapsed := step; elapsed < backoff; elapsed += step {
				clock.Advance(step)
				if elapsed == 5*step && test.before {
					close(s.release)
					require.Equal(t, eventsUpTo(1), <-streamed)
					require.Eventually(t, func() bool { return f.proxier.Running() == 0 }, waitTimeout, pollInterval)
				}
				response := f.do("GET", test.path, "")
				_, err := readText(response)
				require.NoError(t, err)
				require.Equal(t, 1, s.received(), "after %s", elapsed)
				if len(test.others) == 0 {
					require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
					seconds, err := strconv.ParseFloat(response.Header.Get(retryAfterHeader), 64)
					require.NoError(t, err)
					require.GreaterOrEqual(t, seconds, (backoff - elapsed).Seconds(), "no endpoint accepts requests before the backoff ends")
				}
			}
			clock.Advance(2 * step)
			s.mutex.Lock()
			s.stream = false
			s.mutex.Unlock()
			s.setAnswer(http.StatusOK, "")
			for range len(test.others) + 1 {
				_, err := f.fetch("GET", test.path, "")
				require.NoError(t, err)
			}
			require.Positive(t, s.received(), "the backoff is over")
		})
	}
}

// Guards against new requests to an endpoint that announces in its answers that it is leaving.
func TestLeavingEndpointGetsNoNewRequests(t *testing.T) {
	tests := map[string]struct {
		status int
		header string
	}{
		"in a successful answer": {status: http.StatusOK},
		"in a refusal":           {status: http.StatusServiceUnavailable, header: notRunHeader + ": 1\r\n"},
		"in an error answer":     {status: http.StatusInternalServerError, header: stampHeader + ": stamp\r\n"},
		"in an answer of 404":    {status: http.StatusNotFound, header: stampHeader + ": stamp\r\n"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			f := newFixtureAt(t, clock)
			s := &scriptedEndpoint{}
			address := f.startScripted(s)
			s.setAnswer(test.status, test.header+leavingHeader+": 1\r\n")
			_, err := f.fetch("GET", "/book/x", "")
			require.NoError(t, err)
			s.setAnswer(http.StatusOK, "")
			f.listScripted(address, 2, time.Time{}) // a heartbeat that was delayed
			f.endpoint(answerWith("a"))
			for range 10 {
				clock.Advance(250 * time.Millisecond)
				_, err := f.fetch("GET", "/read/x", "")
				require.NoError(t, err)
			}
			require.Zero(t, s.received())
			f.listScripted(address, 1, time.Unix(1000, 0))
			_, err = f.fetch("GET", "/read/x", "")
			require.NoError(t, err)
			_, err = f.fetch("GET", "/read/x", "")
			require.NoError(t, err)
			require.Positive(t, s.received(), "the endpoint has restarted")
		})
	}
}

// Guards against an endpoint that gets no requests because of the hints of another instance at its
// address.
func TestHintsOfAnotherInstanceAreIgnored(t *testing.T) {
	clock := clockwork.NewFakeClock()
	f := newFixtureAt(t, clock)
	s := &scriptedEndpoint{}
	f.startScripted(s)
	s.setAnswer(http.StatusMisdirectedRequest, retryAfterHeader+": 60\r\n"+leavingHeader+": 1\r\n")
	_, err := f.fetch("GET", "/book/x", "")
	require.NoError(t, err)
	clock.Advance(time.Second)
	s.setAnswer(http.StatusOK, "")
	response := f.do("GET", "/book/x", "")
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, 1, s.received())
}

// Guards against a request that reaches an endpoint in backoff: the endpoint asks for it after it was
// picked, for example during the dial.
func TestBackoffAfterThePickWithdrawsTheRequest(t *testing.T) {
	clock := clockwork.NewFakeClock()
	f := newFixtureAt(t, clock)
	s := &scriptedEndpoint{status: http.StatusOK}
	f.startScripted(s)
	slot := f.balancer.Pick(clock.Now(), "desk", &balancer.Work{}, nil)
	f.balancer.Pick(clock.Now(), "desk", &balancer.Work{}, nil).BackOff(clock.Now(), time.Second)
	q := &request{
		http: httptest.NewRequest(http.MethodGet, "/read/x", nil), writer: httptest.NewRecorder(), route: &routes[1],
		target: "/read/x", deadline: clock.Now().Add(time.Minute), table: f.fleetState.Table(),
	}
	ctx, cancel := context.WithCancelCause(t.Context())
	defer cancel(nil)
	failure := f.proxier.exchange(ctx, cancel, q, slot)
	require.NotNil(t, failure)
	require.True(t, failure.unsent)
	require.Equal(t, balancer.Cancelled, failure.outcome)
	require.Zero(t, s.received())
	clock.Advance(time.Second)
	require.Nil(t, f.proxier.exchange(ctx, cancel, q, slot))
	require.Equal(t, 1, s.received())
}

// Guards against one log line per request of a flood while no endpoint accepts requests.
func TestRefusalsWithoutAnEndpointAreLoggedSparingly(t *testing.T) {
	const requests = 300
	clock := clockwork.NewFakeClock()
	f := newFixtureAt(t, clock)
	var lines lineCounter
	f.proxier.options.Log = zerolog.New(&lines)
	f.startScripted(&scriptedEndpoint{status: http.StatusServiceUnavailable, header: notRunHeader + ": 1\r\n" + retryAfterHeader + ": 3\r\n"})
	for range requests {
		_, err := f.fetch("GET", "/read/x", "")
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool { return f.proxier.Running() == 0 }, waitTimeout, pollInterval)
	require.Less(t, lines.count.Load(), int64(requests/2))
}

// lineCounter counts the lines written to it.
type lineCounter struct{ count atomic.Int64 }

func (l *lineCounter) Write(line []byte) (int, error) {
	l.count.Add(1)
	return len(line), nil
}
