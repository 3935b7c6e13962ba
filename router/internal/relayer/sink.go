package relayer

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/ansel1/merry/v2"
)

// errTooLong is the error of an answer that exceeds Limits.AnswerBytes.
var errTooLong = merry.Sentinel("answer is too long to be assembled")

// sink receives the events of a chat answer, across all attempts.
type sink interface {
	// event adds one event of the answer: its data and the decoded chunk.
	event(data []byte, event chunk) error
	// end completes the answer.
	end(sequence *sequence) error
}

// newSink returns the sink for the answer that the caller asked for, streamed or not. Limit is the
// maximum size in bytes of an answer that is not streamed.
func (q *request) newSink(limit int) sink {
	if q.chat.Stream {
		return &streamSink{caller: q.caller}
	}
	return &bufferedSink{caller: q.caller, answer: answerBuilder{model: q.chat.Model, limit: limit}}
}

// streamSink relays each event immediately.
type streamSink struct {
	caller *caller
}

func (s *streamSink) event(data []byte, _ chunk) error {
	s.sendHead()
	line := make([]byte, 0, len(data)+len("data: \n\n"))
	line = append(line, "data: "...)
	line = append(line, data...)
	line = append(line, "\n\n"...)
	return s.caller.write(line)
}

// sendHead sends the headers of the stream, once.
func (s *streamSink) sendHead() {
	if s.caller.started {
		return
	}
	s.caller.writer.Header().Set("Content-Type", "text/event-stream")
	s.caller.writer.Header().Set("Cache-Control", "no-store")
	s.caller.sendHead(http.StatusOK)
}

func (s *streamSink) end(*sequence) error {
	s.sendHead()
	return s.caller.write([]byte("data: " + streamDone + "\n\n"))
}

// bufferedSink assembles the answer and sends it when it is complete.
type bufferedSink struct {
	caller *caller
	answer answerBuilder
}

func (s *bufferedSink) event(_ []byte, event chunk) error {
	if !s.answer.add(event) {
		return merry.Errorf("%w: it is longer than %d bytes; ask for a stream", errTooLong, s.answer.limit)
	}
	return nil
}

func (s *bufferedSink) end(sequence *sequence) error {
	body, err := s.answer.encode(sequence)
	if err != nil {
		return err
	}
	s.caller.writer.Header().Set("Content-Type", contentJSON)
	s.caller.sendHead(http.StatusOK)
	return s.caller.write(body)
}

// contentJSON is the Content-Type of JSON bodies.
const contentJSON = "application/json"

// answerBuilder assembles an answer from its tokens.
type answerBuilder struct {
	model   string
	limit   int // in bytes
	text    strings.Builder
	created int64 // creation time of the answer in Unix seconds, from the engine
}

// add appends one event. It returns false if the answer exceeds the limit.
func (a *answerBuilder) add(event chunk) bool {
	if event.Created != 0 {
		a.created = event.Created
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

// completion is a complete answer in OpenAI's format.
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   *usage             `json:"usage,omitempty"`
}

// completionChoice is the single choice of a completion.
type completionChoice struct {
	Index        int               `json:"index"`
	Message      completionMessage `json:"message"`
	FinishReason string            `json:"finish_reason"`
}

// completionMessage is the message of a completion.
type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// encode returns the complete answer as JSON.
func (a *answerBuilder) encode(sequence *sequence) ([]byte, error) {
	return json.Marshal(completion{
		ID: sequence.id, Object: "chat.completion", Created: a.created, Model: a.model,
		Choices: []completionChoice{{
			Message:      completionMessage{Role: "assistant", Content: a.text.String()},
			FinishReason: sequence.finishReason,
		}},
		Usage: sequence.usage,
	})
}
