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
