package server

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"shallotkeel.example/lib/lister"
	"shallotkeel.example/lib/replicator"
)

// metrics exports the metrics of a keeper. Most of them are read from the view that the
// control loop publishes, so that no figure is counted in two places.
type metrics struct {
	registry *prometheus.Registry
	unusable *prometheus.CounterVec // heartbeats without a usable endpoint, by reason
	traffic  traffic
}

// newMetrics registers the metrics of a keeper.
func newMetrics(s *Server) *metrics {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	gauge := func(name, help string, read func(*view) float64) {
		registry.MustRegister(prometheus.NewGaugeFunc(
			prometheus.GaugeOpts{Namespace: "keeper", Name: name, Help: help},
			func() float64 { return read(s.view.Load()) }))
	}
	counter := func(name, help string, read func(*view) float64) {
		registry.MustRegister(prometheus.NewCounterFunc(
			prometheus.CounterOpts{Namespace: "keeper", Name: name, Help: help},
			func() float64 { return read(s.view.Load()) }))
	}
	gauge("leader", "1 while this keeper leads.", func(v *view) float64 { return boolToFloat(v.status.State == replicator.Leader) })
	gauge("quorum", "1 while this keeper has contact with a quorum.", func(v *view) float64 { return boolToFloat(v.status.Quorum) })
	gauge("disk_full", "1 while a full disk keeps this keeper out of the group.", func(v *view) float64 { return boolToFloat(v.diskFull) })
	gauge("late_seconds", "Mean time for which what is due waits; a late keeper holds polls for longer.", func(*view) float64 { return s.pacer.Lateness().Seconds() })
	gauge("term", "Term of the agreement.", func(v *view) float64 { return float64(v.status.Term) })
	gauge("commit_index", "Highest log entry known to be committed.", func(v *view) float64 { return float64(v.status.Commit) })
	gauge("applied_index", "Highest log entry applied.", func(v *view) float64 { return float64(v.appliedIndex) })
	gauge("revision", "Revision of the configuration.", func(v *view) float64 { return float64(v.revision) })
	gauge("evacuated_zones", "Zones whose endpoints get no new work.", func(v *view) float64 { return float64(len(v.evacuations.Zones)) })
	gauge("quarantined_features", "Features that are quarantined because endpoints crash under requests that have them.", func(*view) float64 { return float64(s.directory.crashCounts().quarantined) })
	gauge("suspect_features", "Features about whose answers routers are asked.", func(*view) float64 { return float64(s.directory.crashCounts().suspects) })
	gauge("known_crashes", "Lifetimes of endpoints that have crashed, as far as this keeper remembers them.", func(*view) float64 { return float64(s.directory.crashCounts().known) })
	counter("quarantines_begun_total", "Quarantines that this keeper has begun.", func(*view) float64 { return float64(s.directory.crashCounts().begun) })
	counter("quarantines_lifted_total", "Quarantines that this keeper has lifted, because requests were answered.", func(*view) float64 { return float64(s.directory.crashCounts().lifted) })
	gauge("known_prefixes", "Shared prompt prefixes at engines that routers have recently reported.", func(*view) float64 { return float64(s.directory.holdingsCount(s.clock.Now())) })
	gauge("claims", "Idempotency keys remembered.", func(v *view) float64 { return float64(v.claims) })
	gauge("log_bytes", "Size of the log on disk.", func(v *view) float64 { return float64(v.diskBytes) })
	counter("syncs_total", "Batches made durable.", func(v *view) float64 { return float64(v.counters.Syncs) })
	counter("entries_total", "Log entries made durable.", func(v *view) float64 { return float64(v.counters.Entries) })
	counter("commands_total", "Commands applied.", func(v *view) float64 { return float64(v.counters.Applied) })
	counter("snapshots_total", "Snapshots taken.", func(v *view) float64 { return float64(v.counters.Snapshots) })
	counter("messages_dropped_total", "Messages of the agreement that were not delivered.", func(v *view) float64 { return float64(v.droppedMessages) })
	counter("control_sent_bytes_total", "Bytes sent on control connections.", func(*view) float64 { return float64(s.traffic.Sent.Load()) })
	counter("control_received_bytes_total", "Bytes received on control connections.", func(*view) float64 { return float64(s.traffic.Received.Load()) })
	counter("unconfirmed_departures_total", "Announcements of endpoints that leave which were not acknowledged, because no quorum of keepers stored them in time.", func(*view) float64 { return float64(s.unconfirmedDepartures.Load()) })
	counter("failed_calls_total", "Calls of routers and keepers that failed at this keeper, such as answers that could not be encoded.", func(*view) float64 { return float64(s.failedCalls.Load()) })
	counters := func(name, help, label string) *prometheus.CounterVec {
		vector := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "keeper", Name: name, Help: help}, []string{label})
		registry.MustRegister(vector)
		return vector
	}
	unusable := counters("unusable_heartbeats_total", "Heartbeats that name no endpoint to use, by what is at fault.", "reason")
	for _, reason := range lister.Reasons {
		unusable.WithLabelValues(string(reason)) // exported from the start: a rate needs an initial 0
	}
	calls := traffic{
		calls:   counters("calls_total", "Calls answered, by kind.", "kind"),
		read:    counters("call_read_bytes_total", "Bytes of the bodies of calls, by kind.", "kind"),
		written: counters("call_written_bytes_total", "Bytes of the bodies of answers, by kind.", "kind"),
	}
	for _, kind := range kinds {
		for _, vector := range []*prometheus.CounterVec{calls.calls, calls.read, calls.written} {
			vector.WithLabelValues(kind)
		}
	}
	return &metrics{registry: registry, unusable: unusable, traffic: calls}
}

// boolToFloat returns 1 for true and 0 for false.
func boolToFloat(value bool) float64 {
	if value {
		return 1
	}
	return 0
}
