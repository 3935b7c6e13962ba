package soaker

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Rules that a play checks.
const (
	order   = "ORDER"
	mixed   = "MIXED"
	twice   = "TWICE"
	refused = "REFUSED"
	drain   = "DRAIN"
	config  = "CONFIG"
	budget  = "BUDGET"
)

// maxStatus is the highest status that exists.
const maxStatus = 599

// totals counts what became of requests.
type totals struct {
	Attempts, Whole, Streams, WentOn, TakenUp, Cut, Refused, Failed, Doubtful, Late int
}

func (t totals) String() string {
	return fmt.Sprintf("attempts %d, plain answers whole %d, streams whole %d, went on within an answer %d, went on after being taken up %d, cut %d, refused %d, failed %d, ends that nothing frames %d, late at endpoints that had left by machines out of touch %d",
		t.Attempts, t.Whole, t.Streams, t.WentOn, t.TakenUp, t.Cut, t.Refused, t.Failed, t.Doubtful, t.Late)
}

// judge finds broken rules in what clients got.
type judge struct {
	ledger *ledger
	fleet  *fleet
	record *record
	seed   uint64
	lock   sync.Mutex
	totals totals
	lines  []string
}

// broken notes a broken rule.
func (j *judge) broken(rule string, h *history, what string) {
	var sends string
	j.ledger.read(func() { sends = h.describe() })
	text := fmt.Sprintf("%s seed=%d t=%.3f request=%s router=%s: %s; endpoints: %s", rule, j.seed, time.Since(j.record.begun).Seconds(), h.id, h.router, what, sends)
	j.record.add("BROKEN %s", text)
	j.lock.Lock()
	defer j.lock.Unlock()
	j.lines = append(j.lines, text)
}

// count changes the totals.
func (j *judge) count(change func(t *totals)) {
	j.lock.Lock()
	defer j.lock.Unlock()
	change(&j.totals)
}

// head checks what the head of an answer claims. It is false if the answer is no success.
func (j *judge) head(answer *reply) bool {
	j.count(func(t *totals) { t.Attempts++ })
	if answer.echoed != "" && answer.echoed != answer.id {
		j.broken(mixed, answer.history, "the answer names the request "+answer.echoed)
	}
	var signer *send
	j.ledger.read(func() {
		for _, s := range answer.sends {
			if s.stamp == answer.stamp && answer.stamp != "" {
				signer = s
			}
		}
	})
	success := answer.status/100 == 2
	if answer.status != 0 && (answer.status < http.StatusOK || answer.status > maxStatus) {
		j.broken(mixed, answer.history, fmt.Sprintf("the status %03d does not exist", answer.status))
	}
	switch {
	case answer.stamp == "" && success:
		j.broken(mixed, answer.history, fmt.Sprintf("a success %d without a signature", answer.status))
	case answer.stamp != "" && signer == nil:
		j.broken(mixed, answer.history, "the signature "+answer.stamp+" is of no answer to this request")
	case signer != nil && signer.status != answer.status:
		j.broken(mixed, answer.history, fmt.Sprintf("status %d, but the endpoint that signed it answered %d", answer.status, signer.status))
	}
	switch {
	case success:
	case answer.status == 0:
		j.count(func(t *totals) { t.Cut++ })
	case answer.status == http.StatusTooManyRequests || answer.status == http.StatusServiceUnavailable:
		j.count(func(t *totals) { t.Refused++ })
	default:
		j.count(func(t *totals) { t.Failed++ })
	}
	return success
}

// mayEnd reports whether an answer that stops short may look complete: nothing frames it, and its
// endpoint closed it, or its router ended.
func (j *judge) mayEnd(answer *reply) bool {
	doubtful := answer.partial
	j.ledger.read(func() {
		if n := len(answer.sends); n > 0 {
			doubtful = doubtful || answer.sends[n-1].doubtful
		}
	})
	if doubtful && answer.unframed {
		j.count(func(t *totals) { t.Doubtful++ })
		return true
	}
	return false
}

