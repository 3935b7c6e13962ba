package proxier

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/lister"
)

const (
	// pauseSeeds is the number of scenarios drawn for each route.
	pauseSeeds = 40
	// pausedAnswerEvents is the number of events of a scripted stream.
	pausedAnswerEvents = 6
	// pausedAnswer is the body of a scripted plain answer.
	pausedAnswer = "the whole answer"
)

// pauseScenario is an endpoint that sends nothing for a while in the middle of an answer and then goes
// on, beside other endpoints that are listed once the request has been sent.
type pauseScenario struct {
	path   string
	length time.Duration
	// after is the number of events, or of bytes of a plain answer, before the pause; -1 is a pause
	// before the head. With inside set, a stream pauses inside the next event.
	after  int
	inside bool
	others []string // kinds of the other endpoints, keys of otherEndpoints
	change bool     // a configuration comes into force during the pause
}

func (s pauseScenario) String() string {
	return fmt.Sprintf("%s, pause of %v after %d, inside %v, beside %v, change %v", s.path, s.length, s.after, s.inside, s.others, s.change)
}

// drawPause draws a scenario.
func drawPause(draw *rand.Rand, path string, plain bool) pauseScenario {
	s := pauseScenario{
		path: path, length: 300*time.Millisecond + time.Duration(draw.IntN(2700))*time.Millisecond,
		inside: draw.IntN(2) == 0, change: draw.IntN(2) == 0,
	}
	units := pausedAnswerEvents
	if plain {
		units = len(pausedAnswer)
	}
	s.after = draw.IntN(units+1) - 1
	kinds := []string{"serves", "declines", "resets", "refuses connections", "pauses too", "has another version"}
	for range draw.IntN(3) {
		s.others = append(s.others, kinds[draw.IntN(len(kinds))])
	}
	return s
}

// pausingFleet runs one scenario.
type pausingFleet struct {
	*fixture
	clock    *steppedClock
	scenario pauseScenario
	once     sync.Once
	paused   sync.Mutex // held during the pause
}

// newPausingFleet returns a fleet with the endpoint that pauses.
func newPausingFleet(t *testing.T, clock *steppedClock, scenario pauseScenario) *pausingFleet {
	t.Helper()
	f := &pausingFleet{fixture: newFixtureAt(t, clock), clock: clock, scenario: scenario}
	f.endpoint(f.serve)
	return f
}

// pause advances the clock by the length of the pause, the first time that it is called.
func (f *pausingFleet) pause() {
	f.once.Do(func() {
		f.paused.Lock()
		defer f.paused.Unlock()
		for _, kind := range f.scenario.others {
			f.addOther(kind)
		}
		if f.scenario.change {
			f.fleetState.table.Store(newTable(f.t, 2))
		}
		f.clock.Advance(f.scenario.length)
	})
}

// serve answers a request, with a pause at the place of the scenario.
func (f *pausingFleet) serve(conn net.Conn, request *http.Request) {
	if f.scenario.after < 0 {
		f.pause()
	}
	if isPlain(f.scenario.path) {
		f.servePlain(conn, request)
		return
	}
	resume, _ := strconv.Atoi(request.Header.Get("Last-Event-Id")) // 0 without the header
	beginStream(conn, request, 1, 0)
	for number := resume + 1; number <= pausedAnswerEvents; number++ {
		if number == f.scenario.after+1 {
			f.pauseBefore(conn, number)
			continue
		}
		sendEvent(conn, number)
	}
	endStream(conn)
}

// pauseBefore pauses before or inside an event, and sends it.
func (f *pausingFleet) pauseBefore(conn net.Conn, number int) {
	text := event(number)
	if !f.scenario.inside {
		f.pause()
		sendEvent(conn, number)
		return
	}
	half := len(text) / 2
	fmt.Fprintf(conn, "%x\r\n%s\r\n", half, text[:half])
	f.pause()
	fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text)-half, text[half:])
}

func (f *pausingFleet) servePlain(conn net.Conn, request *http.Request) {
	before := max(f.scenario.after, 0)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: stamp\r\nContent-Length: %d\r\n\r\n%s",
		idHeader, request.Header.Get(idHeader), stampHeader, len(pausedAnswer), pausedAnswer[:before])
	f.pause()
	io.WriteString(conn, pausedAnswer[before:]) //nolint:errcheck // the router may have closed the connection
}

// addOther lists another endpoint.
func (f *pausingFleet) addOther(kind string) {
	switch kind {
	case "serves":
		f.endpoint(f.serve)
	case "declines":
		f.decliningEndpoint()
	case "resets":
		f.endpoint(resetConn)
	case "refuses connections":
		f.add(closedPort(f.t))
	case "pauses too":
		f.endpoint(func(conn net.Conn, request *http.Request) {
			f.paused.Lock()
			f.paused.Unlock() //nolint:staticcheck // the pause is over
			f.serve(conn, request)
		})
	case "has another version":
		f.lastID++
		f.balancer.Update(lister.Listing{
			ID: fmt.Sprint("i-", f.lastID), Service: "desk", State: lister.Ready, Slots: 6, Address: f.listen(f.serve), Version: "v2",
		})
	default:
		require.Fail(f.t, "unknown kind", kind)
	}
}

