// Package caller sends requests to routers as callers do, checks every answer
// byte for byte against what its own request must yield, and sums up what it
// saw.
//
// Invariants: every call has exactly one ending; an answer that ends cleanly
// and differs from what its request must yield is wrong, never cut; a cut is
// counted as visible only when the connection says so. Which requests are sent
// when depends on the seed alone.
package caller

import (
	"encoding/json"
	"net/http"
	"strings"

	"shallotkeel.example/lib/answerer"
)

// Kind is a kind of request.
type Kind string

// The kinds of request.
const (
	Stream Kind = "stream" // a streamed chat completion
	Whole  Kind = "whole"  // a chat completion that is answered at once
	Plain  Kind = "plain"  // a call to a plain service
)

// Request is one request of a workspace.
type Request struct {
	Workspace string
	Token     string
	Kind      Kind
	// Model, Prompt and Bound are a chat completion's.
	Model  string
	Prompt string
	Bound  int
	// Service, Method, Path and Body are a plain call's. The path starts with
	// a slash.
	Service string
	Method  string
	Path    string
	Body    string
	// Key is the Idempotency-Key, if any.
	Key string
	// Once marks the request as not repeatable.
	Once bool
	// Traceparent is sent if it is set.
	Traceparent string
}

func (r Request) messages() []answerer.Message {
	return []answerer.Message{{Role: "user", Content: r.Prompt}}
}

// Want returns what the answer must be.
func (r Request) Want() string {
	if r.Kind == Plain {
		return answerer.Plain(r.Method, r.Path, []byte(r.Body))
	}
	return answerer.Text(r.Model, answerer.Prompt(r.messages()), r.Bound)
}

// method, path and body as a router takes them.
func (r Request) call() (method, path, body string) {
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
		return "", "", "" // a struct of texts and numbers always encodes
	}
	return http.MethodPost, "/v1/chat/completions", string(text)
}

// HTTP returns the request as it is sent to a router, without a context.
func (r Request) HTTP(base string) (*http.Request, error) {
	method, path, body := r.call()
	request, err := http.NewRequest(method, base+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+r.Token)
	if r.Kind != Plain {
		request.Header.Set("Content-Type", "application/json")
	}
	if r.Key != "" {
		request.Header.Set("Idempotency-Key", r.Key)
	}
	if r.Once {
		request.Header.Set("X-Not-Repeatable", "yes")
	}
	if r.Traceparent != "" {
		request.Header.Set("Traceparent", r.Traceparent)
	}
	return request, nil
}
