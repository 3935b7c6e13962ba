package assembler

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// healthTimeout is how long the control goroutine may take to answer.
const healthTimeout = 2 * time.Second

// healthz tells that the control goroutine is alive.
func (r *Router) healthz(w http.ResponseWriter, h *http.Request) {
	ctx, cancel := context.WithTimeout(h.Context(), healthTimeout)
	defer cancel()
	if !r.conductor.Alive(ctx) {
		http.Error(w, "the control goroutine does not answer; restart the router", http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ok")
}

// readyz tells whether callers should be sent here.
func (r *Router) readyz(w http.ResponseWriter, _ *http.Request) {
	switch {
	case r.stopping.Load():
		http.Error(w, "stopping", http.StatusServiceUnavailable)
	case !r.follower.Known():
		http.Error(w, "no configuration yet; check that a keeper or another router can be reached", http.StatusServiceUnavailable)
	case !r.conductor.Ready():
		http.Error(w, "no contact with the zone's routers yet", http.StatusServiceUnavailable)
	default:
		fmt.Fprintln(w, "ok")
	}
}
