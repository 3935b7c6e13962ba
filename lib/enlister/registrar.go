package enlister

import (
	"maps"
	"slices"
	"time"

	"shallotkeel.example/lib/interner"
	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/scheduler"
)

// Registrar is the scheduler's end of the protocol: the pool and one session for
// each enrolled router. It is not safe for concurrent use.
type Registrar struct {
	Pool        *scheduler.Pool
	Incarnation uint64 // incarnation of this scheduler; never 0

	sessions    map[string]*session // by router name
	lastSession uint32              // id of the newest session
}

// SilenceTimeout is how long a router may send no batch while its session has
// requests before Expire ends the session. A router with requests sends a batch
// every second (refreshInterval).
const SilenceTimeout = 5 * time.Second

// session is one enrolment of a router, from its full batch to the next one.
type session struct {
	id           uint32
	router       scheduler.RouterID
	fullBatch    uint64                      // number of the full batch that opened the session
	lastBatch    uint64                      // number of the last applied batch
	reply        *messenger.ExchangeResponse // to the last applied batch, for repeats
	names        interner.Reader
	lastReceived time.Time
	requests     map[uint64]bool // waiting and running requests known to the pool

	pending     []scheduler.Action      // grants and refusals not yet part of a message
	answerNames interner.Writer         // names in replies to batches
	callNames   interner.Writer         // names in grant calls
	lastCall    uint64                  // number of the last grant call
	call        *messenger.GrantRequest // unanswered, nil if none
	calling     bool                    // call is in flight
	retryAt     time.Time
	backoff     time.Duration
}

// Call is a batch of grants and refusals for a router.
type Call struct {
	Router  scheduler.RouterID
	Session uint32
	Request *messenger.GrantRequest
}

// Apply applies an event that is not a router's batch to the pool, queues the
// resulting grants and refusals, and returns the loans that answer a Compared event.
func (r *Registrar) Apply(now time.Time, event scheduler.Event) []scheduler.Loan {
	var loans []scheduler.Loan
	for _, action := range r.Pool.Apply(now, event) {
		switch a := action.(type) {
		case scheduler.Grant:
			r.enqueue(now, a.Request, a)
		case scheduler.Refusal:
			r.enqueue(now, a.Request, a)
		case scheduler.Lend:
			loans = append(loans, a.Loans...)
		}
	}
	return loans
}

// enqueue adds an action to its router's session. Without a session the router is
// dead, and the grant is declined in its name so that its slot becomes free.
func (r *Registrar) enqueue(now time.Time, request scheduler.RequestID, action scheduler.Action) {
	s := r.sessions[request.Router.Name]
	if s != nil && s.router == request.Router {
		s.pending = append(s.pending, action)
		return
	}
	r.Apply(now, scheduler.Declinations{Router: request.Router, Seqs: []uint64{request.Seq}})
}

// Exchange applies a router's batch and returns the response to it. The response
// asks for a full batch if the session is unknown, a batch is missing, or the
// name tables are nearly full.
func (r *Registrar) Exchange(now time.Time, request *messenger.ExchangeRequest) *messenger.ExchangeResponse {
	if request.GetFull() {
		return r.enrol(now, request)
	}
	s := r.session(request.GetSession())
	if s == nil || request.GetScheduler() != r.Incarnation || request.GetNumber() > s.lastBatch+1 {
		return &messenger.ExchangeResponse{NeedFull: true}
	}
	if request.GetNumber() <= s.lastBatch {
		return r.repeatReply(s, request.GetNumber())
	}
	if s.namesNearLimit() {
		return &messenger.ExchangeResponse{NeedFull: true}
	}
	return r.apply(now, s, request)
}

// namesNearLimit reports whether a name table is so full that a new session has to
// start with empty ones: names of endpoints that come and go are never removed.
func (s *session) namesNearLimit() bool {
	return max(s.names.Len(), s.answerNames.Len(), s.callNames.Len()) > maxNames/2
}

// session returns the session with an id, or nil.
func (r *Registrar) session(id uint32) *session {
	for _, s := range r.sessions {
		if s.id == id {
			return s
		}
	}
	return nil
}

