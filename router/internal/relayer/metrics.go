package relayer

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"shallotkeel.example/lib/tracker"
)

// metrics are the Relayer's metrics. No label holds a workspace, service, model or endpoint, whose
// numbers grow with the deployment: the series are limited to 3 kinds x 3 outcomes x 17 codes, of
// which about thirty occur, and to the reasons declared in this package.
type metrics struct {
	requests   *prometheus.CounterVec
	firstToken prometheus.Histogram
	duration   *prometheus.HistogramVec
	tokens     prometheus.Counter
	retries    *prometheus.CounterVec
	resumes    prometheus.Counter
	dropped    *prometheus.CounterVec
	quarantine prometheus.Counter
}

// Reasons of a retry: values of the metrics' label reason.
const (
	retryUnreachable = "unreachable"
	retryNotStarted  = "not_started"
	retryBroken      = "broken"
)

// latencyBuckets are in seconds. They range from a network hop within a zone to the request timeout,
// and include the latency targets of the first token, 0.98 s, and of each further token, 48 ms, as
// bounds.
var latencyBuckets = []float64{.005, .01, .02, .048, .1, .2, .4, .7, .98, 1.5, 2.5, 5, 10, 30, 60, 120}

// newMetrics returns the metrics of a Relayer and registers them, unless the registry is nil.
func newMetrics(registry *prometheus.Registry, r *Relayer) *metrics {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "shallotkeel_requests_total", Help: "Requests of callers that have ended, by kind, outcome and code.",
		}, []string{"kind", "outcome", "code"}),
		firstToken: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "shallotkeel_first_token_seconds", Help: "Time from a chat request's arrival to its first token.",
			Buckets: latencyBuckets,
		}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "shallotkeel_request_seconds", Help: "Time from a request's arrival to its ending.",
			Buckets: latencyBuckets,
		}, []string{"kind"}),
		tokens: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "shallotkeel_tokens_total", Help: "Tokens relayed to callers.",
		}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "shallotkeel_retries_total", Help: "Requests sent to another endpoint, by what happened at the last one.",
		}, []string{"reason"}),
		resumes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "shallotkeel_resumes_total", Help: "Answers continued at another endpoint from the token where they broke.",
		}),
		dropped: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "shallotkeel_events_dropped_total", Help: "Events of endpoints that belonged to no answer, by reason.",
		}, []string{"reason"}),
		quarantine: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "shallotkeel_quarantined_total", Help: "Fingerprints that this router has put into quarantine.",
		}),
	}
	if registry == nil {
		return m
	}
	registry.MustRegister(m.requests, m.firstToken, m.duration, m.tokens, m.retries, m.resumes, m.dropped, m.quarantine,
		gauge("shallotkeel_waiting_requests", "Requests that wait for their first slot.", r.queue.waiting),
		gauge("shallotkeel_requests_in_progress", "Requests of callers in progress.", r.drain.count),
		gauge("shallotkeel_suspects", "Fingerprints suspected of crashing endpoints.", r.crashGuard.suspects),
		gauge("shallotkeel_quarantined_features", "Texts of prompts and requests that are refused because endpoints crash under them.", r.options.Crashes.QuarantineCount),
		gauge("shallotkeel_held_bytes", "Memory that the bodies of requests take.", r.bodyMemory.reservedBytes),
	)
	return m
}

// gauge returns a gauge that reads its value when it is collected.
func gauge[T int | int64](name, help string, value func() T) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 { return float64(value()) })
}

// observe counts a request that has ended and records its duration.
func (m *metrics) observe(q *request, action tracker.Action, duration time.Duration) {
	m.requests.WithLabelValues(q.kind, string(action.Outcome), string(action.Code)).Inc()
	m.duration.WithLabelValues(q.kind).Observe(duration.Seconds())
}
