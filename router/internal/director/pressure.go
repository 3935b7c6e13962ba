package director

import (
	"time"

	"shallotkeel.example/router/internal/screener"
)

// pressureSpan is how much time a line on pressure covers.
const pressureSpan = time.Second

// counts are figures that only rise.
type counts struct {
	full    uint64        // requests that were refused for want of room
	taken   uint64        // requests that the server took
	made    uint64        // connections that the server took
	refused uint64        // requests that were refused before the server took them
	left    uint64        // connections whose clients had left before their request was judged
	unread  uint64        // connections that were closed unread
	used    time.Duration // processor time
}

// since returns what has come since other figures.
func (c counts) since(before counts) counts {
	return counts{
		full: c.full - before.full, taken: c.taken - before.taken, made: c.made - before.made,
		refused: c.refused - before.refused, left: c.left - before.left, unread: c.unread - before.unread, used: c.used - before.used,
	}
}

// pressure finds the spans in which a router refuses for want of room. A line for each tells
// what that rests on: its lateness, the starts it allows itself, and what became of the
// connections that came. Lines of single requests do not tell a router that does too little
// from one that gets too much: in a flood they are damped. Its zero value has seen nothing.
type pressure struct {
	at     time.Time
	before counts
}

// look takes the figures of now. If a span is over in which requests were refused, it returns
// how long that was and what came in it.
func (p *pressure) look(now time.Time, seen counts) (span time.Duration, came counts, pressed bool) {
	if p.at.IsZero() {
		p.at, p.before = now, seen
	}
	span = now.Sub(p.at)
	if span < pressureSpan {
		return 0, counts{}, false
	}
	came = seen.since(p.before)
	p.at, p.before = now, seen
	return span, came, came.full > 0
}

// counts returns what has come so far.
func (d *Director) counts() counts {
	return counts{
		full:    d.passer.RefusedForCapacity(),
		taken:   d.passer.Received(),
		made:    d.connected.total(),
		refused: d.screener((*screener.Listener).Refused)(),
		left:    d.screener((*screener.Listener).Left)(),
		unread:  d.screener((*screener.Listener).Unread)(),
		used:    d.used(),
	}
}

// tellPressure writes what the router does while it refuses requests for want of room.
func (d *Director) tellPressure() {
	span, came, pressed := d.pressure.look(d.clock.Now(), d.counts())
	if !pressed {
		return
	}
	open, busy := d.connected.counts()
	waiting := 0
	if screened := d.screened.Load(); screened != nil {
		waiting = screened.Waiting()
	}
	d.log.Info().Dur("late_ms", d.pacer.Lateness()).Float64("starts", d.pacer.Starts.Value()).Float64("entries", d.pacer.Entries.Value()).
		Int("running", d.passer.Running()).Int("open", open).Int("busy", busy).Int("waiting", waiting).
		Dur("span_ms", span).Uint64("refused", came.full).Uint64("taken", came.taken).Uint64("connections", came.made).
		Uint64("screened", came.refused).Uint64("left", came.left).Uint64("unread", came.unread).
		Dur("processor_ms", came.used).Msg("under pressure")
}
