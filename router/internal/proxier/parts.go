package proxier

import (
	"bytes"
	"net/http"
	"strconv"

	"github.com/rs/zerolog"

	"shallotkeel.example/lib/balancer"
	"shallotkeel.example/lib/forwarder"
	"shallotkeel.example/lib/framer"
	"shallotkeel.example/lib/resolver"
)

// part is what one endpoint sends of an answer. A part of a stream is watched if its client already has events: its
// events are compared with those. The zero value is a part whose head has not arrived.
type part struct {
	number     int // from 1; 0 if its head has not arrived
	watched    bool
	inEvents   bool // it is relayed as an event stream
	status     int
	framing    framer.Framing
	lastBefore string // id of the last event that the client had before
	firstID    string // id of the first event
	lastID     string // id of the last event, or of the one before the part
	events     int
	withoutID  int // events without an id
	uneven     int // events whose id is not one higher than the one before
	bytes      int64
	line       []byte      // the start of a line whose end has not arrived
	event      eventFields // of the event whose end has not arrived
}

// beginPart notes that the head of an answer has arrived that is going to be relayed.
func (p *Proxier) beginPart(q *request, slot *balancer.Slot, x *forwarder.Exchange) {
	isStream := q.route.Kind == resolver.Stream
	q.part = part{
		number: len(q.partEndpoints) + 1, status: x.StatusCode, framing: q.framing, lastBefore: q.stream.lastID, lastID: q.stream.lastID,
		inEvents: isStream && x.StatusCode == http.StatusOK && isEventStream(x.Header),
		watched:  isStream && (q.answerStarted || q.in.Resume != ""),
	}
	if q.part.watched {
		p.partLine(q, slot).Int64("length", x.ContentLength).Msg("part of a stream begins")
	}
}

// endPart counts and logs how an endpoint's answer ended.
func (p *Proxier) endPart(q *request, slot *balancer.Slot, failure *attemptFailure) {
	if failure != nil && failure.endedBy == cutByEndpoint && failure.outcome == balancer.ConnectionBroken {
		p.options.Metrics.countBroken(q.part.framing, q.place())
	}
	if q.part.number > 0 && (q.part.watched || failure != nil && q.answerStarted) {
		q.partEndpoints = append(q.partEndpoints, slot.ID)
	}
	if !q.part.watched {
		return
	}
	result := q.part.result(failure)
	p.options.Metrics.countPart(q.part.number == 1, result)
	line, end := p.partLine(q, slot), "whole"
	if failure != nil {
		end = placeLabels[q.place()]
		if failure.rejected {
			end = "rejected"
		}
		line = line.Str("ended_by", cutLabels[failure.endedBy]).Str("reason", failure.reason)
	}
	if step, known := stepBetween(q.part.lastBefore, q.part.firstID); known {
		line = line.Int64("step", step)
	}
	line.Str("result", partLabels[result]).Str("end", end).Str("first_event", q.part.firstID).Str("last_event", q.part.lastID).
		Int("events", q.part.events).Int("without_id", q.part.withoutID).Int("uneven", q.part.uneven).
		Int64("bytes", q.part.bytes).Msg("part of a stream ended")
}

// partLine begins a log line about a part.
func (p *Proxier) partLine(q *request, slot *balancer.Slot) *zerolog.Event {
	content := "other"
	if q.part.inEvents {
		content = "events"
	}
	return p.options.Log.Info().Str("id", q.in.ID).Str("resumes", q.in.Resumes).Str("service", q.service).Str("endpoint", slot.ID).
		Str("version", slot.Version).Int("number", q.part.number).Int("status", q.part.status).Str("content", content).
		Str("framing", q.part.framing.String()).Str("after_event", q.part.lastBefore)
}

// addParts adds to the line of a request what its client got, if that was in parts or was cut.
func (q *request) addParts(line *zerolog.Event) *zerolog.Event {
	if len(q.partEndpoints) == 0 {
		return line
	}
	return line.Int("answer_parts", len(q.partEndpoints)).Strs("answer_endpoints", q.partEndpoints).Str("last_event", q.stream.lastID)
}

