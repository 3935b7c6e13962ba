// Package registrar takes the announcements of endpoints and passes them on to
// the scheduler of their pool.
//
// Invariants: an announcement that is passed on is complete and names this
// router's availability zone; what an endpoint can make a router hold is
// bounded, in one announcement and in all; a withdrawal is passed on only when
// the router knows which service the endpoint belongs to.
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
	// maxBody bounds an announcement: a thousand cache events of each kind and
	// labels fit into a quarter of it.
	maxBody = 256 << 10
	// announceTimeout is how long the pool's scheduler may take to answer.
	announceTimeout = time.Second
	retryLater      = time.Second
)

// Announcer passes an announcement on to its pool's scheduler.
type Announcer interface {
	Announce(ctx context.Context, announcement *messenger.Announcement) error
}

// Options are what a Registrar is made of.
type Options struct {
	Announcer Announcer
	Token     string // the endpoints' token, good for every service
	// Scoped returns the service that another token is good for; nil if there are none.
	Scoped   func(token string) (service string, found bool)
	Zone     string
	Clock    clockwork.Clock
	Log      zerolog.Logger
	Registry *prometheus.Registry // nil keeps the metrics unregistered
}

// Registrar serves endpoints.
type Registrar struct {
	options Options
	fleet   refuser.Allowed // the token that is good for every service
	known   directory
	calls   *prometheus.CounterVec
}

// New returns a registrar; Register puts it on a mux.
func New(options Options) *Registrar {
	calls := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "shallotkeel_announcements_total",
		Help: "Announcements and withdrawals of endpoints, by result.",
	}, []string{"result"})
	if options.Registry != nil {
		options.Registry.MustRegister(calls)
	}
	return &Registrar{options: options, fleet: refuser.Token(options.Token), calls: calls}
}

// Register serves the endpoints' paths.
func (r *Registrar) Register(mux *http.ServeMux) {
	const remedy = "set the endpoints' token in the settings of the endpoint and of the router"
	allowed := refuser.Either(r.fleet, func(token string) bool {
		_, found := r.scoped(token)
		return found
	})
	mux.HandleFunc("POST /v1/endpoints/{id}", refuser.Guard(allowed, remedy, r.announce))
	mux.HandleFunc("DELETE /v1/endpoints/{id}", refuser.Guard(allowed, remedy, r.withdraw))
}

func (r *Registrar) scoped(token string) (service string, found bool) {
	if r.options.Scoped == nil {
		return "", false
	}
	return r.options.Scoped(token)
}

// mayAnnounce tells whether the request's token is good for the service. A
// service's own token must not let its holder take over another service's work.
func (r *Registrar) mayAnnounce(h *http.Request, service string) bool {
	token := refuser.Bearer(h)
	if r.fleet(token) {
		return true
	}
	scope, found := r.scoped(token)
	return found && scope == service
}

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
	if !r.pass(w, h, message) {
		return
	}
	r.known.remember(r.options.Clock.Now(), message)
}

func (r *Registrar) withdraw(w http.ResponseWriter, h *http.Request) {
	incarnation, err := strconv.ParseUint(h.URL.Query().Get("incarnation"), 10, 64)
	if err != nil {
		r.refuseBody(w, merry.Errorf("%w: incarnation is missing; add ?incarnation=N", errAnnouncement))
		return
	}
	id := h.PathValue("id")
	message, found := r.known.withdrawal(r.options.Clock.Now(), id, incarnation)
	if !found {
		r.calls.WithLabelValues("unknown").Inc()
		refuser.Write(w, http.StatusNotFound, reporter.FailureBody{
			Type: refuser.Invalid, Code: refuser.CodeNotFound,
			Message: fmt.Sprintf("incarnation %d of endpoint %q did not announce itself at this router", incarnation, id),
			Remedy:  "withdraw at the router that took the last announcement, or let the time to live pass",
		})
		return
	}
	if r.pass(w, h, message) {
		r.known.forget(id, incarnation)
	}
}

// pass hands the message to the pool's scheduler and answers the endpoint.
func (r *Registrar) pass(w http.ResponseWriter, h *http.Request, message *messenger.Announcement) bool {
	if !r.mayAnnounce(h, message.GetService()) {
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
			Remedy: "announce again, to this router or another of the availability zone", RetryMS: retryLater.Milliseconds(),
		})
		return false
	}
	r.calls.WithLabelValues("taken").Inc()
	w.WriteHeader(http.StatusNoContent)
	return true
}

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
