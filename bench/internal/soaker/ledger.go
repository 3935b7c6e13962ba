package soaker

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Framings of an answer.
type framing int

const (
	chunked framing = iota
	length
	none
)

// acknowledgement says that a keeper has acknowledged the leaving of an endpoint.
type acknowledgement struct {
	at time.Time
	by string
}

// send is one arrival of a client's attempt at an endpoint, and what the endpoint wrote.
type send struct {
	endpoint, version, stamp string
	at                       time.Time        // when it arrived
	leaving                  *acknowledgement // of the endpoint's leaving, nil if none
	fault                    string           // empty if the endpoint was sound
	status                   int
	ran                      bool
	framing                  framing
	resumed                  int  // piece named by Last-Event-Id, 0 if none
	doubtful                 bool // where it ended, nothing shows that more was due
}

// late returns how long after its endpoint's leaving was acknowledged the request arrived, 0 if that is within drainTime
// or the endpoint rejected it as meant for another.
func (s *send) late() time.Duration {
	if s.leaving == nil || s.status == http.StatusMisdirectedRequest || s.at.Sub(s.leaving.at) <= drainTime {
		return 0
	}
	return s.at.Sub(s.leaving.at)
}

func (s *send) String() string {
	return fmt.Sprintf("%s(%s stamp %s status %d after %d %s)", s.endpoint, s.version, s.stamp, s.status, s.resumed, s.fault)
}

// history is one attempt of a client: its router and its arrivals.
type history struct {
	id, router  string
	repeatable  bool
	from        int // piece after which the client asked to go on
	status      int // what the client got, 0 if nothing
	sends       []*send
	stream      string
	sent, ended time.Time
}

// describe lists the arrivals.
func (h *history) describe() string {
	parts := make([]string, 0, len(h.sends))
	for _, s := range h.sends {
		parts = append(parts, s.String())
	}
	return strings.Join(parts, " then ")
}

// ledger holds what endpoints and clients know of every attempt.
type ledger struct {
	lock sync.Mutex
	all  map[string]*history
}

// open adds an attempt before it is sent.
func (l *ledger) open(h *history) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.all[h.id] = h
}

// arrive adds an arrival, and returns the attempt's number of arrivals and the piece that its client
// asked to go on after. It is false for an ID that no client sent.
func (l *ledger) arrive(id string, s *send) (number, from int, known bool) {
	l.lock.Lock()
	defer l.lock.Unlock()
	h, known := l.all[id]
	if !known {
		return 0, 0, false
	}
	h.sends = append(h.sends, s)
	return len(h.sends), h.from, true
}

// read calls a function while no arrival changes.
func (l *ledger) read(use func()) {
	l.lock.Lock()
	defer l.lock.Unlock()
	use()
}
