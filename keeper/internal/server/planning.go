package server

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/twitchtv/twirp"

	"shallotkeel.example/keeper/internal/applier"
	"shallotkeel.example/keeper/internal/driver"
	"shallotkeel.example/lib/lister"
	"shallotkeel.example/lib/messenger"
)

// ErrUnlisted means that an instance announces its leaving, but that neither it nor its service is known.
var ErrUnlisted = merry.Sentinel("neither the instance nor its service is known here; announce it to another keeper")

// MaxPlanBytes bounds the size of a plan, the text of a configuration. It leaves space for the
// other fields of a log command.
const MaxPlanBytes = driver.MaxCommand - 64<<10

// Planner is the interface of a keeper for the platform's operators and endpoints.
// Its errors are twirp errors; Unavailable means that the call may be retried at any keeper.
type Planner interface {
	// Submit replicates a plan, a valid configuration. It returns once the version in force is
	// durable and not lower than the submitted one.
	Submit(ctx context.Context, plan *messenger.Plan) (*messenger.SubmitResponse, error)
	// Current returns the newest accepted plan, or an error if this keeper cannot confirm with a
	// quorum that it is the newest. A plan of version 0 means that none exists.
	Current(ctx context.Context, request *messenger.CurrentRequest) (*messenger.Plan, error)
	// ReceiveHeartbeat processes a heartbeat of an endpoint. The followers are notified of a change
	// of the list, at once or after the pause for coalescing notifications. It returns at once,
	// except for an endpoint that leaves: then it returns once this is durable. An error means that
	// it is not known to be; the followers are notified all the same.
	ReceiveHeartbeat(ctx context.Context, heartbeat lister.Listing) error
	// Leave records that an instance gets no new work. Started is the start time of the
	// instance's process that leaves, zero if the instance did not send it. It returns once this
	// is durable, as ReceiveHeartbeat does.
	Leave(ctx context.Context, id string, started time.Time) error
	// Unusable counts a heartbeat that contains no usable endpoint.
	Unusable(id string, fault lister.Unusable)
	// SetEvacuated starts or ends the evacuation of a zone, during which its endpoints get no
	// new work. It returns once the order is durable. NotFound means that the zone is unknown.
	SetEvacuated(ctx context.Context, zone string, evacuated bool) error
}

// planning implements messenger.Planning and Planner.
type planning struct{ *Server }

// Submit replicates a plan. A version that is not higher than the committed one changes
// nothing, and is acknowledged without a quorum: the higher version is durable already.
func (p planning) Submit(ctx context.Context, plan *messenger.Plan) (*messenger.SubmitResponse, error) {
	if len(plan.GetText()) > MaxPlanBytes {
		return nil, twirp.InvalidArgumentError("text", "is too large; split the configuration into fewer routes")
	}
	if known := p.view.Load().plan; known.GetVersion() >= plan.GetVersion() {
		return &messenger.SubmitResponse{Version: known.GetVersion()}, nil
	}
	return runOnLeader(ctx, p.Server,
		func(ctx context.Context) (*messenger.SubmitResponse, error) {
			result, err := keeping(p).propose(ctx, &messenger.Command{Plan: plan})
			return &messenger.SubmitResponse{Version: result.Plan}, err
		},
		func(ctx context.Context, leader peerClient) (*messenger.SubmitResponse, error) {
			return leader.Submit(ctx, plan)
		})
}

// Current commits an empty command before it answers. A leader that was suspended or
// partitioned considers its lease valid for longer than the other keepers do, because its
// clock stood still; the committed command proves that a quorum still follows it.
func (p planning) Current(ctx context.Context, request *messenger.CurrentRequest) (*messenger.Plan, error) {
	return runOnLeader(ctx, p.Server,
		func(ctx context.Context) (*messenger.Plan, error) {
			if _, err := keeping(p).propose(ctx, &messenger.Command{}); err != nil {
				return nil, err
			}
			return callLoop(ctx, p.Server, func(_ time.Time, d *driver.Driver) *messenger.Plan {
				return planOrEmpty(d.State().Plan())
			})
		},
		func(ctx context.Context, leader peerClient) (*messenger.Plan, error) {
			return leader.Current(ctx, request)
		})
}

// planOrEmpty returns an empty plan, of version 0, for nil.
func planOrEmpty(plan *messenger.Plan) *messenger.Plan {
	if plan == nil {
		return &messenger.Plan{}
	}
	return plan
}

// Fetch returns the newest plan that this keeper has applied, without contacting a quorum.
func (p planning) Fetch(context.Context, *messenger.CurrentRequest) (*messenger.Plan, error) {
	return planOrEmpty(p.view.Load().plan), nil
}

