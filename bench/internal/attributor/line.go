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

// ErrLog means that a log cannot be read or holds no requests.
var ErrLog = merry.Sentinel("log cannot be read")

// Line is one request to an engine, as its router logged it.
type Line struct {
	Arrival           time.Duration // from the start of traffic
	Tokens            int
	Target            time.Duration
	FirstToken        time.Duration // from the arrival until the first token
	SinceFirstAttempt time.Duration // from the client's first attempt, 0 if this is the first
	ExpectedQueue     time.Duration // part of ExpectedWait spent behind other prompts
	ExpectedWait      time.Duration // time until the first token that the router expected
	Backlog           time.Duration // of the engines, if the request was refused
	Refused           bool
	Failed            bool
	// FailedByEndpoint reports whether the endpoint itself caused the failure.
	FailedByEndpoint bool
	// Starting reports whether the router had its first configuration for less than
	// startPeriod.
	Starting bool
}

// cause returns why the line cost credit, "" if it did not.
func (l *Line) cause() Cause {
	late := !l.Refused && !l.Failed && l.Target > 0 && l.SinceFirstAttempt+l.FirstToken > l.Target
	switch {
	case l.Starting && (late || l.Refused):
		return RouterStart
	case l.Refused && l.Backlog <= apportioner.IdleBacklog:
		return RefusedIdle
	case l.Refused:
		return RefusedBusy
	case l.Failed && l.FailedByEndpoint:
		return EndpointFailed
	case l.Failed:
		return Unanswered
	case !late:
		return ""
	case l.SinceFirstAttempt >= time.Duration(retriedTooLateShare*float64(l.Target)):
		return RetriedTooLate
	case l.ExpectedWait-l.ExpectedQueue > l.Target:
		return OwnPrefill
	case l.ExpectedWait+l.SinceFirstAttempt > l.Target:
		return KnownQueue
	default:
		return Unforeseen
	}
}

// The messages of the log lines that are read: two about requests, and one about the start
// of a router.
const (
	messageRequest       = "request"
	messageShareUsedUp   = "share used up"
	messageConfiguration = "configuration in force"
)

// logRecord holds the fields of a log line that are used.
type logRecord struct {
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

// maxLineBytes is the maximum length of a line of a log.
const maxLineBytes = 1 << 20

// ReadLog reads the log lines of routers. Each has as prefix the seconds since the start of
// traffic and the router's name. Other lines are skipped. It returns ErrLog if no line
// describes a request.
func ReadLog(from io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(from)
	scanner.Buffer(nil, maxLineBytes)
	startedAt := make(map[string]time.Duration) // by router
	var lines []Line
	for scanner.Scan() {
		prefix, _, found := bytes.Cut(scanner.Bytes(), []byte("{"))
		words := bytes.Fields(prefix)
		if !found || len(words) != 2 {
			continue
		}
		seconds, err := strconv.ParseFloat(string(words[0]), 64)
		var record logRecord
		if err != nil || json.Unmarshal(scanner.Bytes()[len(prefix):], &record) != nil {
			continue
		}
		at, router := time.Duration(seconds*float64(time.Second)), string(words[1])
		switch {
		case record.Message == messageConfiguration && record.Before == 0:
			startedAt[router] = max(at, 0)
		case record.Workspace != "" && record.Tokens > 0:
			if line, isRequest := record.decode(at); isRequest {
				line.Starting = line.Arrival-startedAt[router] < startPeriod
				lines = append(lines, line)
			}
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, merry.Errorf("%w: %v", ErrLog, err)
	}
	if len(lines) == 0 {
		return nil, merry.Errorf("%w: no line describes a request; give the log of all routers", ErrLog)
	}
	return lines, nil
}

// decode converts a line that was logged at a time, and reports whether it describes a
// request.
func (r *logRecord) decode(at time.Duration) (Line, bool) {
	line := Line{
		Arrival: at - milliseconds(r.TookMs), Tokens: r.Tokens, Target: milliseconds(r.TargetMs),
		FirstToken: milliseconds(r.FirstMs), SinceFirstAttempt: milliseconds(r.SinceMs),
		ExpectedQueue: milliseconds(r.QueueMs), ExpectedWait: milliseconds(r.ExpectedMs), Backlog: milliseconds(r.BacklogMs),
	}
	switch {
	case r.Message == messageShareUsedUp:
		line.Refused = true
	case r.Message != messageRequest:
		return Line{}, false
	case r.Status == http.StatusOK:
	case r.Status == http.StatusTooManyRequests || r.Status == http.StatusServiceUnavailable && r.Sends == 0:
		line.Refused, line.Backlog = true, line.ExpectedQueue
	default:
		line.Failed, line.FailedByEndpoint = true, r.Status == http.StatusInternalServerError || r.Status == http.StatusBadGateway
	}
	return line, true
}

// milliseconds converts a number of milliseconds to a duration.
func milliseconds(count float64) time.Duration {
	return time.Duration(count * float64(time.Millisecond))
}
