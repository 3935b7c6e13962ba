package lessor

import (
	"time"

	"shallotkeel.example/lib/messenger"
)

const (
	// LeaseDuration is how long a lease lasts after it is granted or renewed.
	LeaseDuration = 15 * time.Second
	// ClockDrift is added to the wait for the expiry of a lease, because the clocks of
	// two instances may run at slightly different rates.
	ClockDrift = time.Second
	// RetryDelay is how long a scheduler waits before it retries while a grant is pending.
	RetryDelay = 200 * time.Millisecond
	// MaxLoads bounds the load permits in one answer.
	MaxLoads = 16
)

// Request is a scheduler's request for a lease, and for permits to load models.
type Request struct {
	Pool   Pool
	Holder string
	Fence  uint64  // the holder's fencing number, 0 if it has none
	Loads  int     // requested load permits
	Rate   float64 // maximum loads per minute of the pool's service
}

// Answer is the answer to a request. If Propose is set, the caller replicates that
// grant first, and Complete returns the answer afterwards.
type Answer struct {
	Fence   uint64        // fencing number, 0 if the lease is not granted
	Lease   time.Duration // if granted, how long the lease lasts, otherwise the wait before a retry
	Permits int           // loads that may begin now
	HeldBy  string        // if not granted, the present holder or a reason
	Propose *messenger.LeaseGrant
}

// Granter is the state that only the leader keeps in memory: lease expiries, pending
// grants and load permits. The zero value is ready for use. It is not safe for concurrent
// use.
type Granter struct {
	term     uint64
	since    time.Time          // when this leader handled its first request of the term
	expiries map[Pool]time.Time // when the lease of the holder in the Table expires
	pending  map[Pool]bool      // pools with a proposed grant that is not committed yet
	buckets  map[string]*bucket // by service
}

// Handle answers a request. The caller must be the leader of the term, have applied all
// entries that earlier leaders committed, and hold a valid leader lease.
func (g *Granter) Handle(now time.Time, term uint64, table *Table, request Request) Answer {
	if g.term != term || g.expiries == nil {
		*g = Granter{
			term: term, since: now,
			expiries: make(map[Pool]time.Time), pending: make(map[Pool]bool), buckets: make(map[string]*bucket),
		}
	}
	held := table.Grant(request.Pool)
	switch {
	case g.pending[request.Pool]:
		return Answer{Lease: RetryDelay}
	case request.Fence != 0 && request.Fence != held.Fence:
		// A renewal that arrives after another holder got the lease must not acquire it anew.
		return Answer{HeldBy: held.Holder, Lease: RetryDelay}
	case held.Holder == request.Holder && held.Fence > 0:
		return g.renew(now, held, request)
	case held.Fence > 0 && now.Before(g.freeAt(request.Pool)):
		return Answer{HeldBy: held.Holder, Lease: g.freeAt(request.Pool).Sub(now)}
	case table.Full(request.Pool):
		return Answer{HeldBy: "nobody: too many pools have leases"}
	}
	g.pending[request.Pool] = true
	return Answer{Propose: &messenger.LeaseGrant{Pool: request.Pool.wire(), Holder: request.Holder, After: held.Fence}}
}

// freeAt returns the time from which no holder can consider the lease valid any more. If the
// expiry is unknown, the holder may have renewed just before this leader's first request.
func (g *Granter) freeAt(pool Pool) time.Time {
	until, known := g.expiries[pool]
	if !known {
		until = g.since.Add(LeaseDuration)
	}
	return until.Add(ClockDrift)
}

// renew extends the lease of the present holder.
func (g *Granter) renew(now time.Time, held Grant, request Request) Answer {
	g.expiries[request.Pool] = now.Add(LeaseDuration)
	return Answer{Fence: held.Fence, Lease: LeaseDuration, Permits: g.permits(now, request)}
}

// Complete answers a request whose grant was proposed in a term, after the grant was applied or
// failed.
func (g *Granter) Complete(now time.Time, term uint64, table *Table, request Request, failed bool) Answer {
	if g.term != term {
		return Answer{Lease: RetryDelay}
	}
	delete(g.pending, request.Pool)
	held := table.Grant(request.Pool)
	if failed || held.Holder != request.Holder {
		return Answer{HeldBy: held.Holder, Lease: RetryDelay}
	}
	return g.renew(now, held, request)
}

// permits takes load permits from the bucket of the service.
func (g *Granter) permits(now time.Time, request Request) int {
	if request.Loads <= 0 || request.Rate <= 0 {
		return 0
	}
	known := g.buckets[request.Pool.Service]
	if known == nil {
		known = &bucket{filled: now}
		g.buckets[request.Pool.Service] = known
	}
	return known.take(now, request.Rate, min(request.Loads, MaxLoads))
}
