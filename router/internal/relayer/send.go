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

// errStalled is the cause of an attempt's end when its endpoint has sent nothing for too long.
var errStalled = merry.Sentinel("the endpoint stalls")

// send sends the request to the endpoint of its slot, relays the answer, and returns the event for
// the attempt's ending.
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

// exchange sends the request and relays the answer. Besides the event it returns a description of
// the failure, empty for a success. The attempt's context ends before that of the request if the
// endpoint stalls.
func (r *Relayer) exchange(ctx, attemptCtx context.Context, cancel context.CancelCauseFunc, q *request) (tracker.Event, string) {
	connected := httptrace.WithClientTrace(attemptCtx, &httptrace.ClientTrace{
		// The transport calls it before it writes the first byte, from this goroutine.
		GotConn: func(httptrace.GotConnInfo) {
			q.attempt.connected = true
			r.apply(q, tracker.Event{Kind: tracker.Connected})
		},
	})
	out, err := q.outgoing(connected)
	if err != nil {
		return tracker.Event{Kind: tracker.Unreachable}, err.Error()
	}
	transport := r.repeatable
	if q.key != "" {
		transport = r.nonRepeatable
	}
	stall := r.startStallTimer(q, cancel)
	defer stall.stop()
	response, err := transport.RoundTrip(out)
	if err != nil {
		return r.failureEvent(ctx, q, err), err.Error()
	}
	defer response.Body.Close()
	if err := framer.Check(response); err != nil {
		return r.failureEvent(ctx, q, err), err.Error()
	}
	if event, refused := r.refusedByEndpoint(q, response); refused {
		return event, "status " + strconv.Itoa(response.StatusCode)
	}
	return r.relay(ctx, q, response, stall)
}

// refusedByEndpoint returns true and the event for a response that is no answer to the request: one
// to another request, a refusal to start it, or an engine's error status that another engine may
// not return.
func (r *Relayer) refusedByEndpoint(q *request, response *http.Response) (tracker.Event, bool) {
	if id := response.Header.Get(headerRequestID); id != "" && id != q.id {
		r.metrics.dropped.WithLabelValues(droppedForeign).Inc()
		return tracker.Event{Kind: tracker.AttemptFailed}, true
	}
	r.noteBackoff(q, response)
	// No status can follow the tokens of an answer, and another engine may resume it.
	resumed := q.chat != nil && q.sequence.next > 0
	if response.Header.Get(headerStarted) == "no" {
		switch response.StatusCode {
		case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
			if !resumed {
				return tracker.Event{Kind: tracker.Rejected, Code: tracker.CodeBadBody}, true
			}
		}
		return tracker.Event{Kind: tracker.NotStarted}, true
	}
	if q.chat != nil && response.StatusCode != http.StatusOK && (resumed || !isRequestFault(response.StatusCode)) {
		return tracker.Event{Kind: tracker.AttemptFailed}, true
	}
	return tracker.Event{}, false
}

// isRequestFault reports whether an engine's status means that the request itself is at fault, so
// that other engines would reject it as well.
func isRequestFault(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusConflict, http.StatusTooManyRequests:
		return false
	default:
		return status >= 400 && status < 500
	}
}

// relay relays the endpoint's answer to the caller and returns as exchange does.
func (r *Relayer) relay(ctx context.Context, q *request, response *http.Response, stall *stallTimer) (tracker.Event, string) {
	var err error
	if q.chat != nil && response.StatusCode == http.StatusOK {
		err = r.relayEvents(q, response.Body, stall)
	} else {
		stall.stop()
		q.attempt.passedThrough = true
		err = r.relayBody(q, response)
	}
	switch {
	case err == nil && q.attempt.unframed:
		return tracker.Event{Kind: tracker.ConnectionClosed}, ""
	case err == nil:
		return tracker.Event{Kind: tracker.AnswerCompleted}, ""
	case errors.Is(err, errTooLong):
		q.reason = "the answer is too long to be sent whole; ask for a stream"
		return tracker.Event{Kind: tracker.AttemptFailed, Code: tracker.CodeEndpointFailed}, err.Error()
	default:
		return r.failureEvent(ctx, q, err), err.Error()
	}
}

