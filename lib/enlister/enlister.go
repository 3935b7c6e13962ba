// Package enlister is the protocol between a router's waiting requests and the
// scheduler of their pool: an Enlister at the router's end, a Desk around the
// scheduler.Pool at the other.
//
// A router enrols with a full batch, which lists everything that waits and
// runs there, and then sends news in numbered batches, one call in flight at a
// time; what happens meanwhile goes into the next batch. A batch whose answer
// is lost is sent again unchanged, and the desk answers a repeat from memory.
// Grants come in the answer of a batch, where a repeat brings them again, or,
// when another router's news made them possible, in a call of their own with
// numbers of its own.
//
// Invariants, under calls that are lost, repeated, late and out of order, and
// restarts of either end:
//   - a waiting request is told to the scheduler until it is granted, refused
//     or withdrawn; what either end forgot is told again by a full batch;
//   - a full batch is the last word on what was granted before it: the router
//     takes no grant that rests on an older one, and the desk forgets the
//     grants that it does not list;
//   - a request is granted once at its router; another grant is declined;
//   - memory is bounded by the router's requests, one unanswered batch in each
//     direction and one table of names for each session.
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
	// ProgressEvery is how often running requests tell the units they used.
	ProgressEvery = time.Second
	// refreshEvery is how often a router with requests speaks even without
	// news. A scheduler that wrongly took the router for dead has forgotten its
	// requests; the router hears of that only in an answer.
	refreshEvery = time.Second
	// retryFirst and retryMost bound the pause before a batch is sent again.
	retryFirst = 25 * time.Millisecond
	retryMost  = 400 * time.Millisecond
)

// Outcome is what became of a waiting request: a Granted or a Refused.
type Outcome interface{ outcome() }

// Granted says that a request may be sent to an endpoint now.
type Granted struct {
	Seq         uint64
	Endpoint    string
	Incarnation uint64
	Address     netip.AddrPort
}

// Refused says that a request will not be granted.
type Refused struct {
	Seq    uint64
	Reason string
	Retry  time.Duration
}

func (Granted) outcome() {}
func (Refused) outcome() {}

type entry struct {
	ticket   scheduler.Ticket
	added    time.Time
	running  bool
	endpoint string
	charged  uint32
	told     uint32 // of charged
}

// Enlister is a router's end for one pool. Its methods are called by one
// goroutine.
type Enlister struct {
	Zone    string
	Service string
	Router  scheduler.RouterID

	entries  map[uint64]*entry
	waiting  int
	fresh    []uint64 // tickets not yet in a batch
	finished []scheduler.Finish
	moved    map[uint64]bool // running entries with untold progress

	enrolled   bool   // the scheduler knows this router, as far as we know
	scheduler  uint64 // its incarnation, 0 before the first answer
	session    uint32
	number     uint64 // of the last batch
	full       uint64 // number of the last full batch
	batch      *messenger.ExchangeRequest
	calling    bool
	retry      time.Time
	pause      time.Duration
	spoke      time.Time
	progressed time.Time

	writer      interner.Writer
	answers     interner.Reader // names in answers of batches
	calls       interner.Reader // names in calls of grants
	grantNumber uint64
	grantReply  *messenger.GrantResponse
}

// Waiting counts the requests that wait for a grant.
func (e *Enlister) Waiting() int {
	return e.waiting
}

// Running counts the requests that hold a slot.
func (e *Enlister) Running() int {
	return len(e.entries) - e.waiting
}

// Quiet tells that the scheduler has heard of every ending.
func (e *Enlister) Quiet() bool {
	return len(e.finished) == 0 && (e.batch == nil || len(e.batch.GetFinished()) == 0)
}

// Scheduler is the incarnation of the scheduler that this router is enrolled
// with, 0 if it is with none.
func (e *Enlister) Scheduler() uint64 {
	return e.scheduler
}

// Add lets a request wait. Its Seq must be new in this life of the router.
func (e *Enlister) Add(now time.Time, ticket scheduler.Ticket) {
	if e.entries == nil {
		e.entries = make(map[uint64]*entry)
		e.moved = make(map[uint64]bool)
	}
	e.entries[ticket.Seq] = &entry{ticket: ticket, added: now}
	e.fresh = append(e.fresh, ticket.Seq)
	e.waiting++
}

