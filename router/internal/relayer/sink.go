package relayer

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/ansel1/merry/v2"
)

// errTooLong says that an answer does not fit into the memory it may take.
var errTooLong = merry.Sentinel("answer is too long to be assembled")

// sink takes the events of a chat answer, across all attempts.
type sink interface {
	// event takes one event that belongs to the answer.
	event(data []byte, event chunk) error
	// end completes the answer.
	end(order *sequence) error
}

// newSink returns what the caller asked for.
func (q *request) newSink(limit int) sink {
	if q.chat.Stream {
		return &streamSink{caller: q.caller}
	}
	return &wholeSink{caller: q.caller, answer: assembly{model: q.chat.Model, limit: limit}}
}

// streamSink relays each event as it comes.
type streamSink struct {
	caller *caller
}

func (s *streamSink) event(data []byte, _ chunk) error {
	s.begin()
	line := make([]byte, 0, len(data)+len("data: \n\n"))
	line = append(line, "data: "...)
	line = append(line, data...)
	line = append(line, "\n\n"...)
	return s.caller.write(line)
}

func (s *streamSink) begin() {
	if s.caller.begun {
		return
	}
	s.caller.writer.Header().Set("Content-Type", "text/event-stream")
	s.caller.writer.Header().Set("Cache-Control", "no-store")
	s.caller.begin(http.StatusOK)
}

func (s *streamSink) end(*sequence) error {
	s.begin()
	return s.caller.write([]byte("data: " + streamDone + "\n\n"))
}

// wholeSink assembles the answer and sends it at the end.
type wholeSink struct {
	caller *caller
	answer assembly
}

func (s *wholeSink) event(_ []byte, event chunk) error {
	if !s.answer.add(event) {
		return merry.Errorf("%w: it is longer than %d bytes; ask for a stream", errTooLong, s.answer.limit)
	}
	return nil
}

func (s *wholeSink) end(order *sequence) error {
	body, err := s.answer.whole(order)
	if err != nil {
		return err
	}
	s.caller.writer.Header().Set("Content-Type", contentJSON)
	s.caller.begin(http.StatusOK)
	return s.caller.write(body)
}

const contentJSON = "application/json"

// assembly puts an answer's tokens together.
type assembly struct {
	model string
	limit int
	text  strings.Builder
	made  int64 // creation time of the answer in Unix seconds, by the engine
}

// add takes one event, or tells that the answer has grown too long.
func (a *assembly) add(event chunk) bool {
	if event.Created != 0 {
		a.made = event.Created
	}
	if len(event.Choices) == 0 {
		return true
	}
	content := event.Choices[0].Delta.Content
	if a.text.Len()+len(content) > a.limit {
		return false
	}
	a.text.WriteString(content)
	return true
}

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

func (a *assembly) whole(order *sequence) ([]byte, error) {
	return json.Marshal(completion{
		ID: order.id, Object: "chat.completion", Created: a.made, Model: a.model,
		Choices: []completionChoice{{
			Message:      completionMessage{Role: "assistant", Content: a.text.String()},
			FinishReason: order.reason,
		}},
		Usage: order.usage,
	})
}
