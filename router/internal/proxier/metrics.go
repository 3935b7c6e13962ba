package proxier

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"shallotkeel.example/lib/framer"
)

// Metrics counts requests, refusals and sends, and measures durations. A nil *Metrics counts nothing.
type Metrics struct {
	requests    *prometheus.CounterVec
	refusals    *prometheus.CounterVec
	sends       prometheus.Counter
	unframed    prometheus.Counter
	cuts        *prometheus.CounterVec
	parts       *prometheus.CounterVec
	broken      *prometheus.CounterVec
	crashes     prometheus.Counter
	fetches     prometheus.Counter
	fetchTokens prometheus.Counter
	timeToFirst prometheus.Histogram
	duration    prometheus.Histogram
	firstError  prometheus.Histogram
	listAge     prometheus.Histogram
}

// NewMetrics registers the proxier's metrics.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "shallotkeel_passed_requests_total", Help: "Requests by the status that their client got; 0 is none.",
		}, []string{"status"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "shallotkeel_passed_refusals_total", Help: "Requests that were refused, by what refused them.",
		}, []string{"by"}),
		sends: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "shallotkeel_passed_sends_total", Help: "Requests written to endpoints, repeats included.",
		}),
		unframed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "shallotkeel_passed_unframed_total", Help: "Requests whose last answer ended with its endpoint's connection.",
		}),
		cuts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "shallotkeel_passed_cuts_total", Help: "Clients' connections that were closed without a complete answer, by what ended it.",
		}, []string{"by"}),
		parts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "shallotkeel_passed_parts_total", Help: "Answers of endpoints behind events that the client has, by who resumed the stream and how they continue it.",
		}, []string{"by", "result"}),
		broken: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "shallotkeel_passed_broken_total", Help: "Answers that endpoints broke off, by their framing and the place; no framing is known of those that broke in their head.",
		}, []string{"framing", "place"}),
		crashes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "shallotkeel_passed_crashes_total", Help: "Endpoints that were found to have crashed under requests of this router.",
		}),
		fetches: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "shallotkeel_passed_fetches_total", Help: "Requests written to engines that are to fetch a prefix of the prompt from another engine.",
		}),
		fetchTokens: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "shallotkeel_passed_fetch_tokens_total", Help: "Prompt tokens that engines are expected to fetch from one another.",
		}),
		timeToFirst: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "shallotkeel_passed_first_seconds", Help: "Time until the first part of an answer.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 12),
		}),
		duration: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "shallotkeel_passed_whole_seconds", Help: "Time until the end of an answer.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 13),
		}),
		firstError: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "shallotkeel_passed_first_error_seconds", Help: "Observed minus expected time until an engine's first token.",
			Buckets: []float64{-0.8, -0.4, -0.2, -0.1, -0.05, -0.025, 0, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8},
		}),
		listAge: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "shallotkeel_passed_list_age_seconds", Help: "Time since a keeper last told this router of changes of endpoints, at each send.",
			Buckets: prometheus.ExponentialBuckets(0.05, 2, 9),
		}),
	}
	registry.MustRegister(m.requests, m.refusals, m.sends, m.unframed, m.cuts, m.parts, m.broken, m.crashes, m.fetches, m.fetchTokens, m.timeToFirst, m.duration, m.firstError, m.listAge)
	return m
}

func (m *Metrics) observe(q *request, took time.Duration) {
	if m == nil {
		return
	}
	m.requests.WithLabelValues(strconv.Itoa(q.status)).Inc()
	if q.refusedBy != notRefused {
		m.refusals.WithLabelValues(refusalLabels[q.refusedBy]).Inc()
	}
	m.sends.Add(float64(q.sends))
	if q.framing == framer.ByConnection {
		m.unframed.Inc()
	}
	if q.cutBy != notCut {
		m.cuts.WithLabelValues(cutLabels[q.cutBy]).Inc()
	}
	if q.timeToFirst > 0 {
		m.timeToFirst.Observe(q.timeToFirst.Seconds())
	}
	m.duration.Observe(took.Seconds())
}

func (m *Metrics) observeFirstError(deviation time.Duration) {
	if m != nil {
		m.firstError.Observe(deviation.Seconds())
	}
}

func (m *Metrics) observeListAge(age time.Duration) {
	if m != nil {
		m.listAge.Observe(age.Seconds())
	}
}

func (m *Metrics) countCrash() {
	if m != nil {
		m.crashes.Inc()
	}
}

func (m *Metrics) countPart(byClient bool, result partResult) {
	if m == nil {
		return
	}
	by := "router"
	if byClient {
		by = "client"
	}
	m.parts.WithLabelValues(by, partLabels[result]).Inc()
}

func (m *Metrics) countBroken(framing framer.Framing, at place) {
	if m != nil {
		m.broken.WithLabelValues(framing.String(), placeLabels[at]).Inc()
	}
}