// maxObservedBytes is how much of a line is kept. Lines with ids are short.
const maxObservedBytes = 128

// observe reads what has arrived of the part, also of events that are not relayed. Events of a watched part are compared
// with those before.
func (a *part) observe(piece []byte) {
	a.bytes += int64(len(piece))
	if !a.watched || !a.inEvents {
		return
	}
	for line := range bytes.Lines(piece) {
		a.line = append(a.line, line[:min(len(line), maxObservedBytes-len(a.line))]...)
		if !bytes.HasSuffix(line, []byte("\n")) {
			return
		}
		a.addLine(bytes.TrimRight(a.line, "\r\n"))
		a.line = a.line[:0]
	}
}

// addLine adds a line of an event, or its end.
func (a *part) addLine(line []byte) {
	if len(line) > 0 {
		a.event.note(line)
		return
	}
	if a.event.hasData {
		a.addEvent(a.event.id)
	}
	a.event = eventFields{}
}

func (a *part) addEvent(id string) {
	a.events++
	if a.events == 1 {
		a.firstID = id
	}
	if id == "" {
		a.withoutID++
		return
	}
	if step, known := stepBetween(a.lastID, id); known && step != 1 && a.events > 1 {
		a.uneven++
	}
	a.lastID = id
}

// stepBetween returns by how much the number of an event is higher than that of the event before, if both have one.
func stepBetween(before, id string) (step int64, known bool) {
	from, errFrom := strconv.ParseInt(before, 10, 64)
	to, errTo := strconv.ParseInt(id, 10, 64)
	return to - from, errFrom == nil && errTo == nil
}

// partResult is how a watched part continues the events that its client has.
type partResult uint8

const (
	partContinues    partResult = iota // its first event is the next one
	partSkips                          // its first event is a later one
	partRepeats                        // its first event is one that the client has
	partIsUnnamed                      // its first event has no id
	partIncomparable                   // the ids are not numbers
	partIsOther                        // a success that is not an event stream
	partIsPlain                        // another status
	partIsEmpty                        // it ended without an event
	partIsBroken                       // it broke off before its first event
)

// partLabels are the values of part results in metrics and log lines.
var partLabels = map[partResult]string{
	partContinues: "goes_on", partSkips: "gap", partRepeats: "repeated", partIsUnnamed: "without_id", partIncomparable: "no_number",
	partIsOther: "other_type", partIsPlain: "plain", partIsEmpty: "empty", partIsBroken: "broken",
}

func (a *part) result(failure *attemptFailure) partResult {
	step, known := stepBetween(a.lastBefore, a.firstID)
	switch {
	case a.status != http.StatusOK:
		return partIsPlain
	case !a.inEvents:
		return partIsOther
	case a.events == 0 && failure != nil:
		return partIsBroken
	case a.events == 0:
		return partIsEmpty
	case a.firstID == "":
		return partIsUnnamed
	case !known:
		return partIncomparable
	case step > 1:
		return partSkips
	case step < 1:
		return partRepeats
	}
	return partContinues
}

// place is where an answer ended early.
type place uint8

const (
	inHead        place = iota // no valid head arrived
	inBody                     // in an answer that is not an event stream
	insideEvent                // the beginning of an event arrived
	betweenEvents              // behind a complete event, or before the first one
)

// placeLabels are the values of places in metrics and log lines.
var placeLabels = map[place]string{inHead: "head", inBody: "body", insideEvent: "event", betweenEvents: "between"}

// place returns how far the last endpoint's answer has arrived.
func (q *request) place() place {
	switch {
	case q.part.number == 0:
		return inHead
	case !q.part.inEvents:
		return inBody
	case len(q.stream.partial) > 0:
		return insideEvent
	}
	return betweenEvents
}
