// Package refuser writes the typed error answers that all of a router's paths
// share, and guards the paths that need a token of their own.
//
// Invariants: every error answer is a reporter.Failure with a remedy; tokens
// are compared in constant time; an answer names nothing of the system's inside.
package refuser

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"net/http"

	"shallotkeel.example/lib/reporter"
)

// Types of a failure.
const (
	Invalid = "invalid"
	NotRun  = "not_run"
	Unknown = "unknown"
)

// Codes that the paths of endpoints and operators use.
const (
	CodeBadToken = "bad_token"
	CodeBadBody  = "bad_body"
	CodeTooLarge = "too_large"
	CodeNotFound = "not_found"
	CodeNoQuorum = "no_quorum"
)

// Write sends a failure as the whole answer.
func Write(w http.ResponseWriter, status int, body reporter.FailureBody) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// Whoever has gone cannot be told.
	_ = json.NewEncoder(w).Encode(reporter.Failure{Error: body})
}

// Guard lets only requests through that carry the token. An empty token lets
// nobody through, because a forgotten setting must not open the paths.
func Guard(token, remedy string, next http.HandlerFunc) http.HandlerFunc {
	want := sha256.Sum256([]byte("Bearer " + token))
	return func(w http.ResponseWriter, r *http.Request) {
		got := sha256.Sum256([]byte(r.Header.Get("Authorization")))
		if token == "" || subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
			Write(w, http.StatusUnauthorized, reporter.FailureBody{
				Type: Invalid, Code: CodeBadToken, Message: "the token is missing or wrong", Remedy: remedy,
			})
			return
		}
		next(w, r)
	}
}
