package relayer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"

	"shallotkeel.example/lib/framer"
	"shallotkeel.example/lib/tracer"
	"shallotkeel.example/lib/tracker"
)

// errStalled says that an endpoint sent nothing for too long.
var errStalled = merry.Sentinel("the endpoint stalls")

// send sends the request to the endpoint of its slot, relays the answer, and
// returns how the attempt ended.
func (r *Relayer) send(ctx context.Context, q *request) tracker.Event {
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	attemptCtx, span := r.options.Tracer.Start(attemptCtx, "endpoint", "endpoint", q.slot.Endpoint())
	event, failure := r.exchange(ctx, attemptCtx, cancel, q)
	span.End(failure)
	if failure != "" {
		r.note(q, "attempt failed", failure, "")
	}
	return event
}

func (r *Relayer) exchange(ctx, attemptCtx context.Context, cancel context.CancelCauseFunc, q *request) (tracker.Event, string) {
	connected := httptrace.WithClientTrace(attemptCtx, &httptrace.ClientTrace{
		// It is called before the first byte is written, by this goroutine.
		GotConn: func(httptrace.GotConnInfo) {
			q.spent.connected = true
			r.apply(q, tracker.Event{Kind: tracker.Connected})
		},
	})
	out, err := q.outgoing(connected)
	if err != nil {
		return tracker.Event{Kind: tracker.Unreachable}, err.Error()
	}
	transport := r.repeatable
	if q.key != "" {
		transport = r.once
	}
	watch := r.watch(q, cancel)
	defer watch.stop()
	response, err := transport.RoundTrip(out)
	if err != nil {
		return r.broken(ctx, q, err), err.Error()
	}
	defer response.Body.Close()
	if event, refused := r.refusedByEndpoint(q, response); refused {
		return event, "status " + strconv.Itoa(response.StatusCode)
	}
	return r.relay(ctx, q, response, watch)
}

// refusedByEndpoint handles answers that are none to the request.
func (r *Relayer) refusedByEndpoint(q *request, response *http.Response) (tracker.Event, bool) {
	if id := response.Header.Get(headerRequestID); id != "" && id != q.id {
		r.metrics.dropped.WithLabelValues(droppedForeign).Inc()
		return tracker.Event{Kind: tracker.AttemptFailed}, true
	}
	r.noteSaid(q, response)
	if response.Header.Get(headerStarted) == "no" {
		switch response.StatusCode {
		case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
			return tracker.Event{Kind: tracker.Rejected, Code: tracker.CodeBadBody}, true
		}
		return tracker.Event{Kind: tracker.NotStarted}, true
	}
	if q.chat != nil && response.StatusCode != http.StatusOK && !wrongRequest(response.StatusCode) {
		return tracker.Event{Kind: tracker.AttemptFailed}, true
	}
	return tracker.Event{}, false
}

// wrongRequest tells whether an engine's status says that the request is at
// fault, so that no other engine would answer it either.
func wrongRequest(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusConflict, http.StatusTooManyRequests:
		return false
	default:
		return status >= 400 && status < 500
	}
}

// relay hands the answer on.
func (r *Relayer) relay(ctx context.Context, q *request, response *http.Response, watch *watch) (tracker.Event, string) {
	var err error
	if q.chat != nil && response.StatusCode == http.StatusOK {
		err = r.relayEvents(q, response.Body, watch)
	} else {
		watch.stop()
		q.spent.passed = true
		err = r.relayBody(q, response)
	}
	switch {
	case err == nil && q.spent.unframed:
		return tracker.Event{Kind: tracker.ConnectionClosed}, ""
	case err == nil:
		return tracker.Event{Kind: tracker.AnswerCompleted}, ""
	case errors.Is(err, errTooLong):
		q.reason = "the answer is too long to be sent whole; ask for a stream"
		return tracker.Event{Kind: tracker.AttemptFailed, Code: tracker.CodeEndpointFailed}, err.Error()
	default:
		return r.broken(ctx, q, err), err.Error()
	}
}

// broken is the event for an attempt that ended with an error.
func (r *Relayer) broken(ctx context.Context, q *request, err error) tracker.Event {
	switch {
	case ctx.Err() != nil:
		return interruption(ctx)
	case !q.spent.connected:
		return tracker.Event{Kind: tracker.Unreachable}
	case errors.Is(err, errCaller):
		return tracker.Event{Kind: tracker.CallerGone}
	case q.upload != nil && q.upload.err != nil:
		return r.uploadFailed(q)
	default:
		q.spent.crashed = crash(err)
		return tracker.Event{Kind: tracker.AttemptFailed}
	}
}