// Follow is a long poll of a router or another keeper for changes of endpoints, of the plan and
// of evacuations. It answers as soon as there is an update, or when the wait ends.
func (p planning) Follow(ctx context.Context, request *messenger.FollowRequest) (*messenger.FollowResponse, error) {
	select {
	case <-p.stopping:
		return nil, unavailable(ErrStopping)
	default:
	}
	if request.GetNode() == "" {
		return nil, twirp.RequiredArgumentError("node")
	}
	setKind(ctx, pollKind(request.GetKeeper(), request.GetBrief()))
	if p.directory.follow(p.clock.Now(), request) {
		p.updates.notify(true)
	}
	p.replicateQuarantines()
	arrived := p.clock.Now()
	wait, coalesce := p.holdTime(request)
	timer := p.clock.NewTimer(wait)
	defer timer.Stop()
	for last := false; ; {
		changed := p.updates.next()
		slot, acquired := p.pollSlots.acquire(ctx)
		if !acquired {
			return nil, twirp.NewError(twirp.Canceled, "the caller went away")
		}
		if last || p.hasNewerPlan(request) || !coalesce && p.directory.hasFollowUpdate(request, p.epoch) {
			releaseOnWrite(ctx, slot)
			now := p.clock.Now()
			current := p.view.Load() // loaded before the list, so that the list is at least as new
			response := p.directory.updatesFor(now, request, p.epoch)
			response.Plan, response.Zone = current.plan.GetVersion(), p.settings.Zone
			response.Evacuations, response.Evacuated = current.evacuations.Revision, current.evacuations.Zones
			response.Rations = p.rations(arrived, request)
			p.addMembers(now, request, response)
			response.Isolated = p.isolated(now)
			return response, nil
		}
		slot.release()
		select {
		case <-ctx.Done():
			return nil, twirp.NewError(twirp.Canceled, "the caller went away")
		case <-p.stopping:
			last = true
		case <-timer.Chan():
			last = true
		case <-changed:
		}
	}
}

// hasNewerPlan reports whether this keeper has applied a newer plan or a newer revision of the
// evacuated zones than the router that sent a poll. It is false for keepers, which replicate both
// through the log.
func (p planning) hasNewerPlan(request *messenger.FollowRequest) bool {
	current := p.view.Load()
	return !request.GetKeeper() &&
		(current.plan.GetVersion() > request.GetPlan() || current.evacuations.Revision > request.GetEvacuations())
}

// ReceiveHeartbeat processes a heartbeat. It ignores a heartbeat of a service that the plan
// does not contain, unless the instance is listed already: a listed instance may always announce
// that it leaves. A keeper that has just started may know neither the service nor the instance, so it does not
// acknowledge that an unlisted one leaves: nobody would be told.
func (p planning) ReceiveHeartbeat(ctx context.Context, heartbeat lister.Listing) error {
	services := p.services()
	service, named := services[heartbeat.Service]
	if services != nil && !named && !p.directory.hasListing(heartbeat.ID, heartbeat.Service) {
		p.Unusable(heartbeat.ID, lister.Unusable{Reason: lister.UnknownService, Field: "service"})
		if heartbeat.State > lister.Ready && !p.directory.hasInstance(heartbeat.ID) {
			return unavailable(ErrUnlisted)
		}
		return nil
	}
	heartbeat.ColdUntil = boundColdUntil(p.clock.Now(), heartbeat.ColdUntil, service)
	if changed, urgent := p.directory.receiveHeartbeat(p.clock.Now(), heartbeat); changed {
		p.log.Info().Str("endpoint", heartbeat.ID).Str("service", heartbeat.Service).Stringer("address", heartbeat.Address).
			Uint8("state", uint8(heartbeat.State)).Uint64("sequence", heartbeat.Sequence).Time("started", heartbeat.Started).Str("version", heartbeat.Version).
			Msg("endpoint changed")
		p.updates.notify(urgent)
	}
	if heartbeat.State == lister.Ready {
		return nil
	}
	return p.awaitDurable(ctx, applier.Departure{ID: heartbeat.ID, Started: heartbeat.Started})
}

// Leave records that an instance gets no new work, and notifies the followers.
func (p planning) Leave(ctx context.Context, id string, started time.Time) error {
	if p.directory.leave(p.clock.Now(), id, started) {
		p.log.Info().Str("endpoint", id).Time("started", started).Msg("endpoint leaves")
		p.updates.notify(true)
	}
	return p.awaitDurable(ctx, p.directory.incarnation(id, started))
}

// Unusable counts a heartbeat that contains no usable endpoint. Processes other than endpoints
// may send any number of such heartbeats, so that their log lines are rate-limited.
func (p planning) Unusable(id string, fault lister.Unusable) {
	p.metrics.unusable.WithLabelValues(string(fault.Reason)).Inc()
	if p.heartbeatDamper.Admit(p.clock.Now(), p.log) {
		p.log.Warn().Err(fault).Str("endpoint", id).Str("reason", string(fault.Reason)).Str("field", fault.Field).
			Msg("heartbeat left out")
	}
}
