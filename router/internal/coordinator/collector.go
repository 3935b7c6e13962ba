package coordinator

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"shallotkeel.example/lib/scheduler"
)

// collectTimeout bounds how long a scrape waits for the control goroutine.
const collectTimeout = time.Second

// measure is one metric of a pool.
type measure struct {
	description *prometheus.Desc
	kind        prometheus.ValueType
	read        func(scheduler.Stats) float64
}

// Collector exports the metrics of the pools that this router schedules: the
// fairness gap with its bound, and utilisation. They are read from the pools at each
// scrape, so a pool that moved to another router disappears here and its stale
// values are no longer exported.
//
// The label is the service, so there are at most as many rows as services.
type Collector struct {
	coordinator *Coordinator
	measures    []measure
}

// NewCollector returns the collector of a coordinator's pools.
func NewCollector(coordinator *Coordinator) *Collector {
	c := &Collector{coordinator: coordinator}
	c.add("shallotkeel_pool_gap_units", "Largest difference of weighted service between two workspaces that both wait and reach a common endpoint.",
		prometheus.GaugeValue, func(s scheduler.Stats) float64 { return s.Gap })
	c.add("shallotkeel_pool_gap_bound_units", "What the formula of docs/FAIRNESS.md allows for the gap now.",
		prometheus.GaugeValue, func(s scheduler.Stats) float64 { return s.Bound })
	c.add("shallotkeel_pool_waiting_requests", "Requests that wait for a slot.",
		prometheus.GaugeValue, func(s scheduler.Stats) float64 { return float64(s.Waiting) })
	c.add("shallotkeel_pool_running_requests", "Requests that hold a slot here or a loan.",
		prometheus.GaugeValue, func(s scheduler.Stats) float64 { return float64(s.Running) })
	c.add("shallotkeel_pool_slots", "Slots that endpoints announce.",
		prometheus.GaugeValue, func(s scheduler.Stats) float64 { return float64(slots(s)) })
	c.add("shallotkeel_pool_window_slots", "Requests that the endpoints' windows allow at once.",
		prometheus.GaugeValue, func(s scheduler.Stats) float64 { return float64(windows(s)) })
	c.add("shallotkeel_pool_oldest_wait_seconds", "How long the longest waiting request has waited.",
		prometheus.GaugeValue, func(s scheduler.Stats) float64 { return oldest(s).Seconds() })
	c.add("shallotkeel_pool_lent_slots", "Slots lent to other availability zones.",
		prometheus.GaugeValue, func(s scheduler.Stats) float64 { return float64(s.Lent) })
	c.add("shallotkeel_pool_borrowed_slots", "Slots borrowed from other availability zones.",
		prometheus.GaugeValue, func(s scheduler.Stats) float64 { return float64(s.Borrowed) })
	c.add("shallotkeel_pool_busy_slot_seconds_total", "Slot time in use since this scheduler began; divide its rate by that of the usable slot time for utilisation.",
		prometheus.CounterValue, func(s scheduler.Stats) float64 { return s.Busy.Seconds() })
	c.add("shallotkeel_pool_usable_slot_seconds_total", "Slot time that could be used since this scheduler began.",
		prometheus.CounterValue, func(s scheduler.Stats) float64 { return s.Usable.Seconds() })
	return c
}

func (c *Collector) add(name, help string, kind prometheus.ValueType, read func(scheduler.Stats) float64) {
	c.measures = append(c.measures, measure{
		description: prometheus.NewDesc(name, help, []string{"service"}, nil), kind: kind, read: read,
	})
}

// Describe sends the descriptions of the metrics.
func (c *Collector) Describe(descriptions chan<- *prometheus.Desc) {
	for _, m := range c.measures {
		descriptions <- m.description
	}
}

// Collect reads the metrics of every pool.
func (c *Collector) Collect(metrics chan<- prometheus.Metric) {
	for _, stats := range c.stats() {
		for _, m := range c.measures {
			metrics <- prometheus.MustNewConstMetric(m.description, m.kind, m.read(stats), stats.Service)
		}
	}
}

// stats gathers the statistics on the control goroutine and passes the complete list
// through a channel, because a scrape may time out while that goroutine is still
// gathering.
func (c *Collector) stats() []scheduler.Stats {
	ctx, cancel := context.WithTimeout(context.Background(), collectTimeout)
	defer cancel()
	gathered := make(chan []scheduler.Stats, 1)
	c.coordinator.do(ctx, func() {
		var list []scheduler.Stats
		now := c.coordinator.clock.Now()
		for _, h := range c.coordinator.pools {
			list = append(list, h.registrar.Pool.Stats(now))
		}
		gathered <- list
	})
	select {
	case list := <-gathered:
		return list
	default:
		return nil
	}
}

func slots(s scheduler.Stats) (sum int) {
	for _, e := range s.Endpoints {
		sum += e.Slots
	}
	return sum
}

func windows(s scheduler.Stats) (sum int) {
	for _, e := range s.Endpoints {
		sum += e.Window
	}
	return sum
}

func oldest(s scheduler.Stats) (longest time.Duration) {
	for _, w := range s.Workspaces {
		longest = max(longest, w.Oldest)
	}
	return longest
}