// repeatReply answers a batch that was applied before. For a batch older than the
// last the response is empty, since its caller no longer waits for it.
func (r *Registrar) repeatReply(s *session, number uint64) *messenger.ExchangeResponse {
	if number == s.lastBatch {
		return s.reply
	}
	return &messenger.ExchangeResponse{Scheduler: r.Incarnation}
}

// enrol starts a session with a full batch. A grant whose request the batch lists
// as waiting did not arrive and will not be accepted any more, since the router
// ignores grants that refer to an older full batch. Such grants are revoked first,
// so that their tickets can be granted again.
func (r *Registrar) enrol(now time.Time, request *messenger.ExchangeRequest) *messenger.ExchangeResponse {
	router := scheduler.RouterID{Name: request.GetRouter(), Incarnation: request.GetIncarnation()}
	if old := r.sessions[router.Name]; old != nil {
		switch {
		case old.router.Incarnation > router.Incarnation:
			return &messenger.ExchangeResponse{NotHere: true}
		case old.router == router && request.GetNumber() <= old.lastBatch:
			return r.repeatReply(old, request.GetNumber())
		}
	}
	if r.sessions == nil {
		r.sessions = make(map[string]*session)
	}
	r.lastSession++
	s := &session{id: r.lastSession, router: router, fullBatch: request.GetNumber(), requests: make(map[uint64]bool)}
	r.sessions[router.Name] = s
	return r.apply(now, s, request)
}

// apply applies a batch to the pool and builds the response to it.
func (r *Registrar) apply(now time.Time, s *session, request *messenger.ExchangeRequest) *messenger.ExchangeResponse {
	s.lastBatch = request.GetNumber()
	s.lastReceived = now
	s.names.Extend(request.GetNames(), maxNames)
	s.trackRequests(request)
	decoded := decodeReport(&s.names, s.router, request)
	if decoded.Full {
		var seqs []uint64
		for _, t := range decoded.Tickets {
			seqs = append(seqs, t.Seq)
		}
		// A freed slot may be granted to another ticket of this router at once; that
		// grant belongs to the new session.
		r.Apply(now, scheduler.Declinations{Router: s.router, Seqs: seqs})
	}
	r.Apply(now, decoded)
	s.reply = &messenger.ExchangeResponse{Scheduler: r.Incarnation}
	if decoded.Full {
		s.reply.Session = s.id
	}
	s.reply.Grants, s.reply.Refusals = encodeActions(&s.answerNames, s.pending)
	s.reply.Names = s.answerNames.Take()
	s.forgetRefused(s.reply.GetRefusals())
	s.pending = nil
	return s.reply
}

// forgetRefused removes refused requests from the session: no ending follows.
func (s *session) forgetRefused(refusals []*messenger.Refusal) {
	for _, refusal := range refusals {
		delete(s.requests, refusal.GetSeq())
	}
}

// trackRequests updates the requests of the session from a batch.
func (s *session) trackRequests(request *messenger.ExchangeRequest) {
	for _, t := range request.GetTickets() {
		s.requests[t.GetSeq()] = true
	}
	for _, r := range request.GetRunning() {
		s.requests[r.GetSeq()] = true
	}
	for _, f := range request.GetFinished() {
		delete(s.requests, f.GetSeq())
	}
}

// encodeActions returns actions as messages, with their names interned in w.
func encodeActions(w *interner.Writer, actions []scheduler.Action) (grants []*messenger.Grant, refusals []*messenger.Refusal) {
	for _, action := range actions {
		switch a := action.(type) {
		case scheduler.Grant:
			grants = append(grants, &messenger.Grant{
				Seq: a.Request.Seq, Endpoint: w.Intern(a.Endpoint), Address: w.Intern(a.Address.String()), Incarnation: a.Incarnation,
			})
		case scheduler.Refusal:
			refusals = append(refusals, &messenger.Refusal{
				Seq: a.Request.Seq, Reason: w.Intern(a.Reason), RetryMs: milliseconds(a.Retry),
			})
		}
	}
	return grants, refusals
}

