// Package proxier proxies clients' requests to endpoints, and the answers back to the clients, byte
// for byte.
//
// Each request runs in its own goroutine from its arrival to its single final answer, under the
// configuration that is in force when it arrives.
//
// Invariants:
//   - a request that must not be repeated is written to at most one endpoint, unless that
//     endpoint answers that it did not run the request;
//   - a client gets the answer "not run" only if no byte of the request has been sent, or if each
//     endpoint that got any of it answers so, and nothing of the request is sent afterwards;
//   - a client gets a complete answer or can see that it is truncated: a truncated answer never
//     looks complete;
//   - a stream contains events from one version of the endpoints' software;
//   - nothing is sent for a client that has disconnected, and attempts that run for it are cancelled;
//   - every request has its final answer by the timeout of its route.
package proxier

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"shallotkeel.example/lib/apportioner"
	"shallotkeel.example/lib/balancer"
	"shallotkeel.example/lib/budgeter"
	"shallotkeel.example/lib/damper"
	"shallotkeel.example/lib/estimator"
	"shallotkeel.example/lib/forwarder"
	"shallotkeel.example/lib/framer"
	"shallotkeel.example/lib/localizer"
	"shallotkeel.example/lib/pacer"
	"shallotkeel.example/lib/prober"
	"shallotkeel.example/lib/resolver"
	"shallotkeel.example/lib/versioner"
)

const (
	// minRetryAfter is the Retry-After for a fault that is likely to pass at once, such as
	// the loss of an endpoint.
	minRetryAfter = 60 * time.Millisecond
	// retryJitter is the maximum fraction by which a Retry-After is lengthened at random. Clients
	// refused at the same moment would otherwise retry at the same moment, and most would be refused again.
	retryJitter = 0.5
	// maxUnsentAttempts limits the endpoints tried for one request before one of them gets any
	// byte of it. Each unreachable endpoint costs a dial timeout.
	maxUnsentAttempts = 4
	// writeGrace is how long after the request's deadline its answer may still be written. A client
	// that reads nothing would otherwise keep its request, and the endpoint's work for it, running indefinitely.
	writeGrace = time.Second
)

// FleetState is the state of the fleet that the proxier needs.
type FleetState interface {
	// Table returns the configuration in force, nil if there is none yet.
	Table() *resolver.Table
	// Ready returns a channel that is closed once there is a table.
	Ready() <-chan struct{}
	// Current reports whether the table is known to be the newest one.
	Current() bool
	// ListAge returns how old the list of endpoints is.
	ListAge() time.Duration
}

// Streams records the software versions at which streams began.
type Streams interface {
	// RecordOrigin records the origin of a stream that begins or is resumed. It may wait for a moment
	// until others know of it.
	RecordOrigin(ctx context.Context, name versioner.StreamID, origin versioner.Origin)
	// RenewOrigin records the origin of a stream that goes on for long.
	RenewOrigin(name versioner.StreamID, origin versioner.Origin)
	// Find returns the origin of a stream. Its errors are versioner.ErrUnknown and versioner.ErrUnconfirmed.
	Find(ctx context.Context, name versioner.StreamID) (versioner.Origin, error)
	// LearnEndpoints looks up further endpoints where streams of the origin can be resumed, and adds
	// them to the balancer.
	LearnEndpoints(ctx context.Context, origin versioner.Origin)
}

// Options configures a Proxier.
type Options struct {
	Dialect    forwarder.Dialect
	FleetState FleetState
	// Crashes records which requests ran at endpoints that crash, and holds the quarantines in force.
	Crashes  *localizer.Observer
	Streams  Streams
	Balancer *balancer.Balancer
	Budget   *budgeter.Budgeter
	Shares   *apportioner.Apportioner
	Client   *forwarder.Client
	Clock    clockwork.Clock
	Log      zerolog.Logger
	Metrics  *Metrics
	// DisablesKeepAlive reports whether each client connection is closed after its answer, because
	// too many clients are connected. It may be nil.
	DisablesKeepAlive func() bool
	// Diverting reports whether new clients are sent to other routers. It may be nil.
	Diverting func() bool
	// CloseRate bounds the connections that are closed behind answers to workspaces beyond their share
	// while the router refuses requests. If it is nil, they are kept.
	CloseRate *pacer.Rate
	// MaxRequests limits the requests in flight, 0 for no limit.
	MaxRequests int
	// MaxTotalBodyBytes limits the bytes of request bodies held at a time, 0 for no limit.
	MaxTotalBodyBytes int64
	// MaxTotalAnswerBytes limits the bytes of answers held at a time, 0 for no limit.
	MaxTotalAnswerBytes int64
	// CoalesceDelay is how long a stream may wait for more events under high load, 0 to
	// relay each event at once.
	CoalesceDelay time.Duration
	// CPUStarved reports whether the process gets too little processor time for its load.
	// It may be nil.
	CPUStarved func() bool
	// StartRate paces the start of requests. It may be nil.
	StartRate *pacer.Rate
}