// uploadFailed ends a request whose caller stopped in the middle of its body.
// The endpoint has a part of it, and may have started.
func (r *Relayer) uploadFailed(q *request) tracker.Event {
	if !q.persist.Load() {
		return tracker.Event{Kind: tracker.CallerGone}
	}
	r.detach(q)
	return tracker.Event{Kind: tracker.AttemptFailed}
}

// crash tells whether an endpoint's connection broke as it does when its
// process dies. A timeout is none: a cut network looks like that.
func crash(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// detach goes on without the caller: what the endpoint answers is kept for the
// record, so that a resend hears it.
func (r *Relayer) detach(q *request) {
	r.note(q, "caller gone", "the answer is awaited for its record", "")
	r.apply(q, tracker.Event{Kind: tracker.CallerGone})
	q.caller.discard = true
}

// deliver tells the tracker that the caller gets a part of the answer, and
// hands it over. A request that may not repeat outlives its caller.
func (r *Relayer) deliver(q *request, begins bool, write func() error) error {
	if begins && q.tracker.State() == tracker.Sent && !q.caller.discard {
		// Before the write: if it fails half-way, the caller may have a part.
		r.apply(q, tracker.Event{Kind: tracker.AnswerStarted})
	}
	err := write()
	if err != nil && errors.Is(err, errCaller) && q.persist.Load() && q.caller.ended.Err() == nil {
		r.detach(q)
		return nil
	}
	return err
}

func (r *Relayer) firstUnit(q *request) {
	if q.spent.first != 0 {
		return
	}
	now := r.options.Clock.Now()
	q.spent.first = max(now.Sub(q.spent.began), time.Millisecond)
	if q.chat != nil && q.order.next == 1 {
		r.metrics.firstToken.Observe(now.Sub(q.received).Seconds())
	}
}

// relayEvents relays a stream. It returns no error when the answer is whole.
func (r *Relayer) relayEvents(q *request, body io.Reader, watch *watch) error {
	from := newEvents(body)
	_, streams := q.sink.(*streamSink)
	for {
		data, err := from.next()
		if err != nil {
			return q.cut(err)
		}
		watch.touch()
		if string(data) == streamDone {
			return q.cut(errUnfinished)
		}
		event, verdict := q.order.judge(data)
		switch {
		case verdict.broken != "":
			return merry.Errorf("%w: %s", errStream, verdict.broken)
		case verdict.dropped != "":
			r.metrics.dropped.WithLabelValues(verdict.dropped).Inc()
			continue
		case !verdict.relay:
			continue
		}
		if verdict.token {
			q.spent.units++
			r.metrics.tokens.Inc()
			r.firstUnit(q)
			q.slot.Progress(q.spent.units)
		}
		q.keep.event(event)
		if err := r.deliver(q, streams, func() error { return q.sink.event(data, event) }); err != nil {
			return err
		}
	}
}

// errUnfinished says that a stream ended before its answer did.
var errUnfinished = merry.Sentinel("the stream ended before the answer")

// cut says whether a stream that ended has carried the whole answer.
func (q *request) cut(err error) error {
	if q.order.finished {
		return nil
	}
	return merry.Errorf("%w: %w", errStream, err)
}

const copyPiece = 32 << 10

// relayBody relays an answer as it is. It returns no error when it has come to its end.
func (r *Relayer) relayBody(q *request, response *http.Response) error {
	q.keep.status, q.keep.kind = response.StatusCode, response.Header.Get("Content-Type")
	q.spent.unframed = framer.Of(q.http.Method, response) == framer.ByConnection
	q.keep.omitted = q.spent.unframed
	err := r.deliver(q, true, func() error { return q.passHeaders(response) })
	if err != nil {
		return err
	}
	buffer := make([]byte, copyPiece)
	for {
		n, readErr := response.Body.Read(buffer)
		if n > 0 {
			r.firstUnit(q)
			q.keep.add(buffer[:n])
			if err := r.deliver(q, true, func() error { return q.caller.write(buffer[:n]) }); err != nil {
				return err
			}
		}
		if errors.Is(readErr, io.EOF) {
			return r.deliver(q, true, q.caller.finish)
		}
		if readErr != nil {
			return readErr
		}
	}
}

// passHeaders sends the headers of an endpoint's answer.
func (q *request) passHeaders(response *http.Response) error {
	if q.caller.discard {
		return nil
	}
	if q.spent.unframed {
		return q.passUnframed(response)
	}
	to := q.caller.writer.Header()
	copyHeaders(to, response.Header)
	if response.ContentLength >= 0 && q.http.Method != http.MethodHead {
		// With its length, an answer that is cut cannot be taken for a whole one.
		to.Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	q.caller.begin(response.StatusCode)
	return q.caller.write(nil)
}

// passUnframed sends the headers of an answer that ends with its connection. Nobody knows whether
// it will be whole, so that its outcome is not told as answered.
func (q *request) passUnframed(response *http.Response) error {
	if err := q.caller.unframe(q.http); err != nil {
		return err
	}
	copyHeaders(q.caller.writer.Header(), response.Header)
	q.caller.beginAs(tracker.OutcomeUnknown, response.StatusCode)
	return q.caller.write(nil)
}

// private headers belong to one connection, or to the router itself.
var private = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Expect": true, "Content-Length": true, "Host": true, "Authorization": true,
	headerOutcome: true, headerRequestID: true, headerKey: true, headerNoRepeat: true, headerStarted: true,
	headerWorkspace: true, headerResumeFrom: true, headerTraceparent: true, headerReplayed: true, headerLeaving: true, "Tracestate": true,
}

// copyHeaders copies the headers that go from end to end.
func copyHeaders(to, from http.Header) {
	dropped := strings.ToLower(strings.Join(from.Values("Connection"), ","))
	for name, values := range from {
		if private[name] || strings.Contains(dropped, strings.ToLower(name)) {
			continue
		}
		to[name] = append([]string(nil), values...)
	}
}

// outgoing returns the request for the endpoint of the slot.
func (q *request) outgoing(ctx context.Context) (*http.Request, error) {
	if q.chat != nil {
		return q.outgoingChat(ctx)
	}
	return q.outgoingCall(ctx)
}

func (q *request) outgoingChat(ctx context.Context) (*http.Request, error) {
	target := "http://" + q.slot.Address().String() + "/v1/chat/completions"
	out, err := http.NewRequestWithContext(ctx, http.MethodPost, target, opaque{bytes.NewReader(q.chat.Body)})
	if err != nil {
		return nil, merry.Wrap(err)
	}
	out.ContentLength = int64(len(q.chat.Body))
	out.Header.Set("Content-Type", contentJSON)
	if q.order.next > 0 {
		out.Header.Set(headerResumeFrom, strconv.Itoa(q.order.next))
	}
	q.identify(ctx, out)
	return out, nil
}

func (q *request) outgoingCall(ctx context.Context) (*http.Request, error) {
	// The escaped path is kept as it came, for services that tell %2F from a slash.
	_, path, _ := strings.Cut(strings.TrimPrefix(q.http.URL.EscapedPath(), "/v1/services/"), "/")
	target := "http://" + q.slot.Address().String() + "/" + path
	if q.http.URL.RawQuery != "" {
		target += "?" + q.http.URL.RawQuery
	}
	out, err := http.NewRequestWithContext(ctx, q.http.Method, target, opaque{q.upload.reader()})
	if err != nil {
		return nil, merry.Wrap(err)
	}
	out.ContentLength = q.upload.length(q.http.ContentLength)
	copyHeaders(out.Header, q.http.Header)
	q.identify(ctx, out)
	return out, nil
}

// identify adds the headers by which an endpoint knows the request.
func (q *request) identify(ctx context.Context, out *http.Request) {
	out.Header.Set(headerRequestID, q.id)
	out.Header.Set(headerWorkspace, q.workspace.Name)
	key := q.key
	if key == "" {
		key = q.http.Header.Get(headerKey)
	}
	if key != "" {
		out.Header.Set(headerKey, key)
	}
	tracer.Inject(ctx, out.Header)
}

// watch ends an attempt whose endpoint sends nothing: a frozen process or a cut
// network sends no reset, and the caller would wait until its request's time is
// over although another endpoint could go on.
type watch struct {
	timer clockwork.Timer
	limit time.Duration
}

// watch covers the time until the first event as well. Plain services are not
// watched: how long a call takes is theirs to know.
func (r *Relayer) watch(q *request, cancel context.CancelCauseFunc) *watch {
	limit := r.limits.EndpointStall
	if q.chat == nil {
		limit = r.limits.RequestTimeout
	}
	return &watch{
		timer: r.options.Clock.AfterFunc(limit, func() { cancel(errStalled) }),
		limit: limit,
	}
}

func (w *watch) touch() {
	w.timer.Reset(w.limit)
}

func (w *watch) stop() {
	w.timer.Stop()
}
