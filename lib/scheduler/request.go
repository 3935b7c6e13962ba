package scheduler

import "time"

// request is one ticket, waiting or running.
type request struct {
	seq      uint64
	router   *router
	lane     *lane
	previous *request
	next     *request
	order    uint64 // of arrival at this pool
	arrived  time.Time
	hint     uint32
	prompt   uint32
	prefix   uint64

	running  bool
	granted  time.Time
	heard    bool      // its router has confirmed that it runs
	full     bool      // the window was the limit when it was granted
	endpoint *endpoint // nil with a loan, or while the endpoint is not known
	target   string    // endpoint id
	loan     *borrowing
	well     bool   // it ended so that its borrowed slot may be used again
	estimate uint64 // units reserved at dispatch, prompt included
	used     uint64 // units charged so far, prompt included
	baseline uint64 // units that another scheduler charged
	mark     uint64 // of the last full report that listed it
}

// reserved is what is left of the estimate, in units.
func (r *request) reserved() uint64 {
	if !r.running || r.used >= r.estimate {
		return 0
	}
	return r.estimate - r.used
}

func (r *request) id() RequestID {
	return RequestID{Router: r.router.id, Seq: r.seq}
}

// router is one life of a router as this pool knows it.
type router struct {
	id       RouterID
	known    bool // a full report has come
	gone     bool
	heard    time.Time
	requests map[uint64]*request
}
