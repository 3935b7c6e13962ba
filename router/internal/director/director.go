package director

import (
	"context"
	"errors"
	stdlog "log"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"

	"shallotkeel.example/lib/apportioner"
	"shallotkeel.example/lib/balancer"
	"shallotkeel.example/lib/budgeter"
	"shallotkeel.example/lib/dialer"
	"shallotkeel.example/lib/forwarder"
	"shallotkeel.example/lib/framer"
	"shallotkeel.example/lib/lister"
	"shallotkeel.example/lib/loader"
	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/pacer"
	"shallotkeel.example/lib/reloader"
	"shallotkeel.example/lib/resolver"
	"shallotkeel.example/lib/starter"
	"shallotkeel.example/lib/subscriber"
	"shallotkeel.example/platform"
	"shallotkeel.example/router/internal/newsreader"
	"shallotkeel.example/router/internal/passer"
	"shallotkeel.example/router/internal/recaller"
	"shallotkeel.example/router/internal/screener"
)

const (
	// sweepPause is how often idle connections are looked through.
	sweepPause = 500 * time.Millisecond
	// gatherShare is the part of the time that an event may be on its way for which
	// it may be held back. The rest is for the network and a late timer.
	gatherShare = 0.4
	// leaveTime is how long requests are still taken after a planned stop has
	// begun. New connections come for up to two seconds after the answer "not
	// ready", because the platform asks each second and believes two answers. A
	// request that is taken later than three seconds after the begin may be too
	// long for what is left of the grace time, and would be cut.
	leaveTime = 2600 * time.Millisecond
	// stopMargin is kept at the end of the grace time, for the process's own end.
	stopMargin = 500 * time.Millisecond
	// minGrace is the shortest grace time in which a planned stop fits.
	minGrace = leaveTime + 2*stopMargin
	// screenedMost bounds the connections whose first request is waited for while
	// requests are refused before the server takes them, 16 KB each while it is read.
	screenedMost = 512
	// headerTimeout and idleTimeout bound clients' connections. Clients use a
	// connection again for up to four fifths of the idle time that the
	// configuration names, which is seconds.
	headerTimeout = 10 * time.Second
	idleTimeout   = 3 * time.Minute
	maxHeader     = 64 << 10
)

// Director is one router.
type Director struct {
	settings Settings
	path     string
	log      zerolog.Logger
	clock    clockwork.Clock

	balancer *balancer.Balancer
	budget   *budgeter.Budgeter
	shares   *apportioner.Apportioner
	client   *forwarder.Client
	reader   *newsreader.Reader
	streams  *recaller.Recaller
	passer   *passer.Passer
	news     *subscriber.Subscriber

	connected connections
	screened  atomic.Pointer[screener.Listener] // nil before clients are served
	pacer     pacer.Pacer
	rate      rate // of requests
	pressure  pressure
	serving   serving
	shedder   shedder

	mutex    sync.Mutex
	planning map[netip.AddrPort]messenger.Planning
	control  *http.Client
	bytes    dialer.Counter
	stopping chan struct{}
	registry *prometheus.Registry
}

