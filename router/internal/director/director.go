package director

import (
	"context"
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
	"shallotkeel.example/lib/indexer"
	"shallotkeel.example/lib/lister"
	"shallotkeel.example/lib/loader"
	"shallotkeel.example/lib/localizer"
	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/pacer"
	"shallotkeel.example/lib/predictor"
	"shallotkeel.example/lib/reloader"
	"shallotkeel.example/lib/resolver"
	"shallotkeel.example/lib/starter"
	"shallotkeel.example/lib/subscriber"
	"shallotkeel.example/platform"
	"shallotkeel.example/router/internal/drainer"
	"shallotkeel.example/router/internal/proxier"
	"shallotkeel.example/router/internal/recaller"
	"shallotkeel.example/router/internal/screener"
	"shallotkeel.example/router/internal/updatereader"
)

const (
	// sweepInterval is the interval at which idle connections are swept and load is sampled.
	sweepInterval = 500 * time.Millisecond
	// coalesceShare is the share of an event's permitted time in the router for which the event may be
	// held back to be sent with others. The rest is for the network and late timers.
	coalesceShare = 0.4
	// maxScreened bounds the connections whose first request is awaited while requests are refused
	// before the HTTP server accepts them; each takes a buffer of 16 KB while it is read.
	maxScreened = 512
	// headerTimeout and idleTimeout bound client connections. Clients reuse a connection for up to four
	// fifths of the idle time in the configuration, which is seconds.
	headerTimeout  = 10 * time.Second
	idleTimeout    = 3 * time.Minute
	maxHeaderBytes = 64 << 10
	// maxProbeHeaderBytes bounds the headers of probes and of those who read metrics.
	maxProbeHeaderBytes = 16 << 10
)

// Director is a router on the platform's own interface.
type Director struct {
	settings Settings
	path     string
	log      zerolog.Logger
	clock    clockwork.Clock

	balancer   *balancer.Balancer
	budget     *budgeter.Budgeter
	shares     *apportioner.Apportioner
	client     *forwarder.Client
	reader     *updatereader.Reader
	crashes    localizer.Observer
	prefixes   indexer.Exchange
	streams    *recaller.Recaller
	proxier    *proxier.Proxier
	subscriber *subscriber.Subscriber

	clientConnections connections
	drainer           *drainer.Drainer
	screened          atomic.Pointer[screener.Listener] // nil until Run has started it
	pacer             pacer.Pacer
	requestRate       rateMeter // requests per second
	pressure          pressure
	requestCost       requestCost
	diverter          diverter

	mutex        sync.Mutex
	planning     map[netip.AddrPort]messenger.Planning
	control      *http.Client
	controlBytes dialer.Counter
	stopping     chan struct{}
	registry     *prometheus.Registry
}

