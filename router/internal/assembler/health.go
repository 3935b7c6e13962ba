package assembler

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// healthTimeout bounds the health check of the control goroutine.
const healthTimeout = 2 * time.Second

// healthz handles GET /healthz, the liveness probe: it answers 200 if the control
// goroutine responds.
func (r *Router) healthz(w http.ResponseWriter, h *http.Request) {
	ctx, cancel := context.WithTimeout(h.Context(), healthTimeout)
	defer cancel()
	if !r.coordinator.Alive(ctx) {
		http.Error(w, "the control goroutine does not answer; restart the router", http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ok")
}

// readyz handles GET /readyz, the readiness probe: it answers 200 if clients' requests
// should be sent to this router.
func (r *Router) readyz(w http.ResponseWriter, _ *http.Request) {
	switch {
	case r.stopping.Load():
		http.Error(w, "stopping", http.StatusServiceUnavailable)
	case !r.follower.HasConfiguration():
		http.Error(w, "no configuration yet; check that a keeper or another router can be reached", http.StatusServiceUnavailable)
	case !r.coordinator.Ready():
		http.Error(w, "no contact with the zone's routers yet", http.StatusServiceUnavailable)
	default:
		fmt.Fprintln(w, "ok")
	}
}
