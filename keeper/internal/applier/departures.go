package applier

import (
	"container/list"
	"slices"
	"time"

	"shallotkeel.example/lib/lister"
	"shallotkeel.example/lib/messenger"
)

const (
	// maxDepartures bounds the departures, some 150 bytes each. Beyond it, the oldest is dropped.
	maxDepartures = lister.MaxListings
	// DepartureRetention is how long a departure is kept: longer than a copy of the list of
	// endpoints is usable, and than a heartbeat may be delayed.
	DepartureRetention = 2 * time.Minute
)

// Departure is the announcement of an endpoint that it gets no new work from now on.
type Departure struct {
	ID string
	// Started is the start of the incarnation that leaves, zero if it does not report it.
	Started time.Time
}

// departures holds the endpoints that have announced that they leave. A keeper that restarts with
// an older list of endpoints would otherwise give them work again. The zero value has none.
type departures struct {
	revision uint64 // number of departures so far
	order    list.List
	byID     map[string]*list.Element // of the instance's latest departure in order
}

// departed is an element of departures.order. Revision and expires rise from each to the next.
type departed struct {
	Departure
	expires  time.Duration // on the replicated clock
	revision uint64
}

// add adds a departure, and drops those that have expired. A known one is kept for longer.
func (s *departures) add(now time.Duration, wire *messenger.Departure) {
	s.expire(now)
	s.revision++
	s.push(departed{
		Departure: departureFromWire(wire),
		expires:   now + DepartureRetention, revision: s.revision,
	})
	if s.order.Len() > maxDepartures {
		s.remove(s.order.Front())
	}
}

func (s *departures) push(d departed) {
	if s.byID == nil {
		s.byID = make(map[string]*list.Element)
	}
	if before, found := s.byID[d.ID]; found {
		s.remove(before)
	}
	s.byID[d.ID] = s.order.PushBack(d)
}

func (s *departures) expire(now time.Duration) {
	for first := s.order.Front(); first != nil && at(first).expires <= now; first = s.order.Front() {
		s.remove(first)
	}
}

func (s *departures) remove(element *list.Element) {
	delete(s.byID, at(element).ID)
	s.order.Remove(element)
}

// at returns the value of an element of departures.order.
func at(element *list.Element) departed {
	value, _ := element.Value.(departed)
	return value
}

// since returns the departures after a revision, oldest first.
func (s *departures) since(revision uint64) []departed {
	var found []departed
	for e := s.order.Back(); e != nil && at(e).revision > revision; e = e.Prev() {
		found = append(found, at(e))
	}
	slices.Reverse(found)
	return found
}

func (s *departures) encode() []*messenger.DepartureState {
	var states []*messenger.DepartureState
	for _, d := range s.since(0) {
		states = append(states, &messenger.DepartureState{
			Departure: DepartureToWire(d.Departure), ExpiresMs: uint64(d.expires / time.Millisecond), Revision: d.revision,
		})
	}
	return states
}

func (s *departures) decode(states []*messenger.DepartureState, revision uint64) {
	s.revision = revision
	for _, state := range states {
		s.push(departed{
			Departure: departureFromWire(state.GetDeparture()),
			expires:   time.Duration(state.GetExpiresMs()) * time.Millisecond, revision: state.GetRevision(),
		})
	}
}

// DepartureToWire converts a departure to its message.
func DepartureToWire(d Departure) *messenger.Departure {
	return &messenger.Departure{Id: d.ID, StartedMs: lister.ToMillis(d.Started)}
}

func departureFromWire(wire *messenger.Departure) Departure {
	return Departure{ID: wire.GetId(), Started: lister.FromMillis(wire.GetStartedMs())}
}

// DeparturesRevision returns the number of departures so far.
func (s *State) DeparturesRevision() uint64 {
	return s.departures.revision
}

// DeparturesSince returns the departures that were added after a revision, oldest first.
func (s *State) DeparturesSince(revision uint64) []Departure {
	var added []Departure
	for _, d := range s.departures.since(revision) {
		added = append(added, d.Departure)
	}
	return added
}
