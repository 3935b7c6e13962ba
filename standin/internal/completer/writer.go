package completer

import (
	"encoding/json"
	"net/http"
	"strings"

	"shallotkeel.example/lib/answerer"
)

// chunk is OpenAI's streamed chunk, with the token's index.
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

// writer writes an answer, streamed or whole.
type writer struct {
	call
	out     http.ResponseWriter
	control *http.ResponseController
	whole   strings.Builder
	opened  bool
}

func newWriter(out http.ResponseWriter, q call) *writer {
	return &writer{call: q, out: out, control: http.NewResponseController(out)}
}

func (w *writer) token(i int) {
	text := answerer.Token(w.Model, w.prompt, i)
	if !w.Stream {
		w.whole.WriteString(text)
		return
	}
	w.event(chunk{Index: &i, Choices: []choice{{Delta: &answerer.Message{Role: "assistant", Content: text}}}})
}

func (w *writer) event(c chunk) {
	w.open("text/event-stream")
	c.ID, c.Object, c.Model = w.id, "chat.completion.chunk", w.Model
	text, err := json.Marshal(c)
	if err != nil {
		return // a chunk of texts and numbers always encodes
	}
	_, _ = w.out.Write([]byte("data: " + string(text) + "\n\n"))
}

func (w *writer) open(kind string) {
	if w.opened {
		return
	}
	w.opened = true
	w.out.Header().Set("Content-Type", kind)
	w.out.WriteHeader(http.StatusOK)
}

// flush sends what was written. A caller that has gone is noticed by the
// request's context, not here.
func (w *writer) flush() {
	if w.opened {
		_ = w.control.Flush()
	}
}

func (w *writer) close() {
	stop := "stop"
	used := &usage{Prompt: 1 + len(w.prompt)/promptUnit, Completion: w.length}
	used.Total = used.Prompt + used.Completion
	if w.Stream {
		w.event(chunk{Choices: []choice{{Delta: &answerer.Message{}, Finish: &stop}}, Usage: used})
		_, _ = w.out.Write([]byte("data: [DONE]\n\n"))
		w.flush()
		return
	}
	w.open("application/json")
	message := &answerer.Message{Role: "assistant", Content: w.whole.String()}
	_ = json.NewEncoder(w.out).Encode(chunk{
		ID: w.id, Object: "chat.completion", Model: w.Model, Usage: used,
		Choices: []choice{{Message: message, Finish: &stop}},
	})
}