// failureEvent returns the event for an attempt that ended with an error.
func (r *Relayer) failureEvent(ctx context.Context, q *request, err error) tracker.Event {
	switch {
	case ctx.Err() != nil:
		return interruption(ctx)
	case !q.attempt.connected:
		return tracker.Event{Kind: tracker.Unreachable}
	case errors.Is(err, errCaller):
		return tracker.Event{Kind: tracker.CallerGone}
	case q.upload != nil && q.upload.readErr != nil:
		return r.uploadFailed(q)
	default:
		q.attempt.crashed = isCrash(err)
		return tracker.Event{Kind: tracker.AttemptFailed}
	}
}

// uploadFailed returns the event for a request whose caller stopped in the middle of its body. The
// endpoint has received a part of the body and may have started the request.
func (r *Relayer) uploadFailed(q *request) tracker.Event {
	if !q.outlivesCaller.Load() {
		return tracker.Event{Kind: tracker.CallerGone}
	}
	r.detach(q)
	return tracker.Event{Kind: tracker.AttemptFailed}
}

// isCrash reports whether an endpoint's connection broke as it does when the endpoint's process
// dies. A timeout is not a crash, because a network partition causes it as well.
func isCrash(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// detach continues the request without its caller. The endpoint's answer is kept for the record of
// the idempotency key, so that a resend gets it.
func (r *Relayer) detach(q *request) {
	r.note(q, "caller gone", "the answer is awaited for its record", "")
	r.apply(q, tracker.Event{Kind: tracker.CallerGone})
	q.caller.discard = true
}

// deliver writes a part of the answer to the caller. If begins is set, it first applies
// AnswerStarted to the tracker. A request that outlives its caller is detached when the write fails.
func (r *Relayer) deliver(q *request, begins bool, write func() error) error {
	if begins && q.tracker.State() == tracker.Sent && !q.caller.discard {
		// The event precedes the write: a write that fails midway may have sent a part of the answer.
		r.apply(q, tracker.Event{Kind: tracker.AnswerStarted})
	}
	err := write()
	if err != nil && errors.Is(err, errCaller) && q.outlivesCaller.Load() && q.caller.ctx.Err() == nil {
		r.detach(q)
		return nil
	}
	return err
}

// noteFirstUnit records the time to the attempt's first token or byte, and the time to the first
// token of a chat.
func (r *Relayer) noteFirstUnit(q *request) {
	if q.attempt.timeToFirst != 0 {
		return
	}
	now := r.options.Clock.Now()
	r.options.Crashes.AnswerBegan(lifetimeOf(q.slot))
	q.attempt.timeToFirst = max(now.Sub(q.attempt.started), time.Millisecond)
	if q.chat != nil && q.sequence.next == 1 {
		r.metrics.firstToken.Observe(now.Sub(q.received).Seconds())
	}
}

// relayEvents relays the events of a model engine's stream. It returns nil if the answer is complete.
func (r *Relayer) relayEvents(q *request, body io.Reader, stall *stallTimer) error {
	events := newEventReader(body)
	_, streams := q.sink.(*streamSink)
	for {
		data, err := events.next()
		if err != nil {
			return q.checkComplete(err)
		}
		stall.reset()
		if string(data) == streamDone {
			return q.checkComplete(errUnfinished)
		}
		event, verdict := q.sequence.judge(data)
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
			q.attempt.units++
			r.metrics.tokens.Inc()
			r.noteFirstUnit(q)
			q.slot.Progress(q.attempt.units)
		}
		q.recorder.addEvent(event)
		if err := r.deliver(q, streams, func() error { return q.sink.event(data, event) }); err != nil {
			return err
		}
	}
}

// errUnfinished is the error of a stream that ended before its answer was complete.
var errUnfinished = merry.Sentinel("the stream ended before the answer")

// checkComplete returns nil if the stream, which ended with err, has carried the complete answer.
func (q *request) checkComplete(err error) error {
	if q.sequence.finished {
		return nil
	}
	return merry.Errorf("%w: %w", errStream, err)
}

// copyBufferBytes is the size of the buffer through which the answer of a plain service is copied.
const copyBufferBytes = 32 << 10

