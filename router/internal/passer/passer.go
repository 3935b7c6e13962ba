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
//   - nothing is sent for a client that has gone, and what runs for it is ended;
//   - every request has its final answer when its route's timeout is over.
package passer

import (
	"context"
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"shallotkeel.example/lib/apportioner"
	"shallotkeel.example/lib/balancer"
	"shallotkeel.example/lib/budgeter"
	"shallotkeel.example/lib/damper"
	"shallotkeel.example/lib/forwarder"
	"shallotkeel.example/lib/resolver"
)

const (
	// retrySoon is when a client may come back after a fault that is likely to
	// pass at once, such as an endpoint that was lost.
	retrySoon = 60 * time.Millisecond
	// startWait is how long a request waits for the first configuration of a router that
	// has just started: keepers that run bring it within some 0.1 s, and those that have
	// started with it within 0.4 s. Most callers come back only once, and a whole fleet
	// that has lost power has all of them before it at that moment.
	startWait = 400 * time.Millisecond
	// retryStart is when to come back to a router that still has none.
	retryStart = 500 * time.Millisecond
	// maxUnsent bounds the endpoints that are tried for one request before any of
	// them has got a byte of it. Each costs a dial's timeout if it is dark.
	maxUnsent = 4
	// lateShare is the part of its target after which a request that comes again
	// counts as late: engines with room answer within a third of the target.
	lateShare = 0.6
	// outputPrice is what a generated token counts against the tokens a second
	// that a configuration states; a token of the prompt counts once.
	outputPrice = 2
	// defaultBody bounds a request's body where the configuration does not.
	defaultBody = 4 << 20
)

// News is what the passer asks of the fleet's news.
type News interface {
	Table() *resolver.Table
	// Begun is closed once there is a table.
	Begun() <-chan struct{}
	Quarantined(digest uint64) bool
	Crashed(digest uint64)
}

// Options are what a Passer is made of.
type Options struct {
	Dialect  forwarder.Dialect
	News     News
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
	// Most is how many requests may be under way, 0 for any number.
	Most int
	// Gather is how long events of a stream may be gathered while there is much to
	// do, 0 for not at all.
	Gather time.Duration
	// Lags tells whether the process gets too little processor time for its work.
	// It may be nil.
	Lags func() bool
}

// Passer is an http.Handler.
type Passer struct {
	options Options
	drain   drain
	quietly damper.Damper
	returns returns
}

// New returns a passer.
func New(options Options) *Passer {
	p := &Passer{options: options}
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
	digest    uint64
	received  time.Time
	came      time.Time // here for the first time, if it was refused before
	name      uint64    // of this request and of those that repeat it, 0 if it has none
	until     time.Time // the final answer is due

	sends    int             // endpoints that got a byte of it
	unsent   int             // endpoints that could not be reached
	ran      bool            // an endpoint may have run it
	prepaid  atomic.Bool     // its next attempt has been taken off the budget
	begun    bool            // the client has a part of the answer
	tried    map[string]bool // instances
	endpoint string
	spare    bool          // it is beyond what its workspace has a right to
	reading  int           // tokens that the last endpoint probably had to read
	queue    time.Duration // for which that one still read what it had been sent
	expected time.Duration // until its first token
	status   int
	reason   string
	first    time.Duration // until the first part of the answer
	stream   events
	told     bool // a line of the log tells its story already
}

// ServeHTTP serves one request.
func (p *Passer) ServeHTTP(w http.ResponseWriter, h *http.Request) {
	q := &request{http: h, writer: w, received: p.options.Clock.Now()}
	p.drain.enter()
	defer p.drain.leave()
	if p.drain.stopping() || p.options.Crowded != nil && p.options.Crowded() {
		w.Header().Set("Connection", "close")
	}
	q.in = p.options.Dialect.Read(h.Header)
	defer p.record(q)
	if p.admit(q) {
		p.drain.enterFor(q.workspace)
		defer p.drain.leaveFor(q.workspace)
		p.pass(q)
	}
}

