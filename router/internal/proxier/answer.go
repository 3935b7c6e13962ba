package proxier

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"shallotkeel.example/lib/balancer"
	"shallotkeel.example/lib/forwarder"
	"shallotkeel.example/lib/framer"
)

// maxBufferedAnswerBytes is the size below which an answer that is not a stream is read completely
// before any of it is sent to the client. If such an answer is truncated, the request can still be
// retried or answered with an error.
const maxBufferedAnswerBytes = 64 << 10

// maxErrorBytes bounds an error answer without a length. Such an answer may have no end, and would be relayed
// until the deadline of its request. Error pages with stack traces have some hundred KB at most.
const maxErrorBytes = 1 << 20

const (
	// maxRefusalBytes bounds the body of a refusal. Refusals have a line of text.
	maxRefusalBytes = 16 << 10
	// maxRefusalWait is how long the body of a refusal is waited for. It usually arrives with the head, and
	// its request could be sent to another endpoint meanwhile.
	maxRefusalWait = 100 * time.Millisecond
)

// bufferedAnswer is an answer that has been read to its end.
type bufferedAnswer struct {
	exchange *forwarder.Exchange // already closed
	framing  framer.Framing
	body     []byte
}

// relayPlain relays an answer that is not an event stream.
func (p *Proxier) relayPlain(ctx context.Context, q *request, slot *balancer.Slot, x *forwarder.Exchange) *attemptFailure {
	if x.StatusCode >= http.StatusInternalServerError {
		return p.relayError(ctx, q, slot, x)
	}
	if q.answerStarted {
		p.noteAnswerStarted(q, slot)
		return rejected("the endpoint answered with " + strconv.Itoa(x.StatusCode) + " to a stream that has begun")
	}
	body, ended, err := p.bufferAnswer(q, x.Body, maxBufferedAnswerBytes)
	if err != nil {
		return p.failed(ctx, q, slot, merry.Errorf("%w: %w", forwarder.ErrBroken, err))
	}
	p.noteAnswerStarted(q, slot)
	if x.StatusCode < http.StatusMultipleChoices {
		slot.NotePrefilled(p.options.Clock.Now())
	}
	q.timeToFirst = p.options.Clock.Since(q.received)
	if !ended {
		return p.relayUnbuffered(ctx, q, slot, x, x.Body, body)
	}
	p.sendAnswer(q, &bufferedAnswer{exchange: x, framing: q.framing, body: body})
	return nil
}

// bufferAnswer reads the beginning of an answer, and reports whether the answer ended there: if it has limit
// bytes or more, or if other answers hold the memory, the rest is left unread.
func (p *Proxier) bufferAnswer(q *request, from io.Reader, limit int) (body []byte, ended bool, err error) {
	body = make([]byte, 0, minBufferBytes)
	for {
		n, err := from.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, true, nil
		case err != nil:
			return nil, false, err
		case len(body) < cap(body):
			continue
		case len(body) >= limit || !p.holdAnswer(q, 2*int64(cap(body))):
			return body, false, nil
		}
		grown := make([]byte, len(body), 2*cap(body))
		copy(grown, body)
		body = grown
	}
}

const (
	// minBufferBytes is the buffer that each answer may have even if other answers hold all the memory
	// reserved for answers: a read of a stream and the beginning of an event. The number of requests in flight
	// bounds the sum of these.
	minBufferBytes = 2 * streamBufferBytes
	// copyBufferBytes is the buffer for the rest of a long answer if the memory is available.
	copyBufferBytes = 32 << 10
)

// holdAnswer reserves memory for the part of its answer that a request holds now, and reports whether it was
// available. A client that does not read keeps the part, so that many such clients together could exceed the
// instance's memory.
func (p *Proxier) holdAnswer(q *request, bytes int64) bool {
	if bytes <= minBufferBytes {
		bytes = 0
	}
	if bytes > q.answerHeld && !p.answerMemory.reserve(bytes-q.answerHeld) {
		return false
	}
	if bytes < q.answerHeld {
		p.answerMemory.release(q.answerHeld - bytes)
	}
	q.answerHeld = bytes
	return true
}

