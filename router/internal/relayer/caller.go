package relayer

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

// Headers between callers, routers and endpoints.
const (
	headerOutcome     = "X-Outcome"
	headerRequestID   = "X-Request-Id"
	headerKey         = "Idempotency-Key"
	headerNoRepeat    = "X-Not-Repeatable"
	headerStarted     = "X-Started"
	headerWorkspace   = "X-Workspace"
	headerResumeFrom  = "X-Resume-From"
	headerTraceparent = "Traceparent"
)

// errCaller is the kind of every error about writing to a caller.
var errCaller = merry.Sentinel("caller takes no more of its answer")

// caller writes one answer. Every write has a deadline: a caller that reads
// nothing would otherwise hold an endpoint's slot, and the slots of all callers
// that do so add up to an outage. The deadline is the operating system's, so it
// is in real time whatever clock the decisions use.
type caller struct {
	writer  http.ResponseWriter
	control *http.ResponseController
	stall   time.Duration
	begun   bool // a byte of the answer has been handed to the connection
	gone    bool // what follows is thrown away, see detached requests
}

func newCaller(w http.ResponseWriter, stall time.Duration) *caller {
	return &caller{writer: w, control: http.NewResponseController(w), stall: stall}
}

// begin sends the headers of a whole answer.
func (c *caller) begin(status int) {
	if c.begun {
		return
	}
	c.begun = true
	c.writer.Header().Set(headerOutcome, string(OutcomeAnswered))
	c.writer.WriteHeader(status)
}

// write sends a part of the answer and flushes it.
func (c *caller) write(part []byte) error {
	if c.gone {
		return merry.Errorf("%w: it has gone", errCaller)
	}
	// Writers without deadlines (in tests) have no connection that could stall.
	_ = c.control.SetWriteDeadline(time.Now().Add(c.stall))
	if _, err := c.writer.Write(part); err != nil {
		return c.lost(err)
	}
	if err := c.control.Flush(); err != nil {
		return c.lost(err)
	}
	return nil
}

func (c *caller) lost(err error) error {
	c.gone = true
	return merry.Errorf("%w: %w", errCaller, err)
}

// sink takes the events of a chat answer.
type sink interface {
	// event takes one event that belongs to the answer.
	event(data []byte, event chunk) error
	// end completes the answer.
	end(order *sequence) error
}

// streamSink relays each event as it comes.
type streamSink struct {
	caller *caller
}

func (s *streamSink) event(data []byte, _ chunk) error {
	if !s.caller.begun {
		s.caller.writer.Header().Set("Content-Type", "text/event-stream")
		s.caller.writer.Header().Set("Cache-Control", "no-store")
		s.caller.begin(http.StatusOK)
	}
	line := make([]byte, 0, len(data)+len("data: \n\n"))
	line = append(line, "data: "...)
	line = append(line, data...)
	line = append(line, "\n\n"...)
	return s.caller.write(line)
}

func (s *streamSink) end(*sequence) error {
	return s.caller.write([]byte("data: " + streamDone + "\n\n"))
}

// wholeSink assembles the answer and sends it at the end.
type wholeSink struct {
	caller *caller
	model  string
	limit  int
	text   strings.Builder
	made   int64 // creation time of the answer in Unix seconds, by the engine
}

func (s *wholeSink) event(_ []byte, event chunk) error {
	if event.Created != 0 {
		s.made = event.Created
	}
	if len(event.Choices) == 0 {
		return nil
	}
	s.text.WriteString(event.Choices[0].Delta.Content)
	if s.text.Len() > s.limit {
		return merry.Errorf("%w: an answer of more than %d bytes can only be streamed", errTooLong, s.limit)
	}
	return nil
}

// errTooLong says that an answer does not fit into the memory it may take.
var errTooLong = merry.Sentinel("answer is too long to be assembled")

// completion is OpenAI's shape of a whole answer.
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   *usage             `json:"usage,omitempty"`
}

type completionChoice struct {
	Index        int               `json:"index"`
	Message      completionMessage `json:"message"`
	FinishReason string            `json:"finish_reason"`
}

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// whole returns the assembled answer.
func (s *wholeSink) whole(order *sequence) ([]byte, error) {
	return json.Marshal(completion{
		ID: order.id, Object: "chat.completion", Created: s.made, Model: s.model,
		Choices: []completionChoice{{
			Message:      completionMessage{Role: "assistant", Content: s.text.String()},
			FinishReason: order.reason,
		}},
		Usage: order.usage,
	})
}

func (s *wholeSink) end(order *sequence) error {
	body, err := s.whole(order)
	if err != nil {
		return err
	}
	s.caller.writer.Header().Set("Content-Type", "application/json")
	s.caller.begin(http.StatusOK)
	return s.caller.write(body)
}
