package director

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/lister"
	"shallotkeel.example/lib/localizer"
	"shallotkeel.example/lib/messenger"
)

// stoppingRouter is a router that is stopped in a test. Its endpoint answers "whole"; on /silent it
// waits for release before the head, and on /events/ between two events.
type stoppingRouter struct {
	*Director
	t       *testing.T
	clock   *timerClock
	path    string
	began   chan struct{} // gets a value when the endpoint begins to wait
	release chan struct{}
	once    sync.Once
	lines   chan string
	stop    context.CancelFunc
	ended   chan error
}

const stopPlan = `{"version":%d,"services":[{"name":"desk"}],"routes":[{"name":"e","host":"h","path_prefix":"/events/","kind":"streaming","timeout_ms":60000,"service":"desk"},
	{"name":"r","host":"h","path_prefix":"/","kind":"non_idempotent","timeout_ms":60000,"service":"desk"}]}`

func newStoppingRouter(t *testing.T) *stoppingRouter {
	t.Helper()
	r := &stoppingRouter{
		t: t, clock: newTimerClock(), path: filepath.Join(t.TempDir(), "settings.json"),
		began: make(chan struct{}, 8), release: make(chan struct{}), lines: make(chan string, 256), ended: make(chan error, 1),
	}
	require.NoError(t, os.WriteFile(r.path, []byte("{}"), 0o600))
	r.start()
	endpoint := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(r.serveEndpoint)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go endpoint.Serve(listener) //nolint:errcheck // it ends with the test
	t.Cleanup(func() { _ = endpoint.Close() })
	t.Cleanup(r.proceed)
	r.balancer.Update(lister.Listing{ID: "a", Service: "desk", State: lister.Ready, Address: netip.MustParseAddrPort(listener.Addr().String())})
	return r
}

// start starts the router, again at other addresses if one that was free has been taken meanwhile.
func (r *stoppingRouter) start() {
	r.t.Helper()
	for {
		r.Director = New(validSettings(r.t), r.path, zerolog.New(stopLines(r.lines)), r.clock)
		r.configure(1)
		ctx, cancel := context.WithCancel(r.t.Context())
		r.stop = cancel
		go func() { r.ended <- r.Run(ctx) }()
		var failure error
		require.Eventually(r.t, func() bool {
			select {
			case failure = <-r.ended:
				return true
			default:
			}
			cn, err := net.Dial("tcp", r.settings.Listen.String())
			if err == nil {
				cn.Close()
			}
			return err == nil
		}, waitTimeout, time.Millisecond)
		if failure == nil {
			return
		}
		require.ErrorIs(r.t, failure, syscall.EADDRINUSE)
		cancel()
	}
}

func (r *stoppingRouter) serveEndpoint(w http.ResponseWriter, h *http.Request) {
	w.Header().Set("X-Shallotkeel-Response-Stamp", "s")
	switch h.URL.Path {
	case "/silent":
		r.began <- struct{}{}
		<-r.release
	case "/events/":
		w.Header().Set("Content-Type", "text/event-stream")
		io.WriteString(w, "data: one\n\n")    //nolint:errcheck // the test sees what arrives
		http.NewResponseController(w).Flush() //nolint:errcheck // the test sees what arrives
		r.began <- struct{}{}
		<-r.release
		io.WriteString(w, "data: whole\n\n") //nolint:errcheck // the test sees what arrives
		return
	}
	io.WriteString(w, "whole") //nolint:errcheck // the test sees what arrives
}

// proceed lets the endpoint go on.
func (r *stoppingRouter) proceed() {
	r.once.Do(func() { close(r.release) })
}

// configure brings a version of the configuration into force.
func (r *stoppingRouter) configure(version uint64) {
	keeper := netip.MustParseAddrPort("127.0.0.1:1")
	r.mutex.Lock()
	r.planning[keeper] = stubKeeper{plan: fmt.Sprintf(stopPlan, version)}
	r.mutex.Unlock()
	r.reader.Update(r.t.Context(), keeper, &messenger.FollowResponse{Plan: version})
}

