// Package assembler builds a router from its settings, runs it and stops it.
//
// A planned stop has these steps, in order: the router reports on /readyz that
// it is not ready, so that the load balancer removes it; it notifies the other
// routers that it is leaving and hands its pools over; it accepts no new
// connections and finishes the requests in progress; it records their outcomes
// and reports their completion; then the process exits. No request is cut off
// before the stop timeout.
//
// Invariants: a router that cannot serve reports it on /readyz before it refuses
// a request; stopping is idempotent.
package assembler

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"

	"shallotkeel.example/lib/dialer"
	"shallotkeel.example/lib/framer"
	"shallotkeel.example/lib/localizer"
	"shallotkeel.example/lib/tracer"
	"shallotkeel.example/router/internal/administrator"
	"shallotkeel.example/router/internal/claimant"
	"shallotkeel.example/router/internal/commander"
	"shallotkeel.example/router/internal/coordinator"
	"shallotkeel.example/router/internal/drainer"
	"shallotkeel.example/router/internal/enroller"
	"shallotkeel.example/router/internal/follower"
	"shallotkeel.example/router/internal/quarantiner"
	"shallotkeel.example/router/internal/registrar"
	"shallotkeel.example/router/internal/relayer"
	"shallotkeel.example/router/internal/rotator"
)

// ErrListen is the kind of the error when a listening address cannot be opened or a
// server stops accepting connections.
var ErrListen = merry.Sentinel("cannot listen")

const (
	// loadBalancerDelay is how long the router keeps accepting requests after /readyz
	// has changed to not ready, so that the load balancer can notice first.
	loadBalancerDelay = 500 * time.Millisecond
	// settleTimeout bounds the recording of outcomes and the reports that follow the last
	// request of a planned stop.
	settleTimeout  = 2 * time.Second
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
	// maxControlBody bounds the body of a call of another router, in bytes.
	maxControlBody = 16 << 20
)

// Router is a router process: its servers, and the components behind them.
type Router struct {
	settings    Settings
	log         zerolog.Logger
	clock       clockwork.Clock
	registry    *prometheus.Registry
	counter     *dialer.Counter
	tracer      *tracer.Tracer
	coordinator *coordinator.Coordinator
	follower    *follower.Follower
	claimant    *claimant.Claimant
	relayer     *relayer.Relayer
	crashes     localizer.Observer
	quarantiner *quarantiner.Quarantiner
	drainer     *drainer.Drainer // of the public server
	public      *http.Server
	control     *http.Server
	stopping    atomic.Bool
}

// New builds a router. It opens no listening address before Run.
func New(ctx context.Context, settings Settings, log zerolog.Logger, clock clockwork.Clock) (*Router, error) {
	r := &Router{
		settings: settings,
		log:      log.With().Str("router", settings.Name).Str("zone", settings.Zone).Logger(),
		clock:    clock,
		registry: prometheus.NewRegistry(),
		counter:  &dialer.Counter{},
	}
	r.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	coordinator.CountBytes(r.registry, r.counter)
	traces, err := tracer.New(ctx, settings.Trace, settings.Name, settings.Zone, r.log)
	if err != nil {
		return nil, err
	}
	r.tracer = traces
	// The incarnation must increase with each restart of the process.
	r.build(uint64(clock.Now().UnixMilli()))
	r.registry.MustRegister(coordinator.NewCollector(r.coordinator))
	return r, nil
}

// build creates the components and the public and control servers.
func (r *Router) build(incarnation uint64) {
	s := r.settings
	client := dialer.Client(s.Secret, r.counter)
	keepers := rotator.New(client, s.Keepers)
	r.coordinator = coordinator.New(coordinator.Options{
		Name: s.Name, Zone: s.Zone, Incarnation: incarnation, Address: s.advertisedAddress(), Seeds: s.seeds(),
		Standalone: s.Scheduling == SchedulingStandalone,
		Heartbeat:  s.Timing.Heartbeat.Duration, SuspectAfter: s.Timing.SuspectAfter.Duration,
		CompareInterval: s.Timing.Compare.Duration, CompareBytesPerSecond: s.Limits.CompareBytes,
		Client: client, Clock: r.clock, Log: r.log, Registry: r.registry,
		Leaser: keepers, Sender: commander.NewHTTPSender(r.clock),
	})
	r.follower = follower.New(follower.Options{
		Name: s.Name, Zone: s.Zone, Keepers: keepers.Keepers(), Publisher: keepers,
		Peer: r.coordinator.Peer, Peers: r.coordinator.Peers, Changed: r.coordinator.SetRules,
		Clock: r.clock, Log: r.log, Registry: r.registry,
	})
	r.claimant = claimant.New(claimant.Options{
		Keeping: keepers, Name: s.Name, Incarnation: incarnation, Clock: r.clock, Registry: r.registry,
	})
	r.quarantiner = quarantiner.New(quarantiner.Options{
		Name: s.Name, Zone: s.Zone, Keepers: s.Keepers, Observer: &r.crashes, Client: client, Clock: r.clock, Log: r.log,
	})
	r.relayer = relayer.New(relayer.Options{
		Enroller: &enroller.Enroller{Coordinator: r.coordinator, Clock: r.clock},
		Ruler:    r.follower, Claimer: r.claimant, Quarantine: r.follower, Crashes: &r.crashes,
		Tracer: r.tracer, Clock: r.clock, Log: r.log, Registry: r.registry, Zone: s.Zone, Name: s.Name,
		Limits: relayer.Limits{
			BodyBytes: s.Limits.BodyBytes, WaitingRequests: s.Limits.Waiting, RequestTimeout: s.Limits.RequestTimeout.Duration,
		},
	})
	r.drainer = drainer.New()
	r.public = &http.Server{
		Handler: r.closeWhileStopping(r.publicHandler(keepers)), ReadHeaderTimeout: headerTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes, ConnContext: framer.WithConn, ConnState: r.drainer.SetState,
	}
	controlMux := http.NewServeMux()
	r.coordinator.Register(controlMux, r.follower)
	r.control = dialer.Server(s.Secret, http.MaxBytesHandler(controlMux, maxControlBody))
}