// relayBody relays an answer byte for byte. It returns nil if the answer has been read to its end.
func (r *Relayer) relayBody(q *request, response *http.Response) error {
	q.recorder.status, q.recorder.contentType = response.StatusCode, response.Header.Get("Content-Type")
	q.attempt.unframed = framer.Of(q.http.Method, response) == framer.ByConnection
	q.recorder.omitted = q.attempt.unframed
	err := r.deliver(q, true, func() error { return q.relayHeaders(response) })
	if err != nil {
		return err
	}
	buffer := make([]byte, copyBufferBytes)
	for {
		n, readErr := response.Body.Read(buffer)
		if n > 0 {
			r.noteFirstUnit(q)
			q.recorder.add(buffer[:n])
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

// relayHeaders sends the status and the headers of the endpoint's answer.
func (q *request) relayHeaders(response *http.Response) error {
	if q.caller.discard {
		return nil
	}
	if q.attempt.unframed {
		return q.relayUnframedHeaders(response)
	}
	to := q.caller.writer.Header()
	copyHeaders(to, response.Header)
	if response.ContentLength >= 0 && q.http.Method != http.MethodHead {
		// With its length, a truncated answer cannot be mistaken for a complete one.
		to.Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	q.caller.sendHead(response.StatusCode)
	return q.caller.write(nil)
}

// relayUnframedHeaders sends the headers of an answer that ends with its connection. Its outcome is
// sent as unknown rather than answered, because a truncation of such an answer cannot be detected.
func (q *request) relayUnframedHeaders(response *http.Response) error {
	if err := q.caller.unframe(q.http); err != nil {
		return err
	}
	copyHeaders(q.caller.writer.Header(), response.Header)
	q.caller.sendHeadAs(tracker.OutcomeUnknown, response.StatusCode)
	return q.caller.write(nil)
}

// notForwarded are the headers that belong to one connection or to the router itself.
var notForwarded = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Expect": true, "Content-Length": true, "Host": true, "Authorization": true,
	headerOutcome: true, headerRequestID: true, headerKey: true, headerNoRepeat: true, headerStarted: true,
	headerWorkspace: true, headerResumeFrom: true, headerTraceparent: true, headerReplayed: true, headerLeaving: true, "Tracestate": true,
}

// copyHeaders copies the end-to-end headers, without those that Connection lists.
func copyHeaders(to, from http.Header) {
	dropped := strings.ToLower(strings.Join(from.Values("Connection"), ","))
	for name, values := range from {
		if notForwarded[name] || strings.Contains(dropped, strings.ToLower(name)) {
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

// outgoingChat returns a chat completion for an engine. It asks to resume after the tokens that have
// been received already.
func (q *request) outgoingChat(ctx context.Context) (*http.Request, error) {
	target := "http://" + q.slot.Address().String() + "/v1/chat/completions"
	out, err := http.NewRequestWithContext(ctx, http.MethodPost, target, opaque{bytes.NewReader(q.chat.Body)})
	if err != nil {
		return nil, merry.Wrap(err)
	}
	out.ContentLength = int64(len(q.chat.Body))
	out.Header.Set("Content-Type", contentJSON)
	if q.sequence.next > 0 {
		out.Header.Set(headerResumeFrom, strconv.Itoa(q.sequence.next))
	}
	q.identify(ctx, out)
	return out, nil
}

// outgoingCall returns the call for an endpoint of a plain service.
func (q *request) outgoingCall(ctx context.Context) (*http.Request, error) {
	// The path is forwarded with its original escapes, for services that distinguish %2F from a slash.
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

// identify sets the headers that identify the request to an endpoint.
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

// stallTimer cancels an attempt whose endpoint sends nothing. A frozen process or a network partition
// causes no reset, and the caller would otherwise wait for the request timeout although another
// endpoint could resume the answer.
type stallTimer struct {
	timer clockwork.Timer
	limit time.Duration
}

// startStallTimer starts the timer, which also covers the time until the first event. A call of a
// plain service may take the whole request timeout, because the router does not know how long the
// call should take. So may an attempt that no other one may follow: its endpoint may go on, and nothing
// else can give the caller its answer.
func (r *Relayer) startStallTimer(q *request, cancel context.CancelCauseFunc) *stallTimer {
	limit := r.limits.EndpointStallTimeout
	if q.chat == nil || !q.tracker.MayRetry() {
		limit = r.limits.RequestTimeout
	}
	return &stallTimer{
		timer: r.options.Clock.AfterFunc(limit, func() { cancel(errStalled) }),
		limit: limit,
	}
}

// reset restarts the timer after the endpoint has sent something.
func (t *stallTimer) reset() {
	t.timer.Reset(t.limit)
}

// stop stops the timer.
func (t *stallTimer) stop() {
	t.timer.Stop()
}