// Proxier is an http.Handler that proxies each request to an endpoint.
type Proxier struct {
	options            Options
	inFlight           inFlight
	bodyMemory         memory
	answerMemory       memory
	logDamper          damper.Damper // of log lines about requests that were not sent
	keyLogDamper       damper.Damper // of log lines about keys that no workspace holds
	retries            retryTracker
	workspaces         workspaceStats
	refusals           refusalRate
	outputs            estimator.Shared // output tokens of streams, by workspace and route
	closedBehind       atomic.Uint64    // connections closed behind answers to a flood
	prober             prober.Prober
	routers            atomic.Int64  // routers in the fleet, 0 if unknown
	received           atomic.Uint64 // requests that have arrived
	refused            atomic.Uint64 // requests refused, including those refused by Screen
	started            atomic.Uint64 // requests forwarded to endpoints
	refusedForCapacity atomic.Uint64 // requests refused for lack of router capacity
	lastPressure       atomic.Int64  // Unix time in ns of the last refusal for lack of capacity or share
}

// New returns a Proxier.
func New(options Options) *Proxier {
	p := &Proxier{options: options, bodyMemory: memory{limit: options.MaxTotalBodyBytes}, answerMemory: memory{limit: options.MaxTotalAnswerBytes}, keyLogDamper: damper.Damper{LinesPerSecond: maxKeyLogLines}}
	p.prober = prober.Prober{Observer: options.Crashes, Clock: options.Clock, Log: options.Log}
	options.Client.Matches = options.Dialect.Matches
	return p
}

// request is the state of one client request in flight.
type request struct {
	http   *http.Request
	writer http.ResponseWriter
	in     forwarder.Incoming
	route  *resolver.Route
	table  *resolver.Table

	service       string
	workspace     string
	target        string // path and query as the client sent them
	body          []byte
	reserved      int64             // bytes of body memory reserved for it
	answerHeld    int64             // bytes of answer memory reserved for it
	digest        uint64            // identifies the request across its repeats
	profile       localizer.Profile // what it has in common with other requests
	trial         bool              // it is the trial of a quarantined feature
	received      time.Time
	firstReceived time.Time // its first arrival here; before received if it is a retry of a refused request
	retryKey      uint64    // identifies the request across its retries, 0 if it cannot be identified
	deadline      time.Time // of the final answer

	sends            int              // attempts that sent at least one byte of it
	listAge          time.Duration    // age of the list of endpoints at the last send
	lastSend         bool             // no other endpoint may follow the one that has it
	unsentAttempts   int              // attempts that sent nothing of it
	mayHaveRun       bool             // an endpoint may have run it
	answerStarted    bool             // the client has got a part of the answer
	end              *framer.End      // of an answer that ends with the client's connection
	endpointAnswered bool             // an endpoint has begun to answer
	endpointAnswer   forwarder.Answer // hints that the last endpoint gave about itself
	framing          framer.Framing   // of the last endpoint's answer
	tried            map[string]bool  // ids of instances
	endpoint         string
	lastHeard        time.Time            // when it was sent to the last endpoint, or that endpoint last sent a part of its answer
	answerBegan      time.Time            // when the last endpoint began its answer, zero before that
	beyondShare      bool                 // it exceeds its workspace's guaranteed share
	standing         apportioner.Standing // as found when it arrived at a full router, owed otherwise
	prefillTokens    int                  // tokens that the last endpoint probably had to prefill
	fetchSource      netip.AddrPort       // engine from which the last endpoint was to fetch a prefix of the prompt
	fetchTokens      int                  // tokens that it probably fetched
	queueWait        time.Duration        // expected time until the endpoint finishes the prefills queued before it
	expectedFirst    time.Duration        // expected time until the first token
	slotWait         time.Duration        // part of queueWait until the endpoint has a free slot
	firstError       time.Duration        // observed minus expected time until the first token at the last endpoint
	status           int
	refusedBy        refusalCause
	reason           string
	timeToFirst      time.Duration // time until the first part of the answer
	stream           eventSplitter
	part             part     // what the last endpoint sends of the answer
	partEndpoints    []string // endpoints of the parts in their order; none for one complete part of a stream that no client resumes
	endedBy          cutCause // what ended its last attempt that may have run
	cutBy            cutCause // why its client's connection was closed without a complete answer
	quarantinedBy    string   // the feature for which it was refused, "" if it was not
	quarantinedPart  string   // the prompt part that is this feature, "" if it is the whole request
	logged           bool     // the request already has its log line
}

