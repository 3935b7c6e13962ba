// Package caller generates load on routers. It sends requests as clients do,
// compares every answer byte for byte with the expected one, and summarises the
// results.
//
// Invariants: every call has exactly one ending; an answer that ends cleanly but
// differs from the expected answer is Wrong, never Cut; an answer is Cut only if
// the connection shows the truncation. The requests and their planned times
// depend on the seed alone.
package caller

import (
	"encoding/json"
	"net/http"
	"strings"

	"shallotkeel.example/lib/answerer"
)

// Kind is the kind of a request.
type Kind string

// The kinds of request.
const (
	Stream Kind = "stream" // a streamed chat completion
	Whole  Kind = "whole"  // a chat completion that is not streamed
	Plain  Kind = "plain"  // a call to a plain service
)

// headerKey is Idempotency-Key in lower case, which servers read as the same header.
const headerKey = "idempotency-key"

// Request is one request of a workspace.
type Request struct {
	Workspace string
	Token     string
	Kind      Kind
	// Model, Prompt and Bound (max_tokens) belong to chat completions.
	Model  string
	Prompt string
	Bound  int
	// System is a message before the prompt, none if it is empty.
	System string
	// Service, Method, Path and Body belong to calls of plain services. Path
	// begins with a slash.
	Service string
	Method  string
	Path    string
	Body    string
	// Key is sent as Idempotency-Key unless empty.
	Key string
	// Once marks the request as not repeatable (X-Not-Repeatable).
	Once bool
	// Traceparent is sent as the header of this name unless empty.
	Traceparent string
}

func (r Request) messages() []answerer.Message {
	prompt := answerer.Message{Role: "user", Content: r.Prompt}
	if r.System == "" {
		return []answerer.Message{prompt}
	}
	return []answerer.Message{{Role: "system", Content: r.System}, prompt}
}

// Want returns the expected answer: the content of a chat completion or the body
// of a plain answer.
func (r Request) Want() string {
	if r.Kind == Plain {
		return answerer.Plain(r.Method, r.Path, []byte(r.Body))
	}
	return answerer.Text(r.Model, answerer.Prompt(r.messages()), r.Bound)
}

// httpParts returns the method, path and body of the request as sent to a router.
func (r Request) httpParts() (method, path, body string) {
	if r.Kind == Plain {
		return r.Method, "/v1/services/" + r.Service + r.Path, r.Body
	}
	text, err := json.Marshal(struct {
		Model     string             `json:"model"`
		Messages  []answerer.Message `json:"messages"`
		MaxTokens int                `json:"max_tokens"`
		Stream    bool               `json:"stream"`
	}{r.Model, r.messages(), r.Bound, r.Kind == Stream})
	if err != nil {
		return "", "", "" // cannot happen: a struct of strings and numbers can be encoded
	}
	return http.MethodPost, "/v1/chat/completions", string(text)
}

// HTTP returns the request to a router with the given base URL. It has no
// context.
func (r Request) HTTP(base string) (*http.Request, error) {
	method, path, body := r.httpParts()
	request, err := http.NewRequest(method, base+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+r.Token)
	if r.Kind != Plain {
		request.Header.Set("Content-Type", "application/json")
	}
	if r.Key != "" {
		// net/http sends a request with a key a second time by itself, if a kept connection breaks
		// after the request was written. It looks for the canonical name only.
		request.Header[headerKey] = []string{r.Key}
	}
	if r.Once {
		request.Header.Set("X-Not-Repeatable", "yes")
	}
	if r.Traceparent != "" {
		request.Header.Set("Traceparent", r.Traceparent)
	}
	return request, nil
}
