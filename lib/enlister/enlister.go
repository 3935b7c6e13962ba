// Package enlister implements the protocol between a router with waiting requests
// and the scheduler of their pool: an Enlister at the router, and a Registrar
// around the scheduler.Pool at the scheduler.
//
// A router enrols with a full batch, which lists all its waiting and running
// requests, and then sends changes in numbered batches with one call in flight at
// a time; changes that happen during a call go into the next batch. A batch whose
// response is lost is sent again unchanged, and the registrar answers a repeat with
// the stored response. Grants arrive in the response to a batch, where a repeat
// returns them again, or in a separately numbered grant call when another router's
// batch made them possible.
//
// Invariants, under calls that are lost, repeated, late and out of order, and
// restarts of either end:
//   - a waiting request is reported to the scheduler until it is granted, refused
//     or withdrawn; state that either end lost is restored by a full batch;
//   - a full batch overrides all earlier grants: the router ignores a grant that
//     refers to an older full batch, and the registrar drops the grants that the
//     batch does not list;
//   - a request is granted once at its router; a second grant is declined;
//   - memory is bounded by the router's requests, one unanswered batch in each
//     direction and the name tables of each session.
package enlister

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"shallotkeel.example/lib/interner"
	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/scheduler"
)

// Times of the protocol.
const (
	// ProgressInterval is the interval at which the service units used by running
	// requests are reported.
	ProgressInterval = time.Second
	// refreshInterval is the interval at which a router with requests sends a batch
	// even without changes. A scheduler that wrongly declared the router dead has
	// dropped its requests, and the router learns of that only from a response.
	refreshInterval = time.Second
	// minBackoff and maxBackoff bound the delay before a call is retried.
	minBackoff = 25 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
)

// Outcome is the result of a waiting request: a Granted or a Refused.
type Outcome interface{ outcome() }

// Granted reports that a request may be sent to an endpoint now.
type Granted struct {
	Seq         uint64
	Endpoint    string
	Incarnation uint64
	Address     netip.AddrPort
}

// Refused reports that a request will not be granted. Retry is the delay after
// which the caller may try again.
type Refused struct {
	Seq    uint64
	Reason string
	Retry  time.Duration
}

func (Granted) outcome() {}
func (Refused) outcome() {}

// entry is one request of the router, waiting or running.
type entry struct {
	ticket   scheduler.Ticket
	addedAt  time.Time
	running  bool
	endpoint string
	charged  uint32 // service units used so far
}

// Enlister is a router's end of the protocol for one pool. It is not safe for
// concurrent use.
type Enlister struct {
	Zone    string
	Service string
	Router  scheduler.RouterID

	entries        map[uint64]*entry
	waiting        int                // entries without a slot
	unsentTickets  []uint64           // tickets not yet in a batch
	finished       []scheduler.Finish // endings not yet in a batch
	unsentProgress map[uint64]bool    // running entries with unreported progress

	enrolled     bool   // a full batch was answered and the session has not ended since
	scheduler    uint64 // incarnation of the scheduler, 0 before the first response
	session      uint32
	lastBatch    uint64                     // number of the last batch
	fullBatch    uint64                     // number of the last full batch
	batch        *messenger.ExchangeRequest // unanswered, nil if none
	calling      bool                       // batch is in flight
	retryAt      time.Time
	backoff      time.Duration
	lastSent     time.Time
	lastProgress time.Time

	writer        interner.Writer
	answerNames   interner.Reader // names in responses to batches
	callNames     interner.Reader // names in grant calls
	lastGrantCall uint64
	grantReply    *messenger.GrantResponse // to the last grant call, for repeats
}

// Waiting returns the number of requests that wait for a grant.
func (e *Enlister) Waiting() int {
	return e.waiting
}

// Running returns the number of requests that hold a slot.
func (e *Enlister) Running() int {
	return len(e.entries) - e.waiting
}

// EndingsDelivered reports whether the scheduler has received every ending.
func (e *Enlister) EndingsDelivered() bool {
	return len(e.finished) == 0 && (e.batch == nil || len(e.batch.GetFinished()) == 0)
}

// Scheduler returns the incarnation of the scheduler with which this router is
// enrolled, or 0 if there is none.
func (e *Enlister) Scheduler() uint64 {
	return e.scheduler
}

// Add adds a waiting request. Its Seq must be unique within this incarnation of the
// router.
func (e *Enlister) Add(now time.Time, ticket scheduler.Ticket) {
	if e.entries == nil {
		e.entries = make(map[uint64]*entry)
		e.unsentProgress = make(map[uint64]bool)
	}
	e.entries[ticket.Seq] = &entry{ticket: ticket, addedAt: now}
	e.unsentTickets = append(e.unsentTickets, ticket.Seq)
	e.waiting++
}

// Progress records the total of service units that a running request has used.
func (e *Enlister) Progress(seq uint64, charged uint32) {
	if r := e.entries[seq]; r != nil && r.running && charged > r.charged {
		r.charged = charged
		e.unsentProgress[seq] = true
	}
}

