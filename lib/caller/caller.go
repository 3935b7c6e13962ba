package caller

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"

	"shallotkeel.example/lib/retrier"
)

// Ending is the outcome of a call as seen by its caller.
type Ending string

// The endings of a call.
const (
	Answered Ending = "answered" // the answer is complete and equals the expected answer
	Wrong    Ending = "wrong"    // the answer ended cleanly but differs from the expected answer
	Cut      Ending = "cut"      // the answer was truncated, and the connection shows it
	NotRun   Ending = "not-run"  // refused; no endpoint started the request
	Unknown  Ending = "unknown"  // failed; the request may have run
	Invalid  Ending = "invalid"  // refused because the request itself is invalid
	Lost     Ending = "lost"     // the connection failed before any answer began
	Missing  Ending = "missing"  // no complete answer within the caller's timeout
	Unsent   Ending = "unsent"   // no connection was established, so nothing was sent
)

// maxAnswerBytes bounds the part of an answer that is read.
const maxAnswerBytes = 16 << 20

// Result describes one call and its ending.
type Result struct {
	Request   Request
	Target    string // base URL
	Ending    Ending
	Status    int    // HTTP status, 0 without an answer
	Code      string // code of a typed error
	ID        string // X-Request-Id of the answer
	Key       string // Idempotency-Key that the router generated or echoed
	Trace     string // Traceparent of the answer
	Got       string // the answer received, if the ending is Wrong
	Error     string
	Retry     time.Duration // from Retry-After or a typed error, 0 if none
	Started   time.Time
	First     time.Duration   // from Started to the first token or byte, 0 if none was received
	Took      time.Duration   // from Started to the ending
	Gaps      []time.Duration // between consecutive tokens of a stream
	Tokens    int
	Repeated  bool // the call resends an earlier request
	Attempted int  // number of the closed loop's attempt, counted from 1
}

// Caller sends requests and verifies their answers.
type Caller struct {
	Client  *http.Client
	Clock   clockwork.Clock
	Timeout time.Duration // of each call, including the time to read the answer
	// Direct is set if calls go to an endpoint rather than a router. Endpoints
	// send no X-Outcome header.
	Direct bool
}

// Call sends a request to target, the base URL of a router or endpoint, and reads
// and verifies the answer.
func (c *Caller) Call(ctx context.Context, target string, request Request) Result {
	result := Result{Request: request, Target: target, Started: c.Clock.Now()}
	bounded, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	q, err := request.HTTP(target)
	if err != nil {
		result.Ending, result.Error = Lost, err.Error()
		return result
	}
	response, err := c.Client.Do(q.WithContext(bounded))
	if err != nil {
		result.finish(c.Clock, timeoutOr(bounded, connectionFailure(err)), err)
		return result
	}
	defer response.Body.Close()
	result.readHeader(response)
	if response.StatusCode/100 != 2 {
		c.readError(&result, response)
		return result
	}
	c.readAnswer(bounded, &result, response)
	return result
}

// connectionFailure returns Unsent if the connection was never established, and
// Lost if it broke.
func connectionFailure(err error) Ending {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return Unsent
	}
	return Lost
}

// timeoutOr returns Missing if the call's timeout has expired, and otherwise the
// given ending.
func timeoutOr(ctx context.Context, otherwise Ending) Ending {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return Missing
	}
	return otherwise
}

// finish sets the ending, the duration and the error, if any.
func (r *Result) finish(clock clockwork.Clock, ending Ending, err error) {
	r.Ending = ending
	r.Took = clock.Since(r.Started)
	if err != nil {
		r.Error = err.Error()
	}
}

// readHeader copies the status and the header fields of an answer to the result.
func (r *Result) readHeader(response *http.Response) {
	r.Status = response.StatusCode
	r.ID = response.Header.Get("X-Request-Id")
	r.Key = response.Header.Get("Idempotency-Key")
	r.Trace = response.Header.Get("Traceparent")
	if after := response.Header.Get("Retry-After"); after != "" {
		retry, err := retrier.ParseRetryAfter(after)
		if err != nil {
			r.Error = err.Error()
		}
		r.Retry = retry
	}
}

