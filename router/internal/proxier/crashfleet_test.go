package proxier

import (
	"io"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// crashFleet is several routers in front of the same endpoints, with the reports of crashes that they
// exchange through a keeper.
type crashFleet struct {
	t       *testing.T
	routers []*fixture
	crashes sharedCrashes
	sent    int
}

func newCrashFleet(t *testing.T, routers int) *crashFleet {
	t.Helper()
	fleet := &crashFleet{t: t, crashes: sharedCrashes{count: make(map[uint64]int)}}
	for range routers {
		f := newFixture(t)
		f.fleetState.table.Store(engineTable(t))
		f.fleetState.shared = &fleet.crashes
		fleet.routers = append(fleet.routers, f)
	}
	return fleet
}

// sites starts endpoints and lists them at every router.
func (c *crashFleet) sites(count int, isBad func(parts string) bool) []*crashSite {
	sites := make([]*crashSite, count)
	for n := range sites {
		sites[n] = newCrashSite(c.t, isBad)
		c.list(sites[n])
	}
	return sites
}

// list lists the current life of a site's endpoint at every router.
func (c *crashFleet) list(site *crashSite) {
	for _, f := range c.routers {
		site.listedAs = f.add(site.address())
	}
}

// restart starts the sites' endpoints that have crashed.
func (c *crashFleet) restart(sites []*crashSite) {
	for _, site := range sites {
		if !site.crashed() {
			continue
		}
		for _, f := range c.routers {
			f.remove(site.listedAs)
		}
		site.start()
		c.list(site)
	}
}

// send sends a request through one of the routers in turn and returns the status of its answer.
func (c *crashFleet) send(turn int, path, parts string) int {
	c.t.Helper()
	f := c.routers[turn%len(c.routers)]
	response := f.do("POST", path, parts, partsHeader, parts, "X-Shallotkeel-Token-Counts", "35,10")
	defer response.Body.Close()
	_, err := io.ReadAll(response.Body)
	require.NoError(c.t, err)
	c.sent++
	return response.StatusCode
}

// sharedCrashes counts crashes by request digest over all routers, as a keeper does.
type sharedCrashes struct {
	mutex sync.Mutex
	count map[uint64]int
}

func (s *sharedCrashes) add(digest uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.count[digest]++
}

func (s *sharedCrashes) quarantined(digest uint64) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.count[digest] >= 2
}
