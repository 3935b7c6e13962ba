package proxier

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

const partsHeader = "X-Shallotkeel-Prefix-Hash"

// crashSite is a machine whose endpoint crashes when it runs a request whose prompt holds a bad part,
// and is then listed again as a new instance.
type crashSite struct {
	t        *testing.T
	isBad    func(parts string) bool
	mutex    sync.Mutex
	listener net.Listener
	down     bool
	listedAs string          // id of its current life
	arrived  map[string]bool // request ids that reached it with a bad part
}

func newCrashSite(t *testing.T, isBad func(parts string) bool) *crashSite {
	t.Helper()
	s := &crashSite{t: t, isBad: isBad, arrived: make(map[string]bool)}
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
	if !s.isBad(request.Header.Get(partsHeader)) {
		reply(conn, request, http.StatusOK, event(1))
		return
	}
	s.mutex.Lock()
	s.arrived[request.Header.Get(idHeader)], s.down = true, true
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
	sites := fleet.sites(4, func(parts string) bool { return strings.Contains(parts, "bad:") })
	parts := func(i int, middle string) string { return fmt.Sprintf("a:10,%s:20,%x:5", middle, 0x1000+i) }
	for i := range requests {
		fleet.send(i, "/draft/", parts(i, "bad"))
		fleet.restart(sites)
		status := fleet.send(i+1, "/draft/", parts(i+requests, "5"))
		require.Equal(t, http.StatusOK, status, "a sound request of the same caller, with the other parts")
	}
	var arrived []string
	for _, s := range sites {
		for id := range s.arrived {
			arrived = append(arrived, id)
		}
	}
	slices.Sort(arrived)
	require.LessOrEqual(t, len(arrived), limit, "requests with the part that reached endpoints")
}
