package enlister

import (
	"maps"
	"slices"
	"time"

	"shallotkeel.example/lib/interner"
	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/scheduler"
)

// Desk is the scheduler's end: the pool and one session for each router that
// enrolled. Its methods are called by one goroutine.
type Desk struct {
	Pool        *scheduler.Pool
	Incarnation uint64 // of this scheduler; never 0

	sessions map[string]*session // by router name
	numbers  uint32
}

// SilentAfter is how long a router may say nothing while the desk holds
// requests of its. Routers with requests speak every second.
const SilentAfter = 5 * time.Second

// session is one enrolment of a router.
type session struct {
	id     uint32
	router scheduler.RouterID
	full   uint64 // number of the full batch that it began with
	number uint64 // of the last batch that was applied
	reply  *messenger.ExchangeResponse
	names  interner.Reader
	heard  time.Time
	held   map[uint64]bool // requests that the pool knows of

	pending []scheduler.Action // grants and refusals not yet in a message
	answers interner.Writer
	calls   interner.Writer
	grants  uint64 // number of the last call
	call    *messenger.GrantRequest
	calling bool
	retry   time.Time
	pause   time.Duration
}

// Call is a batch of grants for a router.
type Call struct {
	Router  scheduler.RouterID
	Session uint32
	Request *messenger.GrantRequest
}

// Apply lets the pool take an event that is not a router's batch, and returns
// the loans with which it answers a Compared event.
func (d *Desk) Apply(now time.Time, event scheduler.Event) []scheduler.Loan {
	var loans []scheduler.Loan
	for _, action := range d.Pool.Apply(now, event) {
		switch a := action.(type) {
		case scheduler.Grant:
			d.queue(now, a.Request, a)
		case scheduler.Refusal:
			d.queue(now, a.Request, a)
		case scheduler.Lend:
			loans = append(loans, a.Loans...)
		}
	}
	return loans
}

// queue keeps an action for its router. A router without a session is dead:
// the slot must not stay taken for it.
func (d *Desk) queue(now time.Time, request scheduler.RequestID, action scheduler.Action) {
	s := d.sessions[request.Router.Name]
	if s != nil && s.router == request.Router {
		s.pending = append(s.pending, action)
		return
	}
	d.Apply(now, scheduler.Declinations{Router: request.Router, Seqs: []uint64{request.Seq}})
}

// Exchange applies a router's batch and answers it.
func (d *Desk) Exchange(now time.Time, request *messenger.ExchangeRequest) *messenger.ExchangeResponse {
	if request.GetFull() {
		return d.enrol(now, request)
	}
	s := d.session(request.GetSession())
	if s == nil || request.GetScheduler() != d.Incarnation || request.GetNumber() > s.number+1 {
		return &messenger.ExchangeResponse{NeedFull: true}
	}
	if request.GetNumber() <= s.number {
		return d.repeat(s, request.GetNumber())
	}
	if s.crowded() {
		return &messenger.ExchangeResponse{NeedFull: true}
	}
	return d.apply(now, s, request)
}

// crowded tells whether the tables of names need a new session: endpoints that
// come and go would otherwise fill them.
func (s *session) crowded() bool {
	return max(s.names.Len(), s.answers.Len(), s.calls.Len()) > maxNames/2
}

func (d *Desk) session(id uint32) *session {
	for _, s := range d.sessions {
		if s.id == id {
			return s
		}
	}
	return nil
}

// repeat answers a batch that was applied before. Nobody waits for the answer
// of one that is older than the last.
func (d *Desk) repeat(s *session, number uint64) *messenger.ExchangeResponse {
	if number == s.number {
		return s.reply
	}
	return &messenger.ExchangeResponse{Scheduler: d.Incarnation}
}

// enrol begins a session with a full batch. Grants that the router does not
// list as running did not arrive and never will, since the router takes none
// that rest on an older full batch; they are taken back first, so that the
// tickets that the batch lists again can be granted again.
func (d *Desk) enrol(now time.Time, request *messenger.ExchangeRequest) *messenger.ExchangeResponse {
	router := scheduler.RouterID{Name: request.GetRouter(), Incarnation: request.GetIncarnation()}
	if old := d.sessions[router.Name]; old != nil {
		switch {
		case old.router.Incarnation > router.Incarnation:
			return &messenger.ExchangeResponse{NotHere: true}
		case old.router == router && request.GetNumber() <= old.number:
			return d.repeat(old, request.GetNumber())
		}
	}
	if d.sessions == nil {
		d.sessions = make(map[string]*session)
	}
	d.numbers++
	s := &session{id: d.numbers, router: router, full: request.GetNumber(), held: make(map[uint64]bool)}
	d.sessions[router.Name] = s
	return d.apply(now, s, request)
}

func (d *Desk) apply(now time.Time, s *session, request *messenger.ExchangeRequest) *messenger.ExchangeResponse {
	s.number = request.GetNumber()
	s.heard = now
	s.names.Extend(request.GetNames(), maxNames)
	s.hold(request)
	news := report(&s.names, s.router, request)
	if news.Full {
		var seqs []uint64
		for _, t := range news.Tickets {
			seqs = append(seqs, t.Seq)
		}
		// A slot that this frees may go to another ticket of this router at once;
		// that grant belongs to the new session.
		d.Apply(now, scheduler.Declinations{Router: s.router, Seqs: seqs})
	}
	d.Apply(now, news)
	s.reply = &messenger.ExchangeResponse{Scheduler: d.Incarnation}
	if news.Full {
		s.reply.Session = s.id
	}
	s.reply.Grants, s.reply.Refusals = encodeActions(&s.answers, s.pending)
	s.reply.Names = s.answers.Take()
	s.settle(s.reply.GetRefusals())
	s.pending = nil
	return s.reply
}

