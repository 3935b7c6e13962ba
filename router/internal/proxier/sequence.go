package proxier

import (
	"bytes"
	"strconv"

	"github.com/ansel1/merry/v2"
)

var (
	// errRepeatedEvent means that an event is not after the last one: its endpoint runs the request anew.
	errRepeatedEvent = merry.Sentinel("an event of the stream is not after the last one")
	// errMissingEvents means that a resumed stream goes on after events that its client does not have.
	errMissingEvents = merry.Sentinel("events are missing between the last one and those of the resumed stream")
	// errUnknownPlace means that nothing shows whether a resumed stream goes on after its last event.
	errUnknownPlace = merry.Sentinel("the id of an event does not show whether the resumed stream goes on after the last one")
)

// sequence checks that the events of a stream have increasing ids. It spans all attempts of a request, and
// the events that its client has from an earlier one, so that a resumed stream goes on after the last event.
// The zero value is a stream without events.
type sequence struct {
	lastID  string // of the last event that has one
	resumed bool   // the next event is the first one of an endpoint that is to go on after lastID
	unnamed bool   // the last event has no id, so that no endpoint knows where to go on
	events  int    // events with an id that endpoints sent for this request
	uneven  bool   // one of them is not numbered one above the event before, or the first one 0 or 1
}

// resume prepares for the events of the next endpoint.
func (s *sequence) resume() {
	s.resumed = s.lastID != ""
}

// add adds the next event, or returns an error if it is not after the last one.
func (s *sequence) add(e eventFields) error {
	if !e.hasData {
		if s.resumed && e.id != "" && e.id != s.lastID {
			return errUnknownPlace // it would move the place where the client takes the stream up
		}
		return nil
	}
	if e.id == "" {
		if s.resumed {
			return errUnknownPlace
		}
		s.unnamed = true
		return nil
	}
	last, wasNumber := eventNumber(s.lastID)
	next, isNumber := eventNumber(e.id)
	gap := next > last+1 // last is 0 before the first event
	switch {
	case wasNumber && isNumber && next <= last, s.resumed && e.id == s.lastID:
		return errRepeatedEvent
	case s.resumed && wasNumber != isNumber:
		return errUnknownPlace
	case s.resumed && gap && s.isEven():
		return errMissingEvents
	}
	s.events++
	s.uneven = s.uneven || !isNumber || gap
	s.lastID, s.resumed, s.unnamed = e.id, false, false
	return nil
}

// eventNumber returns the number that an id is, 0 if it is none.
func eventNumber(id string) (number uint64, isNumber bool) {
	number, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return 0, false
	}
	return number, true
}

// isEven reports whether the events so far show that each number is one above the last.
func (s *sequence) isEven() bool {
	return s.events > 0 && !s.uneven
}

// eventFields are the fields of an event that its place in the stream depends on. Without data it is a
// comment, or only sets the id.
type eventFields struct {
	id      string
	hasData bool
}

// note notes the field that a line of the event contains.
func (e *eventFields) note(line []byte) {
	if id, found := bytes.CutPrefix(line, []byte("id:")); found {
		e.id = string(bytes.TrimSpace(id))
	}
	e.hasData = e.hasData || bytes.HasPrefix(line, []byte("data"))
}
