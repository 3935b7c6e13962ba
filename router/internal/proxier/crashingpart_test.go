package proxier

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

const partsHeader = "X-Shallotkeel-Prefix-Hash"

// crashSite is a machine whose endpoint crashes when it runs a bad request, and is
// then listed again as a new instance.
type crashSite struct {
	t        *testing.T
	isBad    func(request *http.Request) bool
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
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveScript(conn, s.serve)
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

// TestPartThatCrashesEndpointsIsQuarantined guards against requests that share a prompt part and are
// otherwise different, each of which crashes endpoints because each is judged as new.
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

// TestRequestThatCrashesEndpointsIsQuarantined guards against one request that is sent again and again,
// through a different router each time, and crashes one endpoint after the other.
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
