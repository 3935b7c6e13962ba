// Package administrator serves the operators' API and forwards its calls to the
// keepers.
//
// Invariants: the package decides nothing: the outcome of a change is the
// keepers' answer, returned unchanged; an operator whose answer was lost can
// send the same change again; an answer that may be stale is marked as stale.
package administrator

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/rs/zerolog"
	"github.com/twitchtv/twirp"

	"shallotkeel.example/lib/describer"
	"shallotkeel.example/lib/localizer"
	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/reporter"
	"shallotkeel.example/router/internal/refuser"
)

const (
	// maxBody bounds the body of one change in bytes; some ten thousand edits fit.
	maxBody = 4 << 20
	// callTimeout bounds a call to the keepers.
	callTimeout = 10 * time.Second
	// defaultHistory and maxHistory are numbers of revisions in one answer.
	defaultHistory = 50
	maxHistory     = 1000
)

// Keeping is the part of messenger.Keeping that operators need.
type Keeping interface {
	Apply(ctx context.Context, request *messenger.ApplyRequest) (*messenger.ApplyResponse, error)
	Watch(ctx context.Context, request *messenger.WatchRequest) (*messenger.WatchResponse, error)
	History(ctx context.Context, request *messenger.HistoryRequest) (*messenger.HistoryResponse, error)
	Quarantine(ctx context.Context, request *messenger.QuarantineRequest) (*messenger.QuarantineResponse, error)
}

// Reporter returns the state of the fleet as this router knows it.
type Reporter interface {
	Status(ctx context.Context) (reporter.Status, error)
}

// Explainer returns what happened to a recent request at this router; false means that
// the request is unknown.
type Explainer interface {
	Explain(id string) (reporter.Explanation, bool)
}

// Options configures an Administrator.
type Options struct {
	Keeping   Keeping
	Reporter  Reporter
	Explainer Explainer
	Token     string // the operators' token from the settings
	// Operator reports whether another token belongs to an operator; nil if there are
	// no other tokens.
	Operator refuser.Allowed
	// Current reports whether Operator knows the newest tokens; nil if it always does.
	Current refuser.Current
	Log     zerolog.Logger
}

// Administrator serves the operators' API.
type Administrator struct {
	options Options
}

// New returns an administrator; Register adds its handlers to a mux.
func New(options Options) *Administrator {
	return &Administrator{options: options}
}

// Register adds the handlers of the operators' paths to a mux. Every path needs an
// operator's token.
func (a *Administrator) Register(mux *http.ServeMux) {
	const remedy = "use the operators' token of the router's settings, for instance in SKCTL_TOKEN"
	allowed := refuser.Either(refuser.Token(a.options.Token), a.options.Operator)
	for path, handler := range map[string]http.HandlerFunc{
		"POST /admin/changes":                 a.apply,
		"GET /admin/objects":                  a.objects,
		"GET /admin/history":                  a.history,
		"GET /admin/status":                   a.status,
		"GET /admin/explain/{id}":             a.explain,
		"GET /admin/quarantines":              a.quarantines,
		"DELETE /admin/quarantines/{feature}": a.liftQuarantine,
		"/admin/{path...}":                    a.notFound,
	} {
		mux.HandleFunc(path, refuser.Guard(allowed, a.options.Current, remedy, handler))
	}
}

// apply handles POST /admin/changes. With dry_run=1 the keepers only check the change.
func (a *Administrator) apply(w http.ResponseWriter, h *http.Request) {
	decoder := json.NewDecoder(http.MaxBytesReader(w, h.Body, maxBody))
	decoder.DisallowUnknownFields()
	var change describer.Change
	if err := decoder.Decode(&change); err != nil {
		refuseBody(w, err)
		return
	}
	if change.ID == "" {
		badRequest(w, "the change has no id", "give every change an id of its own, so that it can be sent again")
		return
	}
	ctx, cancel := context.WithTimeout(h.Context(), callTimeout)
	defer cancel()
	answer, err := a.options.Keeping.Apply(ctx, applyRequest(change, h.URL.Query().Get("dry_run") == "1"))
	if err != nil {
		refuseKeeperError(w, err)
		return
	}
	status, applied := appliedAnswer(answer)
	writeJSON(w, status, applied)
}

// objects handles GET /admin/objects: the configuration in force, or with at=N the
// configuration of revision N.
func (a *Administrator) objects(w http.ResponseWriter, h *http.Request) {
	at, ok := queryNumber(w, h, "at", 0)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(h.Context(), callTimeout)
	defer cancel()
	if at > 0 {
		answer, err := a.options.Keeping.History(ctx, &messenger.HistoryRequest{At: at})
		if err != nil {
			refuseKeeperError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, reporter.Objects{Revision: answer.Revision, Objects: objects(answer.Objects)})
		return
	}
	answer, err := a.options.Keeping.Watch(ctx, &messenger.WatchRequest{})
	if err != nil {
		refuseKeeperError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, reporter.Objects{
		Revision: answer.Revision, Stale: answer.Stale, Objects: objects(answer.Objects),
	})
}

// history handles GET /admin/history: up to limit revisions before the revision in the
// parameter before.
func (a *Administrator) history(w http.ResponseWriter, h *http.Request) {
	before, ok := queryNumber(w, h, "before", 0)
	if !ok {
		return
	}
	limit, ok := queryNumber(w, h, "limit", defaultHistory)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(h.Context(), callTimeout)
	defer cancel()
	answer, err := a.options.Keeping.History(ctx, &messenger.HistoryRequest{
		Before: before, Limit: uint32(min(max(limit, 1), maxHistory)),
	})
	if err != nil {
		refuseKeeperError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, history(answer))
}

