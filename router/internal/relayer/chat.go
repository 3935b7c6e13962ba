package relayer

import (
	"encoding/json"
	"math"

	"shallotkeel.example/lib/answerer"
	"shallotkeel.example/lib/tracker"
)

// bytesPerToken turns a prompt's size into units before a model has counted it.
const bytesPerToken = 4

// chat is what a router needs to know of a chat completion's body. The body
// itself goes on to the engine with every field that it came with.
type chat struct {
	Model  string
	Stream bool
	Hint   uint32
	Prompt uint32
	Prefix uint64
	Body   []byte // for the engine: always streamed, with usage
}

// chatBody is the part of the body that the router reads.
type chatBody struct {
	Model               string        `json:"model"`
	Messages            []chatMessage `json:"messages"`
	Stream              bool          `json:"stream"`
	MaxTokens           *int64        `json:"max_tokens"`
	MaxCompletionTokens *int64        `json:"max_completion_tokens"`
	N                   *int64        `json:"n"`
}

// chatMessage keeps the content raw, because it is a text or a list of parts.
type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type contentPart struct {
	Text string `json:"text"`
}

// decodeChat reads a body and prepares the one for the engine. The failure
// says what is wrong with the body.
func decodeChat(text []byte) (*chat, *problem) {
	var body chatBody
	if err := json.Unmarshal(text, &body); err != nil {
		return nil, badBody("the body is not a JSON object of a chat completion")
	}
	if problem := body.check(); problem != "" {
		return nil, badBody(problem)
	}
	messages, ok := joinable(body.Messages)
	if !ok {
		return nil, badBody("content must be a text or a list of parts with a text")
	}
	forwarded, err := forwardedBody(text)
	if err != nil {
		return nil, badBody("the body is not a JSON object of a chat completion")
	}
	prompt := answerer.Prompt(messages)
	return &chat{
		Model:  body.Model,
		Stream: body.Stream,
		Hint:   body.hint(),
		Prompt: uint32(min((len(prompt)+bytesPerToken-1)/bytesPerToken, math.MaxUint32)),
		Prefix: answerer.Prefix(body.Model, prompt),
		Body:   forwarded,
	}, nil
}

func badBody(reason string) *problem {
	return &problem{tracker.CodeBadBody, reason}
}

// check returns what is wrong, or nothing.
func (b *chatBody) check() string {
	switch {
	case b.Model == "":
		return "model is missing"
	case len(b.Messages) == 0:
		return "messages is missing or empty"
	case b.N != nil && *b.N != 1:
		return "n must be 1: one answer a request"
	case b.MaxTokens != nil && *b.MaxTokens < 1, b.MaxCompletionTokens != nil && *b.MaxCompletionTokens < 1:
		return "max_tokens must be at least 1"
	default:
		return ""
	}
}

func (b *chatBody) hint() uint32 {
	for _, bound := range []*int64{b.MaxTokens, b.MaxCompletionTokens} {
		if bound != nil {
			return uint32(min(*bound, math.MaxUint32))
		}
	}
	return 0
}

// joinable flattens contents to texts.
func joinable(raw []chatMessage) ([]answerer.Message, bool) {
	messages := make([]answerer.Message, 0, len(raw))
	for _, message := range raw {
		content, ok := flatten(message.Content)
		if !ok {
			return nil, false
		}
		messages = append(messages, answerer.Message{Role: message.Role, Content: content})
	}
	return messages, true
}

func flatten(raw json.RawMessage) (string, bool) {
	if len(raw) == 0 || string(raw) == "null" {
		return "", true
	}
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text, true
	}
	var parts []contentPart
	if json.Unmarshal(raw, &parts) != nil {
		return "", false
	}
	for _, part := range parts {
		text += part.Text
	}
	return text, true
}

// forwardedBody is the caller's body with streaming and usage switched on. The
// engine streams also when the caller wants a whole answer, because only a
// stream can be resumed at the token where it broke.
func forwardedBody(text []byte) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(text, &fields); err != nil {
		return nil, err
	}
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	return json.Marshal(fields)
}