// plain judges an answer that is no stream.
func (j *judge) plain(q *query, answer *reply) {
	if !j.head(answer) {
		return
	}
	want := q.plain()
	switch {
	case !strings.HasPrefix(want, answer.body):
		j.broken(mixed, answer.history, fmt.Sprintf("bytes of another answer: %.300q", answer.body))
	case answer.complete && answer.body == want:
		j.count(func(t *totals) { t.Whole++ })
	case !answer.complete:
		j.count(func(t *totals) { t.Cut++ })
	case !j.mayEnd(answer):
		j.broken(mixed, answer.history, fmt.Sprintf("%d of %d bytes, ended as complete", len(answer.body), len(want)))
	}
}

// seen is what a client has of a stream, over all its attempts.
type seen struct {
	query   *query
	last    int
	run     string
	version string
	broken  bool // a broken rule was noted
}

// stream judges an attempt at a stream, and reports whether the stream needs no other attempt.
func (j *judge) stream(s *seen, answer *reply) bool {
	if !j.head(answer) {
		return false
	}
	before, runs := s.last, 0
	rest := answer.body
	for !s.broken {
		text, after, found := strings.Cut(rest, "\n\n")
		if !found {
			break
		}
		e, readable := readEvent(text + "\n\n")
		if problem := s.add(e, readable); problem != "" {
			s.broken = true
			j.broken(order, answer.history, fmt.Sprintf("%s: %.300q", problem, text))
			return true
		}
		if e.run != s.run {
			s.run = e.run
			runs++
		}
		rest = after
	}
	switch {
	case answer.complete && rest != "":
		j.broken(order, answer.history, fmt.Sprintf("the stream ended as complete after other text: %.300q", rest))
		return true
	case !answer.complete:
		j.count(func(t *totals) { t.Cut++ })
		return s.last == s.query.pieces
	case s.last < s.query.pieces:
		if !j.mayEnd(answer) {
			j.broken(order, answer.history, fmt.Sprintf("the stream ended as complete after piece %d of %d", s.last, s.query.pieces))
			return true
		}
		return false
	}
	j.count(func(t *totals) {
		t.Streams++
		if runs > 1 {
			t.WentOn++
		}
		if before > 0 && runs > 0 {
			t.TakenUp++
		}
	})
	return true
}

// add takes an event, and returns what is wrong with it.
func (s *seen) add(e event, readable bool) string {
	switch {
	case !readable:
		return "text that is no event"
	case e.stream != s.query.stream:
		return "an event of another stream"
	case e.number <= s.last:
		return fmt.Sprintf("piece %d again after %d", e.number, s.last)
	case e.number > s.last+1:
		return fmt.Sprintf("piece %d missing", s.last+1)
	case s.run != "" && e.run != s.run && e.after != s.last:
		return fmt.Sprintf("a run that did not go on after piece %d", s.last)
	case s.version != "" && e.version != s.version:
		return fmt.Sprintf("version %s after %s", e.version, s.version)
	}
	s.last, s.version = e.number, e.version
	return ""
}

// conclude checks what only shows at the end.
func (j *judge) conclude() {
	var checks []func()
	j.ledger.read(func() {
		for _, h := range j.ledger.all {
			runs := 0
			for _, s := range h.sends {
				if late := s.late(); late > 0 {
					checks = append(checks, func() { j.late(h, s, late) })
				}
				if s.ran {
					runs++
				}
			}
			promise := h.status == http.StatusServiceUnavailable || h.status == http.StatusTooManyRequests || h.status == http.StatusRequestTimeout || h.status == http.StatusMisdirectedRequest
			switch {
			case h.repeatable:
			case runs > 1:
				checks = append(checks, func() { j.broken(twice, h, fmt.Sprintf("ran %d times", runs)) })
			case runs > 0 && promise:
				checks = append(checks, func() { j.broken(refused, h, fmt.Sprintf("ran, but was answered %d", h.status)) })
			}
		}
	})
	for _, check := range checks {
		check()
	}
}

// late judges an arrival at an endpoint whose leaving had been acknowledged too long before.
func (j *judge) late(h *history, s *send, after time.Duration) {
	if !j.fleet.inTouch(h.router, s.at) {
		j.record.add("late by a machine out of touch: at %.3f %s from %s reaches %s %v after its leaving", s.at.Sub(j.record.begun).Seconds(), h.id, h.router, s.endpoint, after)
		j.count(func(t *totals) { t.Late++ })
		return
	}
	j.broken(drain, h, fmt.Sprintf("at %.3f it reached %s %v after %s had acknowledged that it leaves", s.at.Sub(j.record.begun).Seconds(), s.endpoint, after, s.leaving.by))
}
