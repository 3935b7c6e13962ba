package director

import (
	"time"

	"shallotkeel.example/router/internal/screener"
)

// pressureSpan is the minimum time that a log line on pressure covers.
const pressureSpan = time.Second

// counts is a snapshot of cumulative counters.
type counts struct {
	capacityRefusals uint64        // requests refused for lack of capacity
	received         uint64        // requests that the HTTP server received
	connections      uint64        // connections that the HTTP server accepted
	screened         uint64        // requests refused before the HTTP server accepted their connections
	abandoned        uint64        // connections whose clients had closed them before their request was judged
	closedUnread     uint64        // connections closed unread
	processorTime    time.Duration // processor time of the process
}

// since returns the increase since an earlier snapshot.
func (c counts) since(before counts) counts {
	return counts{
		capacityRefusals: c.capacityRefusals - before.capacityRefusals, received: c.received - before.received, connections: c.connections - before.connections,
		screened: c.screened - before.screened, abandoned: c.abandoned - before.abandoned, closedUnread: c.closedUnread - before.closedUnread, processorTime: c.processorTime - before.processorTime,
	}
}

// pressure finds the spans in which the router refuses requests for lack of capacity. A log line for
// each gives the basis of the refusals: the lateness, the permitted start rate, and what became of the
// connections that arrived. Log lines of single requests, which are damped in a flood, do not
// distinguish a router that does too little from one that receives too much. The zero value is ready
// to use.
type pressure struct {
	spanStart   time.Time
	startCounts counts
}

// sample takes the current counters. If a span has ended in which requests were refused for lack of
// capacity, it returns the span's length and the increase of the counters, with pressed set.
func (p *pressure) sample(now time.Time, current counts) (span time.Duration, increase counts, pressed bool) {
	if p.spanStart.IsZero() {
		p.spanStart, p.startCounts = now, current
	}
	span = now.Sub(p.spanStart)
	if span < pressureSpan {
		return 0, counts{}, false
	}
	increase = current.since(p.startCounts)
	p.spanStart, p.startCounts = now, current
	return span, increase, increase.capacityRefusals > 0
}

// counts returns the current counters.
func (d *Director) counts() counts {
	return counts{
		capacityRefusals: d.proxier.RefusedForCapacity(),
		received:         d.proxier.Received(),
		connections:      d.clientConnections.total(),
		screened:         d.screenerCounter((*screener.Listener).Refused)(),
		abandoned:        d.screenerCounter((*screener.Listener).Abandoned)(),
		closedUnread:     d.screenerCounter((*screener.Listener).ClosedUnread)(),
		processorTime:    d.processorTime(),
	}
}

// logPressure logs the router's load while it refuses requests for lack of capacity.
func (d *Director) logPressure() {
	span, increase, pressed := d.pressure.sample(d.clock.Now(), d.counts())
	if !pressed {
		return
	}
	open, busy := d.clientConnections.counts()
	waiting := 0
	if screened := d.screened.Load(); screened != nil {
		waiting = screened.Waiting()
	}
	d.log.Info().Dur("late_ms", d.pacer.Lateness()).Float64("starts", d.pacer.Starts.Value()).Float64("entries", d.pacer.Entries.Value()).
		Int("running", d.proxier.Running()).Int("open", open).Int("busy", busy).Int("waiting", waiting).
		Dur("span_ms", span).Uint64("refused", increase.capacityRefusals).Uint64("taken", increase.received).Uint64("connections", increase.connections).
		Uint64("screened", increase.screened).Uint64("left", increase.abandoned).Uint64("unread", increase.closedUnread).
		Dur("processor_ms", increase.processorTime).Msg("under pressure")
}
