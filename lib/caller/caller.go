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

// Ending says how a call ended for its caller.
type Ending string

// The endings of a call.
const (
	Answered Ending = "answered" // whole, and what the request must yield
	Wrong    Ending = "wrong"    // ended cleanly, but is not what the request must yield
	Cut      Ending = "cut"      // cut short, and visibly so
	NotRun   Ending = "not-run"  // refused; no endpoint started it
	Unknown  Ending = "unknown"  // failed; it may have run
	Invalid  Ending = "invalid"  // refused for what the request itself is
	Lost     Ending = "lost"     // the connection failed before any answer began
	Missing  Ending = "missing"  // no final answer within the caller's patience
	Unsent   Ending = "unsent"   // no connection was made, so nothing was sent
)

// maxAnswer bounds what is read of an answer.
const maxAnswer = 16 << 20

// Result is what became of one call.
type Result struct {
	Request   Request
	Target    string
	Ending    Ending
	Status    int
	Code      string // of a typed error
	ID        string // X-Request-Id
	Key       string // Idempotency-Key that the router minted or echoed
	Trace     string // Traceparent of the answer
	Got       string // the answer, for one that is wrong
	Error     string
	Retry     time.Duration // Retry-After, 0 if none
	Started   time.Time
	First     time.Duration // until the first token or byte, 0 if none came
	Took      time.Duration
	Gaps      []time.Duration // between tokens, of a stream
	Tokens    int
	Repeated  bool // a resend of an earlier request
	Attempted int  // how often the closed loop has sent it, counted from 1
}

// Caller makes calls. Patience bounds each.
type Caller struct {
	Client   *http.Client
	Clock    clockwork.Clock
	Patience time.Duration
	// Direct calls go to an endpoint, which says no outcome.
	Direct bool
}

// Call sends a request to a router's base URL and follows its answer.
func (c *Caller) Call(ctx context.Context, target string, request Request) Result {
	result := Result{Request: request, Target: target, Started: c.Clock.Now()}
	bounded, cancel := context.WithTimeout(ctx, c.Patience)
	defer cancel()
	q, err := request.HTTP(target)
	if err != nil {
		result.Ending, result.Error = Lost, err.Error()
		return result
	}
	response, err := c.Client.Do(q.WithContext(bounded))
	if err != nil {
		result.end(c.Clock, failed(bounded, broken(err)), err)
		return result
	}
	defer response.Body.Close()
	result.head(response)
	if response.StatusCode/100 != 2 {
		c.refused(&result, response)
		return result
	}
	c.follow(bounded, &result, response)
	return result
}

// broken tells a connection that was never made from one that broke.
func broken(err error) Ending {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return Unsent
	}
	return Lost
}

// failed tells a connection that broke from a caller that lost patience.
func failed(ctx context.Context, broken Ending) Ending {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return Missing
	}
	return broken
}

func (r *Result) end(clock clockwork.Clock, ending Ending, err error) {
	r.Ending = ending
	r.Took = clock.Since(r.Started)
	if err != nil {
		r.Error = err.Error()
	}
}

func (r *Result) head(response *http.Response) {
	r.Status = response.StatusCode
	r.ID = response.Header.Get("X-Request-Id")
	r.Key = response.Header.Get("Idempotency-Key")
	r.Trace = response.Header.Get("Traceparent")
	if after := response.Header.Get("Retry-After"); after != "" {
		retry, err := retrier.After(after)
		if err != nil {
			r.Error = err.Error()
		}
		r.Retry = retry
	}
}

// refusal is the body of a typed error.
type refusal struct {
	Error struct {
		Type    string `json:"type"`
		Code    string `json:"code"`
		Message string `json:"message"`
		RetryMS int64  `json:"retry_after_ms"`
	} `json:"error"`
}

// refused reads a typed error. The header says the outcome; an error without
// one is held against the router as unknown.
func (c *Caller) refused(result *Result, response *http.Response) {
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	var body refusal
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

func (c *Caller) follow(ctx context.Context, result *Result, response *http.Response) {
	var got string
	var err error
	if result.Request.Kind == Stream {
		got, err = c.stream(result, response.Body)
	} else {
		got, err = c.whole(result, response.Body)
	}
	ending := Answered
	switch {
	case errors.Is(err, errUnclean):
		ending = Wrong
	case err != nil:
		ending = failed(ctx, Cut)
	case got != result.Request.Want(), !c.Direct && response.Header.Get("X-Outcome") != string(Answered):
		ending = Wrong
	}
	result.end(c.Clock, ending, err)
	if ending == Wrong {
		result.Got = got
	}
}

// errUnclean marks an answer that ended cleanly without being whole, which no
// caller could tell from a whole one.
var errUnclean = errors.New("the answer ended cleanly but is not whole")

func (c *Caller) whole(result *Result, body io.Reader) (string, error) {
	reader := bufio.NewReader(io.LimitReader(body, maxAnswer))
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
		return string(text), errUnclean
	}
	result.Tokens = completion.Usage.Tokens
	return completion.Choices[0].Message.Content, nil
}

func (c *Caller) stream(result *Result, body io.Reader) (string, error) {
	var text strings.Builder
	scanner := bufio.NewScanner(io.LimitReader(body, maxAnswer))
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
		token := content(data)
		if token == "" {
			continue
		}
		last = c.took(result, last)
		text.WriteString(token)
	}
	if err := scanner.Err(); err != nil {
		return text.String(), err
	}
	if !done {
		return text.String(), errUnclean
	}
	return text.String(), nil
}

// took notes the arrival of a token.
func (c *Caller) took(result *Result, last time.Time) time.Time {
	now := c.Clock.Now()
	result.Tokens++
	if result.First == 0 {
		result.First = now.Sub(result.Started)
		return now
	}
	result.Gaps = append(result.Gaps, now.Sub(last))
	return now
}

func content(data string) string {
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
