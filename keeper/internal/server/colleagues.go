package server

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"shallotkeel.example/keeper/internal/settings"
	"shallotkeel.example/lib/loader"
	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/reloader"
	"shallotkeel.example/lib/subscriber"
)

// directoryPause is how often the directory looks for silent endpoints. It is a
// fraction of an interval between heartbeats, which takes a second or more.
const directoryPause = 300 * time.Millisecond

// colleagues lets a keeper follow the others: an endpoint's heartbeat reaches
// one keeper, and a router's report one, and all of them have to know of it.
type colleagues struct {
	*Server
	heard *told
}

// told is up to when each other keeper knows the heartbeats that came here. Telling all of
// the last seconds' with each poll would grow with the endpoints times the polls.
type told struct {
	mutex   sync.Mutex
	telling map[netip.AddrPort]time.Time // when the poll under way was begun
	known   map[netip.AddrPort]time.Time // when the last one that was answered was
}

// begin notes the begin of a poll and returns since when its keeper may know nothing.
func (t *told) begin(now time.Time, keeper netip.AddrPort) time.Time {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.telling == nil {
		t.telling = make(map[netip.AddrPort]time.Time)
		t.known = make(map[netip.AddrPort]time.Time)
	}
	t.telling[keeper] = now
	return t.known[keeper]
}

// answered notes that a keeper has what the poll under way told it.
func (t *told) answered(keeper netip.AddrPort) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.known[keeper] = t.telling[keeper]
}

// Report tells another keeper which endpoints were heard here, and what the routers tell
// that report here.
func (c colleagues) Report(keeper netip.AddrPort, _ bool) *messenger.FollowRequest {
	now := c.clock.Now()
	since := c.heard.begin(now, keeper)
	report := &messenger.FollowRequest{
		Node: c.settings.Name, Zone: c.settings.Zone, Keeper: true, Address: c.settings.Address().String(),
		Plan: c.view.Load().plan.GetVersion(), Heard: c.directory.recent(now, since),
		Unheard: c.followed.Unheard(), Begun: c.directory.streams.since(now, since),
	}
	c.directory.summary(now, report)
	return report
}

// News merges what another keeper lists.
func (c colleagues) News(_ context.Context, keeper netip.AddrPort, news *messenger.FollowResponse) {
	c.heard.answered(keeper)
	m := c.directory.merge(c.clock.Now(), keeper.String(), news.GetListings())
	if m.unread != nil && c.unusable.Admit(c.clock.Now(), c.log) {
		c.log.Warn().Err(m.unread).Stringer("keeper", keeper).Msg("a listing cannot be read; it is left out")
	}
	if m.any {
		c.bulletin.wake(m.urgent)
	}
}

// Lost changes nothing: the list is kept until other keepers say otherwise.
func (c colleagues) Lost(netip.AddrPort, error) {}

// keepDirectory follows the other keepers and lets the list's time pass.
func (s *Server) keepDirectory(ctx context.Context) {
	go s.pacer.Run(ctx, s.clock)
	go func() {
		late := false
		for s.pause(ctx, directoryPause) == nil {
			late = s.tellLateness(late)
			if s.directory.pass(s.clock.Now()) {
				s.bulletin.wake(true)
			}
			s.followed.Know(s.memberAddresses()...)
			wait := subscriber.ExchangeWaitFor(s.directory.routers(s.clock.Now()), len(s.view.Load().status.Group))
			s.followed.Pace(wait, wait)
		}
	}()
	go s.archive(ctx)
	go reloader.Watch(ctx, s.settings.File, s.clock, s.log, s.reload)
	s.followed.Run(ctx, *s.seeds.Load()...)
}

// reload takes what may change while the keeper runs: the seeds.
func (s *Server) reload(text []byte) error {
	var read settings.Settings
	if err := loader.Decode(s.settings.File, text, &read); err != nil {
		return err
	}
	seeds := read.SeedAddresses()
	s.seeds.Store(&seeds)
	s.followed.Know(seeds...)
	return nil
}

// memberAddresses returns the control addresses of the group, as far as they
// can be read.
func (s *Server) memberAddresses() []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, replica := range s.view.Load().status.Known() {
		if address, err := netip.ParseAddrPort(replica.Address); err == nil {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// servePlatform serves the platform's operators and endpoints.
func (s *Server) servePlatform(failures chan<- error) (*http.Server, error) {
	listener, err := net.Listen("tcp", s.settings.Platform.Listen.String())
	if err != nil {
		return nil, merry.Errorf("platform address: %w; set \"platform\" to a free address of this instance", err)
	}
	server := &http.Server{Handler: s.metrics.traffic.count(kindPlatform, s.platform.Handler(planning{s})), ReadHeaderTimeout: stopGrace, IdleTimeout: time.Minute}
	go func() { failures <- server.Serve(listener) }()
	return server, nil
}