// Calls returns the grant calls to send now, at most one for each router. The
// caller reports the result of each with Answered or Failed.
func (r *Registrar) Calls(now time.Time) []Call {
	var calls []Call
	for _, name := range slices.Sorted(maps.Keys(r.sessions)) {
		s := r.sessions[name]
		if s.calling || now.Before(s.retryAt) || (s.call == nil && len(s.pending) == 0) {
			continue
		}
		if s.call == nil {
			r.composeCall(s)
		}
		s.calling = true
		calls = append(calls, Call{Router: s.router, Session: s.id, Request: s.call})
	}
	return calls
}

// composeCall moves the pending actions of a session into a new call.
func (r *Registrar) composeCall(s *session) {
	s.lastCall++
	s.call = &messenger.GrantRequest{
		Scheduler: r.Incarnation, Incarnation: s.router.Incarnation, Number: s.lastCall, Enrolled: s.fullBatch,
	}
	s.call.Grants, s.call.Refusals = encodeActions(&s.callNames, s.pending)
	s.call.Names = s.callNames.Take()
	s.pending = nil
}

// NextWake returns the earliest time at which Calls may return a retry without any
// further event, or the zero time if there is none.
func (r *Registrar) NextWake() time.Time {
	var wake time.Time
	for _, s := range r.sessions {
		if s.call != nil && !s.calling && (wake.IsZero() || s.retryAt.Before(wake)) {
			wake = s.retryAt
		}
	}
	return wake
}

// sessionOf returns the session to which a call belongs, or nil if the session has
// ended or the call is no longer the unanswered one.
func (r *Registrar) sessionOf(call Call) *session {
	s := r.sessions[call.Router.Name]
	if s == nil || s.id != call.Session || s.call != call.Request {
		return nil
	}
	return s
}

// Answered handles a router's response to a call.
func (r *Registrar) Answered(now time.Time, call Call, response *messenger.GrantResponse) {
	s := r.sessionOf(call)
	if s == nil {
		return
	}
	if response.GetUnknown() {
		// The response to the router's full batch may still be in flight, so the call
		// is retried. If the router is gone or enrols again, the session ends.
		r.Failed(now, call)
		return
	}
	s.forgetRefused(s.call.GetRefusals())
	for _, seq := range response.GetDeclined() {
		delete(s.requests, seq)
	}
	s.call, s.calling, s.backoff = nil, false, 0
	if len(response.GetDeclined()) > 0 {
		r.Apply(now, scheduler.Declinations{Router: s.router, Seqs: response.GetDeclined()})
	}
}

// Failed reports that a call got no response. The call may have arrived, so it is
// retried unchanged, with backoff, until the session ends.
func (r *Registrar) Failed(now time.Time, call Call) {
	s := r.sessionOf(call)
	if s == nil {
		return
	}
	s.calling = false
	s.backoff = min(max(minBackoff, 2*s.backoff), maxBackoff)
	s.retryAt = now.Add(s.backoff)
}

// RouterGone ends the session of a router whose lease has ended, and removes its
// requests from the pool.
func (r *Registrar) RouterGone(now time.Time, router scheduler.RouterID) {
	if s := r.sessions[router.Name]; s != nil && s.router == router {
		delete(r.sessions, router.Name)
	}
	r.Apply(now, scheduler.RouterGone{Router: router})
}

// Expire ends each session that has requests but has received no batch for longer
// than SilenceTimeout. Its router has another session or no longer has these
// requests: a delayed full batch can start a session of which the router has no
// record. If the router does use the session after all, its next batch is answered
// with a request for a full one.
func (r *Registrar) Expire(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(r.sessions)) {
		if s := r.sessions[name]; len(s.requests) > 0 && now.Sub(s.lastReceived) > SilenceTimeout {
			r.RouterGone(now, s.router)
		}
	}
}

// Routers returns the enrolled routers, sorted by name.
func (r *Registrar) Routers() []scheduler.RouterID {
	var routers []scheduler.RouterID
	for _, name := range slices.Sorted(maps.Keys(r.sessions)) {
		routers = append(routers, r.sessions[name].router)
	}
	return routers
}
