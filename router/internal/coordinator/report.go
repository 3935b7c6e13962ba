package coordinator

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/reporter"
	"shallotkeel.example/lib/scheduler"
)

const (
	// reportTimeout bounds the report call to one router.
	reportTimeout = time.Second
	// maxConcurrentReports bounds the report calls in flight.
	maxConcurrentReports = 32
)

// States of an endpoint in a report.
const (
	stateServing  = "serving"
	stateDraining = "draining"
	stateLeaving  = "leaving"
	stateSuspect  = "suspect"
)

// Report returns the status of the pools and endpoints of the whole fleet as their
// schedulers see them, and the names of the routers that did not answer.
func (c *Coordinator) Report(ctx context.Context) (reporter.Status, []string) {
	var gathered reporter.Status
	var members []routerAddress
	c.do(ctx, func() {
		gathered = c.report(c.clock.Now())
		members = c.otherRouters()
	})
	var mutex sync.Mutex
	var unanswered []string
	var group errgroup.Group
	group.SetLimit(maxConcurrentReports)
	for _, m := range members {
		group.Go(func() error {
			part, err := c.fetchReport(ctx, m.address)
			mutex.Lock()
			defer mutex.Unlock()
			if err != nil {
				unanswered = append(unanswered, m.name)
				return nil
			}
			gathered.Pools = append(gathered.Pools, part.Pools...)
			gathered.Endpoints = append(gathered.Endpoints, part.Endpoints...)
			gathered.Routers = append(gathered.Routers, part.Routers...)
			return nil
		})
	}
	_ = group.Wait() // its functions return no errors
	sortReport(&gathered)
	slices.Sort(unanswered)
	return gathered, unanswered
}

type routerAddress struct {
	name    string
	address netip.AddrPort
}

// otherRouters returns the names and control addresses of the other routers of all
// zones.
func (c *Coordinator) otherRouters() []routerAddress {
	var members []routerAddress
	for _, zone := range append(c.detector.Zones(), c.options.Zone) {
		for _, m := range c.detector.Members(zone) {
			if m.Name != c.self.Name {
				members = append(members, routerAddress{name: m.Name, address: m.Address})
			}
		}
	}
	return members
}

func (c *Coordinator) fetchReport(ctx context.Context, address netip.AddrPort) (reporter.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	c.metrics.messages.WithLabelValues(kindReport).Inc()
	var part reporter.Status
	answer, err := c.peers.get(address).membership.Report(ctx, &messenger.ReportRequest{})
	if err != nil {
		return part, err
	}
	return part, json.Unmarshal(answer.GetStatus(), &part)
}

func sortReport(status *reporter.Status) {
	slices.SortFunc(status.Pools, func(a, b reporter.Pool) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Scheduler, b.Scheduler))
	})
	slices.SortFunc(status.Endpoints, func(a, b reporter.Endpoint) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.ID, b.ID))
	})
	// In standalone mode every router reports every endpoint of its zone.
	status.Endpoints = slices.CompactFunc(status.Endpoints, func(a, b reporter.Endpoint) bool {
		return a.Zone == b.Zone && a.ID == b.ID
	})
}

// report returns the status of what this router schedules.
func (c *Coordinator) report(now time.Time) reporter.Status {
	var status reporter.Status
	self := reporter.Router{Name: c.self.Name, Zone: c.options.Zone, Leaving: c.detector.Self().Leaving}
	if c.rules != nil {
		self.InForce = c.rules.Revision
	}
	status.Routers = []reporter.Router{self}
	for _, service := range slices.Sorted(maps.Keys(c.pools)) {
		h := c.pools[service]
		stats := h.registrar.Pool.Stats(now)
		pool := reporter.Pool{
			Zone: c.options.Zone, Service: service, Scheduler: c.self.Name,
			Waiting: stats.Waiting, Running: stats.Running, Gap: stats.Gap, Utilisation: stats.Utilisation,
		}
		for _, w := range stats.Workspaces {
			pool.Shares = append(pool.Shares, reporter.Workspace{
				Name: w.Workspace, Waiting: w.Waiting, Running: w.Running, Charged: w.Charged, Counter: w.Counter,
			})
		}
		for _, e := range stats.Endpoints {
			pool.Slots += e.Slots
			status.Endpoints = append(status.Endpoints, c.reportEndpoint(h, e))
		}
		status.Pools = append(status.Pools, pool)
	}
	return status
}

func (c *Coordinator) reportEndpoint(h *hostedPool, e scheduler.EndpointStats) reporter.Endpoint {
	message := h.endpoints[e.Endpoint]
	labels := labelsOf(message)
	if c.rules != nil {
		labels = c.rules.Effective(e.Endpoint, labels)
	}
	endpoint := reporter.Endpoint{
		ID: e.Endpoint, Service: h.service, Zone: c.options.Zone, Address: message.GetAddress(), Labels: labels,
		Slots: e.Slots, Window: e.Window, Busy: e.Busy, Draining: e.Draining, State: stateServing,
	}
	switch {
	case e.Leaving:
		endpoint.State = stateLeaving
	case e.Draining:
		endpoint.State = stateDraining
	case e.Hung || e.Probation > 0:
		endpoint.State = stateSuspect
	}
	return endpoint
}

// Report answers a report call of another router.
func (s *server) Report(ctx context.Context, _ *messenger.ReportRequest) (*messenger.ReportResponse, error) {
	var status reporter.Status
	s.coordinator.do(ctx, func() { status = s.coordinator.report(s.coordinator.clock.Now()) })
	encoded, err := json.Marshal(status)
	if err != nil {
		return nil, err
	}
	return &messenger.ReportResponse{Status: encoded}, nil
}
