package runner

import (
	"context"
	"errors"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"shallotkeel.example/lib/announcer"
	"shallotkeel.example/lib/describer"
	"shallotkeel.example/lib/loader"
	"shallotkeel.example/lib/starter"
	"shallotkeel.example/standin/internal/batcher"
	"shallotkeel.example/standin/internal/completer"
	"shallotkeel.example/standin/internal/controller"
	"shallotkeel.example/standin/internal/failer"
	"shallotkeel.example/standin/internal/journaler"
	"shallotkeel.example/standin/internal/performer"
)

// ErrStandin is the kind of the errors with which Run ends.
var ErrStandin = merry.Sentinel("stand-in cannot run")

const (
	crashStatus        = 3
	defaultStopTimeout = 30 * time.Second
	headerTimeout      = 5 * time.Second
	withdrawTimeout    = time.Second
	idlePollInterval   = 10 * time.Millisecond
	journalMode        = 0o644
)

// Main loads the settings and runs a stand-in until the context ends, then stops
// it gracefully.
func Main(ctx context.Context, options starter.Options, log zerolog.Logger) error {
	var settings Settings
	if err := loader.Load(options.Settings, &settings); err != nil {
		return err
	}
	if options.Check {
		return nil
	}
	return Run(ctx, settings, clockwork.NewRealClock(), log)
}

// standin holds the parts of one stand-in. A model has an engine and a completer,
// a plain service has a performer; the others are nil.
type standin struct {
	settings    Settings
	clock       clockwork.Clock
	log         zerolog.Logger
	incarnation uint64
	journal     *journaler.Journaler
	failer      *failer.Failer
	engine      *completer.Engine
	completer   *completer.Completer
	performer   *performer.Performer
	control     *controller.Controller
	reporter    *reporter
	leaving     chan struct{}
}

// Run runs a stand-in until the context ends and then stops it gracefully.
func Run(ctx context.Context, settings Settings, clock clockwork.Clock, log zerolog.Logger) error {
	file, err := openJournal(settings.Journal)
	if err != nil {
		return err
	}
	defer file.Close()
	s := &standin{
		settings: settings, clock: clock, log: log, leaving: make(chan struct{}),
		incarnation: uint64(clock.Now().UnixMilli()),
		journal:     &journaler.Journaler{Clock: clock, File: file},
		failer:      &failer.Failer{Exit: func() { os.Exit(crashStatus) }},
		reporter: &reporter{
			eventDelay: settings.EventDelay.Duration, eventLoss: settings.EventLoss, loadLag: settings.LoadLag.Duration,
			random: rand.New(rand.NewPCG(settings.Seed, 0)),
		},
	}
	s.failer.Set(failer.Faults{CrashOn: settings.CrashOn})
	listener, err := net.Listen("tcp", settings.Listen.String())
	if err != nil {
		return merry.Errorf("%w: %v; set a free address in \"listen\"", ErrStandin, err)
	}
	return s.serve(ctx, listener)
}

// discard is the journal file of a stand-in without one.
type discard struct{ io.Writer }

func (discard) Close() error { return nil }

func openJournal(path string) (io.WriteCloser, error) {
	if path == "" {
		return discard{io.Discard}, nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, journalMode)
	if err != nil {
		return nil, merry.Errorf("%w: %v; set a writable file in \"journal\"", ErrStandin, err)
	}
	return file, nil
}

func (s *standin) serve(ctx context.Context, listener net.Listener) error {
	// Running requests outlive the context: a planned stop lets them finish.
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	server := &http.Server{Handler: s.handler(running), ReadHeaderTimeout: headerTimeout}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	endpointAnnouncer := s.announcer()
	announcing, stopAnnouncing := context.WithCancel(running)
	announcerDone := make(chan struct{})
	go func() { endpointAnnouncer.Run(announcing); close(announcerDone) }()
	s.log.Info().Stringer("listen", listener.Addr()).Uint64("incarnation", s.incarnation).Msg("serves")
	select {
	case err := <-failed:
		stopAnnouncing()
		return merry.Errorf("%w: %v; see the log above", ErrStandin, err)
	case <-ctx.Done():
	}
	stopAnnouncing()
	<-announcerDone
	return s.stop(running, server, endpointAnnouncer)
}

// stop announces that the endpoint leaves, waits for its requests to finish,
// withdraws the endpoint and closes the server. Closing before announcing would
// fail the requests that routers send until the lease expires.
func (s *standin) stop(ctx context.Context, server *http.Server, endpointAnnouncer *announcer.Announcer) error {
	ctx, cancel := context.WithTimeout(ctx, s.settings.StopTimeout.Or(defaultStopTimeout))
	defer cancel()
	close(s.leaving)
	s.log.Info().Int("load", s.load()).Msg("leaves")
	if err := endpointAnnouncer.Announce(ctx, endpointAnnouncer.Describe()); err != nil {
		s.log.Warn().Err(err).Msg("leaving could not be announced; stopping all the same")
	}
	for s.load() > 0 && ctx.Err() == nil {
		s.clock.Sleep(idlePollInterval)
	}
	if err := endpointAnnouncer.Withdraw(ctx, s.incarnation, withdrawTimeout); err != nil {
		s.log.Warn().Err(err).Msg("endpoint could not be withdrawn; its lease will expire")
	}
	if err := server.Shutdown(ctx); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return merry.Errorf("%w: %v; raise \"stop_timeout\"", ErrStandin, err)
	}
	return nil
}

