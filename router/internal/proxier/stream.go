package proxier

import (
	"bytes"
	"context"
	"errors"
	"io"
	"mime"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"shallotkeel.example/lib/balancer"
	"shallotkeel.example/lib/forwarder"
	"shallotkeel.example/lib/framer"
)

// maxEventBytes limits an event, which is held back until it is complete.
const maxEventBytes = 256 << 10

// eventSplitter splits a stream into events, so that the stream can be resumed between two events.
// The zero value is a stream of which nothing has arrived.
type eventSplitter struct {
	sequence
	partial      []byte    // the start of an event whose end has not arrived
	versionNoted time.Time // when the software version at which the stream began was last recorded
	events       int       // events among those that the last call of split returned
}

// split adds a piece of the stream and returns the events that are complete. With an error it returns those
// before the event that is invalid. The result is valid until the next call.
func (e *eventSplitter) split(piece []byte) ([]byte, error) {
	e.partial = append(e.partial, piece...)
	end := lastEnd(e.partial)
	if end == 0 && len(e.partial) > maxEventBytes {
		return nil, merry.New("an event of the stream is too long")
	}
	complete := e.partial[:end:end]
	e.partial = append([]byte(nil), e.partial[end:]...)
	e.events = 0
	var fields eventFields
	sound, at := 0, 0
	for line := range bytes.Lines(complete) {
		at += len(line)
		if len(bytes.TrimRight(line, "\r\n")) > 0 {
			fields.note(line)
			continue
		}
		if err := e.add(fields); err != nil {
			return complete[:sound], err
		}
		if fields.hasData {
			e.events++ // comments, which keep connections alive, are no events
		}
		sound, fields = at, eventFields{}
	}
	return complete, nil
}

// lastEnd returns the offset at which the last complete event ends: after an empty line.
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

// errPartialEvent means that a stream ended inside an event: its endpoint truncated it, even if
// its connection or its framing ended cleanly.
var errPartialEvent = merry.Sentinel("the stream ended inside an event")

// isEventStream reports whether an answer is an event stream. An answer without a content type is one.
func isEventStream(header http.Header) bool {
	kind := header.Get("Content-Type")
	media, _, err := mime.ParseMediaType(kind)
	return kind == "" || err == nil && media == "text/event-stream"
}

// relayStream relays a stream as it arrives, in complete events.
func (p *Proxier) relayStream(ctx context.Context, q *request, slot *balancer.Slot, x *forwarder.Exchange) *attemptFailure {
	buffer := make([]byte, streamBufferBytes)
	flusher := http.NewResponseController(q.writer)
	q.stream.partial = nil
	q.stream.resume()
	inEvents, prefilled := isEventStream(x.Header), false
	if !inEvents && (q.answerStarted || q.stream.lastID != "") {
		p.noteAnswerStarted(q, slot)
		return rejected("the endpoint answered with " + x.Header.Get("Content-Type") + " to a stream that has begun")
	}
	for {
		n, readErr := x.Body.Read(buffer)
		if n > 0 {
			p.noteAnswerStarted(q, slot)
			if !prefilled {
				prefilled = true
				slot.NotePrefilled(p.options.Clock.Now())
			}
			piece := buffer[:n]
			q.part.observe(piece)
			var invalid error
			if inEvents {
				if !p.holdAnswer(q, int64(len(piece)+len(q.stream.partial))) {
					return &attemptFailure{outcome: balancer.Cancelled, endedBy: cutByMemory, reason: "the answers of other requests hold all the memory reserved for answers"}
				}
				piece, invalid = q.stream.split(piece)
			}
			if inEvents && len(piece) > 0 {
				p.noteVersion(q, slot)
				slot.NoteEvents(q.lastHeard, q.stream.events)
			}
			if err := p.relayPiece(q, flusher, x, piece); err != nil {
				q.lastSend = true // the events before the resume point may not have reached the client
				return unwritten(err)
			}
			if invalid != nil {
				return rejected(invalid.Error())
			}
			p.holdAnswer(q, int64(len(q.stream.partial)))
		}
		if readErr == nil {
			p.coalesce(q)
			continue
		}
		if errors.Is(readErr, io.EOF) && len(q.stream.partial) == 0 {
			p.learnOutput(q, slot)
			return p.endStream(q, flusher, x)
		}
		if errors.Is(readErr, io.EOF) {
			readErr = errPartialEvent
		}
		if !inEvents && q.answerStarted {
			q.lastSend = true // the rest cannot come from another endpoint
		}
		return p.failed(ctx, q, slot, merry.Errorf("%w: %w", forwarder.ErrBroken, readErr))
	}
}

// coalesce waits under high load, so that the next read returns several events. Each event that is
// relayed alone costs two system calls and two wake-ups.
func (p *Proxier) coalesce(q *request) {
	if p.options.CoalesceDelay == 0 || !q.answerStarted || 2*p.Running() < p.options.MaxRequests {
		return
	}
	select {
	case <-q.http.Context().Done():
	case <-p.options.Clock.After(p.options.CoalesceDelay):
	}
}

// streamBufferBytes is the size of a stream's read buffer; an event has about 100 bytes.
const streamBufferBytes = 4 << 10

// relayPiece writes a piece of the stream to the client and flushes it.
func (p *Proxier) relayPiece(q *request, flusher *http.ResponseController, x *forwarder.Exchange, piece []byte) error {
	if len(piece) == 0 {
		return nil
	}
	if err := p.sendHead(q, x, unknownLength); err != nil {
		return err
	}
	if _, err := q.writer.Write(piece); err != nil {
		return err
	}
	return flusher.Flush()
}

// endStream ends the client's stream in the way its endpoint ended it. A stream that began with
// framing is truncated if its last endpoint used none: a framed end would claim that the stream is
// complete, which is unknown.
func (p *Proxier) endStream(q *request, flusher *http.ResponseController, x *forwarder.Exchange) *attemptFailure {
	if q.answerStarted && q.end == nil && q.framing == framer.ByConnection {
		return &attemptFailure{outcome: balancer.Served, endedBy: cutByFraming, reason: "the stream was resumed at an endpoint whose answer has no framing, so its end does not show whether it is complete"}
	}
	err := p.sendHead(q, x, unknownLength)
	if err == nil {
		err = q.end.Complete(flusher)
	}
	if err != nil {
		return unwritten(err)
	}
	return nil
}