// dial connects, and waits until the router has accepted the connection.
func (r *stoppingRouter) dial() (net.Conn, *bufio.Reader) {
	r.t.Helper()
	before := r.clientConnections.total()
	cn, err := net.Dial("tcp", r.settings.Listen.String())
	require.NoError(r.t, err)
	r.t.Cleanup(func() { cn.Close() })
	require.NoError(r.t, cn.SetDeadline(time.Now().Add(waitTimeout)))
	require.Eventually(r.t, func() bool { return r.clientConnections.total() > before }, waitTimeout, time.Millisecond)
	return cn, bufio.NewReader(cn)
}

func (r *stoppingRouter) write(cn net.Conn, text string) {
	r.t.Helper()
	_, err := io.WriteString(cn, text)
	require.NoError(r.t, err)
}

// closeListener begins the stop and lets drainTime pass.
func (r *stoppingRouter) closeListener() {
	r.t.Helper()
	r.stop()
	require.Eventually(r.t, func() bool {
		select {
		case <-r.stopping:
			return true
		default:
			return false
		}
	}, waitTimeout, time.Millisecond)
	r.clock.awaitDrainTimer(r.t)
	r.clock.Advance(drainTime)
	require.Eventually(r.t, func() bool {
		cn, err := net.Dial("tcp", r.settings.Listen.String())
		if err == nil {
			cn.Close()
		}
		return err != nil
	}, waitTimeout, time.Millisecond)
}

// stopAnswer is an answer that a client has read.
type stopAnswer struct {
	status     int
	retryAfter string
	closes     bool
	body       string
}

// read reads an answer.
func (r *stoppingRouter) read(from *bufio.Reader) (stopAnswer, error) {
	response, err := http.ReadResponse(from, nil)
	if err != nil {
		return stopAnswer{}, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return stopAnswer{status: response.StatusCode, retryAfter: response.Header.Get("Retry-After"), closes: response.Close, body: string(body)}, err
}

// stopLines passes log lines on, and drops them if nobody reads them.
type stopLines chan string

func (l stopLines) Write(line []byte) (int, error) {
	select {
	case l <- string(line):
	default:
	}
	return len(line), nil
}

// Guards against a planned stop that closes connections whose requests are read after the listener has
// been closed.
func TestRequestsReadAfterTheCloseAreAnswered(t *testing.T) {
	const get = "GET /fast HTTP/1.1\r\nHost: h\r\n\r\n"
	tests := map[string]struct {
		kept          bool // an earlier request was answered on the connection
		before, after string
	}{
		"nothing was sent":      {after: get},
		"half of a head":        {before: get[:9], after: get[9:]},
		"half of a body":        {before: "POST /fast HTTP/1.1\r\nHost: h\r\nContent-Length: 8\r\n\r\nhalf", after: "half"},
		"a stream":              {after: "GET /events/ HTTP/1.1\r\nHost: h\r\n\r\n"},
		"kept, a stream":        {kept: true, before: "GET /eve", after: "nts/ HTTP/1.1\r\nHost: h\r\n\r\n"},
		"HTTP/1.0":              {before: "GET /fast HTT", after: "P/1.0\r\nHost: h\r\n\r\n"},
		"kept, half of a head":  {kept: true, before: get[:9], after: get[9:]},
		"kept, half of a body":  {kept: true, before: "POST /fast HTTP/1.1\r\nHost: h\r\nContent-Length: 8\r\n\r\nhalf", after: "half"},
		"kept, a chunked body":  {kept: true, before: "POST /fast HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", after: "0\r\n\r\n"},
		"kept, one more behind": {kept: true, before: get[:9], after: get[9:] + get},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newStoppingRouter(t)
			cn, from := r.dial()
			if test.kept {
				r.write(cn, get)
				answer, err := r.read(from)
				require.NoError(t, err)
				require.Equal(t, "whole", answer.body)
			}
			r.write(cn, test.before)
			r.closeListener()
			r.write(cn, test.after)
			answer, err := r.read(from)
			require.NoError(t, err)
			require.Equal(t, http.StatusServiceUnavailable, answer.status)
			require.NotEmpty(t, answer.retryAfter)
			require.True(t, answer.closes)
			_, err = from.ReadByte()
			require.Error(t, err, "the connection is closed")
			require.NoError(t, <-r.ended)
		})
	}
}

