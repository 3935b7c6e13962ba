package server

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"

	"shallotkeel.example/keeper/internal/settings"
	"shallotkeel.example/lib/loader"
	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/reloader"
	"shallotkeel.example/lib/subscriber"
)

// directoryInterval is the interval at which the directory checks for silent endpoints and the
// subscription is adapted to the size of the fleet. It is a fraction of the interval between
// heartbeats, which is a second or more.
const directoryInterval = 300 * time.Millisecond

// peerSubscription implements subscriber.Host for following the other keepers: an endpoint's
// heartbeat and a router's report are each sent to one keeper only, and all keepers need them.
type peerSubscription struct {
	*Server
	deliveries *deliveryTimes
}

// Report returns the recent heartbeats of endpoints that reached this keeper, and the sums of
// the reports of the routers that report to it.
func (c peerSubscription) Report(keeper netip.AddrPort, _ bool) *messenger.FollowRequest {
	now := c.clock.Now()
	since, missed := c.deliveries.begin(now, keeper)
	report := &messenger.FollowRequest{
		Node: c.settings.Name, Zone: c.settings.Zone, Keeper: true, Address: c.settings.Address().String(),
		Plan: c.view.Load().plan.GetVersion(), Heard: c.directory.recentHeartbeats(now, since),
		Unheard: c.subscriber.UnansweringKeepers(), Begun: c.directory.streamOrigins.since(now, since),
	}
	c.directory.summarize(now, since, missed, report)
	c.directory.addOccasionalTo(now, c.deliveries.occasionalOf(keeper), report)
	return report
}

// Update merges the listings of a peer's answer into the directory.
func (c peerSubscription) Update(_ context.Context, keeper netip.AddrPort, response *messenger.FollowResponse) {
	c.deliveries.acknowledge(keeper, response.GetEpoch())
	m := c.directory.merge(c.clock.Now(), keeper.String(), response.GetListings())
	if m.invalid != nil && c.heartbeatDamper.Admit(c.clock.Now(), c.log) {
		c.log.Warn().Err(m.invalid).Stringer("keeper", keeper).Msg("peer sent a listing that cannot be decoded; ignoring it")
	}
	c.directory.mergeHoldings(c.clock.Now(), response)
	if m.changed {
		c.updates.notify(m.urgent)
	}
}

// Lost records that a peer has to be told all crashes again. Its listings are kept until other
// keepers update them.
func (c peerSubscription) Lost(keeper netip.AddrPort, _ error) {
	c.deliveries.lose(keeper)
}

// runDirectory follows the other keepers until the context ends.
func (s *Server) runDirectory(ctx context.Context) {
	go s.pacer.Run(ctx, s.clock)
	go func() {
		late := false
		for s.pause(ctx, directoryInterval) == nil {
			late = s.logLag(late)
			s.subscriber.AddKeepers(s.memberAddresses()...)
			wait := subscriber.ExchangeWaitFor(s.directory.routerCount(s.clock.Now()), len(s.view.Load().status.Group))
			s.subscriber.Pace(wait, wait)
		}
	}()
	go reloader.Watch(ctx, s.settings.File, s.clock, s.log, s.reload)
	s.subscriber.Run(ctx, *s.seeds.Load()...)
}

// expireDirectory expires silent endpoints and followers, and judges crashes, until the context ends.
func (s *Server) expireDirectory(ctx context.Context) {
	for s.pause(ctx, directoryInterval) == nil {
		if s.directory.expire(s.clock.Now()) {
			s.updates.notify(true)
		}
		s.replicateQuarantines()
	}
}

// reload applies the settings that may change while the keeper runs: the seeds.
func (s *Server) reload(text []byte) error {
	var read settings.Settings
	if err := loader.Decode(s.settings.File, text, &read); err != nil {
		return err
	}
	seeds := read.SeedAddresses()
	s.seeds.Store(&seeds)
	s.subscriber.SetSeeds(seeds...)
	return nil
}

// memberAddresses returns the control addresses of the group's members. It skips
// addresses that cannot be parsed.
func (s *Server) memberAddresses() []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, replica := range s.view.Load().status.KnownMembers() {
		if address, err := netip.ParseAddrPort(replica.Address); err == nil {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// servePlatform starts the HTTP server for the platform's operators and endpoints. Its error
// after the start is sent to failures.
func (s *Server) servePlatform(failures chan<- error) (*http.Server, error) {
	listener, err := net.Listen("tcp", s.settings.Platform.Listen.String())
	if err != nil {
		return nil, merry.Errorf("platform address: %w; set \"platform\" to a free address of this instance", err)
	}
	server := &http.Server{Handler: s.metrics.traffic.count(kindPlatform, s.platform.Handler(planning{s})), ReadHeaderTimeout: stopGrace, IdleTimeout: time.Minute, MaxHeaderBytes: maxHeaderBytes}
	go func() { failures <- server.Serve(listener) }()
	return server, nil
}
