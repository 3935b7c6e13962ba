package attributor

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"shallotkeel.example/lib/apportioner"
)

// ErrLog means that a log cannot be read.
var ErrLog = merry.Sentinel("log cannot be read")

// Line is one request of an engine, as its router logged it.
type Line struct {
	Came    time.Duration // from the start of traffic
	Tokens  int
	Target  time.Duration
	First   time.Duration // until the first token
	Since   time.Duration // since it came for the first time
	Queue   time.Duration // expected behind other prompts
	Wait    time.Duration // expected in all
	Backlog time.Duration // of the engines, where it was refused
	Refused bool
	Failed  bool
	// Answered tells that its endpoint itself failed it.
	Answered bool
	// Starting tells that its router has had a configuration for a short time only.
	Starting bool
}

// cause returns why the line cost credit, "" if it did not.
func (l *Line) cause() Cause {
	late := !l.Refused && !l.Failed && l.Target > 0 && l.Since+l.First > l.Target
	switch {
	case l.Starting && (late || l.Refused):
		return Start
	case l.Refused && l.Backlog <= apportioner.IdleBacklog:
		return Idle
	case l.Refused:
		return Busy
	case l.Failed && l.Answered:
		return Endpoint
	case l.Failed:
		return Unanswered
	case !late:
		return ""
	case l.Since >= time.Duration(backShare*float64(l.Target)):
		return Back
	case l.Wait-l.Queue > l.Target:
		return Reading
	case l.Wait+l.Since > l.Target:
		return Queue
	default:
		return Unforeseen
	}
}

// The messages of a router that tell of requests.
const (
	messageRequest = "request"
	messageShare   = "share used up"
	messagePlan    = "configuration in force"
)

// logged is what a router's line may hold.
type logged struct {
	Message    string  `json:"message"`
	Workspace  string  `json:"workspace"`
	Tokens     int     `json:"tokens"`
	Status     int     `json:"status"`
	Sends      int     `json:"sends"`
	Before     uint64  `json:"before"`
	TargetMs   float64 `json:"target_ms"`
	FirstMs    float64 `json:"first_ms"`
	SinceMs    float64 `json:"since_ms"`
	QueueMs    float64 `json:"queue_ms"`
	ExpectedMs float64 `json:"expected_ms"`
	BacklogMs  float64 `json:"backlog_ms"`
	TookMs     float64 `json:"took_ms"`
}

// longestLine bounds a line of a log.
const longestLine = 1 << 20

// ReadLog reads the lines of routers, each behind the seconds since the start of
// traffic and the router's name. Other lines are passed over. It is an error if none
// tells of a request.
func ReadLog(from io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(from)
	scanner.Buffer(nil, longestLine)
	begun := make(map[string]time.Duration)
	var lines []Line
	for scanner.Scan() {
		head, _, found := bytes.Cut(scanner.Bytes(), []byte("{"))
		words := bytes.Fields(head)
		if !found || len(words) != 2 {
			continue
		}
		seconds, err := strconv.ParseFloat(string(words[0]), 64)
		var read logged
		if err != nil || json.Unmarshal(scanner.Bytes()[len(head):], &read) != nil {
			continue
		}
		at, router := time.Duration(seconds*float64(time.Second)), string(words[1])
		switch {
		case read.Message == messagePlan && read.Before == 0:
			begun[router] = max(at, 0)
		case read.Workspace != "" && read.Tokens > 0:
			if line, counts := read.line(at); counts {
				line.Starting = line.Came-begun[router] < startSpan
				lines = append(lines, line)
			}
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, merry.Errorf("%w: %v", ErrLog, err)
	}
	if len(lines) == 0 {
		return nil, merry.Errorf("%w: no line tells of a request; log all routers", ErrLog)
	}
	return lines, nil
}

// line decodes a line that tells of a request, and tells whether it is one.
func (r *logged) line(at time.Duration) (Line, bool) {
	line := Line{
		Came: at - milliseconds(r.TookMs), Tokens: r.Tokens, Target: milliseconds(r.TargetMs),
		First: milliseconds(r.FirstMs), Since: milliseconds(r.SinceMs),
		Queue: milliseconds(r.QueueMs), Wait: milliseconds(r.ExpectedMs), Backlog: milliseconds(r.BacklogMs),
	}
	switch {
	case r.Message == messageShare:
		line.Refused = true
	case r.Message != messageRequest:
		return Line{}, false
	case r.Status == http.StatusOK:
	case r.Status == http.StatusTooManyRequests || r.Status == http.StatusServiceUnavailable && r.Sends == 0:
		line.Refused, line.Backlog = true, line.Queue
	default:
		line.Failed, line.Answered = true, r.Status == http.StatusInternalServerError || r.Status == http.StatusBadGateway
	}
	return line, true
}

func milliseconds(count float64) time.Duration {
	return time.Duration(count * float64(time.Millisecond))
}