// Finish ends a waiting or running request. Later calls for it have no effect.
func (e *Enlister) Finish(finish scheduler.Finish) {
	r := e.entries[finish.Seq]
	if r == nil {
		return
	}
	delete(e.entries, finish.Seq)
	delete(e.unsentProgress, finish.Seq)
	if !r.running {
		e.waiting--
	}
	if at := slices.Index(e.unsentTickets, finish.Seq); at >= 0 {
		e.unsentTickets = slices.Delete(e.unsentTickets, at, at+1)
		return
	}
	e.finished = append(e.finished, finish)
}

// Restart drops the session and enrols again at once, because another router has
// become the pool's scheduler.
func (e *Enlister) Restart(now time.Time) {
	e.scheduler = 0
	e.endSession(now)
	e.backoff = 0
	e.retryAt = now
}

// endSession drops the session, so that the next batch is a full one, sent after the
// backoff.
func (e *Enlister) endSession(now time.Time) {
	e.enrolled = false
	e.batch = nil
	e.calling = false
	e.retryAt = now.Add(e.backoff)
	e.backoff = min(max(minBackoff, 2*e.backoff), maxBackoff)
}

// Next returns the batch to send now, or nil. The caller sends it to the pool's
// scheduler and reports the result with Answered or Failed and the batch's number.
func (e *Enlister) Next(now time.Time) *messenger.ExchangeRequest {
	if e.calling || now.Before(e.retryAt) {
		return nil
	}
	if e.batch == nil {
		e.batch = e.compose(now)
	}
	if e.batch == nil {
		return nil
	}
	e.calling = true
	e.lastSent = now
	return e.batch
}

// NextWake returns the earliest time at which Next may return a batch without any
// further event, or the zero time if there is none.
func (e *Enlister) NextWake() time.Time {
	switch {
	case e.calling:
		return time.Time{}
	case e.batch != nil || (!e.enrolled && len(e.entries) > 0):
		return e.retryAt
	case len(e.unsentProgress) > 0 && e.lastProgress.Add(ProgressInterval).Before(e.lastSent.Add(refreshInterval)):
		return e.lastProgress.Add(ProgressInterval)
	case len(e.entries) > 0:
		return e.lastSent.Add(refreshInterval)
	default:
		return time.Time{}
	}
}

// compose builds the next batch, or returns nil if there is nothing to send.
func (e *Enlister) compose(now time.Time) *messenger.ExchangeRequest {
	if !e.enrolled || e.writer.Len() > maxNames/2 {
		return e.composeFull(now)
	}
	progress := len(e.unsentProgress) > 0 && now.Sub(e.lastProgress) >= ProgressInterval
	refresh := len(e.entries) > 0 && now.Sub(e.lastSent) >= refreshInterval
	if len(e.unsentTickets)+len(e.finished) == 0 && !progress && !refresh {
		return nil
	}
	e.lastBatch++
	batch := &messenger.ExchangeRequest{Scheduler: e.scheduler, Session: e.session, Number: e.lastBatch}
	for _, seq := range e.unsentTickets {
		batch.Tickets = append(batch.Tickets, e.ticket(now, seq))
	}
	for _, f := range e.finished {
		batch.Finished = append(batch.Finished, encodeFinish(f))
	}
	if progress {
		e.lastProgress = now
		batch.Progress = e.takeProgress()
	}
	e.unsentTickets, e.finished = nil, nil
	batch.Names = e.writer.Take()
	return batch
}

// ticket encodes a waiting request with the time that it has waited so far.
func (e *Enlister) ticket(now time.Time, seq uint64) *messenger.Ticket {
	r := e.entries[seq]
	return encodeTicket(&e.writer, &r.ticket, r.ticket.Waited+now.Sub(r.addedAt))
}

// takeProgress returns the unreported progress, which then counts as reported.
func (e *Enlister) takeProgress() []*messenger.Progress {
	progress := make([]*messenger.Progress, 0, len(e.unsentProgress))
	for _, seq := range slices.Sorted(maps.Keys(e.unsentProgress)) {
		r := e.entries[seq]
		progress = append(progress, &messenger.Progress{Seq: seq, Charged: r.charged})
	}
	clear(e.unsentProgress)
	return progress
}

