package coordinator

import (
	"github.com/prometheus/client_golang/prometheus"

	"shallotkeel.example/lib/dialer"
)

// Kinds of control messages.
const (
	kindExchange  = "exchange"
	kindGrant     = "grant"
	kindAnnounce  = "announce"
	kindHeartbeat = "heartbeat"
	kindCompare   = "compare"
	kindHandover  = "handover"
	kindReport    = "report"
	kindLease     = "lease"
	kindOrder     = "order"
)

type metrics struct {
	messages  *prometheus.CounterVec
	failures  *prometheus.CounterVec
	grants    prometheus.Counter
	declined  prometheus.Counter
	takeovers prometheus.Counter
	live      prometheus.Gauge
	pools     prometheus.Gauge
}

func newMetrics(registry *prometheus.Registry) *metrics {
	m := &metrics{
		messages: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "shallotkeel_control_messages_total",
			Help: "Calls sent to other routers, to keepers for leases and to engines, by kind.",
		}, []string{"kind"}),
		failures: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "shallotkeel_control_failures_total",
			Help: "Calls to other routers without an answer, by kind.",
		}, []string{"kind"}),
		grants: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "shallotkeel_grants_total", Help: "Grants that reached a waiting request of this router.",
		}),
		declined: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "shallotkeel_grants_declined_total", Help: "Grants given back because their request no longer waited.",
		}),
		takeovers: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "shallotkeel_pool_takeovers_total", Help: "Pools that this router became the scheduler of.",
		}),
		live: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "shallotkeel_live_routers", Help: "Live routers of this zone, this one included.",
		}),
		pools: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "shallotkeel_scheduled_pools", Help: "Pools that this router schedules.",
		}),
	}
	if registry != nil {
		registry.MustRegister(m.messages, m.failures, m.grants, m.declined, m.takeovers, m.live, m.pools)
	}
	return m
}

// CountBytes exports the bytes of all control connections of a process.
func CountBytes(registry *prometheus.Registry, counter *dialer.Counter) {
	registry.MustRegister(
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "shallotkeel_control_sent_bytes_total",
			Help: "Bytes sent on control connections, HTTP/2 framing included.",
		}, func() float64 { return float64(counter.Sent.Load()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "shallotkeel_control_received_bytes_total",
			Help: "Bytes received on control connections, HTTP/2 framing included.",
		}, func() float64 { return float64(counter.Received.Load()) }),
	)
}
