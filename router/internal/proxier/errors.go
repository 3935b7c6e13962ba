package proxier

import (
	"context"
	"errors"
	"io"
	"strconv"

	"github.com/ansel1/merry/v2"

	"shallotkeel.example/lib/balancer"
	"shallotkeel.example/lib/forwarder"
)

// errEndless means that an error answer without a length has maxErrorBytes or more.
var errEndless = merry.Sentinel("the endpoint's error answer does not end")

// errorReader reads the body of an error answer. It fails at maxErrorBytes if the answer has no length.
type errorReader struct {
	exchange *forwarder.Exchange
	read     int64 // bytes
}

func (r *errorReader) Read(buffer []byte) (int, error) {
	n, err := r.exchange.Body.Read(buffer)
	r.read += int64(n)
	if err == nil && r.exchange.ContentLength < 0 && r.read >= maxErrorBytes {
		err = errEndless
	}
	return n, err
}

// cause returns why the answer was not read to its end. More than the usual size of an answer by the deadline
// of its request means that it has no end.
func (r *errorReader) cause(ctx context.Context, err error) error {
	if r.exchange.ContentLength < 0 && r.read >= maxBufferedAnswerBytes && errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return errEndless
	}
	return err
}

// relayError returns an answer that says that the endpoint has failed as the fallback of the failed attempt. If
// the answer is too long for that, it is relayed, or dropped if the request may be repeated instead.
func (p *Proxier) relayError(ctx context.Context, q *request, slot *balancer.Slot, x *forwarder.Exchange) *attemptFailure {
	from := &errorReader{exchange: x}
	limit := maxErrorBytes
	if x.ContentLength > maxErrorBytes {
		limit = maxBufferedAnswerBytes
	}
	body, ended, err := p.bufferAnswer(q, from, limit)
	if err != nil {
		return p.failed(ctx, q, slot, merry.Errorf("%w: %w", forwarder.ErrBroken, from.cause(ctx, err)))
	}
	p.noteAnswerStarted(q, slot)
	q.timeToFirst = p.options.Clock.Since(q.received)
	failure := &attemptFailure{outcome: balancer.Faulty, endedBy: cutByEndpoint, reason: "the endpoint failed with " + strconv.Itoa(x.StatusCode)}
	switch {
	case ended:
		failure.fallback = &bufferedAnswer{exchange: x, framing: q.framing, body: body}
	case !q.answerStarted && (len(body) >= limit || !q.route.Retryable() || q.sends >= q.route.Attempts):
		return p.relayUnbuffered(ctx, q, slot, x, from, body)
	default:
		// There is no memory for the answer. Another endpoint's is better than one that is relayed as final, and
		// behind the events of a stream it must not be relayed at all.
		p.holdAnswer(q, 0)
		if _, err := io.CopyBuffer(struct{ io.Writer }{io.Discard}, from, make([]byte, minBufferBytes)); err != nil {
			return p.failed(ctx, q, slot, merry.Errorf("%w: %w", forwarder.ErrBroken, from.cause(ctx, err)))
		}
	}
	return failure
}
