package passer

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/ansel1/merry/v2"

	"shallotkeel.example/lib/balancer"
	"shallotkeel.example/lib/forwarder"
	"shallotkeel.example/lib/framer"
)

// wholeBytes is up to which size an answer that is no stream is read to its
// end before the client gets any of it. One that breaks off can then still be
// sent again or be told as a failure.
const wholeBytes = 64 << 10

// whole is an answer that was read to its end.
type whole struct {
	exchange *forwarder.Exchange // closed by now
	framing  framer.Framing
	body     []byte
}

// relayWhole passes on an answer that is no stream of events.
func (p *Passer) relayWhole(ctx context.Context, q *request, slot *balancer.Slot, x *forwarder.Exchange) *ending {
	body, err := io.ReadAll(io.LimitReader(x.Body, wholeBytes))
	if err != nil {
		return p.failed(ctx, q, merry.Errorf("%w: %w", forwarder.ErrBroken, err))
	}
	p.heard(q, slot)
	q.first = p.options.Clock.Since(q.received)
	if len(body) == wholeBytes {
		return p.relayLong(ctx, q, x, body)
	}
	read := &whole{exchange: x, framing: q.framing, body: body}
	if x.StatusCode >= http.StatusInternalServerError {
		return &ending{outcome: balancer.Faulty, reason: "the endpoint failed with " + strconv.Itoa(x.StatusCode), kept: read}
	}
	p.answer(q, read)
	return nil
}

// answer gives the client an endpoint's answer.
func (p *Passer) answer(q *request, a *whole) {
	q.framing = a.framing
	length := int64(len(a.body))
	switch {
	case q.http.Method == http.MethodHead:
		length = a.exchange.ContentLength // of what a GET would get
	case a.framing == framer.ByConnection:
		length = unknownLength
	}
	err := p.begin(q, a.exchange, length)
	if errors.Is(err, framer.ErrNoReset) {
		p.fail(q, http.StatusBadGateway, err.Error())
		return
	}
	if err == nil {
		_, err = q.writer.Write(a.body)
	}
	if err == nil {
		err = q.end.Whole(http.NewResponseController(q.writer))
	}
	if err != nil {
		q.reason = "the client left: " + err.Error()
	}
}

// unknownLength is that of an answer whose begin is passed on before its end has come.
const unknownLength = -1

// begin sends the head of an answer, once: a stream that goes on at another endpoint keeps that
// of its first. Without a length the answer is sent in chunks, unless its client knows none or
// its endpoint's answer ends with its connection; then it ends with the client's.
func (p *Passer) begin(q *request, x *forwarder.Exchange, length int64) error {
	if q.begun {
		return nil
	}
	if length == unknownLength && (q.framing == framer.ByConnection || !q.http.ProtoAtLeast(1, 1)) {
		end, err := framer.Unframe(q.writer, q.http)
		if err != nil {
			return err
		}
		q.end = end
	}
	q.begun, q.status = true, x.StatusCode
	if q.first == 0 {
		q.first = p.options.Clock.Since(q.received)
	}
	copyHeader(q.writer.Header(), x.Header)
	if length != unknownLength {
		q.writer.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	q.writer.WriteHeader(x.StatusCode)
	return nil
}

// relayLong passes on an answer piece by piece. Its length goes ahead of it, or it is sent in
// chunks, so that its client sees whether it was cut; one that ends with its connection is passed
// on as such, and reset where it breaks.
func (p *Passer) relayLong(ctx context.Context, q *request, x *forwarder.Exchange, begin []byte) *ending {
	err := p.begin(q, x, x.ContentLength)
	if err == nil {
		_, err = q.writer.Write(begin)
	}
	if err != nil {
		return &ending{outcome: balancer.Cancelled, reason: "the client left: " + err.Error()}
	}
	if _, err := io.Copy(q.writer, x.Body); err != nil {
		e := p.failed(ctx, q, merry.Errorf("%w: %w", forwarder.ErrBroken, err))
		e.reason = "the answer broke off"
		q.sends = q.route.Attempts // it cannot go on elsewhere
		return e
	}
	if err := q.end.Whole(http.NewResponseController(q.writer)); err != nil {
		return &ending{outcome: balancer.Cancelled, reason: "the client left: " + err.Error()}
	}
	return nil
}

// connectionHeaders concern the connection to the endpoint only.
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
