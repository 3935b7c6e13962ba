package server

import (
	"context"
	"fmt"
	"net/http"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/twitchtv/twirp"

	"shallotkeel.example/lib/messenger"
)

// maxCallBody bounds the body of a call of a router or an operator, and of a poll of another keeper, in bytes: four
// times the largest command.
const maxCallBody = 16 << 20

// maxControlBody bounds the body of a call from another process, in bytes. Snapshots are the
// largest.
const maxControlBody = 256 << 20

// controlHandler returns the handler for calls of routers and other keepers.
func (s *Server) controlHandler() http.Handler {
	mux := http.NewServeMux()
	hooks := twirp.WithServerHooks(&twirp.ServerHooks{Error: s.noteFailedCall})
	keeper := messenger.NewKeepingServer(keeping{s}, hooks)
	mux.Handle(keeper.PathPrefix(), s.metrics.traffic.count(kindOther, markForwarded(http.MaxBytesHandler(keeper, maxCallBody))))
	planning := messenger.NewPlanningServer(planning{s}, hooks)
	mux.Handle(planning.PathPrefix(), s.metrics.traffic.count(kindOther, withPollSlots(markForwarded(http.MaxBytesHandler(planning, maxCallBody)))))
	agreement := messenger.NewReplicationServer(replication{s}, hooks)
	mux.Handle(agreement.PathPrefix(), s.metrics.traffic.count(kindAgreement, http.MaxBytesHandler(agreement, maxControlBody)))
	return mux
}

// noteFailedCall counts and logs a call that failed by a fault of this keeper, such as an answer that cannot be encoded.
// Its caller sees only that this keeper does not answer.
func (s *Server) noteFailedCall(ctx context.Context, err twirp.Error) context.Context {
	if err.Code() != twirp.Internal || ctx.Err() != nil {
		return ctx
	}
	s.failedCalls.Add(1)
	if s.callDamper.Admit(s.clock.Now(), s.log) {
		method, _ := twirp.MethodName(ctx)
		s.log.Error().Err(err).Str("method", method).Msg("call of another process failed here")
	}
	return ctx
}

// publicHandler returns the handler for health checks and metrics.
func (s *Server) publicHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", s.healthz)
	mux.HandleFunc("GET /readyz", s.readyz)
	mux.Handle("GET /metrics", promhttp.HandlerFor(s.metrics.registry, promhttp.HandlerOpts{}))
	return mux
}

// healthz reports whether the control loop is running.
func (s *Server) healthz(w http.ResponseWriter, _ *http.Request) {
	select {
	case <-s.stopped:
		http.Error(w, "the control loop has ended; restart the keeper", http.StatusServiceUnavailable)
	default:
		fmt.Fprintln(w, "ok")
	}
}

// readyz reports whether this keeper has contact with a quorum, free space on its disk, and is
// not shutting down.
func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	select {
	case <-s.stopping:
		http.Error(w, "stopping", http.StatusServiceUnavailable)
		return
	default:
	}
	current := s.view.Load()
	switch {
	case current.diskFull:
		http.Error(w, "the disk is full; free space on it", http.StatusServiceUnavailable)
	case !current.status.Quorum:
		http.Error(w, "no contact with a quorum of keepers; check the network and the other keepers", http.StatusServiceUnavailable)
	default:
		fmt.Fprintln(w, "ok")
	}
}
