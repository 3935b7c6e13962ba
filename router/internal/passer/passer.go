// Package passer passes clients' requests on to endpoints, byte for byte, and
// their answers back.
//
// Each request runs in its own goroutine from its arrival to its one final
// answer, under the configuration that was in force when it came.
//
// Invariants:
//   - a request that may not repeat is written to one endpoint at most, unless
//     that endpoint said that it did not run it;
//   - "not run" is told only if no byte of the request has left, or each endpoint
//     that got it said so, and nothing of it is sent afterwards;
//   - a client gets an answer whole, or sees it cut: one that ends early never
//     looks complete;
//   - a stream holds events of one version of the endpoints' software;
//   - nothing is sent for a client that has gone, and what runs for it is ended;
//   - every request has its final answer when its route's timeout is over.
package passer

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"shallotkeel.example/lib/apportioner"
	"shallotkeel.example/lib/balancer"
	"shallotkeel.example/lib/budgeter"
	"shallotkeel.example/lib/damper"
	"shallotkeel.example/lib/forwarder"
	"shallotkeel.example/lib/framer"
	"shallotkeel.example/lib/pacer"
	"shallotkeel.example/lib/resolver"
	"shallotkeel.example/lib/versioner"
)

const (
	// retrySoon is when a client may come back after a fault that is likely to
	// pass at once, such as an endpoint that was lost.
	retrySoon = 60 * time.Millisecond
	// retrySpread is by which part a pause is lengthened at random. Those that were refused
	// at one moment would else come back at one moment, and most be refused again.
	retrySpread = 0.5
	// maxUnsent bounds the endpoints that are tried for one request before any of
	// them has got a byte of it. Each costs a dial's timeout if it is dark.
	maxUnsent = 4
	// writeGrace is for how long a client may still be sent its answer when the request's time
	// is over. One that reads nothing would hold its request, and its endpoint's, for good.
	writeGrace = time.Second
)

// News is what the passer asks of the fleet's news.
type News interface {
	Table() *resolver.Table
	// Begun is closed once there is a table.
	Begun() <-chan struct{}
	Quarantined(digest uint64) bool
	Crashed(digest uint64)
}

// Streams knows at which software version streams began.
type Streams interface {
	// Begun notes where a stream began or goes on.
	Begun(name versioner.StreamID, origin versioner.Origin)
	// Find returns where a stream began, if that is known.
	Find(ctx context.Context, name versioner.StreamID) (versioner.Origin, bool)
	// Widen learns of endpoints where streams of an origin may go on, if there are any.
	Widen(ctx context.Context, origin versioner.Origin)
}

// Options are what a Passer is made of.
type Options struct {
	Dialect  forwarder.Dialect
	News     News
	Streams  Streams
	Balancer *balancer.Balancer
	Budget   *budgeter.Budgeter
	Shares   *apportioner.Apportioner
	Client   *forwarder.Client
	Clock    clockwork.Clock
	Log      zerolog.Logger
	Metrics  *Metrics
	// Crowded tells whether so many clients are connected that connections are
	// closed behind their answers. It may be nil.
	Crowded func() bool
	// Away tells whether new clients are sent to other routers. It may be nil.
	Away func() bool
	// Most is how many requests may be under way, 0 for any number.
	Most int
	// HeldBytes is how many bytes of requests' bodies may be held, 0 for any number.
	HeldBytes int64
	// Gather is how long events of a stream may be gathered while there is much to
	// do, 0 for not at all.
	Gather time.Duration
	// Lags tells whether the process gets too little processor time for its work.
	// It may be nil.
	Lags func() bool
	// Starts paces how many requests begin. It may be nil.
	Starts *pacer.Rate
}

// Passer is an http.Handler.
type Passer struct {
	options Options
	drain   drain
	holding holding
	quietly damper.Damper
	keys    damper.Damper // of lines on keys that nobody holds
	returns returns
	ledger  ledger
	odds    odds
	taken   atomic.Uint64 // requests that came
	refused atomic.Uint64 // and were refused, those that were only screened included
	started atomic.Uint64 // and were sent to endpoints
	forRoom atomic.Uint64 // requests that were refused for want of room
	pressed atomic.Int64  // when a request was refused last for want of room or share, in ns of the Unix time
}

