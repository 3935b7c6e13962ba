// Package registrar accepts the announcements and withdrawals of endpoints and
// forwards them to the scheduler of their pool.
//
// Invariants: a forwarded announcement is complete and names this router's
// availability zone; the memory that endpoints can make a router use is bounded,
// per announcement and in total; a withdrawal is forwarded only if the router
// knows the service of the endpoint.
package registrar

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/reporter"
	"shallotkeel.example/router/internal/refuser"
)

const (
	// maxBody bounds the body of an announcement in bytes: a thousand cache events of
	// each kind and the labels fit into a quarter of it.
	maxBody = 256 << 10
	// announceTimeout bounds the call to the pool's scheduler.
	announceTimeout = time.Second
	// retryAfter is the pause after which an endpoint should announce again, after no
	// scheduler was reached.
	retryAfter = time.Second
)

// Announcer sends an announcement to the scheduler of its pool.
type Announcer interface {
	Announce(ctx context.Context, announcement *messenger.Announcement) error
}

// Options configures a Registrar.
type Options struct {
	Announcer Announcer
	Token     string // the endpoints' token, valid for every service
	// Scoped returns the service that another token is valid for; nil if there are no
	// such tokens.
	Scoped func(token string) (service string, found bool)
	// Current reports whether Scoped knows the newest tokens; nil if it always does.
	Current  refuser.Current
	Zone     string
	Clock    clockwork.Clock
	Log      zerolog.Logger
	Registry *prometheus.Registry // nil leaves the metrics unregistered
}

// Registrar serves the endpoints' API.
type Registrar struct {
	options      Options
	isFleetToken refuser.Allowed // accepts the token that is valid for every service
	directory    directory       // the announcements accepted by this router
	calls        *prometheus.CounterVec
}

// New returns a registrar; Register adds its handlers to a mux.
func New(options Options) *Registrar {
	calls := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "shallotkeel_announcements_total",
		Help: "Announcements and withdrawals of endpoints, by result.",
	}, []string{"result"})
	if options.Registry != nil {
		options.Registry.MustRegister(calls)
	}
	return &Registrar{options: options, isFleetToken: refuser.Token(options.Token), calls: calls}
}

// Register adds the handlers of the endpoints' paths to a mux. Every path needs the
// endpoints' token or the token of a service.
func (r *Registrar) Register(mux *http.ServeMux) {
	const remedy = "set the endpoints' token in the settings of the endpoint and of the router"
	allowed := refuser.Either(r.isFleetToken, func(token string) bool {
		_, found := r.scoped(token)
		return found
	})
	mux.HandleFunc("POST /v1/endpoints/{id}", refuser.Guard(allowed, r.options.Current, remedy, r.announce))
	mux.HandleFunc("DELETE /v1/endpoints/{id}", refuser.Guard(allowed, r.options.Current, remedy, r.withdraw))
}

// scoped returns the service that a token is valid for, if it is the token of a service.
func (r *Registrar) scoped(token string) (service string, found bool) {
	if r.options.Scoped == nil {
		return "", false
	}
	return r.options.Scoped(token)
}

// mayAnnounce reports whether the request's token is valid for the service. The token of
// one service must not let its holder take over the work of another service.
func (r *Registrar) mayAnnounce(h *http.Request, service string) bool {
	token := refuser.Bearer(h)
	if r.isFleetToken(token) {
		return true
	}
	scope, found := r.scoped(token)
	return found && scope == service
}

// announce handles POST /v1/endpoints/{id}.
func (r *Registrar) announce(w http.ResponseWriter, h *http.Request) {
	decoder := json.NewDecoder(http.MaxBytesReader(w, h.Body, maxBody))
	decoder.DisallowUnknownFields()
	var body announcement
	if err := decoder.Decode(&body); err != nil {
		r.refuseBody(w, err)
		return
	}
	message, err := body.message(h.PathValue("id"), r.options.Zone)
	if err != nil {
		r.refuseBody(w, err)
		return
	}
	if !r.forward(w, h, message) {
		return
	}
	r.directory.store(r.options.Clock.Now(), message)
}

// withdraw handles DELETE /v1/endpoints/{id}. It sends the endpoint's last announcement
// again, as leaving.
func (r *Registrar) withdraw(w http.ResponseWriter, h *http.Request) {
	incarnation, err := strconv.ParseUint(h.URL.Query().Get("incarnation"), 10, 64)
	if err != nil {
		r.refuseBody(w, merry.Errorf("%w: incarnation is missing; add ?incarnation=N", errAnnouncement))
		return
	}
	id := h.PathValue("id")
	message, found := r.directory.withdrawal(r.options.Clock.Now(), id, incarnation)
	if !found {
		r.calls.WithLabelValues("unknown").Inc()
		refuser.Write(w, http.StatusNotFound, reporter.FailureBody{
			Type: refuser.Invalid, Code: refuser.CodeNotFound,
			Message: fmt.Sprintf("incarnation %d of endpoint %q did not announce itself at this router", incarnation, id),
			Remedy:  "withdraw at the router that took the last announcement, or let the time to live pass",
		})
		return
	}
	if r.forward(w, h, message) {
		r.directory.remove(id, incarnation)
	}
}

// forward sends a message to the pool's scheduler and answers the endpoint. It returns
// whether the scheduler accepted the message.
func (r *Registrar) forward(w http.ResponseWriter, h *http.Request, message *messenger.Announcement) bool {
	known := r.options.Current.Known() // before the token is looked for
	if !r.mayAnnounce(h, message.GetService()) {
		if !known {
			r.calls.WithLabelValues("refused").Inc()
			refuser.NotReady(w)
			return false
		}
		r.calls.WithLabelValues("refused").Inc()
		refuser.Write(w, http.StatusForbidden, reporter.FailureBody{
			Type: refuser.Invalid, Code: refuser.CodeNotAllowed, Message: "the token belongs to another service",
			Remedy: "use the token whose digest is in the service's label \"token\"",
		})
		return false
	}
	ctx, cancel := context.WithTimeout(h.Context(), announceTimeout)
	defer cancel()
	if err := r.options.Announcer.Announce(ctx, message); err != nil {
		r.calls.WithLabelValues("failed").Inc()
		w.Header().Set("Retry-After", "1")
		refuser.Write(w, http.StatusServiceUnavailable, reporter.FailureBody{
			Type: refuser.NotRun, Code: "no_scheduler", Message: "the announcement reached no scheduler",
			Remedy: "announce again, to this router or another of the availability zone", RetryMS: retryAfter.Milliseconds(),
		})
		return false
	}
	r.calls.WithLabelValues("taken").Inc()
	w.WriteHeader(http.StatusNoContent)
	return true
}

// refuseBody answers an announcement that is too large or malformed.
func (r *Registrar) refuseBody(w http.ResponseWriter, err error) {
	r.calls.WithLabelValues("malformed").Inc()
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		refuser.Write(w, http.StatusRequestEntityTooLarge, reporter.FailureBody{
			Type: refuser.Invalid, Code: refuser.CodeTooLarge, Message: "the announcement is too large",
			Remedy: fmt.Sprintf("send at most %d bytes: fewer cache events at a time", maxBody),
		})
		return
	}
	refuser.Write(w, http.StatusBadRequest, reporter.FailureBody{
		Type: refuser.Invalid, Code: refuser.CodeBadBody, Message: err.Error(),
		Remedy: "send the fields of docs/INTERFACES.md, section Endpoints",
	})
}