// Progress tells the units that a running request has used in all.
func (e *Enlister) Progress(seq uint64, charged uint32) {
	if r := e.entries[seq]; r != nil && r.running && charged > r.charged {
		r.charged = charged
		e.moved[seq] = true
	}
}

// Finish ends a request, waiting or running. Only the first call counts.
func (e *Enlister) Finish(finish scheduler.Finish) {
	r := e.entries[finish.Seq]
	if r == nil {
		return
	}
	delete(e.entries, finish.Seq)
	delete(e.moved, finish.Seq)
	if !r.running {
		e.waiting--
	}
	if at := slices.Index(e.fresh, finish.Seq); at >= 0 {
		e.fresh = slices.Delete(e.fresh, at, at+1)
		return
	}
	e.finished = append(e.finished, finish)
}

// Restart makes the router enrol from the start, because another router is
// the pool's scheduler now.
func (e *Enlister) Restart(now time.Time) {
	e.scheduler = 0
	e.forget(now)
	e.pause = 0
	e.retry = now
}

// forget drops the session: the next batch is a full one.
func (e *Enlister) forget(now time.Time) {
	e.enrolled = false
	e.batch = nil
	e.calling = false
	e.retry = now.Add(e.pause)
	e.pause = min(max(retryFirst, 2*e.pause), retryMost)
}

// Next returns the batch to send now, or nil. The caller sends it to the
// pool's scheduler and then calls Answered or Failed with its number.
func (e *Enlister) Next(now time.Time) *messenger.ExchangeRequest {
	if e.calling || now.Before(e.retry) {
		return nil
	}
	if e.batch == nil {
		e.batch = e.compose(now)
	}
	if e.batch == nil {
		return nil
	}
	e.calling = true
	e.spoke = now
	return e.batch
}

// Wake returns when Next may have something without anything else happening,
// the zero time if never.
func (e *Enlister) Wake() time.Time {
	switch {
	case e.calling:
		return time.Time{}
	case e.batch != nil || (!e.enrolled && len(e.entries) > 0):
		return e.retry
	case len(e.moved) > 0 && e.progressed.Add(ProgressEvery).Before(e.spoke.Add(refreshEvery)):
		return e.progressed.Add(ProgressEvery)
	case len(e.entries) > 0:
		return e.spoke.Add(refreshEvery)
	default:
		return time.Time{}
	}
}

func (e *Enlister) compose(now time.Time) *messenger.ExchangeRequest {
	if !e.enrolled || e.writer.Len() > maxNames/2 {
		return e.composeFull(now)
	}
	progress := len(e.moved) > 0 && now.Sub(e.progressed) >= ProgressEvery
	refresh := len(e.entries) > 0 && now.Sub(e.spoke) >= refreshEvery
	if len(e.fresh)+len(e.finished) == 0 && !progress && !refresh {
		return nil
	}
	e.number++
	batch := &messenger.ExchangeRequest{Scheduler: e.scheduler, Session: e.session, Number: e.number}
	for _, seq := range e.fresh {
		batch.Tickets = append(batch.Tickets, e.ticket(now, seq))
	}
	for _, f := range e.finished {
		batch.Finished = append(batch.Finished, encodeFinish(f))
	}
	if progress {
		e.progressed = now
		batch.Progress = e.takeProgress()
	}
	e.fresh, e.finished = nil, nil
	batch.Names = e.writer.Take()
	return batch
}

func (e *Enlister) ticket(now time.Time, seq uint64) *messenger.Ticket {
	r := e.entries[seq]
	return encodeTicket(&e.writer, &r.ticket, r.ticket.Waited+now.Sub(r.added))
}

func (e *Enlister) takeProgress() []*messenger.Progress {
	progress := make([]*messenger.Progress, 0, len(e.moved))
	for _, seq := range slices.Sorted(maps.Keys(e.moved)) {
		r := e.entries[seq]
		r.told = r.charged
		progress = append(progress, &messenger.Progress{Seq: seq, Charged: r.charged})
	}
	clear(e.moved)
	return progress
}

