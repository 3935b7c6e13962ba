package lessor

import (
	"time"

	"shallotkeel.example/lib/messenger"
)

const (
	// Term is how long a lease lasts after it was granted or renewed.
	Term = 15 * time.Second
	// Drift is added to a wait for the end of a lease: clocks of two instances
	// may run at slightly different rates.
	Drift = time.Second
	// Retry is how long to wait while a grant is on its way.
	Retry = 200 * time.Millisecond
	// MaxLoads bounds the permits of one answer.
	MaxLoads = 16
)

// Ask is one request for a lease.
type Ask struct {
	Pool   Pool
	Holder string
	Fence  uint64  // the number that the holder has, 0 if none
	Loads  int     // permits asked for
	Rate   float64 // loads per minute of the pool's service
}

// Answer tells what became of a request. With Propose set it has to be
// replicated first, and Granted tells the answer then.
type Answer struct {
	Fence   uint64 // 0: not granted
	Lease   time.Duration
	Permits int
	HeldBy  string
	Propose *messenger.LeaseGrant
}

// Desk is the leader's memory. The zero value knows nothing. It is not safe for
// concurrent use.
type Desk struct {
	term    uint64
	since   time.Time          // when this leadership first answered
	until   map[Pool]time.Time // when the lease of the Table's holder is over
	pending map[Pool]bool      // a grant is on its way through the log
	buckets map[string]*bucket // by service
}

// Ask answers a request as the leader of a term that has applied everything
// which earlier leaders committed, and whose own lease is valid now.
func (d *Desk) Ask(now time.Time, term uint64, table *Table, ask Ask) Answer {
	if d.term != term || d.until == nil {
		*d = Desk{
			term: term, since: now,
			until: make(map[Pool]time.Time), pending: make(map[Pool]bool), buckets: make(map[string]*bucket),
		}
	}
	held := table.Grant(ask.Pool)
	switch {
	case d.pending[ask.Pool]:
		return Answer{Lease: Retry}
	case ask.Fence != 0 && ask.Fence != held.Fence:
		// A renewal that was delayed until others held the lease takes nothing anew.
		return Answer{HeldBy: held.Holder, Lease: Retry}
	case held.Holder == ask.Holder && held.Fence > 0:
		return d.renew(now, held, ask)
	case held.Fence > 0 && now.Before(d.free(ask.Pool)):
		return Answer{HeldBy: held.Holder, Lease: d.free(ask.Pool).Sub(now)}
	case table.Full(ask.Pool):
		return Answer{HeldBy: "nobody: too many pools have leases"}
	}
	d.pending[ask.Pool] = true
	return Answer{Propose: &messenger.LeaseGrant{Pool: ask.Pool.wire(), Holder: ask.Holder, After: held.Fence}}
}

// free is when nobody can believe any more that the lease is his.
func (d *Desk) free(pool Pool) time.Time {
	until, known := d.until[pool]
	if !known {
		until = d.since.Add(Term)
	}
	return until.Add(Drift)
}

func (d *Desk) renew(now time.Time, held Grant, ask Ask) Answer {
	d.until[ask.Pool] = now.Add(Term)
	return Answer{Fence: held.Fence, Lease: Term, Permits: d.permits(now, ask)}
}

// Granted tells what became of a proposal of that term.
func (d *Desk) Granted(now time.Time, term uint64, table *Table, ask Ask, failed bool) Answer {
	if d.term != term {
		return Answer{Lease: Retry}
	}
	delete(d.pending, ask.Pool)
	held := table.Grant(ask.Pool)
	if failed || held.Holder != ask.Holder {
		return Answer{HeldBy: held.Holder, Lease: Retry}
	}
	return d.renew(now, held, ask)
}

// permits takes permits from the service's bucket.
func (d *Desk) permits(now time.Time, ask Ask) int {
	if ask.Loads <= 0 || ask.Rate <= 0 {
		return 0
	}
	known := d.buckets[ask.Pool.Service]
	if known == nil {
		known = &bucket{filled: now}
		d.buckets[ask.Pool.Service] = known
	}
	return known.take(now, ask.Rate, min(ask.Loads, MaxLoads))
}