// ServeHTTP serves one request.
func (p *Proxier) ServeHTTP(w http.ResponseWriter, h *http.Request) {
	q := &request{http: h, writer: w, received: p.options.Clock.Now(), standing: apportioner.Standing{Owed: true}}
	p.received.Add(1)
	p.inFlight.enter()
	defer p.inFlight.leave()
	if p.inFlight.stopping() || p.options.DisablesKeepAlive != nil && p.options.DisablesKeepAlive() {
		w.Header().Set("Connection", "close")
	}
	q.in = p.options.Dialect.Read(h.Header)
	defer p.record(q)
	defer func() {
		p.bodyMemory.release(q.reserved)
		p.answerMemory.release(q.answerHeld)
	}()
	if p.admit(q) {
		if p.closesBehind(q.received, q.beyondShare) {
			w.Header().Set("Connection", "close")
		}
		p.boundWrites(q, q.deadline.Add(writeGrace))
		defer p.boundWrites(q, time.Time{})
		p.inFlight.enterWorkspace(q.workspace)
		defer p.inFlight.leaveWorkspace(q.workspace)
		p.forward(q)
	}
}

// boundWrites sets the deadline of writes to the client. A write blocks while the client does not read.
func (p *Proxier) boundWrites(q *request, until time.Time) {
	err := http.NewResponseController(q.writer).SetWriteDeadline(until)
	if err != nil && !errors.Is(err, net.ErrClosed) {
		p.options.Log.Debug().Err(err).Str("id", q.in.ID).Msg("write deadline could not be set; writes to the client have no time limit")
	}
}

// Received returns the number of requests received since the start.
func (p *Proxier) Received() uint64 {
	return p.received.Load()
}

// Started returns the number of requests admitted since the start.
func (p *Proxier) Started() uint64 {
	return p.started.Load()
}

// Refused returns the number of requests refused since the start.
func (p *Proxier) Refused() uint64 {
	return p.refused.Load()
}

// RefusedForCapacity returns the number of requests refused for lack of router capacity since the start.
func (p *Proxier) RefusedForCapacity() uint64 {
	return p.refusedForCapacity.Load()
}

// forward sends the request to endpoints until it has its final answer.
func (p *Proxier) forward(q *request) {
	p.started.Add(1)
	p.options.StartRate.Take(q.received, q.workspace)
	p.options.Budget.Request(q.received, q.service)
	ctx, cancel := context.WithTimeout(q.http.Context(), q.deadline.Sub(p.options.Clock.Now()))
	defer cancel()
	q.tried = make(map[string]bool)
	q.stream.lastID = q.in.Resume
	for {
		failure := p.attempt(ctx, q)
		if failure == nil {
			return
		}
		if !failure.unsent && !failure.notRun {
			q.mayHaveRun, q.endedBy = true, failure.endedBy
		}
		if !p.mayRetry(ctx, q, *failure) {
			// Requests that engines decline stay charged to the share. While engines accept few requests, the
			// number accepted grows with the number of tries, and a flood would try many times more often than
			// all other workspaces.
			if !q.endpointAnswered && !failure.notRun && p.sharesEngines(q) {
				p.options.Shares.Refund(q.workspace, float64(q.tokens()), q.beyondShare)
			}
			p.giveUp(ctx, q, *failure)
			return
		}
	}
}