// status handles GET /admin/status.
func (a *Administrator) status(w http.ResponseWriter, h *http.Request) {
	ctx, cancel := context.WithTimeout(h.Context(), callTimeout)
	defer cancel()
	status, err := a.options.Reporter.Status(ctx)
	if err != nil {
		refuseKeeperError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, status)
}

// explain handles GET /admin/explain/{id}.
func (a *Administrator) explain(w http.ResponseWriter, h *http.Request) {
	explanation, found := a.options.Explainer.Explain(h.PathValue("id"))
	if !found {
		refuser.Write(w, http.StatusNotFound, reporter.FailureBody{
			Type: refuser.Invalid, Code: refuser.CodeNotFound, Message: "this router remembers no request of this id",
			Remedy: "ask the other routers, as skctl explain does; each remembers only its most recent requests",
		})
		return
	}
	writeJSON(w, http.StatusOK, explanation)
}

// quarantines handles GET /admin/quarantines: what requests are refused for, because endpoints crash
// under it.
func (a *Administrator) quarantines(w http.ResponseWriter, h *http.Request) {
	ctx, cancel := context.WithTimeout(h.Context(), callTimeout)
	defer cancel()
	answer, err := a.options.Keeping.Watch(ctx, &messenger.WatchRequest{})
	if err != nil {
		refuseKeeperError(w, err)
		return
	}
	listed := reporter.Quarantines{Stale: answer.GetStale(), Quarantines: []reporter.Quarantine{}}
	for _, q := range answer.GetQuarantined() {
		feature := localizer.Feature(q.GetDigest())
		listed.Quarantines = append(listed.Quarantines, reporter.Quarantine{Feature: hex.EncodeToString(feature.Bytes()), LeftMS: int64(q.GetLeftMs())})
	}
	writeJSON(w, http.StatusOK, listed)
}

// liftQuarantine handles DELETE /admin/quarantines/{feature}. Lifting one that has ended changes nothing.
func (a *Administrator) liftQuarantine(w http.ResponseWriter, h *http.Request) {
	digest, err := strconv.ParseUint(h.PathValue("feature"), 16, 64)
	if err != nil {
		badRequest(w, "the feature is no number", "write it as GET /admin/quarantines lists it")
		return
	}
	ctx, cancel := context.WithTimeout(h.Context(), callTimeout)
	defer cancel()
	lifted := &messenger.QuarantineRequest{Fingerprints: []*messenger.Fingerprint{{Digest: digest}}}
	if _, err := a.options.Keeping.Quarantine(ctx, lifted); err != nil {
		refuseKeeperError(w, err)
		return
	}
	a.options.Log.Info().Hex("feature", localizer.Feature(digest).Bytes()).Msg("an operator lifted a quarantine")
	writeJSON(w, http.StatusOK, reporter.Quarantines{Quarantines: []reporter.Quarantine{}})
}

// notFound answers every other path under /admin/.
func (a *Administrator) notFound(w http.ResponseWriter, _ *http.Request) {
	refuser.Write(w, http.StatusNotFound, reporter.FailureBody{
		Type: refuser.Invalid, Code: refuser.CodeNotFound, Message: "there is no such path under /admin/",
		Remedy: "see docs/INTERFACES.md, section Operators",
	})
}

// queryNumber returns the value of a query parameter, or fallback if it is missing. If
// the parameter is not a number, queryNumber answers 400 and returns false.
func queryNumber(w http.ResponseWriter, h *http.Request, name string, fallback uint64) (uint64, bool) {
	text := h.URL.Query().Get(name)
	if text == "" {
		return fallback, true
	}
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		badRequest(w, name+" is no number", "write it as a decimal number, such as "+name+"=7")
		return 0, false
	}
	return value, true
}

// badRequest answers 400 with a message and a remedy.
func badRequest(w http.ResponseWriter, message, remedy string) {
	refuser.Write(w, http.StatusBadRequest, reporter.FailureBody{
		Type: refuser.Invalid, Code: refuser.CodeBadBody, Message: message, Remedy: remedy,
	})
}

// refuseBody answers a body that is too large or cannot be decoded.
func refuseBody(w http.ResponseWriter, err error) {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		refuser.Write(w, http.StatusRequestEntityTooLarge, reporter.FailureBody{
			Type: refuser.Invalid, Code: refuser.CodeTooLarge, Message: "the change is too large",
			Remedy: "split it into several changes",
		})
		return
	}
	badRequest(w, "the body is no change: "+err.Error(), "send {\"id\",\"author\",\"edits\":[...]} as in docs/INTERFACES.md")
}

// refuseKeeperError answers a call that failed at the keepers: 400 if they rejected
// the request, otherwise 503. After a 503 it is unknown whether the change was
// accepted; sending it again returns its outcome.
func refuseKeeperError(w http.ResponseWriter, err error) {
	var answered twirp.Error
	if errors.As(err, &answered) && (answered.Code() == twirp.InvalidArgument || answered.Code() == twirp.NotFound) {
		badRequest(w, answered.Msg(), "correct the request")
		return
	}
	w.Header().Set("Retry-After", "1")
	refuser.Write(w, http.StatusServiceUnavailable, reporter.FailureBody{
		Type: refuser.Unknown, Code: refuser.CodeNoQuorum, Message: "no quorum of keepers answered",
		Remedy: "send it again with the same change id; it is applied once", RetryMS: time.Second.Milliseconds(),
	})
}

// writeJSON answers with a status and a JSON body.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error means that the operator disconnected; the call can be repeated.
	_ = json.NewEncoder(w).Encode(body)
}