// New returns a router that does not serve yet. Path is its settings file, which Run watches for
// changes.
func New(settings Settings, path string, log zerolog.Logger, clock clockwork.Clock) *Director {
	d := &Director{
		settings: settings, path: path, log: log, clock: clock,
		balancer: &balancer.Balancer{Zone: settings.Zone, Seed: xxhash.Sum64String(settings.Name)}, client: &forwarder.Client{Clock: clock},
		budget:   &budgeter.Budgeter{Bound: settings.Retry.bound(), Started: clock.Now()},
		shares:   &apportioner.Apportioner{},
		planning: make(map[netip.AddrPort]messenger.Planning),
		drainer:  drainer.New(),
		stopping: make(chan struct{}), registry: prometheus.NewRegistry(),
	}
	d.balancer.Prefixes = &d.prefixes
	d.control = dialer.Client(settings.Secret, &d.controlBytes)
	dialect := platform.Dialect{}
	d.streams = recaller.New(recaller.Options{
		Name: settings.Name, Keepers: d.answeringKeepers, Followed: func() []netip.AddrPort { return d.subscriber.FollowedKeepers() },
		ListAge: func() time.Duration { return d.reader.ListAge() }, Dial: d.dial, Learn: d.learnEndpoints, Clock: clock, Log: log,
	})
	d.reader = updatereader.New(updatereader.Options{
		Name: settings.Name, Zone: settings.Zone, Dialect: dialect, Clock: clock, Log: log, Dial: d.dial,
		Crashes: &d.crashes, Endpoints: d.updateEndpoints, Plan: d.preparePlan, Routers: d.updateRouterCount,
		Uses: func() map[string]apportioner.Use { return d.shares.Uses(clock.Now()) }, Loads: d.balancer.Loads, FleetSums: d.updateFleetSums,
		Backlog:           func() time.Duration { return d.backlog(clock.Now()) },
		Speeds:            func() map[uint64]predictor.Sums { return d.balancer.Speeds(clock.Now()) },
		Sampling:          d.balancer.SetSampling,
		UnreportedStreams: d.streams.Report, ReportAnswered: d.streams.ReportAnswered, ReportLost: d.streams.ReportLost,
		Mixed:     d.streams.SetMixed,
		Prefixes:  &d.prefixes,
		Evacuated: func(zones []string) { d.balancer.SetEvacuatedZones(clock.Now(), zones) },
		Rations: func(pollSentAt time.Time, keeper netip.AddrPort, rations []balancer.Ration) {
			d.balancer.TakeLeases(clock.Now(), pollSentAt, keeper, rations)
		},
	})
	d.subscriber = subscriber.New(subscriber.Options{
		Host: d.reader, Clock: clock, Log: log, Dial: d.dial, Wait: subscriber.MinWait,
		Primary: &subscriber.Primary{Name: settings.Name, Zone: settings.Zone},
	})
	d.pacer.Starts = &pacer.Rate{Min: settings.Processors * minStartsPerCore, Initial: settings.Processors * startsPerCore}
	d.pacer.Entries = &pacer.Rate{Min: settings.Processors * minEntriesPerCore, Initial: settings.Processors * refusalsPerCore}
	d.proxier = proxier.New(proxier.Options{
		Dialect: dialect, FleetState: d.reader, Crashes: &d.crashes, Streams: d.streams, Balancer: d.balancer, Budget: d.budget, Shares: d.shares,
		Client: d.client, Clock: clock, Log: log, Metrics: proxier.NewMetrics(d.registry),
		DisablesKeepAlive: d.disablesKeepAlive,
		Diverting:         d.diverter.diverting.Load,
		CoalesceDelay:     time.Duration(coalesceShare * float64(settings.Pass.Duration)),
		CloseRate:         &pacer.Rate{Min: settings.Processors * closingsPerCore, Initial: settings.Processors * closingsPerCore},
		// MaxRequests limits the load before the process lags: lag arises only once too many requests
		// have been accepted, and lasts until they are done.
		MaxRequests:       d.maxRunning(),
		MaxTotalBodyBytes: proxier.MaxTotalBodyBytes(settings.Memory), MaxTotalAnswerBytes: proxier.MaxTotalAnswerBytes(settings.Memory),
		CPUStarved: d.pacer.Lags,
		StartRate:  d.pacer.Starts,
	})
	d.registerGauges()
	return d
}

// dial returns the cached client for a keeper, and creates it on first use.
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

// answeringKeepers returns the keepers that answer; there are none before polling has begun.
func (d *Director) answeringKeepers() []netip.AddrPort {
	return d.subscriber.AnsweringKeepers()
}

// learnEndpoints adds endpoints that a keeper has named outside the regular updates.
func (d *Director) learnEndpoints(keeper netip.AddrPort, listings []*messenger.Listing) {
	d.reader.Learn(keeper, listings)
}

// updateEndpoints applies changes of endpoints to the balancer, and closes the idle connections to
// endpoints that have restarted.
func (d *Director) updateEndpoints(listings []lister.Listing) {
	for _, listing := range listings {
		if d.balancer.Update(listing) {
			d.client.Forget(listing.Address)
			d.log.Info().Str("endpoint", listing.ID).Time("started", listing.Started).Msg("endpoint has restarted; its idle connections are closed")
		}
	}
}

// preparePlan applies limits of a configuration that is about to come into force.
func (d *Director) preparePlan(table *resolver.Table) {
	d.shares.SetCapacity(table.Limits().Rate)
	for name, service := range table.Services() {
		d.balancer.SetColdLimit(name, service.Cold)
		transferTime := time.Duration(0)
		if service.Engine != nil {
			transferTime = service.Engine.TransferTime
			d.balancer.SetCacheCapacity(name, service.Engine.Tokens)
			d.balancer.SetEngine(name, *service.Engine)
		}
		d.balancer.SetTransferTime(name, transferTime)
	}
}

// updateFleetSums applies the fleet's total demand, the load that other routers have at the endpoints,
// and the engines' backlog as the median router estimates it. The median is used because a late
// router overestimates the backlog, and would limit its workspaces to less than other routers do.
func (d *Director) updateFleetSums(sums updatereader.FleetSums) {
	now := d.clock.Now()
	d.balancer.SetOtherLoads(now, sums.Loads)
	if sums.Speeds != nil {
		d.balancer.SetOtherSpeeds(now, sums.Speeds)
	}
	d.shares.SetFleetUse(now, sums.Uses, sums.Backlog)
}

// backlog returns the estimated prefill backlog of the service that has the longest.
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

