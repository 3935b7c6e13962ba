// Package refuser writes the typed error answers shared by all HTTP paths of a router, and restricts
// paths to holders of a token.
//
// Invariants:
//   - every error answer is a reporter.Failure with a remedy;
//   - tokens are compared in constant time;
//   - an answer discloses no internals of the system.
package refuser

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"shallotkeel.example/lib/reporter"
)

// Types of a failure, by what is known of the request: it is invalid, it has not run, or it may have
// run.
const (
	Invalid = "invalid"
	NotRun  = "not_run"
	Unknown = "unknown"
)

// Codes of failures on the paths for endpoints and operators.
const (
	CodeBadToken   = "bad_token"
	CodeNotAllowed = "not_allowed"
	CodeBadBody    = "bad_body"
	CodeTooLarge   = "too_large"
	CodeNotFound   = "not_found"
	CodeNoQuorum   = "no_quorum"
	CodeStopping   = "stopping" // this router does not serve yet, or no longer
)

// retryAfter is the pause after which a caller should ask again at a router that does not know yet.
const retryAfter = time.Second

// Write sends a failure as the complete answer.
func Write(w http.ResponseWriter, status int, body reporter.FailureBody) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The error is ignored: a client that has disconnected gets no answer.
	_ = json.NewEncoder(w).Encode(reporter.Failure{Error: body})
}

// Allowed reports whether a bearer token gives access to a path.
type Allowed func(token string) bool

// Token returns an Allowed that accepts a single token, compared in constant time. With an empty token
// it accepts none, because a missing setting must not open the paths.
func Token(token string) Allowed {
	want := sha256.Sum256([]byte(token))
	return func(offered string) bool {
		got := sha256.Sum256([]byte(offered))
		return token != "" && subtle.ConstantTimeCompare(got[:], want[:]) == 1
	}
}

// Either returns an Allowed that accepts a token if any of the checks does. Nil checks accept none.
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

// Bearer returns the bearer token of a request, empty if there is none. An Authorization header without
// the scheme Bearer holds no token.
func Bearer(r *http.Request) string {
	token, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found {
		return ""
	}
	return token
}

// Current reports whether the configuration in force is known to be the newest one. Before that, a token
// that is not in it may be valid all the same. Nil means that nothing depends on a configuration.
type Current func() bool

// Known is Current for nil too.
func (c Current) Known() bool {
	return c == nil || c()
}

// NotReady refuses a request that this router cannot judge yet.
func NotReady(w http.ResponseWriter) {
	w.Header().Set("Retry-After", strconv.Itoa(int(retryAfter/time.Second)))
	Write(w, http.StatusServiceUnavailable, reporter.FailureBody{
		Type: NotRun, Code: CodeStopping, RetryMS: retryAfter.Milliseconds(),
		Message: "this router has just started or is cut off, and does not know the newest configuration",
		Remedy:  "send the request again, to this router or another",
	})
}

// Guard returns a handler that passes requests with an allowed bearer token to next and refuses all
// others with the remedy, or as not ready if the token cannot be judged yet.
func Guard(allowed Allowed, current Current, remedy string, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		known := current.Known() // before the token is looked for, so that what is looked in is at least as new
		token := Bearer(r)
		if token == "" || !allowed(token) {
			if token != "" && !known {
				NotReady(w)
				return
			}
			Write(w, http.StatusUnauthorized, reporter.FailureBody{
				Type: Invalid, Code: CodeBadToken, Message: "the token is missing or wrong", Remedy: remedy,
			})
			return
		}
		next(w, r)
	}
}