func (s *standin) handler(ctx context.Context) http.Handler {
	mux := http.NewServeMux()
	s.control = &controller.Controller{
		Journal: s.journal, Failer: s.failer, Fenced: s.settings.Fenced,
		Loading: controller.Loading{Clock: s.clock, Time: s.settings.LoadTime.Duration, Room: s.settings.Room},
	}
	if s.settings.Type == TypeModel {
		s.serveModel(ctx, mux)
	} else {
		s.servePlain(mux)
	}
	s.control.Register(mux)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isLeaving() || s.failer.Faults().Leaving {
			w.Header().Set("X-Leaving", "1")
		}
		mux.ServeHTTP(w, r)
	})
}

func (s *standin) isLeaving() bool {
	select {
	case <-s.leaving:
		return true
	default:
		return false
	}
}

func (s *standin) serveModel(ctx context.Context, mux *http.ServeMux) {
	s.engine = completer.NewEngine(s.clock, batcher.Settings{
		Slots: s.settings.Slots, TokenTime: s.settings.TokenTime.Duration, Slowdown: s.settings.Slowdown,
		Prefill: s.settings.Prefill.Duration, CacheEntries: s.settings.Cache,
	})
	s.completer = &completer.Completer{Engine: s.engine, Failer: s.failer, Journal: s.journal, Caches: &completer.Caches{}}
	s.completer.SetModels(s.settings.Models)
	s.control.Completer = s.completer
	s.failer.OnChange(func(f failer.Faults) { s.engine.Adjust(f.Slow, f.Hang) })
	go s.engine.Run(ctx)
	mux.Handle("POST /v1/chat/completions", s.completer)
}

func (s *standin) servePlain(mux *http.ServeMux) {
	s.performer = performer.New(s.clock, s.failer, s.journal, s.settings.Slots, s.settings.Busy.Duration)
	mux.Handle("/", s.performer)
}

func (s *standin) load() int {
	if s.engine != nil {
		return s.engine.Load()
	}
	return s.performer.Load()
}

func (s *standin) announcer() *announcer.Announcer {
	return &announcer.Announcer{
		ID: s.settings.Name, Routers: s.settings.Routers, Token: s.settings.EndpointToken, Clock: s.clock,
		Client:   &http.Client{Transport: silencer{failer: s.failer, next: http.DefaultTransport}},
		Describe: s.describe,
		OnChange: s.onAnnouncement,
	}
}

// onAnnouncement logs that the endpoint became announced or, with an error, that
// it no longer is.
func (s *standin) onAnnouncement(err error) {
	if err != nil {
		s.log.Warn().Err(err).Msg("endpoint is no longer announced; retrying")
		return
	}
	s.log.Info().Msg("announced")
}

func (s *standin) describe() announcer.Announcement {
	now := s.clock.Now()
	announcement := announcer.Announcement{
		Incarnation: s.incarnation, Service: s.settings.Service, Address: s.settings.address(),
		Labels: s.labels(), Slots: s.settings.Slots, TTLMS: s.settings.TTL.Milliseconds(),
		Load: s.reporter.laggedLoad(now, s.load()), Fenced: s.settings.Fenced, Fence: s.control.Fence(),
	}
	if s.completer != nil {
		announcement.Models = s.completer.Models()
		announcement.Loaded = s.completer.Models()
		for _, event := range s.engine.CacheEvents() {
			s.reporter.addEvent(now, event)
		}
		announcement.Cached, announcement.Evicted = s.reporter.dueEvents(now)
	}
	announcement.Leaving = s.isLeaving()
	return announcement
}

// labels returns the labels to announce: those of the settings, and the number of
// models that fit if the engine accepts orders from routers.
func (s *standin) labels() map[string]string {
	if s.settings.Room == 0 {
		return s.settings.Labels
	}
	labels := map[string]string{describer.LabelRoom: strconv.Itoa(s.settings.Room)}
	maps.Copy(labels, s.settings.Labels)
	return labels
}

// silencer fails announcements while the fault "silent" is on.
type silencer struct {
	failer *failer.Failer
	next   http.RoundTripper
}

func (s silencer) RoundTrip(r *http.Request) (*http.Response, error) {
	if s.failer.Faults().Silent {
		return nil, merry.Errorf("%w: silenced for a test; clear the fault", announcer.ErrAnnounce)
	}
	return s.next.RoundTrip(r)
}