// Guards against a planned stop, a SIGHUP or a change of the configuration that ends requests whose
// endpoints are silent for a while and go on.
func TestSilentEndpointIsAwaitedDuringAStop(t *testing.T) {
	for _, path := range []string{"/silent", "/events/"} {
		for _, silence := range []time.Duration{300 * time.Millisecond, 3 * time.Second} {
			t.Run(path+" "+silence.String(), func(t *testing.T) {
				r := newStoppingRouter(t)
				cn, from := r.dial()
				r.write(cn, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
				<-r.began
				r.closeListener()
				require.Error(t, r.reload([]byte("{}")), "a reload that is refused changes nothing")
				r.configure(2)
				r.clock.Advance(silence)
				r.proceed()
				answer, err := r.read(from)
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, answer.status)
				require.Contains(t, answer.body, "whole")
				require.NoError(t, <-r.ended)
			})
		}
	}
}

// Guards against requests that a planned stop ends without a line that says so, and against requests
// that get no answer although none has begun.
func TestRequestsEndedAtTheEndOfTheGraceTimeSayWhy(t *testing.T) {
	tests := map[string]struct {
		text   string
		status int // if the answer is not cut
		cutBy  string
	}{
		"no answer yet":     {text: "GET /silent HTTP/1.1\r\nHost: h\r\n\r\n", status: http.StatusBadGateway},
		"half of an answer": {text: "GET /events/ HTTP/1.1\r\nHost: h\r\n\r\n", cutBy: "stop"},
		"half of a body":    {text: "POST /fast HTTP/1.1\r\nHost: h\r\nContent-Length: 8\r\n\r\nhalf", status: http.StatusServiceUnavailable},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newStoppingRouter(t)
			cn, from := r.dial()
			r.write(cn, test.text)
			require.Eventually(t, func() bool { return r.proxier.Running() == 1 }, waitTimeout, time.Millisecond)
			if test.status != http.StatusServiceUnavailable {
				<-r.began
			}
			if test.cutBy != "" {
				_, err := from.Peek(1)
				require.NoError(t, err, "the answer has begun")
			}
			r.closeListener()
			r.clock.Advance(r.settings.Grace.Duration)
			answer, err := r.read(from)
			if test.cutBy != "" {
				require.ErrorIs(t, err, io.ErrUnexpectedEOF)
			} else {
				require.NoError(t, err)
				require.Equal(t, test.status, answer.status)
			}
			select {
			case err := <-r.ended:
				require.NoError(t, err)
			case <-time.After(waitTimeout):
				require.Fail(t, "the stop does not end")
			}
			require.Equal(t, test.cutBy, r.requestLine().CutBy)
		})
	}
}

// stopLine is the log line of a request.
type stopLine struct {
	CutBy   string `json:"cut_by"`
	Reason  string `json:"reason"`
	Message string `json:"message"`
}

// requestLine returns the line of a request that the stop ended.
func (r *stoppingRouter) requestLine() stopLine {
	r.t.Helper()
	for {
		select {
		case text := <-r.lines:
			var line stopLine
			require.NoError(r.t, json.Unmarshal([]byte(text), &line))
			if line.Message == "request" && line.Reason == "this router stops" {
				return line
			}
		case <-time.After(waitTimeout):
			require.Fail(r.t, "no line for the request")
		}
	}
}

// Guards against crashes that only a router knows when it ends, since it had not polled a keeper again.
func TestPlannedStopReportsCrashes(t *testing.T) {
	for name, reported := range map[string]bool{"a keeper answers": true, "no keeper answers": false} {
		t.Run(name, func(t *testing.T) {
			r := newStoppingRouter(t)
			r.crashes.Broke(r.clock.Now(), 5, localizer.Profile{Service: 1, Whole: 2}, 0)
			r.crashes.Ended(r.clock.Now(), 5)
			r.closeListener()
			require.Never(t, func() bool { return len(r.ended) > 0 }, 50*time.Millisecond, time.Millisecond)
			keeper := netip.MustParseAddrPort("127.0.0.1:1")
			if reported {
				require.Len(t, r.reader.Report(keeper, true).GetCrashes(), 1)
				r.reader.Update(t.Context(), keeper, &messenger.FollowResponse{Epoch: 1, Brief: true})
			}
			for len(r.ended) == 0 {
				r.clock.Advance(reportInterval)
			}
			require.NoError(t, <-r.ended)
			require.Equal(t, reported, r.reader.CrashesReported())
		})
	}
}
