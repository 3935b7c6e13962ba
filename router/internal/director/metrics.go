package director

import (
	"slices"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"shallotkeel.example/lib/subscriber"
	"shallotkeel.example/router/internal/screener"
)

// registerGauges registers metrics of the router's state and load. Values are read at each scrape.
func (d *Director) registerGauges() {
	d.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "shallotkeel_direct_unconfirmed_streams_total",
		Help: "Streams whose software version keepers had not confirmed when their first event was sent on, while several versions served.",
	}, func() float64 { return float64(d.streams.Unconfirmed()) }))
	gauge := func(opts prometheus.GaugeOpts, value func() float64) {
		d.registry.MustRegister(prometheus.NewGaugeFunc(opts, value))
	}
	gauge(prometheus.GaugeOpts{Name: "shallotkeel_direct_plan_version", Help: "Version of the whole configuration in force; 0 is none."}, func() float64 {
		if table := d.reader.Table(); table != nil {
			return float64(table.Version())
		}
		return 0
	})
	gauge(prometheus.GaugeOpts{Name: "shallotkeel_direct_keepers_answering", Help: "Keepers that answered their last poll."}, func() float64 { return float64(d.subscriber.AnsweringCount()) })
	gauge(prometheus.GaugeOpts{Name: "shallotkeel_direct_running_requests", Help: "Requests under way."}, func() float64 { return float64(d.proxier.Running()) })
	gauge(prometheus.GaugeOpts{Name: "shallotkeel_direct_client_connections", Help: "Open connections of clients."}, func() float64 {
		open, _ := d.clientConnections.counts()
		return float64(open)
	})
	gauge(prometheus.GaugeOpts{Name: "shallotkeel_direct_late_seconds", Help: "Mean time for which what is due waits: from 0.025 on the router refuses."}, func() float64 { return d.pacer.Lateness().Seconds() })
	gauge(prometheus.GaugeOpts{Name: "shallotkeel_direct_share_stretch", Help: "By how much shares are stretched, as this router sees it."}, func() float64 {
		return d.shares.Stretch()
	})
	gauge(prometheus.GaugeOpts{Name: "shallotkeel_direct_backlog_seconds", Help: "How long engines still read what they have been sent, as this router knows."}, func() float64 {
		return d.backlog(d.clock.Now()).Seconds()
	})
	gauge(prometheus.GaugeOpts{Name: "shallotkeel_direct_sums_age_seconds", Help: "How old the sums are that shares rest on; from 3 on this router keeps the part of each workspace's demand that was last its own."}, func() float64 {
		return d.shares.SumsAge(d.clock.Now()).Seconds()
	})
	gauge(prometheus.GaugeOpts{Name: "shallotkeel_direct_quarantined_features", Help: "Prompt parts and requests that are refused because endpoints crash under them."}, func() float64 {
		return float64(d.crashes.QuarantineCount())
	})
	gauge(prometheus.GaugeOpts{Name: "shallotkeel_direct_crashed_endpoints", Help: "Lifetimes of endpoints that have recently ended under requests of this router."}, func() float64 {
		_, crashed := d.crashes.Lifetimes()
		return float64(crashed)
	})
	gauge(prometheus.GaugeOpts{Name: "shallotkeel_direct_evacuated_zones", Help: "Zones whose endpoints get no new work."}, func() float64 {
		return float64(d.balancer.CountEvacuatedZones())
	})
	gauge(prometheus.GaugeOpts{Name: "shallotkeel_direct_cold_endpoints", Help: "Endpoints that are cold and bear few requests."}, func() float64 {
		return float64(d.balancer.CountRationed(d.clock.Now()))
	})
	gauge(prometheus.GaugeOpts{Name: "shallotkeel_direct_backed_off_endpoints", Help: "Endpoints that have asked this router for backoff and get nothing from it."}, func() float64 {
		return float64(d.balancer.CountBackedOff(d.clock.Now()))
	})
	gauge(prometheus.GaugeOpts{Name: "shallotkeel_direct_pressed_endpoints", Help: "Endpoints of plain services from which this router keeps a part of the calls away, as they answer late or have no room."}, func() float64 {
		return float64(d.balancer.CountThrottled())
	})
	gauge(prometheus.GaugeOpts{Name: "shallotkeel_direct_known_prefixes", Help: "Shared prompt prefixes at engines that this router or another one has recently sent."}, func() float64 {
		return float64(d.prefixes.Len(d.clock.Now()))
	})
	gauge(prometheus.GaugeOpts{Name: "shallotkeel_direct_prefix_age_seconds", Help: "Time since a keeper last told this router that an engine caches a shared prompt prefix, 0 while it knows none."}, func() float64 {
		return d.prefixes.Silence(d.clock.Now()).Seconds()
	})
	for _, quantile := range []float64{0, 0.1, 0.5, 0.9, 1} {
		gauge(prometheus.GaugeOpts{
			Name: "shallotkeel_direct_engine_slowness", Help: "Learned ratio of engines' waits to those of an engine of mean speed, by quantile over the engines.",
			ConstLabels: prometheus.Labels{"quantile": strconv.FormatFloat(quantile, 'g', -1, 64)},
		}, func() float64 { return quantileOf(d.balancer.SpeedFactors(), quantile) })
	}
	gauge(prometheus.GaugeOpts{Name: "shallotkeel_direct_starts", Help: "Requests a second that this router may start now."}, d.pacer.Starts.Value)
	gauge(prometheus.GaugeOpts{Name: "shallotkeel_direct_away", Help: "1 while new clients are sent to other routers."}, func() float64 {
		if d.diverter.diverting.Load() {
			return 1
		}
		return 0
	})
	gauge(prometheus.GaugeOpts{Name: "shallotkeel_direct_entries", Help: "New connections a second that this router may read while it refuses."}, d.pacer.Entries.Value)
	d.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "shallotkeel_direct_processor_seconds_total", Help: "Processor time that this process has used.",
	}, func() float64 { return d.processorTime().Seconds() }))
	counter := func(name, help string, value func() uint64) {
		d.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, func() float64 { return float64(value()) }))
	}
	counter("shallotkeel_direct_undelivered_requests_total", "Requests that ended while their endpoint had not acknowledged all of their bytes.", d.client.Undelivered)
	for _, side := range subscriber.Failures {
		d.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "shallotkeel_direct_failed_polls_total", Help: "Polls of keepers that were not answered, by the side at which they failed.",
			ConstLabels: prometheus.Labels{"side": string(side)},
		}, func() float64 { return float64(d.subscriber.FailedPolls(side)) }))
	}
	counter("shallotkeel_direct_endpoint_connections_total", "Connections made to endpoints.", d.client.Opened)
	counter("shallotkeel_direct_closed_behind_total", "Connections closed behind answers to workspaces beyond their share, while the router refuses.", d.proxier.ClosedBehind)
	counter("shallotkeel_direct_unread_connections_total", "Connections of clients that were closed unread, for want of room.", d.screenerCounter((*screener.Listener).ClosedUnread))
	counter("shallotkeel_direct_left_connections_total", "Connections of clients that had left before their requests were judged.", d.screenerCounter((*screener.Listener).Abandoned))
	counter("shallotkeel_direct_silent_connections_total", "Connections of clients that were closed because no request arrived on them.", d.screenerCounter((*screener.Listener).Silent))
	counter("shallotkeel_direct_stopped_requests_total", "Requests that were refused because their connections were not accepted before a planned stop.", d.screenerCounter((*screener.Listener).TurnedAway))
	counter("shallotkeel_direct_screened_requests_total", "Requests that were refused before the server took their connections.", d.screenerCounter((*screener.Listener).Refused))
}

// quantileOf returns a quantile of the values, 0 if there are none.
func quantileOf(values []float64, quantile float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[int(quantile*float64(len(values)-1))]
}

// screenerCounter returns a function that reads a counter of the screening listener, 0 before there is one.
func (d *Director) screenerCounter(counter func(*screener.Listener) uint64) func() uint64 {
	return func() uint64 {
		if screened := d.screened.Load(); screened != nil {
			return counter(screened)
		}
		return 0
	}
}