// settle forgets requests that need nothing more.
func (s *session) settle(refusals []*messenger.Refusal) {
	for _, refusal := range refusals {
		delete(s.held, refusal.GetSeq())
	}
}

func (s *session) hold(request *messenger.ExchangeRequest) {
	for _, t := range request.GetTickets() {
		s.held[t.GetSeq()] = true
	}
	for _, r := range request.GetRunning() {
		s.held[r.GetSeq()] = true
	}
	for _, f := range request.GetFinished() {
		delete(s.held, f.GetSeq())
	}
}

func encodeActions(w *interner.Writer, actions []scheduler.Action) (grants []*messenger.Grant, refusals []*messenger.Refusal) {
	for _, action := range actions {
		switch a := action.(type) {
		case scheduler.Grant:
			grants = append(grants, &messenger.Grant{
				Seq: a.Request.Seq, Endpoint: w.Put(a.Endpoint), Address: w.Put(a.Address.String()), Incarnation: a.Incarnation,
			})
		case scheduler.Refusal:
			refusals = append(refusals, &messenger.Refusal{
				Seq: a.Request.Seq, Reason: w.Put(a.Reason), RetryMs: milliseconds(a.Retry),
			})
		}
	}
	return grants, refusals
}

// Calls returns the batches of grants to send now, at most one for each
// router. The caller reports each with Answered or Failed.
func (d *Desk) Calls(now time.Time) []Call {
	var calls []Call
	for _, name := range slices.Sorted(maps.Keys(d.sessions)) {
		s := d.sessions[name]
		if s.calling || now.Before(s.retry) || (s.call == nil && len(s.pending) == 0) {
			continue
		}
		if s.call == nil {
			d.compose(s)
		}
		s.calling = true
		calls = append(calls, Call{Router: s.router, Session: s.id, Request: s.call})
	}
	return calls
}

func (d *Desk) compose(s *session) {
	s.grants++
	s.call = &messenger.GrantRequest{
		Scheduler: d.Incarnation, Incarnation: s.router.Incarnation, Number: s.grants, Enrolled: s.full,
	}
	s.call.Grants, s.call.Refusals = encodeActions(&s.calls, s.pending)
	s.call.Names = s.calls.Take()
	s.pending = nil
}

// Wake returns when Calls may have something without anything else happening,
// the zero time if never.
func (d *Desk) Wake() time.Time {
	var wake time.Time
	for _, s := range d.sessions {
		if s.call != nil && !s.calling && (wake.IsZero() || s.retry.Before(wake)) {
			wake = s.retry
		}
	}
	return wake
}

// calledBy returns the session that a call belongs to, nil if it is over.
func (d *Desk) calledBy(call Call) *session {
	s := d.sessions[call.Router.Name]
	if s == nil || s.id != call.Session || s.call != call.Request {
		return nil
	}
	return s
}

// Answered takes a router's answer to a call in.
func (d *Desk) Answered(now time.Time, call Call, response *messenger.GrantResponse) {
	s := d.calledBy(call)
	if s == nil {
		return
	}
	if response.GetUnknown() {
		// The answer to its full batch may still be on the way to the router.
		// If the router is gone or enrols anew, the session ends.
		d.Failed(now, call)
		return
	}
	s.settle(s.call.GetRefusals())
	for _, seq := range response.GetDeclined() {
		delete(s.held, seq)
	}
	s.call, s.calling, s.pause = nil, false, 0
	if len(response.GetDeclined()) > 0 {
		d.Apply(now, scheduler.Declinations{Router: s.router, Seqs: response.GetDeclined()})
	}
}

// Failed says that a call got no answer. It may have arrived, so it is sent
// again as it was until the session ends.
func (d *Desk) Failed(now time.Time, call Call) {
	s := d.calledBy(call)
	if s == nil {
		return
	}
	s.calling = false
	s.pause = min(max(retryFirst, 2*s.pause), retryMost)
	s.retry = now.Add(s.pause)
}

// Gone ends a router's session: its lease is over.
func (d *Desk) Gone(now time.Time, router scheduler.RouterID) {
	if s := d.sessions[router.Name]; s != nil && s.router == router {
		delete(d.sessions, router.Name)
	}
	d.Apply(now, scheduler.RouterGone{Router: router})
}

// Expire ends the sessions of routers that have been silent although the desk
// holds requests of theirs. Such a router lives in some other
// session, or has none of these requests any more: a full batch that arrived
// late began a session that its router knows nothing of. If it does live here
// after all, it is asked for everything with its next word.
func (d *Desk) Expire(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(d.sessions)) {
		if s := d.sessions[name]; len(s.held) > 0 && now.Sub(s.heard) > SilentAfter {
			d.Gone(now, s.router)
		}
	}
}

// Routers lists the routers that are enrolled, by name.
func (d *Desk) Routers() []scheduler.RouterID {
	var routers []scheduler.RouterID
	for _, name := range slices.Sorted(maps.Keys(d.sessions)) {
		routers = append(routers, d.sessions[name].router)
	}
	return routers
}