// composeFull lists everything. Endings that were not answered are left out: a
// scheduler that does not know the request has nothing to free, and one that
// does frees what the list does not name.
func (e *Enlister) composeFull(now time.Time) *messenger.ExchangeRequest {
	e.fresh, e.finished = nil, nil
	if len(e.entries) == 0 && !e.enrolled {
		return nil
	}
	e.number++
	e.full = e.number
	e.writer = interner.Writer{}
	clear(e.moved)
	batch := &messenger.ExchangeRequest{
		Router: e.Router.Name, Incarnation: e.Router.Incarnation,
		Pool:      &messenger.Pool{Zone: e.Zone, Service: e.Service},
		Scheduler: e.scheduler, Full: true, Number: e.number,
	}
	for _, seq := range slices.Sorted(maps.Keys(e.entries)) {
		r := e.entries[seq]
		if !r.running {
			batch.Tickets = append(batch.Tickets, e.ticket(now, seq))
			continue
		}
		r.told = r.charged
		batch.Running = append(batch.Running, &messenger.Running{
			Seq: seq, Workspace: e.writer.Put(r.ticket.Workspace), Model: e.writer.Put(r.ticket.Model),
			Endpoint: e.writer.Put(r.endpoint), Charged: r.charged,
		})
	}
	batch.Names = e.writer.Take()
	return batch
}

// Failed says that a batch got no answer. It may have arrived, so it is sent
// again as it was.
func (e *Enlister) Failed(now time.Time, number uint64) {
	if e.batch == nil || e.batch.GetNumber() != number {
		return
	}
	e.calling = false
	e.pause = min(max(retryFirst, 2*e.pause), retryMost)
	e.retry = now.Add(e.pause)
}

// Answered takes the answer to a batch in. A late answer to an older batch
// changes nothing.
func (e *Enlister) Answered(now time.Time, number uint64, response *messenger.ExchangeResponse) []Outcome {
	if e.batch == nil || e.batch.GetNumber() != number {
		return nil
	}
	batch := e.batch
	if response.GetNotHere() || response.GetNeedFull() || (!batch.GetFull() && response.GetScheduler() != e.scheduler) {
		e.forget(now)
		return nil
	}
	e.batch, e.calling, e.pause, e.retry = nil, false, 0, now
	if batch.GetFull() {
		e.enrol(response)
	}
	e.answers.Extend(response.GetNames(), maxNames)
	outcomes, declined := e.take(&e.answers, response.GetGrants(), response.GetRefusals())
	for _, seq := range declined {
		e.finished = append(e.finished, scheduler.Finish{Seq: seq, Ending: scheduler.Declined})
	}
	return outcomes
}

func (e *Enlister) enrol(response *messenger.ExchangeResponse) {
	e.enrolled = true
	e.scheduler = response.GetScheduler()
	e.session = response.GetSession()
	e.answers, e.calls = interner.Reader{}, interner.Reader{}
	e.grantNumber, e.grantReply = 0, nil
}

// take accepts the grants of requests that still wait.
func (e *Enlister) take(names *interner.Reader, grants []*messenger.Grant, refusals []*messenger.Refusal) (outcomes []Outcome, declined []uint64) {
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

// Grant answers a call of the scheduler. A call from a scheduler that this
// router is not enrolled with, or that rests on an older enrolment, is answered
// with unknown and changes nothing: its scheduler has been replaced, stood
// still, or will hear more in the batch that is on its way.
func (e *Enlister) Grant(request *messenger.GrantRequest) (*messenger.GrantResponse, []Outcome) {
	if !e.enrolled || request.GetScheduler() != e.scheduler || request.GetEnrolled() != e.full ||
		request.GetIncarnation() != e.Router.Incarnation {
		return &messenger.GrantResponse{Unknown: true}, nil
	}
	if request.GetNumber() <= e.grantNumber {
		if request.GetNumber() == e.grantNumber {
			return e.grantReply, nil
		}
		return &messenger.GrantResponse{Unknown: true}, nil
	}
	e.grantNumber = request.GetNumber()
	e.calls.Extend(request.GetNames(), maxNames)
	outcomes, declined := e.take(&e.calls, request.GetGrants(), request.GetRefusals())
	e.grantReply = &messenger.GrantResponse{Declined: declined}
	return e.grantReply, outcomes
}