// composeFull builds a full batch of all waiting and running requests. Endings that
// were not acknowledged are omitted: a scheduler without the request has nothing to
// free, and a scheduler with it frees every slot that the batch does not list.
func (e *Enlister) composeFull(now time.Time) *messenger.ExchangeRequest {
	e.unsentTickets, e.finished = nil, nil
	if len(e.entries) == 0 && !e.enrolled {
		return nil
	}
	e.lastBatch++
	e.fullBatch = e.lastBatch
	e.writer = interner.Writer{}
	clear(e.unsentProgress)
	batch := &messenger.ExchangeRequest{
		Router: e.Router.Name, Incarnation: e.Router.Incarnation,
		Pool:      &messenger.Pool{Zone: e.Zone, Service: e.Service},
		Scheduler: e.scheduler, Full: true, Number: e.lastBatch,
	}
	for _, seq := range slices.Sorted(maps.Keys(e.entries)) {
		r := e.entries[seq]
		if !r.running {
			batch.Tickets = append(batch.Tickets, e.ticket(now, seq))
			continue
		}
		batch.Running = append(batch.Running, &messenger.Running{
			Seq: seq, Workspace: e.writer.Intern(r.ticket.Workspace), Model: e.writer.Intern(r.ticket.Model),
			Endpoint: e.writer.Intern(r.endpoint), Charged: r.charged,
		})
	}
	batch.Names = e.writer.Take()
	return batch
}

// Failed reports that a batch got no response. The batch may have arrived, so it is
// retried unchanged, with backoff.
func (e *Enlister) Failed(now time.Time, number uint64) {
	if e.batch == nil || e.batch.GetNumber() != number {
		return
	}
	e.calling = false
	e.backoff = min(max(minBackoff, 2*e.backoff), maxBackoff)
	e.retryAt = now.Add(e.backoff)
}

// Answered handles the response to a batch and returns the outcomes of waiting
// requests. A late response to an older batch is ignored.
func (e *Enlister) Answered(now time.Time, number uint64, response *messenger.ExchangeResponse) []Outcome {
	if e.batch == nil || e.batch.GetNumber() != number {
		return nil
	}
	batch := e.batch
	if response.GetNotHere() || response.GetNeedFull() || (!batch.GetFull() && response.GetScheduler() != e.scheduler) {
		e.endSession(now)
		return nil
	}
	e.batch, e.calling, e.backoff, e.retryAt = nil, false, 0, now
	if batch.GetFull() {
		e.enrol(response)
	}
	e.answerNames.Extend(response.GetNames(), maxNames)
	outcomes, declined := e.accept(&e.answerNames, response.GetGrants(), response.GetRefusals())
	for _, seq := range declined {
		e.finished = append(e.finished, scheduler.Finish{Seq: seq, Ending: scheduler.Declined})
	}
	return outcomes
}

// enrol starts the session that the response to a full batch opens.
func (e *Enlister) enrol(response *messenger.ExchangeResponse) {
	e.enrolled = true
	e.scheduler = response.GetScheduler()
	e.session = response.GetSession()
	e.answerNames, e.callNames = interner.Reader{}, interner.Reader{}
	e.lastGrantCall, e.grantReply = 0, nil
}

// accept applies grants and refusals to requests that still wait. Grants for other
// requests, or with an invalid address, are returned as declined.
func (e *Enlister) accept(names *interner.Reader, grants []*messenger.Grant, refusals []*messenger.Refusal) (outcomes []Outcome, declined []uint64) {
	for _, g := range grants {
		r := e.entries[g.GetSeq()]
		address, err := netip.ParseAddrPort(names.Get(g.GetAddress()))
		if r == nil || r.running || err != nil {
			declined = append(declined, g.GetSeq())
			continue
		}
		r.running = true
		r.endpoint = names.Get(g.GetEndpoint())
		e.waiting--
		outcomes = append(outcomes, Granted{
			Seq: g.GetSeq(), Endpoint: r.endpoint, Incarnation: g.GetIncarnation(), Address: address,
		})
	}
	for _, refusal := range refusals {
		if r := e.entries[refusal.GetSeq()]; r != nil && !r.running {
			delete(e.entries, refusal.GetSeq())
			e.waiting--
			outcomes = append(outcomes, Refused{
				Seq: refusal.GetSeq(), Reason: names.Get(refusal.GetReason()), Retry: duration(refusal.GetRetryMs()),
			})
		}
	}
	return outcomes, declined
}

// Grant handles a grant call of the scheduler. A call from a scheduler with which
// this router is not enrolled, or that refers to an older full batch, is answered
// with Unknown and has no effect: its scheduler was replaced or paused, or will learn
// the current state from the batch in flight.
func (e *Enlister) Grant(request *messenger.GrantRequest) (*messenger.GrantResponse, []Outcome) {
	if !e.enrolled || request.GetScheduler() != e.scheduler || request.GetEnrolled() != e.fullBatch ||
		request.GetIncarnation() != e.Router.Incarnation {
		return &messenger.GrantResponse{Unknown: true}, nil
	}
	if request.GetNumber() <= e.lastGrantCall {
		if request.GetNumber() == e.lastGrantCall {
			return e.grantReply, nil
		}
		return &messenger.GrantResponse{Unknown: true}, nil
	}
	e.lastGrantCall = request.GetNumber()
	e.callNames.Extend(request.GetNames(), maxNames)
	outcomes, declined := e.accept(&e.callNames, request.GetGrants(), request.GetRefusals())
	e.grantReply = &messenger.GrantResponse{Declined: declined}
	return e.grantReply, outcomes
}
