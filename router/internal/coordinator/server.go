package coordinator

import (
	"context"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"shallotkeel.example/lib/messenger"
)

// Snapshots provides the configuration in force, for routers that reach no keeper.
type Snapshots interface {
	Snapshot(ctx context.Context, request *messenger.WatchRequest) (*messenger.WatchResponse, error)
}

// server answers the calls of other routers.
type server struct {
	coordinator *Coordinator
	snapshots   Snapshots
}

// Register serves Scheduling, Granting and Membership.
func (c *Coordinator) Register(mux *http.ServeMux, snapshots Snapshots) {
	s := &server{coordinator: c, snapshots: snapshots}
	scheduling := messenger.NewSchedulingServer(s)
	granting := messenger.NewGrantingServer(s)
	membership := messenger.NewMembershipServer(s)
	mux.Handle(scheduling.PathPrefix(), scheduling)
	mux.Handle(granting.PathPrefix(), granting)
	mux.Handle(membership.PathPrefix(), membership)
}

// serve runs an answer function on the control goroutine.
func serve[Q, A any](ctx context.Context, s *server, request *Q, answer func(time.Time, *Q) *A) (*A, error) {
	var result *A
	c := s.coordinator
	if !c.do(ctx, func() { result = answer(c.clock.Now(), request) }) {
		return nil, twirp.NewError(twirp.Unavailable, "this router is stopping; call its successor")
	}
	return result, nil
}

// Exchange answers a batch of a router's requests.
func (s *server) Exchange(ctx context.Context, q *messenger.ExchangeRequest) (*messenger.ExchangeResponse, error) {
	return serve(ctx, s, q, s.coordinator.receiveExchange)
}

// Announce handles an endpoint's announcement, or renewals, that another router
// forwards.
func (s *server) Announce(ctx context.Context, q *messenger.AnnounceRequest) (*messenger.AnnounceResponse, error) {
	return serve(ctx, s, q, s.coordinator.receiveAnnouncement)
}

// Compare answers the offer of another zone's scheduler.
func (s *server) Compare(ctx context.Context, q *messenger.CompareRequest) (*messenger.CompareResponse, error) {
	return serve(ctx, s, q, s.coordinator.receiveCompare)
}

// Handover handles the counters of a pool's previous scheduler.
func (s *server) Handover(ctx context.Context, q *messenger.HandoverRequest) (*messenger.HandoverResponse, error) {
	return serve(ctx, s, q, s.coordinator.receiveHandover)
}

// Grant handles the grants of a scheduler.
func (s *server) Grant(ctx context.Context, q *messenger.GrantRequest) (*messenger.GrantResponse, error) {
	return serve(ctx, s, q, func(_ time.Time, q *messenger.GrantRequest) *messenger.GrantResponse {
		return s.coordinator.receiveGrant(q)
	})
}

// Heartbeat answers another router's heartbeat.
func (s *server) Heartbeat(ctx context.Context, q *messenger.HeartbeatRequest) (*messenger.HeartbeatResponse, error) {
	return serve(ctx, s, q, func(now time.Time, q *messenger.HeartbeatRequest) *messenger.HeartbeatResponse {
		return s.coordinator.detector.Receive(now, q)
	})
}

// Snapshot returns the configuration in force at this router.
func (s *server) Snapshot(ctx context.Context, q *messenger.WatchRequest) (*messenger.WatchResponse, error) {
	if s.snapshots == nil {
		return &messenger.WatchResponse{}, nil
	}
	return s.snapshots.Snapshot(ctx, q)
}