// publicHandler serves clients, endpoints and operators, the probes and the metrics.
func (r *Router) publicHandler(keepers *rotator.Rotator) http.Handler {
	mux := http.NewServeMux()
	r.relayer.Register(mux)
	registrar.New(registrar.Options{
		Announcer: r.coordinator, Token: r.settings.EndpointToken, Zone: r.settings.Zone,
		Clock: r.clock, Log: r.log, Registry: r.registry,
		Scoped:  func(token string) (string, bool) { return r.follower.Rules().Announcer(token) },
		Current: r.follower.Current,
	}).Register(mux)
	administrator.New(administrator.Options{
		Keeping: keepers, Reporter: &status{router: r, keepers: keepers.Keepers()}, Explainer: r.relayer,
		Token: r.settings.OperatorToken, Log: r.log,
		Operator: func(token string) bool { return r.follower.Rules().Operator(token) },
		Current:  r.follower.Current,
	}).Register(mux)
	mux.HandleFunc("GET /healthz", r.healthz)
	mux.HandleFunc("GET /readyz", r.readyz)
	mux.Handle("GET /metrics", promhttp.HandlerFor(r.registry, promhttp.HandlerOpts{}))
	return mux
}

// closeWhileStopping closes clients' connections with their next response while the
// router stops. A connection that is still idle and kept alive when the server closes
// may be reset just as the client sends its next request, and the client would not know
// whether that request ran.
func (r *Router) closeWhileStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, h *http.Request) {
		if r.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, h)
	})
}

// Run serves until the context ends, and then stops as the package comment describes.
// If a server fails, Run returns an error of the kind ErrListen.
func (r *Router) Run(ctx context.Context) error {
	public, control, err := r.listen()
	if err != nil {
		return err
	}
	control = dialer.Listener(control, r.counter)
	failed := make(chan error, 2)
	go func() { failed <- r.public.Serve(public) }()
	go func() { failed <- r.control.Serve(control) }()
	// The background goroutines outlive ctx: they are needed until the requests in
	// progress have finished.
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var group sync.WaitGroup
	group.Go(func() { r.coordinator.Run(background) })
	group.Go(func() { r.follower.Run(background) })
	group.Go(func() { r.quarantiner.Run(background) })
	r.log.Info().Stringer("listen", public.Addr()).Stringer("control", control.Addr()).Msg("serving")
	select {
	case err = <-failed:
		err = merry.Errorf("%w: %v; restart the router", ErrListen, err)
	case <-ctx.Done():
		err = r.stop(context.WithoutCancel(ctx), public)
	}
	cancel()
	_ = r.control.Close()
	_ = r.public.Close()
	group.Wait()
	return err
}

// listen opens the public and the control address.
func (r *Router) listen() (public, control net.Listener, err error) {
	const remedy = "free the address, or set another in the settings"
	if public, err = net.Listen("tcp", r.settings.Listen.String()); err != nil {
		return nil, nil, merry.Errorf("%w: listen: %v; %s", ErrListen, err, remedy)
	}
	if control, err = net.Listen("tcp", r.settings.Control.String()); err != nil {
		public.Close()
		return nil, nil, merry.Errorf("%w: control: %v; %s", ErrListen, err, remedy)
	}
	// Without a bound, connections that send nothing exhaust the file descriptors, and
	// endpoints and other routers are then refused as well. Beyond the bound new
	// connections wait in the backlog; the server closes connections without a request
	// after its timeouts.
	return r.drainer.LimitedListener(public, cmp.Or(r.settings.Limits.Connections, defaultConnections)), control, nil
}

// stop runs the planned stop, bounded by the stop timeout. It returns an error if
// requests were cut off.
func (r *Router) stop(ctx context.Context, public net.Listener) error {
	r.log.Info().Msg("stopping")
	r.stopping.Store(true)
	ctx, cancel := context.WithTimeout(ctx, r.settings.Limits.StopTimeout.Or(defaultStopTimeout))
	defer cancel()
	r.coordinator.Leave(ctx)
	r.sleep(ctx, loadBalancerDelay)
	cut := r.relayer.Drain(ctx)
	err := r.closePublic(ctx, public)
	settleCtx, cancelSettle := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancelSettle()
	if unrecorded := r.claimant.Drain(settleCtx); unrecorded != nil {
		r.log.Warn().Err(unrecorded).Msg("outcomes of requests were not recorded before the stop and are lost")
	}
	r.coordinator.Flush(settleCtx)
	_ = r.tracer.Shutdown(settleCtx) // spans are lost if the collector cannot be reached
	if err = errors.Join(cut, err); err != nil {
		return err
	}
	r.log.Info().Msg("stopped")
	return nil
}

// closePublic closes the public address, and waits until the requests that have arrived are answered
// and the connections closed, or until the context ends.
func (r *Router) closePublic(ctx context.Context, public net.Listener) error {
	r.drainer.Begin()
	if err := public.Close(); err != nil {
		r.log.Warn().Err(err).Msg("the public address could not be closed")
	}
	if !drainer.Wait(r.drainer, r.clock, ctx.Done()) {
		return ctx.Err()
	}
	return nil
}

// sleep waits for a pause or until the context ends.
func (r *Router) sleep(ctx context.Context, pause time.Duration) {
	select {
	case <-ctx.Done():
	case <-r.clock.After(pause):
	}
}
