package proxier

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/localizer"
)

// pollTime is the time between two polls of a keeper, on the clock of a crashFleet.
const pollTime = 500 * time.Millisecond

// crashFleet is several routers in front of the same endpoints, that report crashes to one keeper.
type crashFleet struct {
	t       *testing.T
	clock   *clockwork.FakeClock
	routers []*fixture
	judge   localizer.Judge
}

func newCrashFleet(t *testing.T, routers int) *crashFleet {
	t.Helper()
	fleet := &crashFleet{t: t, clock: clockwork.NewFakeClock()}
	for range routers {
		f := newFixtureAt(t, fleet.clock)
		f.fleetState.table.Store(engineTable(t))
		fleet.routers = append(fleet.routers, f)
	}
	return fleet
}

// sites starts endpoints and lists them at every router.
func (c *crashFleet) sites(count int, isBad func(request *http.Request) bool) []*crashSite {
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

// send sends a request through one of the routers in turn, and returns the status of its answer once
// the router knows which endpoints crashed under it.
func (c *crashFleet) send(turn int, path, parts, body string) int {
	c.t.Helper()
	f := c.routers[turn%len(c.routers)]
	response := f.do("POST", path, body, partsHeader, parts, "X-Shallotkeel-Token-Counts", "35,10")
	defer response.Body.Close()
	_, err := io.ReadAll(response.Body)
	require.NoError(c.t, err)
	require.Eventually(c.t, func() bool {
		broken, crashed := f.crashes.Lifetimes()
		return broken == crashed
	}, waitTimeout, pollInterval)
	return response.StatusCode
}

// poll lets time pass and each router report to the keeper and get its answer.
func (c *crashFleet) poll() {
	c.clock.Advance(pollTime)
	now := c.clock.Now()
	for _, f := range c.routers {
		report := f.crashes.Report(now, time.Time{})
		for _, crash := range report.Crashes {
			c.judge.AddCrash(now, crash)
		}
		for _, answer := range report.Answers {
			c.judge.AddAnswer(now, answer)
		}
	}
	c.judge.Verdicts(now)
	for _, f := range c.routers {
		f.crashes.Ask(now, c.judge.Suspects())
		f.crashes.SetQuarantines(now, c.judge.Quarantines(now))
	}
}