// attemptFailure describes an attempt that has not answered the client, or not completely.
type attemptFailure struct {
	outcome    balancer.Outcome
	unsent     bool // no byte was sent
	crowded    bool // nothing was sent because too many connections to the endpoint are open
	endless    bool // the endpoint's answer does not end
	noEndpoint bool // there is also no endpoint to try
	overloaded bool // there are endpoints, but none has capacity
	notRun     bool // the endpoint answered that it did not run the request
	rejected   bool // the endpoint's answer does not go on where the stream is
	endedBy    cutCause
	reason     string
	// fallback is the endpoint's own error answer, which is relayed if no other attempt succeeds.
	fallback *bufferedAnswer
}

// rejected returns the failure of an attempt whose answer does not go on where the stream is. It says nothing
// about the endpoint's health.
func rejected(reason string) *attemptFailure {
	return &attemptFailure{outcome: balancer.Cancelled, rejected: true, endedBy: cutByEndpoint, reason: reason}
}

// mayRetry reports whether the request may be sent to another endpoint.
func (p *Proxier) mayRetry(ctx context.Context, q *request, e attemptFailure) bool {
	if ctx.Err() != nil || clientGone(q.http.Context()) {
		return false // each retry would open a connection for a client that is gone
	}
	if p.mayCrash(q, e) || p.outlastsStop(q) {
		return false
	}
	if q.answerStarted && q.stream.unnamed {
		return false
	}
	if e.noEndpoint || q.answerStarted && q.in.Work.Version == "" {
		return false // without the version of a begun stream, no endpoint is known to be able to resume it
	}
	if e.crowded {
		return true // it costs no time, and no endpoint is tried twice
	}
	if e.unsent {
		q.unsentAttempts++
		return q.unsentAttempts < maxUnsentAttempts
	}
	if q.lastSend || q.sends >= q.route.Attempts {
		return false
	}
	if !e.notRun && !q.route.Retryable() {
		return false
	}
	return p.options.Budget.Spend(p.options.Clock.Now(), q.service)
}

// giveUp gives the final answer of a request that no endpoint has answered.
func (p *Proxier) giveUp(ctx context.Context, q *request, e attemptFailure) {
	q.reason = e.reason
	switch {
	case q.stopped():
		p.endAtStop(q)
	case q.http.Context().Err() != nil || clientGone(q.http.Context()):
		q.reason = "the client left"
		p.cut(q, cutByClient)
	case p.outlastsStop(q):
		p.endAtStop(q)
	case q.answerStarted:
		p.cut(q, q.endedBy) // a truncated answer must not look complete
	case e.fallback != nil:
		p.sendAnswer(q, e.fallback)
	case !q.mayHaveRun && e.overloaded:
		p.refuse(q, byPressure, http.StatusServiceUnavailable, e.reason, p.pressureRetryAfter(q))
	case !q.mayHaveRun:
		left := p.options.Balancer.BackoffRemaining(p.options.Clock.Now(), q.service, &q.in.Work)
		p.refuse(q, byEndpoints, http.StatusServiceUnavailable, e.reason, max(minRetryAfter, left))
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		p.fail(q, http.StatusGatewayTimeout, "no answer in time")
	default:
		p.fail(q, http.StatusBadGateway, e.reason)
	}
}

// refuse answers that the request has not run and will not run.
func (p *Proxier) refuse(q *request, by refusalCause, status int, reason string, pause time.Duration) {
	q.refusedBy = by
	if by == byRouter && (p.options.Diverting != nil && p.options.Diverting() || p.closesBehind(q.received, !q.standing.Owed)) {
		// The client's next connection may reach a router that has capacity.
		q.writer.Header().Set("Connection", "close")
	}
	if pause > 0 {
		q.writer.Header().Set("Retry-After", strconv.FormatFloat(p.retryAfter(q, pause).Seconds(), 'f', 3, 64))
	}
	p.fail(q, status, reason)
}

// retryAfter remembers a refused request that its client may retry, and returns the
// pause before the retry, lengthened at random.
func (p *Proxier) retryAfter(q *request, pause time.Duration) time.Duration {
	if q.retryKey != 0 {
		p.retries.remember(q.received, q.retryKey, q.firstReceived)
	}
	return pause + time.Duration(retryJitter*rand.Float64()*float64(pause))
}

// fail answers with a status that the router itself sets.
func (p *Proxier) fail(q *request, status int, reason string) {
	q.status, q.reason = status, reason
	http.Error(q.writer, reason, status)
}
