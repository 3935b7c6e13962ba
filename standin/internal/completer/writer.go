package completer

import (
	"encoding/json"
	"net/http"
	"strings"

	"shallotkeel.example/lib/answerer"
)

// chunk is a streamed chunk or a complete answer of OpenAI's API, with the token's
// index added.
type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Index   *int     `json:"index_of_token,omitempty"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index   int               `json:"index"`
	Delta   *answerer.Message `json:"delta,omitempty"`
	Message *answerer.Message `json:"message,omitempty"`
	Finish  *string           `json:"finish_reason"`
}

type usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
}

// writer writes an answer, either streamed or complete at its end.
type writer struct {
	call
	out        http.ResponseWriter
	control    *http.ResponseController
	text       strings.Builder
	headerSent bool
}

func newWriter(out http.ResponseWriter, q call) *writer {
	return &writer{call: q, out: out, control: http.NewResponseController(out)}
}

func (w *writer) writeToken(i int) {
	text := answerer.Token(w.Model, w.prompt, i)
	if !w.Stream {
		w.text.WriteString(text)
		return
	}
	w.writeEvent(chunk{Index: &i, Choices: []choice{{Delta: &answerer.Message{Role: "assistant", Content: text}}}})
}

func (w *writer) writeEvent(c chunk) {
	w.sendHeader("text/event-stream")
	c.ID, c.Object, c.Model = w.id, "chat.completion.chunk", w.Model
	text, err := json.Marshal(c)
	if err != nil {
		return // unreachable: a chunk of texts and numbers always encodes
	}
	_, _ = w.out.Write([]byte("data: " + string(text) + "\n\n"))
}

func (w *writer) sendHeader(contentType string) {
	if w.headerSent {
		return
	}
	w.headerSent = true
	w.out.Header().Set("Content-Type", contentType)
	w.out.WriteHeader(http.StatusOK)
}

// flush sends the events written so far. A flush that fails is ignored, because
// the request's context ends when the caller disconnects.
func (w *writer) flush() {
	if w.headerSent {
		_ = w.control.Flush()
	}
}

// close ends the answer: with the final event of a stream, or with the complete
// answer.
func (w *writer) close() {
	stop := "stop"
	tokens := &usage{Prompt: 1 + len(w.prompt)/promptUnitBytes, Completion: w.length}
	tokens.Total = tokens.Prompt + tokens.Completion
	if w.Stream {
		w.writeEvent(chunk{Choices: []choice{{Delta: &answerer.Message{}, Finish: &stop}}, Usage: tokens})
		_, _ = w.out.Write([]byte("data: [DONE]\n\n"))
		w.flush()
		return
	}
	w.sendHeader("application/json")
	message := &answerer.Message{Role: "assistant", Content: w.text.String()}
	_ = json.NewEncoder(w.out).Encode(chunk{
		ID: w.id, Object: "chat.completion", Model: w.Model, Usage: tokens,
		Choices: []choice{{Message: message, Finish: &stop}},
	})
}
