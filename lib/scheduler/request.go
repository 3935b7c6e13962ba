package scheduler

import "time"

// request is one ticket, waiting or running.
type request struct {
	seq           uint64
	router        *router
	lane          *lane
	previous      *request
	next          *request
	arrivalNumber uint64 // position in the order of arrival at this pool
	arrived       time.Time
	hint          uint32
	prompt        uint32
	prefix        uint64

	running        bool
	granted        time.Time
	confirmed      bool       // the router has confirmed that the request runs
	windowFull     bool       // the grant took the endpoint's last free slot
	endpoint       *endpoint  // nil if it runs in a borrowed slot or its endpoint is unknown
	target         string     // endpoint ID
	borrowing      *borrowing // borrowed slot in which it runs, nil if none
	slotReusable   bool       // its ending allows reuse of its borrowed slot
	estimate       uint64     // units reserved at dispatch, including the prompt
	used           uint64     // units charged so far, including the prompt
	inheritedUnits uint64     // units that another scheduler charged
	reportNumber   uint64     // number of the last report that listed it
}

// reserved returns the uncharged part of the estimate, in units.
func (r *request) reserved() uint64 {
	if !r.running || r.used >= r.estimate {
		return 0
	}
	return r.estimate - r.used
}

func (r *request) id() RequestID {
	return RequestID{Router: r.router.id, Seq: r.seq}
}

// router is one incarnation of a router as known to this pool.
type router struct {
	id           RouterID
	reportedFull bool // a full report has been received
	gone         bool
	lastSeen     time.Time
	requests     map[uint64]*request
}