// New returns a router that serves nothing yet. Path is its settings file, which
// is looked at for changes.
func New(settings Settings, path string, log zerolog.Logger, clock clockwork.Clock) *Director {
	d := &Director{
		settings: settings, path: path, log: log, clock: clock,
		balancer: &balancer.Balancer{Zone: settings.Zone, Seed: xxhash.Sum64String(settings.Name)}, client: &forwarder.Client{Clock: clock},
		budget:   &budgeter.Budgeter{Bound: settings.Retry.bound()},
		shares:   &apportioner.Apportioner{},
		planning: make(map[netip.AddrPort]messenger.Planning),
		stopping: make(chan struct{}), registry: prometheus.NewRegistry(),
	}
	d.control = dialer.Client(settings.Secret, &d.bytes)
	dialect := platform.Dialect{}
	d.streams = recaller.New(recaller.Options{
		Name: settings.Name, Keepers: d.answerers, Dial: d.dial, Learn: d.learn, Clock: clock, Log: log,
	})
	d.reader = newsreader.New(newsreader.Options{
		Name: settings.Name, Zone: settings.Zone, Dialect: dialect, Clock: clock, Log: log, Dial: d.dial,
		Endpoints: d.endpoints, Plan: d.plan, Routers: d.routers,
		Uses: func() map[string]apportioner.Use { return d.shares.Uses(clock.Now()) }, Loads: d.balancer.UnreadTokens, Fleet: d.fleet,
		Backlog: func() time.Duration { return d.backlog(clock.Now()) },
		Homes:   d.balancer.SetSampling,
		Begun:   d.streams.Report, Told: d.streams.Told, Untold: d.streams.Lost,
		Evacuated: func(zones []string) { d.balancer.SetEvacuatedZones(clock.Now(), zones) },
		Rations: func(asked time.Time, keeper netip.AddrPort, rations []balancer.Ration) {
			d.balancer.TakeLeases(clock.Now(), asked, keeper, rations)
		},
	})
	d.news = subscriber.New(subscriber.Options{
		Host: d.reader, Clock: clock, Log: log, Dial: d.dial, Wait: subscriber.LeastWait,
		Primary: &subscriber.Primary{Name: settings.Name, Zone: settings.Zone},
	})
	d.pacer.Starts = &pacer.Rate{Min: settings.Processors * leastStartsPerCore, Initial: settings.Processors * startsPerCore}
	d.pacer.Entries = &pacer.Rate{Min: settings.Processors * leastEntriesPerCore, Initial: settings.Processors * refusalsPerCore}
	d.passer = passer.New(passer.Options{
		Dialect: dialect, FleetState: d.reader, Streams: d.streams, Balancer: d.balancer, Budget: d.budget, Shares: d.shares,
		Client: d.client, Clock: clock, Log: log, Metrics: passer.NewMetrics(d.registry),
		Crowded:       d.crowded,
		Diverting:     d.shedder.away.Load,
		CoalesceDelay: time.Duration(gatherShare * float64(settings.Pass.Duration)),
		// The bound on what is under way comes before the lag: a process lags only
		// when it has taken too much already, and stays late for as long as that takes.
		MaxRequests:       d.mostRunning(),
		MaxTotalBodyBytes: passer.MaxTotalBodyBytes(settings.Memory),
		CPUStarved:        d.pacer.Lags,
		StartRate:         d.pacer.Starts,
	})
	d.registerGauges()
	return d
}

// dial returns the client of a keeper.
func (d *Director) dial(address netip.AddrPort) messenger.Planning {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	known, found := d.planning[address]
	if !found {
		known = messenger.NewPlanningProtobufClient("http://"+address.String(), d.control)
		d.planning[address] = known
	}
	return known
}

// answerers returns the keepers that answer. None does before the news are followed.
func (d *Director) answerers() []netip.AddrPort {
	return d.news.Answerers()
}

// learn takes endpoints that a keeper has named besides its news.
func (d *Director) learn(keeper netip.AddrPort, listings []*messenger.Listing) {
	d.reader.Learn(keeper, listings)
}

// endpoints takes news of endpoints.
func (d *Director) endpoints(listings []lister.Listing) {
	for _, listing := range listings {
		if d.balancer.Update(listing) {
			d.client.Forget(listing.Address)
			d.log.Info().Str("endpoint", listing.ID).Time("started", listing.Started).Msg("endpoint has started again")
		}
	}
}

// plan prepares for a configuration that is about to be in force.
func (d *Director) plan(table *resolver.Table) {
	d.shares.SetCapacity(table.Limits().Rate)
	for name, service := range table.Services() {
		d.balancer.SetColdLimit(name, service.Cold)
		if service.Engine != nil {
			d.balancer.SetCacheCapacity(name, service.Engine.Tokens)
		}
	}
}

// fleet takes what the whole fleet asks for, what the other routers have at the
// endpoints, and how long the engines still read as the median router believes. A router
// that is late takes engines for slow, and would hold its workspace to less than the others
// give.
func (d *Director) fleet(fleet newsreader.Fleet) {
	now := d.clock.Now()
	d.balancer.SetOtherLoads(now, fleet.Loads)
	d.shares.SetFleetUse(now, fleet.Uses, fleet.Backlog)
}

// backlog returns how long the engines still read what they have been sent, of the
// service that has most to do.
func (d *Director) backlog(now time.Time) time.Duration {
	table := d.reader.Table()
	if table == nil {
		return 0
	}
	longest := time.Duration(0)
	for name, service := range table.Services() {
		if service.Engine != nil {
			longest = max(longest, d.balancer.Backlog(now, name))
		}
	}
	return longest
}

// routers takes how many routers the fleet has.
func (d *Director) routers(count int) {
	d.shedder.routers.Store(int64(count))
	d.budget.SetRouters(count)
	d.shares.SetRouterCount(count)
	d.balancer.SetRouterCount(count)
	rate := d.rate.take(d.clock.Now(), d.passer.Received())
	d.news.Pace(d.waits(rate, count, d.news.Keepers()))
}

