package relayer

import (
	"crypto/sha256"
	"encoding/json"
	"math"
	"strings"

	"shallotkeel.example/lib/answerer"
	"shallotkeel.example/lib/localizer"
	"shallotkeel.example/lib/tracker"
)

// bytesPerToken is the estimated size of a token, by which a prompt's tokens are counted before a
// model has counted them.
const bytesPerToken = 4

// chat is the part of a chat completion's body that the router uses. The body itself is forwarded to
// the engine with all its fields.
type chat struct {
	Model  string
	Stream bool         // the caller wants a stream
	Hint   uint32       // maximum tokens of the answer, 0 if the caller sets none
	Prompt uint32       // estimated tokens of the prompt
	Prefix uint64       // hash of the prompt's prefix, for prefix affinity
	Parts  []partDigest // of the texts of which the prompt consists
	Body   []byte       // for the engine: always streamed, with usage
}

// partDigest identifies one text of a prompt, with its role.
type partDigest [sha256.Size]byte

// chatBody is the part of the body that the router decodes.
type chatBody struct {
	Model               string        `json:"model"`
	Messages            []chatMessage `json:"messages"`
	Stream              bool          `json:"stream"`
	MaxTokens           *int64        `json:"max_tokens"`
	MaxCompletionTokens *int64        `json:"max_completion_tokens"`
	N                   *int64        `json:"n"`
}

// chatMessage is one message of the prompt. Its content is kept raw, because it is either a text or
// a list of parts.
type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// contentPart is one part of a message's content; parts without text are ignored.
type contentPart struct {
	Text string `json:"text"`
}

// decodeChat decodes a body and prepares the body for the engine. It returns a problem if the body is
// invalid.
func decodeChat(text []byte) (*chat, *problem) {
	var body chatBody
	if err := json.Unmarshal(text, &body); err != nil {
		return nil, badBody("the body is not a JSON object of a chat completion")
	}
	if problem := body.check(); problem != "" {
		return nil, badBody(problem)
	}
	messages, ok := flattenMessages(body.Messages)
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
		Prefix: answerer.PrefixHash(body.Model, prompt),
		Parts:  promptParts(body.Messages),
		Body:   forwarded,
	}, nil
}

// badBody returns the problem of an invalid body.
func badBody(reason string) *problem {
	return &problem{tracker.CodeBadBody, reason}
}

// check returns the reason why the body is invalid, empty if it is valid.
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

// hint returns the maximum tokens of the answer that the caller asks for, 0 if it sets none.
func (b *chatBody) hint() uint32 {
	for _, bound := range []*int64{b.MaxTokens, b.MaxCompletionTokens} {
		if bound != nil {
			return uint32(min(*bound, math.MaxUint32))
		}
	}
	return 0
}

// promptParts returns the digests of the texts of which a prompt consists, each with its role: as many as
// a profile can have. Digests are kept in place of the texts, whose memory is not reserved.
func promptParts(messages []chatMessage) []partDigest {
	var parts []partDigest
	for _, message := range messages {
		texts, _ := message.texts()
		for _, text := range texts {
			if len(parts) == localizer.MaxFeatures {
				return parts
			}
			parts = append(parts, sha256.Sum256([]byte(message.Role+"\x00"+text)))
		}
	}
	return parts
}

// flattenMessages converts the content of each message to a text. It returns false if a content is
// neither a text nor a list of parts.
func flattenMessages(raw []chatMessage) ([]answerer.Message, bool) {
	messages := make([]answerer.Message, 0, len(raw))
	for _, message := range raw {
		texts, ok := message.texts()
		if !ok {
			return nil, false
		}
		messages = append(messages, answerer.Message{Role: message.Role, Content: strings.Join(texts, "")})
	}
	return messages, true
}

// texts returns the texts of a message's content. It returns false if the content is neither a text nor
// a list of parts.
func (m *chatMessage) texts() ([]string, bool) {
	if len(m.Content) == 0 {
		return nil, true
	}
	var text string
	if json.Unmarshal(m.Content, &text) == nil {
		return []string{text}, true
	}
	var parts []contentPart
	if json.Unmarshal(m.Content, &parts) != nil {
		return nil, false
	}
	texts := make([]string, len(parts))
	for n, part := range parts {
		texts[n] = part.Text
	}
	return texts, true
}

// forwardedBody returns the caller's body with streaming and usage enabled. The engine streams even
// if the caller does not want a stream, because only a stream can be resumed at the token where it
// broke.
func forwardedBody(text []byte) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(text, &fields); err != nil {
		return nil, err
	}
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	return json.Marshal(fields)
}
