package passer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"mime"
	"net/http"

	"github.com/ansel1/merry/v2"

	"shallotkeel.example/lib/balancer"
	"shallotkeel.example/lib/forwarder"
	"shallotkeel.example/lib/framer"
)

// maxEvent bounds an event that is held back until it is whole.
const maxEvent = 256 << 10

// events splits a stream, so that a resumed one goes on between two events. Its
// zero value is a stream of which nothing has come.
type events struct {
	last  string // id of the last event that was passed on
	held  []byte // the begin of an event whose end has not come
	noted bool   // the version of the software that began it has been noted
}

// take returns the whole events that stand so far. What it returns is valid
// until the next call.
func (e *events) take(piece []byte) ([]byte, error) {
	e.held = append(e.held, piece...)
	end := lastEnd(e.held)
	if end == 0 && len(e.held) > maxEvent {
		return nil, merry.New("an event of the stream is too long")
	}
	whole := e.held[:end:end]
	e.held = append([]byte(nil), e.held[end:]...)
	for _, line := range bytes.Split(whole, []byte("\n")) {
		if id, found := bytes.CutPrefix(line, []byte("id:")); found {
			e.last = string(bytes.TrimSpace(id))
		}
	}
	return whole, nil
}

// lastEnd returns where the last whole event ends: behind an empty line.
func lastEnd(text []byte) int {
	end := 0
	if at := bytes.LastIndex(text, []byte("\n\n")); at >= 0 {
		end = at + 2
	}
	if at := bytes.LastIndex(text, []byte("\n\r\n")); at >= 0 {
		end = max(end, at+3)
	}
	return end
}

// errInside means that a stream ended where none ends: its endpoint broke it off, however
// cleanly its connection or its framing says so.
var errInside = merry.Sentinel("the stream ended inside an event")

// hasEvents tells whether an answer is a stream of events, as it is unless it says otherwise.
func hasEvents(header http.Header) bool {
	kind := header.Get("Content-Type")
	media, _, err := mime.ParseMediaType(kind)
	return kind == "" || err == nil && media == "text/event-stream"
}

// relayStream passes a stream on as it comes, by whole events.
func (p *Passer) relayStream(ctx context.Context, q *request, slot *balancer.Slot, x *forwarder.Exchange, watch *watch) *ending {
	buffer := make([]byte, readSize)
	flusher := http.NewResponseController(q.writer)
	q.stream.held = nil
	split := hasEvents(x.Header)
	for {
		n, readErr := x.Body.Read(buffer)
		if n > 0 {
			watch.touch()
			p.heard(q, slot)
			piece := buffer[:n]
			if split {
				var err error
				if piece, err = q.stream.take(piece); err != nil {
					return &ending{outcome: balancer.ConnectionBroken, reason: err.Error()}
				}
			}
			if split && len(piece) > 0 {
				p.noteVersion(q, slot)
			}
			if err := p.relayPiece(q, flusher, x, piece); err != nil {
				q.sends = q.route.Attempts // what it would go on behind may not have arrived
				return &ending{outcome: balancer.Cancelled, reason: "the client left: " + err.Error()}
			}
		}
		if readErr == nil {
			p.gather(q)
			continue
		}
		if errors.Is(readErr, io.EOF) && len(q.stream.held) == 0 {
			return p.endStream(q, flusher, x)
		}
		if errors.Is(readErr, io.EOF) {
			readErr = errInside
		}
		if !split && q.begun {
			q.sends = q.route.Attempts // it cannot go on elsewhere
		}
		return p.failed(ctx, q, merry.Errorf("%w: %w", forwarder.ErrBroken, readErr))
	}
}

// gather waits while there is much to do, so that the next read brings several
// events. Passed on one by one, each costs two system calls and two wake-ups.
func (p *Passer) gather(q *request) {
	if p.options.Gather == 0 || !q.begun || 2*p.Running() < p.options.Most {
		return
	}
	select {
	case <-q.http.Context().Done():
	case <-p.options.Clock.After(p.options.Gather):
	}
}

// readSize is a stream's buffer; an event has some 100 bytes.
const readSize = 4 << 10

func (p *Passer) relayPiece(q *request, flusher *http.ResponseController, x *forwarder.Exchange, piece []byte) error {
	if len(piece) == 0 {
		return nil
	}
	if err := p.begin(q, x, unknownLength); err != nil {
		return err
	}
	if _, err := q.writer.Write(piece); err != nil {
		return err
	}
	return flusher.Flush()
}

// endStream ends the stream as its endpoint did. A stream that began with framing and whose last
// endpoint gave none is cut: its end would say that it is whole, and nobody knows.
func (p *Passer) endStream(q *request, flusher *http.ResponseController, x *forwarder.Exchange) *ending {
	if q.begun && q.end == nil && q.framing == framer.ByConnection {
		return &ending{outcome: balancer.Served, reason: "the stream went on at an endpoint whose end tells nothing"}
	}
	err := p.begin(q, x, unknownLength)
	if err == nil {
		err = q.end.Whole(flusher)
	}
	if err != nil {
		return &ending{outcome: balancer.Cancelled, reason: "the client left: " + err.Error()}
	}
	return nil
}