// waits returns how long keepers are to hold this router's polls if it has so many requests a
// second, in a fleet of so many routers and keepers.
func (d *Director) waits(requests float64, routers, keepers int) (primary, others time.Duration) {
	primary, others = subscriber.ReportWaitFor(requests, routers, keepers), subscriber.BriefWaitFor(routers, keepers)
	if d.pacer.Lateness() > pacer.OnTimeThreshold {
		primary = max(primary, subscriber.LateWait)
	}
	return primary, others
}

// ready tells whether new clients may come.
func (d *Director) ready() bool {
	select {
	case <-d.stopping:
		return false
	default:
		return d.reader.Table() != nil && !d.shedder.away.Load()
	}
}

// Run serves until the context ends and then stops as planned.
func (d *Director) Run(ctx context.Context) error {
	starter.LimitMemory(d.settings.Memory)
	// Connections are bounded by their idle time. Keep-alive probes would cost four system
	// calls of each, a quarter of what it takes to refuse a request on one.
	accepts := net.ListenConfig{KeepAlive: -1}
	clients, err := accepts.Listen(ctx, "tcp", d.settings.Listen.String())
	if err != nil {
		return merry.Errorf("listen address: %w; set \"listen\" to a free address of this instance", err)
	}
	defer clients.Close()
	asked, err := net.Listen("tcp", d.settings.Ready.String())
	if err != nil {
		return merry.Errorf("ready address: %w; set \"ready\" to a free address of this instance", err)
	}
	defer asked.Close()
	watched, err := net.Listen("tcp", d.settings.Metrics.String())
	if err != nil {
		return merry.Errorf("metrics address: %w; set \"metrics\" to a free address of this instance", err)
	}
	defer watched.Close()
	front := &http.Server{
		ConnContext: framer.WithConn, ConnState: d.connected.change, ErrorLog: stdlog.New(d.log, "", 0),
		Handler: d.passer, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
	}
	ready := &http.Server{Handler: platform.Ready(d.ready), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	metrics := http.NewServeMux()
	metrics.Handle("GET /metrics", promhttp.HandlerFor(d.registry, promhttp.HandlerOpts{}))
	figures := &http.Server{Handler: metrics, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	failures := make(chan error, 3)
	go func() { failures <- figures.Serve(watched) }()
	screened := screener.New(clients, screener.Options{
		Room: d.room, Screens: d.passer.ScreeningActive, Judge: d.passer.Screen, Most: screenedMost, Clock: d.clock, Log: d.log,
	})
	d.screened.Store(screened)
	go func() { failures <- front.Serve(screened) }()
	go func() { failures <- ready.Serve(asked) }()
	background, endBackground := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { d.news.Run(background, d.settings.seeds()...) })
	group.Go(func() { d.sweep(background) })
	group.Go(func() { d.pacer.Run(background, d.clock) })
	group.Go(func() { reloader.Watch(background, d.path, d.clock, d.log, d.reload) })
	d.log.Info().Str("name", d.settings.Name).Str("zone", d.settings.Zone).Stringer("listen", d.settings.Listen).Msg("router started")
	select {
	case <-ctx.Done():
		err = nil
	case err = <-failures:
	}
	if err == nil {
		d.stop(front)
	}
	endBackground()
	group.Wait()
	d.log.Info().Int("running", d.passer.Running()).Msg("router stopped")
	return err
}

// reload takes what may change while the router runs: the seeds.
func (d *Director) reload(text []byte) error {
	var read file
	if err := loader.Decode(d.path, text, &read); err != nil {
		return err
	}
	d.news.Know(read.Platform.seeds()...)
	return nil
}

// sweep closes connections that have been idle for too long.
func (d *Director) sweep(ctx context.Context) {
	ticker := d.clock.NewTicker(sweepPause)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			d.client.Sweep()
			d.keepStarts()
			d.tellPressure()
			d.shed()
		}
	}
}

// stop is the planned stop: no new clients, then every request that is under
// way, then the open connections.
func (d *Director) stop(front *http.Server) {
	d.log.Info().Int("running", d.passer.Running()).Msg("planned stop begins")
	close(d.stopping)
	d.passer.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Grace.Duration-stopMargin)
	defer cancel()
	select {
	case <-ctx.Done():
	case <-d.clock.After(leaveTime):
	}
	if err := front.Shutdown(ctx); err != nil && !errors.Is(err, http.ErrServerClosed) {
		d.log.Warn().Err(err).Int("running", d.passer.Running()).Msg("requests are cut: the time for the stop is over")
	}
}