// errorAnswer is the body of a typed error answer.
type errorAnswer struct {
	Error struct {
		Type    string `json:"type"`
		Code    string `json:"code"`
		Message string `json:"message"`
		RetryMS int64  `json:"retry_after_ms"`
	} `json:"error"`
}

// readError reads a typed error answer. The X-Outcome header states the outcome;
// an error without it counts as Unknown, because routers must always send it.
func (c *Caller) readError(result *Result, response *http.Response) {
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	var body errorAnswer
	_ = json.Unmarshal(text, &body)
	result.Code, result.Error = body.Error.Code, body.Error.Message
	if body.Error.RetryMS > 0 {
		result.Retry = time.Duration(body.Error.RetryMS) * time.Millisecond
	}
	ending := Unknown
	switch {
	case body.Error.Type == string(Invalid):
		ending = Invalid
	case response.Header.Get("X-Outcome") == string(NotRun):
		ending = NotRun
	}
	result.Ending, result.Took = ending, c.Clock.Since(result.Started)
}

// readAnswer reads a successful answer and compares it with the expected one. An
// answer from a router must also have X-Outcome: answered.
func (c *Caller) readAnswer(ctx context.Context, result *Result, response *http.Response) {
	var got string
	var err error
	if result.Request.Kind == Stream {
		got, err = c.readStream(result, response.Body)
	} else {
		got, err = c.readWhole(result, response.Body)
	}
	ending := Answered
	switch {
	case errors.Is(err, errIncomplete):
		ending = Wrong
	case err != nil:
		ending = timeoutOr(ctx, Cut)
	case got != result.Request.Want(), !c.Direct && response.Header.Get("X-Outcome") != string(Answered):
		ending = Wrong
	}
	result.finish(c.Clock, ending, err)
	if ending == Wrong {
		result.Got = got
	}
}

// errIncomplete marks an answer that ended cleanly although it is incomplete. The
// connection gives a caller no sign that part of such an answer is missing.
var errIncomplete = errors.New("answer ended cleanly but is incomplete")

// readWhole reads an answer that is not streamed: a plain service's answer or a
// chat completion, of which it returns the content.
func (c *Caller) readWhole(result *Result, body io.Reader) (string, error) {
	reader := bufio.NewReader(io.LimitReader(body, maxAnswerBytes))
	if _, err := reader.Peek(1); err == nil {
		result.First = c.Clock.Since(result.Started)
	}
	text, err := io.ReadAll(reader)
	if err != nil || result.Request.Kind == Plain {
		return string(text), err
	}
	var completion struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
		Usage struct {
			Tokens int `json:"completion_tokens"`
		} `json:"usage"`
	}
	if json.Unmarshal(text, &completion) != nil || len(completion.Choices) != 1 {
		return string(text), errIncomplete
	}
	result.Tokens = completion.Usage.Tokens
	return completion.Choices[0].Message.Content, nil
}

// readStream reads a stream of server-sent events and returns the concatenated
// tokens. A stream that ends cleanly without [DONE] is incomplete.
func (c *Caller) readStream(result *Result, body io.Reader) (string, error) {
	var text strings.Builder
	scanner := bufio.NewScanner(io.LimitReader(body, maxAnswerBytes))
	done := false
	var last time.Time
	for scanner.Scan() {
		data, found := strings.CutPrefix(scanner.Text(), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			done = true
			continue
		}
		token := deltaContent(data)
		if token == "" {
			continue
		}
		last = c.recordToken(result, last)
		text.WriteString(token)
	}
	if err := scanner.Err(); err != nil {
		return text.String(), err
	}
	if !done {
		return text.String(), errIncomplete
	}
	return text.String(), nil
}

// recordToken records the arrival of a token and returns its time. The time of
// the previous token is last.
func (c *Caller) recordToken(result *Result, last time.Time) time.Time {
	now := c.Clock.Now()
	result.Tokens++
	if result.First == 0 {
		result.First = now.Sub(result.Started)
		return now
	}
	result.Gaps = append(result.Gaps, now.Sub(last))
	return now
}

// deltaContent returns the content of a chat completion chunk, or the empty
// string if it has none or cannot be decoded.
func deltaContent(data string) string {
	var event struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	if json.Unmarshal([]byte(data), &event) != nil || len(event.Choices) == 0 {
		return ""
	}
	return event.Choices[0].Delta.Content
}
