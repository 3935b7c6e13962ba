// Package answerer defines what the stand-in engines and services must answer,
// as a pure function of the request, so that a caller can check every answer
// byte for byte and a resumed stream joins seamlessly.
package answerer

import (
	"encoding/binary"
	"encoding/hex"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// DefaultBound is how many tokens an answer has at most where the request sets
// no max_tokens.
const DefaultBound = 64

// prefixBytes is the part of a prompt that Prefix hashes. Prompts of one task
// share a long instruction at the front, which is what engines cache.
const prefixBytes = 256

// Message is one message of a chat completion.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Prompt joins messages into the one text that an answer is a function of.
func Prompt(messages []Message) string {
	var prompt strings.Builder
	for _, message := range messages {
		prompt.WriteString(message.Content)
		prompt.WriteByte('\n')
	}
	return prompt.String()
}

// Prefix returns the hash of the first bytes of a model's prompt, by which
// engines report what they have cached and routers ask for it. It is 0, no
// prefix, for prompts that are too short to be worth caching.
func Prefix(model, prompt string) uint64 {
	if len(prompt) < prefixBytes {
		return 0
	}
	return xxhash.Sum64String(model + "\x02" + prompt[:prefixBytes])
}

// Token returns the i-th token, counted from 0, of a model's answer to a prompt.
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

// Length returns how many tokens a model's answer to a prompt has: between a
// quarter of and the whole of the bound, decided by the prompt's hash.
func Length(model, prompt string, bound int) int {
	if bound <= 1 {
		return max(bound, 0)
	}
	least := (bound + 3) / 4
	hash := xxhash.Sum64String(model + "\x01" + prompt)
	return least + int(hash%uint64(bound-least+1))
}

// Text returns the whole answer to a prompt.
func Text(model, prompt string, bound int) string {
	var text strings.Builder
	for i := range Length(model, prompt, bound) {
		text.WriteString(Token(model, prompt, i))
	}
	return text.String()
}

// Plain returns a plain service's answer to a call.
func Plain(method, path string, body []byte) string {
	digest := xxhash.New()
	_, _ = digest.WriteString(method + "\x00" + path + "\x00")
	_, _ = digest.Write(body)
	var sum [8]byte
	binary.BigEndian.PutUint64(sum[:], digest.Sum64())
	return "done " + hex.EncodeToString(sum[:])
}