// admit finds the request's route and workspace and reads its body. It answers
// what cannot be passed on.
func (p *Passer) admit(q *request) bool {
	q.table = p.firstTable(q)
	if q.table == nil {
		p.refuse(q, http.StatusServiceUnavailable, "no configuration yet", retryStart)
		return false
	}
	q.target = targetOf(q.http)
	path, _, _ := strings.Cut(q.target, "?")
	route, found := q.table.Route(q.http.Host, path)
	if !found {
		p.refuse(q, http.StatusNotFound, "no route", 0)
		return false
	}
	q.route = route
	q.name = nameOf(q)
	q.came = p.returns.first(q.received, q.name)
	if !p.identify(q) {
		p.refuse(q, http.StatusUnauthorized, "no workspace holds the key", 0)
		return false
	}
	if p.busy(q) {
		// Whoever comes back reaches another router. Taking the request here would
		// make it late, and every other one with it.
		p.refuse(q, http.StatusServiceUnavailable, "this router has too much to do", retrySoon)
		return false
	}
	if !p.readBody(q) {
		return false
	}
	q.service = route.Pick(rand.Float64())
	q.until = q.received.Add(route.Timeout)
	if q.in.Deadline > 0 && q.in.Deadline < route.Timeout {
		q.until = q.received.Add(q.in.Deadline)
	}
	q.in.Work.Target = q.left()
	q.digest = fingerprint(q)
	if p.options.News.Quarantined(q.digest) {
		p.refuse(q, http.StatusServiceUnavailable, "it has crashed the endpoints that ran it", 0)
		return false
	}
	return p.withinShare(q)
}

// firstTable returns the configuration in force. It waits for the first one.
func (p *Passer) firstTable(q *request) *resolver.Table {
	if table := p.options.News.Table(); table != nil {
		return table
	}
	select {
	case <-p.options.News.Begun():
	case <-p.options.Clock.After(startWait):
	case <-q.http.Context().Done():
	}
	return p.options.News.Table()
}

// withinShare tells whether the request's workspace may use engines now. Only
// engines are shared by tokens; plain services take what comes.
func (p *Passer) withinShare(q *request) bool {
	service, found := q.table.Service(q.service)
	if !found || service.Engine == nil {
		return true
	}
	tokens := float64(q.tokens())
	d := p.options.Shares.Admit(q.received, q.workspace, tokens, q.late())
	if d.Admitted {
		q.spare = d.Spare
		return true
	}
	if p.quietly.Admit(q.received, p.options.Log) {
		p.options.Log.Info().Str("id", q.in.ID).Str("workspace", q.workspace).Float64("tokens", tokens).
			Float64("asked", d.Asked).Float64("share", d.Share).Float64("local", d.Local).Float64("stretch", d.Stretch).
			Dur("backlog_ms", d.Backlog).Dur("age_ms", d.Age).Dur("pause_ms", d.Pause).Msg("share used up")
	}
	q.told = true
	p.refuse(q, http.StatusTooManyRequests, "the workspace has used its share", max(d.Pause, retrySoon))
	return false
}

// tokens is what the request counts against its workspace's share.
func (q *request) tokens() int {
	return q.in.Work.Prompt + outputPrice*q.in.Work.Output
}

// left is what is left of the time within which the answer should begin. One that
// is late already is in no less hurry than one that came now.
func (q *request) left() time.Duration {
	return max(q.route.Target-q.received.Sub(q.came), q.route.Target/4)
}

// late tells whether the request was refused here so long ago that its answer can
// hardly be on time.
func (q *request) late() bool {
	return q.route.Target > 0 && q.received.Sub(q.came) >= time.Duration(lateShare*float64(q.route.Target))
}

// busy tells whether the router has no room for one more request of a workspace.
func (p *Passer) busy(q *request) bool {
	if p.options.Most == 0 {
		return false
	}
	full := p.Running() > p.options.Most || p.options.Lags != nil && p.options.Lags()
	return full && (q.late() || p.drain.crowds(q.workspace, p.options.Most))
}

// targetOf returns path and query exactly as the client wrote them.
func targetOf(h *http.Request) string {
	if strings.HasPrefix(h.RequestURI, "/") {
		return h.RequestURI
	}
	return h.URL.RequestURI()
}

