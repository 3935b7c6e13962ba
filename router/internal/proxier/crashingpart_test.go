package proxier

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/localizer"
)

const partsHeader = "X-Shallotkeel-Prefix-Hash"

// crashSite is a machine whose endpoint crashes when it runs a bad request, and is
// then listed again as a new instance.
type crashSite struct {
	t        *testing.T
	isBad    func(request *http.Request) bool
	script   func(conn net.Conn, request *http.Request) // serve if it is not set
	mutex    sync.Mutex
	listener net.Listener
	down     bool
	listedAs string // id of its current life
	arrived  int    // requests that crashed it
}

func newCrashSite(t *testing.T, isBad func(request *http.Request) bool) *crashSite {
	t.Helper()
	s := &crashSite{t: t, isBad: isBad}
	t.Cleanup(func() { s.listener.Close() })
	s.start()
	return s
}

// start begins to listen, at another port each time.
func (s *crashSite) start() {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(s.t, err)
	s.mutex.Lock()
	s.listener, s.down = listener, false
	s.mutex.Unlock()
	script := s.serve
	if s.script != nil {
		script = s.script
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveScript(conn, script)
		}
	}()
}

func (s *crashSite) address() netip.AddrPort {
	return netip.MustParseAddrPort(s.listener.Addr().String())
}

func (s *crashSite) serve(conn net.Conn, request *http.Request) {
	if !s.isBad(request) {
		reply(conn, request, http.StatusOK, event(1))
		return
	}
	s.mutex.Lock()
	s.arrived++
	s.down = true
	s.listener.Close()
	s.mutex.Unlock()
	resetConn(conn, request)
}

func (s *crashSite) crashed() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.down
}

// Guards against requests that share a prompt part and crash endpoints because each is judged as new.
func TestPartThatCrashesEndpointsIsQuarantined(t *testing.T) {
	const requests, limit = 20, 8 // five crashes, and three more sends
	fleet := newCrashFleet(t, 3)
	sites := fleet.sites(4, func(request *http.Request) bool { return strings.Contains(request.Header.Get(partsHeader), "bad:") })
	parts := func(i int, middle string) string { return fmt.Sprintf("a:10,%s:20,%x:5", middle, 0x1000+i) }
	for i := range requests {
		fleet.send(i, "/draft/", parts(i, "bad"), "")
		fleet.restart(sites)
		status := fleet.send(i+1, "/draft/", parts(i+requests, "5"), "")
		require.Equal(t, http.StatusOK, status, "a sound request of the same caller, with the other parts")
		fleet.poll()
	}
	require.LessOrEqual(t, arrivals(sites), limit, "requests with the part that reached endpoints")
}

// Guards against one request that is sent through router after router and crashes endpoint after endpoint.
func TestRequestThatCrashesEndpointsIsQuarantined(t *testing.T) {
	const requests, limit = 12, 6 // three crashes, and three more sends
	fleet := newCrashFleet(t, 3)
	sites := fleet.sites(4, func(request *http.Request) bool { return readBody(request) == "poison" })
	for i := range requests {
		fleet.send(i, "/draft/", "a:10,5:20,6:7", "poison")
		fleet.restart(sites)
		status := fleet.send(i, "/draft/", "a:10,5:20,6:7", "another")
		require.Equal(t, http.StatusOK, status, "a request that differs by its body only")
		fleet.poll()
	}
	require.LessOrEqual(t, arrivals(sites), limit, "arrivals of the request at endpoints")
}

// arrivals counts the requests that crashed the sites' endpoints.
func arrivals(sites []*crashSite) int {
	count := 0
	for _, s := range sites {
		count += s.arrived
	}
	return count
}

func readBody(request *http.Request) string {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return ""
	}
	return string(body)
}

// Guards against a crash that looks like the end of an answer without framing.
func TestUnframedAnswersCountOnceTheirEndpointSurvives(t *testing.T) {
	tests := map[string]struct {
		crashes  bool
		crashed  int
		answered bool
	}{
		"the endpoint answers the next request": {answered: true},
		"the endpoint has crashed with its end": {crashes: true, crashed: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.fleetState.table.Store(engineTable(t))
			site := &crashSite{t: t, isBad: func(*http.Request) bool { return false }}
			t.Cleanup(func() { site.listener.Close() })
			site.script = func(conn net.Conn, request *http.Request) {
				if test.crashes {
					site.listener.Close()
				}
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: stamp\r\nContent-Type: text/event-stream\r\n\r\n%s",
					idHeader, request.Header.Get(idHeader), stampHeader, event(1))
				conn.Close()
			}
			site.start()
			f.add(site.address())
			const parts = "a:10,b:20,c:5"
			for range 2 {
				response := f.do("POST", "/draft/", "", partsHeader, parts)
				_, err := readText(response)
				require.NoError(t, err)
				require.NoError(t, response.Body.Close())
			}
			_, crashed := f.crashes.Lifetimes()
			require.Equal(t, test.crashed, crashed)
			now := time.Now()
			shared := featureOf("desk", "", 0xb)
			f.crashes.Ask(now, []localizer.Feature{shared})
			report := f.crashes.Report(now, time.Time{})
			require.Equal(t, test.answered, slices.ContainsFunc(report.Answers, func(a localizer.Answer) bool { return a.Feature == shared }))
			if test.crashes {
				require.Len(t, report.Crashes, 1)
				require.Contains(t, report.Crashes[0].Features, shared)
			}
		})
	}
}