// New returns a passer.
func New(options Options) *Passer {
	p := &Passer{options: options, holding: holding{most: options.HeldBytes}, keys: damper.Damper{LinesPerSecond: mostKeyLines}}
	options.Client.OwnAnswer = options.Dialect.Own
	return p
}

// request is one client's request under way.
type request struct {
	http   *http.Request
	writer http.ResponseWriter
	in     forwarder.Incoming
	route  *resolver.Route
	table  *resolver.Table

	service   string
	workspace string
	target    string
	body      []byte
	held      int64 // bytes that are held for it
	digest    uint64
	received  time.Time
	came      time.Time // here for the first time, if it was refused before
	name      uint64    // of this request and of those that repeat it, 0 if it has none
	until     time.Time // the final answer is due

	sends    int              // endpoints that got a byte of it
	unsent   int              // endpoints that could not be reached
	ran      bool             // an endpoint may have run it
	prepaid  atomic.Bool      // its next attempt has been taken off the budget
	begun    bool             // the client has a part of the answer
	end      *framer.End      // of an answer that ends with the client's connection
	answered bool             // an endpoint has begun to answer
	said     forwarder.Answer // what the last endpoint said of itself
	framing  framer.Framing   // of the last endpoint's answer
	tried    map[string]bool  // instances
	endpoint string
	spare    bool          // it is beyond what its workspace has a right to
	reading  int           // tokens that the last endpoint probably had to read
	queue    time.Duration // for which that one still read what it had been sent
	expected time.Duration // until its first token
	status   int
	refused  verdict
	reason   string
	first    time.Duration // until the first part of the answer
	stream   events
	told     bool // a line of the log tells its story already
}

// ServeHTTP serves one request.
func (p *Passer) ServeHTTP(w http.ResponseWriter, h *http.Request) {
	q := &request{http: h, writer: w, received: p.options.Clock.Now()}
	p.taken.Add(1)
	p.drain.enter()
	defer p.drain.leave()
	if p.drain.stopping() || p.options.Crowded != nil && p.options.Crowded() {
		w.Header().Set("Connection", "close")
	}
	q.in = p.options.Dialect.Read(h.Header)
	defer p.record(q)
	defer func() { p.holding.give(q.held) }()
	if p.admit(q) {
		p.boundWrites(q, q.until.Add(writeGrace))
		defer p.boundWrites(q, time.Time{})
		p.drain.enterFor(q.workspace)
		defer p.drain.leaveFor(q.workspace)
		p.pass(q)
	}
}

// boundWrites sets until when the client may be written to. Writes wait for it to read.
func (p *Passer) boundWrites(q *request, until time.Time) {
	err := http.NewResponseController(q.writer).SetWriteDeadline(until)
	if err != nil && !errors.Is(err, net.ErrClosed) {
		p.options.Log.Debug().Err(err).Str("id", q.in.ID).Msg("writes to the client are not bounded")
	}
}

// Taken returns how many requests have come since the start.
func (p *Passer) Taken() uint64 {
	return p.taken.Load()
}

// Started returns how many requests were let in since the start, and Refused how many were not.
func (p *Passer) Started() uint64 {
	return p.started.Load()
}

// Refused returns how many requests were refused since the start.
func (p *Passer) Refused() uint64 {
	return p.refused.Load()
}

// RefusedForRoom returns how many requests were refused for want of room since the start.
func (p *Passer) RefusedForRoom() uint64 {
	return p.forRoom.Load()
}