// updateRouterCount applies the number of routers in the fleet, and adapts the poll interval.
func (d *Director) updateRouterCount(count int) {
	d.diverter.routers.Store(int64(count))
	d.budget.SetRouters(count)
	d.shares.SetRouterCount(count)
	d.balancer.SetRouterCount(count)
	d.proxier.SetRouterCount(count)
	rate := d.requestRate.update(d.clock.Now(), d.proxier.Received())
	d.subscriber.Pace(d.pollWaits(rate, count, d.subscriber.Keepers()))
}

// pollWaits returns how long keepers are to hold this router's polls, for its requests per second and
// the number of routers and keepers: the primary keeper, which gets full reports, and the others.
func (d *Director) pollWaits(requests float64, routers, keepers int) (primary, others time.Duration) {
	if d.isStopping() {
		return subscriber.MinWait, subscriber.MinWait // what it still sees is to be reported before its end
	}
	primary, others = subscriber.ReportWaitFor(requests, routers, keepers), subscriber.BriefWaitFor(routers, keepers)
	if d.pacer.Lateness() > pacer.OnTimeThreshold {
		primary = max(primary, subscriber.MinLateWait)
	}
	return primary, others
}

// ready reports whether the router accepts new clients.
func (d *Director) ready() bool {
	return !d.isStopping() && d.reader.Table() != nil && !d.diverter.diverting.Load()
}

// Run serves until the context ends, then performs a planned stop.
func (d *Director) Run(ctx context.Context) error {
	starter.LimitMemory(d.settings.Memory)
	// Connections are bounded by their idle time. Keep-alive probes would cost four system calls per
	// connection, a quarter of the cost of refusing a request on it.
	listenConfig := net.ListenConfig{KeepAlive: -1}
	clients, err := listenConfig.Listen(ctx, "tcp", d.settings.Listen.String())
	if err != nil {
		return merry.Errorf("listen address: %w; set \"listen\" to a free address of this instance", err)
	}
	defer clients.Close()
	readiness, err := net.Listen("tcp", d.settings.Ready.String())
	if err != nil {
		return merry.Errorf("ready address: %w; set \"ready\" to a free address of this instance", err)
	}
	defer readiness.Close()
	scraped, err := net.Listen("tcp", d.settings.Metrics.String())
	if err != nil {
		return merry.Errorf("metrics address: %w; set \"metrics\" to a free address of this instance", err)
	}
	defer scraped.Close()
	requests, endRequests := context.WithCancelCause(context.Background())
	defer endRequests(nil)
	front := &http.Server{
		BaseContext: func(net.Listener) context.Context { return requests },
		ConnContext: framer.WithConn, ConnState: d.setConnState, ErrorLog: stdlog.New(d.log, "", 0),
		Handler: d.proxier, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	ready := &http.Server{Handler: platform.Ready(d.ready), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxProbeHeaderBytes}
	metrics := http.NewServeMux()
	metrics.Handle("GET /metrics", promhttp.HandlerFor(d.registry, promhttp.HandlerOpts{}))
	metricsServer := &http.Server{Handler: metrics, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxProbeHeaderBytes}
	failures := make(chan error, 3)
	go func() { failures <- metricsServer.Serve(scraped) }()
	screened := screener.New(clients, screener.Options{
		Admit: d.admitConnection, ScreeningActive: d.proxier.ScreeningActive, Judge: d.proxier.Screen,
		Identify: func(h *http.Request) string { return platform.Dialect{}.Read(h.Header).ID }, MaxWaiting: maxScreened, Clock: d.clock, Log: d.log,
	})
	d.screened.Store(screened)
	served := d.drainer.Listener(screened) // before a stop may begin
	go func() { failures <- front.Serve(served) }()
	go func() { failures <- ready.Serve(readiness) }()
	background, endBackground := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { d.subscriber.Run(background, d.settings.seeds()...) })
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
		d.stop(screened, endRequests)
	}
	_ = front.Close() // the connections that are left have been counted
	d.awaitReports()
	endBackground()
	group.Wait()
	d.log.Info().Int("running", d.proxier.Running()).Msg("router stopped")
	return err
}

// reload applies the settings that may change while the router runs: the seeds.
func (d *Director) reload(text []byte) error {
	var read file
	if err := loader.Decode(d.path, text, &read); err != nil {
		return err
	}
	d.subscriber.SetSeeds(read.Platform.seeds()...)
	return nil
}

// sweep periodically closes connections to endpoints that have been idle for too long, and updates
// the start rate, the pressure log and the diversion of new clients.
func (d *Director) sweep(ctx context.Context) {
	ticker := d.clock.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			d.client.Sweep()
			d.reserveStarts()
			d.logPressure()
			d.updateDiversion()
		}
	}
}

// setConnState records the state of a client connection.
func (d *Director) setConnState(conn net.Conn, state http.ConnState) {
	d.clientConnections.setState(conn, state)
	d.drainer.SetState(conn, state)
}