// closedPort returns an address that refuses connections until the test ends: its port is taken, so that
// no other test listens there.
func closedPort(t *testing.T) netip.AddrPort {
	t.Helper()
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, syscall.Close(socket)) })
	require.NoError(t, syscall.Bind(socket, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	bound, err := syscall.Getsockname(socket)
	require.NoError(t, err)
	address := bound.(*syscall.SockaddrInet4)
	return netip.AddrPortFrom(netip.AddrFrom4(address.Addr), uint16(address.Port))
}

func isPlain(path string) bool {
	return path == "/read/" || path == "/book/"
}

// Guards against ending an answer, or refusing a request, because its endpoint sends nothing for a
// while, whatever other endpoints could do in its place.
func TestPauseOfAnEndpointEndsNoAnswer(t *testing.T) {
	for _, path := range []string{"/list/", "/draft/", "/read/", "/book/"} {
		for seed := range uint64(pauseSeeds) {
			scenario := drawPause(rand.New(rand.NewPCG(seed, 0)), path, isPlain(path))
			t.Run(fmt.Sprint(seed, ": ", scenario), func(t *testing.T) {
				t.Parallel()
				clock := newSteppedClock()
				f := newPausingFleet(t, clock, scenario)
				want := eventsUpTo(pausedAnswerEvents)
				if isPlain(path) {
					want = pausedAnswer
				}
				response := f.do("POST", path, "prompt")
				body, err := readText(response)
				require.NoError(t, err, "the answer was cut after %q", body)
				require.Equal(t, http.StatusOK, response.StatusCode)
				require.Equal(t, want, body)
			})
		}
	}
}

// Guards against an answer that ends because its endpoint pauses, in messages that are passed on piece by
// piece, end with their connection, or follow others on a kept connection.
func TestPauseInLargeMessagesEndsNoAnswer(t *testing.T) {
	large := strings.Repeat("a large answer. ", (maxBufferedAnswerBytes+9000)/16)
	tests := map[string]struct {
		body   string // of the request
		answer string
		after  int    // bytes of the answer before the pause
		head   string // says how the answer is framed
		kept   bool   // the pause comes in the second answer on a connection
	}{
		"after the buffer is full":   {answer: large, after: maxBufferedAnswerBytes + 100, head: "Content-Length: %d\r\n"},
		"before the buffer is full":  {answer: large, after: maxBufferedAnswerBytes - 100, head: "Content-Length: %d\r\n"},
		"behind a large body":        {body: large, answer: pausedAnswer, after: 3, head: "Content-Length: %d\r\n"},
		"without framing":            {answer: pausedAnswer, after: 3, head: "Connection: close\r\n"},
		"large, without framing":     {answer: large, after: maxBufferedAnswerBytes + 100, head: "Connection: close\r\n"},
		"on a kept connection":       {answer: pausedAnswer, after: 3, head: "Content-Length: %d\r\n", kept: true},
		"on one, before the head":    {answer: pausedAnswer, after: -1, head: "Content-Length: %d\r\n", kept: true},
		"on one, between head, body": {answer: pausedAnswer, head: "Content-Length: %d\r\n", kept: true},
	}
	for name, test := range tests {
		for _, path := range []string{"/read/", "/book/"} {
			t.Run(name+" "+path, func(t *testing.T) {
				clock := newSteppedClock()
				f := newFixtureAt(t, clock)
				first := test.kept
				f.endpoint(func(conn net.Conn, request *http.Request) {
					pause := func() { clock.Advance(3 * time.Second) }
					if first {
						first, pause = false, func() {}
					}
					if test.after < 0 {
						pause()
					}
					before := max(test.after, 0)
					head := strings.Replace(test.head, "%d", strconv.Itoa(len(test.answer)), 1)
					fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: stamp\r\n%s\r\n%s",
						idHeader, request.Header.Get(idHeader), stampHeader, head, test.answer[:before])
					if test.after >= 0 {
						pause()
					}
					io.WriteString(conn, test.answer[before:]) //nolint:errcheck // the client sees what arrives
					if strings.HasPrefix(head, "Connection: close") {
						conn.Close()
					}
				})
				if test.kept {
					got, err := f.fetch("POST", path, test.body)
					require.NoError(t, err)
					require.Equal(t, test.answer, got)
				}
				got, err := f.fetch("POST", path, test.body)
				require.NoError(t, err)
				require.Equal(t, test.answer, got)
			})
		}
	}
}