// discardRefusal discards the body of a refusal, and reports whether the refusal was a valid answer. If the end
// of its body is late, the connection is closed, which says nothing about the endpoint.
func (p *Proxier) discardRefusal(q *request, x *forwarder.Exchange) bool {
	err := x.Discard(maxRefusalBytes, maxRefusalWait)
	if err != nil {
		p.options.Log.Debug().Err(err).Str("id", q.in.ID).Msg("body of the endpoint's refusal did not end; its connection is closed")
	}
	return err == nil || errors.Is(err, os.ErrDeadlineExceeded)
}

// sendAnswer sends a buffered answer of an endpoint to the client.
func (p *Proxier) sendAnswer(q *request, a *bufferedAnswer) {
	q.framing = a.framing
	length := int64(len(a.body))
	switch {
	case q.http.Method == http.MethodHead:
		length = a.exchange.ContentLength // the length that a GET would get
	case a.framing == framer.ByConnection:
		length = unknownLength
	}
	err := p.sendHead(q, a.exchange, length)
	if errors.Is(err, framer.ErrNoReset) {
		p.fail(q, http.StatusBadGateway, err.Error())
		return
	}
	if err == nil {
		_, err = q.writer.Write(a.body)
	}
	if err == nil {
		err = q.end.Complete(http.NewResponseController(q.writer))
	}
	if err != nil {
		q.reason, q.cutBy = writeFailure(err), cutByClient
	}
}

// unwritten returns the failure of an attempt whose answer could not be written to its client.
func unwritten(err error) *attemptFailure {
	cause := cutByClient
	if errors.Is(err, framer.ErrNoReset) {
		cause = cutByFraming
	}
	return &attemptFailure{outcome: balancer.Cancelled, endedBy: cause, reason: writeFailure(err)}
}

// writeFailure says why an answer could not be written to its client.
func writeFailure(err error) string {
	if errors.Is(err, framer.ErrNoReset) {
		return err.Error()
	}
	return "the client left: " + err.Error()
}

// unknownLength is the length of an answer whose head is sent before its end has been read.
const unknownLength = -1

// sendHead sends the head of an answer, once: a stream that is resumed at another endpoint keeps the
// head from the first one. An answer without a length is sent chunked, unless the client does not
// support chunks or the endpoint's answer ends with its connection; then the answer ends with the
// client's connection.
func (p *Proxier) sendHead(q *request, x *forwarder.Exchange, length int64) error {
	if q.answerStarted {
		return nil
	}
	if length == unknownLength && (q.framing == framer.ByConnection || !q.http.ProtoAtLeast(1, 1)) {
		end, err := framer.Unframe(q.writer, q.http)
		if err != nil {
			return err
		}
		q.end = end
	}
	q.answerStarted, q.status = true, x.StatusCode
	if q.timeToFirst == 0 {
		q.timeToFirst = p.options.Clock.Since(q.received)
	}
	copyHeader(q.writer.Header(), x.Header)
	if length != unknownLength {
		q.writer.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	q.writer.WriteHeader(x.StatusCode)
	return nil
}

// relayUnbuffered relays an answer piece by piece: its head, and the rest. It is sent with its length or chunked, so that
// the client can detect truncation. An answer that ends with its connection is relayed in the same
// way, and the client's connection is reset if the answer is truncated.
func (p *Proxier) relayUnbuffered(ctx context.Context, q *request, slot *balancer.Slot, x *forwarder.Exchange, rest io.Reader, head []byte) *attemptFailure {
	err := p.sendHead(q, x, x.ContentLength)
	if err == nil {
		q.lastSend = true // the rest cannot come from another endpoint
		_, err = q.writer.Write(head)
	}
	if err != nil {
		return unwritten(err)
	}
	size := copyBufferBytes
	if !p.holdAnswer(q, copyBufferBytes) {
		size = minBufferBytes
	}
	// The writer is hidden, because its own copy has a buffer that is not counted.
	if _, err := io.CopyBuffer(struct{ io.Writer }{q.writer}, rest, make([]byte, size)); err != nil {
		e := p.failed(ctx, q, slot, merry.Errorf("%w: %w", forwarder.ErrBroken, err))
		e.reason = "the answer broke off"
		return e
	}
	if err := q.end.Complete(http.NewResponseController(q.writer)); err != nil {
		return unwritten(err)
	}
	return nil
}

// connectionHeaders apply only to the connection to the endpoint and are not relayed.
var connectionHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Transfer-Encoding": true, "Content-Length": true, "Upgrade": true, "Trailer": true,
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !connectionHeaders[name] {
			to[name] = values
		}
	}
}
