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
	"strings"

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
	CodeBadToken   = "bad_token"
	CodeNotAllowed = "not_allowed"
	CodeBadBody    = "bad_body"
	CodeTooLarge   = "too_large"
	CodeNotFound   = "not_found"
	CodeNoQuorum   = "no_quorum"
)

// Write sends a failure as the whole answer.
func Write(w http.ResponseWriter, status int, body reporter.FailureBody) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// Whoever has gone cannot be told.
	_ = json.NewEncoder(w).Encode(reporter.Failure{Error: body})
}

// Allowed tells whether a bearer token opens a path.
type Allowed func(token string) bool

// Token allows one token, compared in constant time. An empty token lets nobody
// through, because a forgotten setting must not open the paths.
func Token(token string) Allowed {
	want := sha256.Sum256([]byte(token))
	return func(offered string) bool {
		got := sha256.Sum256([]byte(offered))
		return token != "" && subtle.ConstantTimeCompare(got[:], want[:]) == 1
	}
}

// Either allows what any of them allows; nil ones allow nothing.
func Either(checks ...Allowed) Allowed {
	return func(offered string) bool {
		for _, allows := range checks {
			if allows != nil && allows(offered) {
				return true
			}
		}
		return false
	}
}

// Bearer returns the bearer token of a request, empty if there is none. What
// stands there without the scheme is no token.
func Bearer(r *http.Request) string {
	token, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found {
		return ""
	}
	return token
}

// Guard lets only requests through whose bearer token is allowed.
func Guard(allowed Allowed, remedy string, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if token := Bearer(r); token == "" || !allowed(token) {
			Write(w, http.StatusUnauthorized, reporter.FailureBody{
				Type: Invalid, Code: CodeBadToken, Message: "the token is missing or wrong", Remedy: remedy,
			})
			return
		}
		next(w, r)
	}
}