// pass sends the request until it has its ending.
func (p *Passer) pass(q *request) {
	p.started.Add(1)
	p.options.Starts.Take(q.received, q.workspace)
	p.options.Budget.Request(q.received, q.service)
	ctx, cancel := context.WithTimeout(q.http.Context(), q.until.Sub(p.options.Clock.Now()))
	defer cancel()
	q.tried = make(map[string]bool)
	q.stream.last = q.in.Resume
	for {
		next := p.attempt(ctx, q)
		if next == nil {
			return
		}
		q.ran = q.ran || !next.unsent && !next.notRun
		if !p.again(ctx, q, *next) {
			// What engines decline stays counted. While they take little, that goes by how often it is
			// tried, and a flood would try many times as often as everybody else.
			if !q.answered && !next.notRun && p.sharesEngines(q) {
				p.options.Shares.Refund(q.workspace, float64(q.tokens()), q.spare)
			}
			p.giveUp(ctx, q, *next)
			return
		}
	}
}

// ending is how an attempt ended that has not answered the client.
type ending struct {
	outcome balancer.Outcome
	unsent  bool // no byte left
	nowhere bool // and there is no endpoint to try
	pressed bool // those that there are have no room
	notRun  bool // the endpoint said so
	reason  string
	// kept is an endpoint's own failure that is passed on if nothing better comes.
	kept *whole
}

// again tells whether the request may be sent to another endpoint.
func (p *Passer) again(ctx context.Context, q *request, e ending) bool {
	if ctx.Err() != nil || gone(q.http.Context()) {
		return false // asked again for nobody, each endpoint would get a connection
	}
	if e.nowhere || q.begun && q.in.Work.Version == "" {
		return false // of what began at a version that nobody knows, nobody knows where it may go on
	}
	if e.unsent {
		q.unsent++
		return q.unsent < maxUnsent
	}
	if q.sends >= q.route.Attempts {
		return false
	}
	if !e.notRun && !q.route.Retryable() {
		return false
	}
	return q.prepaid.Swap(false) || p.options.Budget.Spend(p.options.Clock.Now(), q.service)
}

// giveUp gives the final answer of a request that no endpoint has answered.
func (p *Passer) giveUp(ctx context.Context, q *request, e ending) {
	q.reason = e.reason
	switch {
	case q.http.Context().Err() != nil || gone(q.http.Context()):
		q.reason = "the client left"
		panic(http.ErrAbortHandler)
	case q.begun:
		panic(http.ErrAbortHandler) // a part must not look like the whole
	case e.kept != nil:
		p.answer(q, e.kept)
	case !q.ran && e.pressed:
		p.refuse(q, byPressure, http.StatusServiceUnavailable, e.reason, p.pressurePause(q))
	case !q.ran:
		left := p.options.Balancer.BackoffRemaining(p.options.Clock.Now(), q.service, &q.in.Work)
		p.refuse(q, byEndpoints, http.StatusServiceUnavailable, e.reason, max(retrySoon, left))
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		p.fail(q, http.StatusGatewayTimeout, "no answer in time")
	default:
		p.fail(q, http.StatusBadGateway, e.reason)
	}
}

// refuse answers that the request has not run and will not.
func (p *Passer) refuse(q *request, by verdict, status int, reason string, retry time.Duration) {
	q.refused = by
	if by == byRouter && p.options.Away != nil && p.options.Away() {
		// Its client's next connection may reach a router that has room.
		q.writer.Header().Set("Connection", "close")
	}
	if retry > 0 {
		q.writer.Header().Set("Retry-After", strconv.FormatFloat(p.comeBack(q, retry).Seconds(), 'f', 3, 64))
	}
	p.fail(q, status, reason)
}

// comeBack remembers a refused request whose client may come back after a pause, and
// returns that pause, lengthened at random.
func (p *Passer) comeBack(q *request, retry time.Duration) time.Duration {
	if q.name != 0 {
		p.returns.refused(q.received, q.name, q.came)
	}
	return retry + time.Duration(retrySpread*rand.Float64()*float64(retry))
}

// fail answers with a status of the router's own.
func (p *Passer) fail(q *request, status int, reason string) {
	q.status, q.reason = status, reason
	http.Error(q.writer, reason, status)
}
