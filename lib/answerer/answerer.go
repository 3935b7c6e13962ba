// Package answerer computes the answers of the stand-in engines and services as
// a pure function of the request, so that a caller can verify every answer byte
// for byte and a resumed stream continues without a gap or a repetition.
package answerer

import (
	"encoding/binary"
	"encoding/hex"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// DefaultMaxTokens is the maximum number of tokens in the answer to a request
// that does not set max_tokens.
const DefaultMaxTokens = 64

// prefixBytes is the length of the part of a prompt that PrefixHash hashes.
// Prompts of one task begin with the same long instruction, whose prefill engines
// cache.
const prefixBytes = 256

// Message is one message of a chat completion.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Prompt joins messages into the prompt that determines the answer.
func Prompt(messages []Message) string {
	var prompt strings.Builder
	for _, message := range messages {
		prompt.WriteString(message.Content)
		prompt.WriteByte('\n')
	}
	return prompt.String()
}

// PrefixHash returns the hash of the model and the first bytes of a prompt.
// Engines report cached prefixes by this hash, and routers look them up by it. It
// is 0 (no prefix) for prompts that are too short to be worth caching.
func PrefixHash(model, prompt string) uint64 {
	if len(prompt) < prefixBytes {
		return 0
	}
	return xxhash.Sum64String(model + "\x02" + prompt[:prefixBytes])
}

// Token returns token i, counted from 0, of a model's answer to a prompt.
func Token(model, prompt string, i int) string {
	digest := xxhash.New()
	_, _ = digest.WriteString(model + "\x00" + prompt + "\x00")
	var number [8]byte
	binary.BigEndian.PutUint64(number[:], uint64(i))
	_, _ = digest.Write(number[:])
	var sum [8]byte
	binary.BigEndian.PutUint64(sum[:], digest.Sum64())
	return hex.EncodeToString(sum[:2]) + " "
}

// Length returns the number of tokens in a model's answer to a prompt: between a
// quarter of maxTokens and maxTokens, depending on the hash of model and prompt.
func Length(model, prompt string, maxTokens int) int {
	if maxTokens <= 1 {
		return max(maxTokens, 0)
	}
	minTokens := (maxTokens + 3) / 4
	hash := xxhash.Sum64String(model + "\x01" + prompt)
	return minTokens + int(hash%uint64(maxTokens-minTokens+1))
}

// Text returns the complete answer of a model to a prompt.
func Text(model, prompt string, maxTokens int) string {
	var text strings.Builder
	for i := range Length(model, prompt, maxTokens) {
		text.WriteString(Token(model, prompt, i))
	}
	return text.String()
}

// Plain returns the answer of a plain (not a model) service to a call.
func Plain(method, path string, body []byte) string {
	digest := xxhash.New()
	_, _ = digest.WriteString(method + "\x00" + path + "\x00")
	_, _ = digest.Write(body)
	var sum [8]byte
	binary.BigEndian.PutUint64(sum[:], digest.Sum64())
	return "done " + hex.EncodeToString(sum[:])
}