func (p *Passer) identify(q *request) bool {
	if !q.table.Guarded() {
		return true
	}
	workspace, found := q.table.Workspace(q.in.Key)
	if found {
		q.workspace = workspace.Name
	}
	return found || q.route.Anonymous
}

// fingerprint names a request that may come again under another id.
func fingerprint(q *request) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	writeText(&digest, q.http.Host, q.target, q.in.Key)
	digest.Write(q.body) //nolint:errcheck // it cannot fail
	return digest.Sum64()
}

func writeText(digest *xxhash.Digest, texts ...string) {
	for _, text := range texts {
		digest.WriteString(text) //nolint:errcheck // it cannot fail
		digest.Write([]byte{0})  //nolint:errcheck // it cannot fail
	}
}

func writeCount(digest *xxhash.Digest, counts ...uint64) {
	var bytes [8]byte
	for _, count := range counts {
		binary.LittleEndian.PutUint64(bytes[:], count)
		digest.Write(bytes[:]) //nolint:errcheck // it cannot fail
	}
}

// pass sends the request until it has its ending.
func (p *Passer) pass(q *request) {
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
			p.giveUp(ctx, q, *next)
			return
		}
	}
}

// ending is how an attempt ended that has not answered the client.
type ending struct {
	outcome balancer.Outcome
	unsent  bool // no byte left
	notRun  bool // the endpoint said so
	reason  string
	// kept is an endpoint's own failure that is passed on if nothing better comes.
	kept *whole
}

// again tells whether the request may be sent to another endpoint.
func (p *Passer) again(ctx context.Context, q *request, e ending) bool {
	if ctx.Err() != nil {
		return false
	}
	if e.unsent {
		q.unsent++
		return q.unsent < maxUnsent
	}
	if q.sends >= q.route.Attempts {
		return false
	}
	if !e.notRun && !q.route.Repeats() {
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
	case !q.ran:
		p.refuse(q, http.StatusServiceUnavailable, e.reason, retrySoon)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		p.fail(q, http.StatusGatewayTimeout, "no answer in time")
	default:
		p.fail(q, http.StatusBadGateway, e.reason)
	}
}

// refuse answers that the request has not run and will not.
func (p *Passer) refuse(q *request, status int, reason string, retry time.Duration) {
	if retry > 0 {
		q.writer.Header().Set("Retry-After", strconv.FormatFloat(retry.Seconds(), 'f', 3, 64))
		if q.name != 0 {
			p.returns.refused(q.received, q.name, q.came)
		}
	}
	p.fail(q, status, reason)
}

// fail answers with a status of the router's own.
func (p *Passer) fail(q *request, status int, reason string) {
	q.status, q.reason = status, reason
	http.Error(q.writer, reason, status)
}

// record writes the one line that tells a request's story, and counts it.
func (p *Passer) record(q *request) {
	now := p.options.Clock.Now()
	took := now.Sub(q.received)
	p.options.Metrics.ended(q, took)
	if q.told || q.sends == 0 && q.unsent == 0 && !p.quietly.Admit(now, p.options.Log) {
		return
	}
	line := p.options.Log.Info()
	if q.reason != "" {
		line = p.options.Log.Warn()
	}
	if q.table != nil {
		line = line.Uint64("plan", q.table.Version())
	}
	if q.route != nil {
		line = line.Str("route", q.route.Name)
	}
	line.Str("id", q.in.ID).Str("workspace", q.workspace).Str("service", q.service).Str("endpoint", q.endpoint).
		Int("sends", q.sends).Int("unreached", q.unsent).Int("status", q.status).Str("reason", q.reason).
		Int("tokens", q.tokens()).Int("reading", q.reading).Bool("spare", q.spare).Dur("target_ms", q.in.Work.Target).
		Dur("queue_ms", q.queue).Dur("expected_ms", q.expected).Dur("since_ms", q.received.Sub(q.came)).
		Dur("first_ms", q.first).Dur("took_ms", took).Msg("request")
}
