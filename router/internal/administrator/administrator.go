// Package administrator serves the operators' API and passes it on to the
// keepers.
//
// Invariants: nothing is decided here: what a change does is the keepers'
// answer, told as it came; an operator whose answer was lost can send the same
// change again; an answer that may be stale says so.
package administrator

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/rs/zerolog"
	"github.com/twitchtv/twirp"

	"shallotkeel.example/lib/describer"
	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/reporter"
	"shallotkeel.example/router/internal/refuser"
)

const (
	// maxBody bounds one change; it holds some ten thousand edits.
	maxBody = 4 << 20
	// callTimeout is how long the keepers may take to answer.
	callTimeout    = 10 * time.Second
	defaultHistory = 50
	maxHistory     = 1000
)

// Keeping is the part of messenger.Keeping that operators need.
type Keeping interface {
	Apply(ctx context.Context, request *messenger.ApplyRequest) (*messenger.ApplyResponse, error)
	Watch(ctx context.Context, request *messenger.WatchRequest) (*messenger.WatchResponse, error)
	History(ctx context.Context, request *messenger.HistoryRequest) (*messenger.HistoryResponse, error)
}

// Reporter tells the fleet's state as this router knows it.
type Reporter interface {
	Status(ctx context.Context) (reporter.Status, error)
}

// Explainer tells what happened to a recent request of this router.
type Explainer interface {
	Explain(id string) (reporter.Explanation, bool)
}

// Options are what an Administrator is made of.
type Options struct {
	Keeping   Keeping
	Reporter  Reporter
	Explainer Explainer
	Token     string // the operators' token of the settings
	// Operator tells whether another token is an operator's; nil if there are none.
	Operator refuser.Allowed
	Log      zerolog.Logger
}

// Administrator serves operators.
type Administrator struct {
	options Options
}

// New returns an administrator; Register puts it on a mux.
func New(options Options) *Administrator {
	return &Administrator{options: options}
}

// Register serves the operators' paths.
func (a *Administrator) Register(mux *http.ServeMux) {
	const remedy = "use the operators' token of the router's settings, for instance in SKCTL_TOKEN"
	allowed := refuser.Either(refuser.Token(a.options.Token), a.options.Operator)
	for path, handler := range map[string]http.HandlerFunc{
		"POST /admin/changes":     a.apply,
		"GET /admin/objects":      a.objects,
		"GET /admin/history":      a.history,
		"GET /admin/status":       a.status,
		"GET /admin/explain/{id}": a.explain,
		"/admin/{path...}":        a.missing,
	} {
		mux.HandleFunc(path, refuser.Guard(allowed, remedy, handler))
	}
}

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
		refuseKeeping(w, err)
		return
	}
	status, applied := appliedAnswer(answer)
	write(w, status, applied)
}

func (a *Administrator) objects(w http.ResponseWriter, h *http.Request) {
	at, ok := number(w, h, "at", 0)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(h.Context(), callTimeout)
	defer cancel()
	if at > 0 {
		answer, err := a.options.Keeping.History(ctx, &messenger.HistoryRequest{At: at})
		if err != nil {
			refuseKeeping(w, err)
			return
		}
		write(w, http.StatusOK, reporter.Objects{Revision: answer.Revision, Objects: objects(answer.Objects)})
		return
	}
	answer, err := a.options.Keeping.Watch(ctx, &messenger.WatchRequest{})
	if err != nil {
		refuseKeeping(w, err)
		return
	}
	write(w, http.StatusOK, reporter.Objects{
		Revision: answer.Revision, Stale: answer.Stale, Objects: objects(answer.Objects),
	})
}

func (a *Administrator) history(w http.ResponseWriter, h *http.Request) {
	before, ok := number(w, h, "before", 0)
	if !ok {
		return
	}
	limit, ok := number(w, h, "limit", defaultHistory)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(h.Context(), callTimeout)
	defer cancel()
	answer, err := a.options.Keeping.History(ctx, &messenger.HistoryRequest{
		Before: before, Limit: uint32(min(max(limit, 1), maxHistory)),
	})
	if err != nil {
		refuseKeeping(w, err)
		return
	}
	write(w, http.StatusOK, history(answer))
}

func (a *Administrator) status(w http.ResponseWriter, h *http.Request) {
	ctx, cancel := context.WithTimeout(h.Context(), callTimeout)
	defer cancel()
	status, err := a.options.Reporter.Status(ctx)
	if err != nil {
		refuseKeeping(w, err)
		return
	}
	write(w, http.StatusOK, status)
}

func (a *Administrator) explain(w http.ResponseWriter, h *http.Request) {
	explanation, found := a.options.Explainer.Explain(h.PathValue("id"))
	if !found {
		refuser.Write(w, http.StatusNotFound, reporter.FailureBody{
			Type: refuser.Invalid, Code: refuser.CodeNotFound, Message: "this router remembers no request of this id",
			Remedy: "ask the other routers, as skctl explain does; each remembers only its most recent requests",
		})
		return
	}
	write(w, http.StatusOK, explanation)
}

func (a *Administrator) missing(w http.ResponseWriter, _ *http.Request) {
	refuser.Write(w, http.StatusNotFound, reporter.FailureBody{
		Type: refuser.Invalid, Code: refuser.CodeNotFound, Message: "there is no such path under /admin/",
		Remedy: "see docs/INTERFACES.md, section Operators",
	})
}

// number reads a query parameter, or answers what is wrong with it.
func number(w http.ResponseWriter, h *http.Request, name string, otherwise uint64) (uint64, bool) {
	text := h.URL.Query().Get(name)
	if text == "" {
		return otherwise, true
	}
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		badRequest(w, name+" is no number", "write it as a decimal number, such as "+name+"=7")
		return 0, false
	}
	return value, true
}

func badRequest(w http.ResponseWriter, message, remedy string) {
	refuser.Write(w, http.StatusBadRequest, reporter.FailureBody{
		Type: refuser.Invalid, Code: refuser.CodeBadBody, Message: message, Remedy: remedy,
	})
}

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

// refuseKeeping answers for keepers that did not. Whether a change was
// accepted is not known then; sending it again tells.
func refuseKeeping(w http.ResponseWriter, err error) {
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

func write(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An operator who has gone can ask again.
	_ = json.NewEncoder(w).Encode(body)
}
