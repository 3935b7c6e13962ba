package server

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"shallotkeel.example/keeper/internal/driver"
	"shallotkeel.example/lib/lister"
	"shallotkeel.example/lib/messenger"
)

// MaxPlan bounds a whole configuration, in bytes. It leaves room for the rest of
// a command of the log.
const MaxPlan = driver.MaxCommand - 64<<10

// Planner is what the platform's operators and endpoints may ask of a keeper.
// Its errors are twirp's; Unavailable means to ask again, anywhere.
type Planner interface {
	// Submit accepts a valid configuration. It returns once the version in force
	// is durable and at least as high.
	Submit(ctx context.Context, plan *messenger.Plan) (*messenger.SubmitResponse, error)
	// Current returns the newest accepted configuration, or an error if this
	// keeper cannot be sure which that is. A plan of version 0 means that there
	// is none.
	Current(ctx context.Context, request *messenger.CurrentRequest) (*messenger.Plan, error)
	// Beat takes a heartbeat. Followers are told what it changed before it returns.
	Beat(beat lister.Listing)
	// Leave notes that an instance gets no new work. Started is the start of the life
	// that ends, zero if the instance did not tell it.
	Leave(id string, started time.Time)
	// Unusable counts a heartbeat that names no endpoint to use.
	Unusable(id string, fault lister.Unusable)
	// SetEvacuated keeps new work away from the endpoints of a zone, or ends that. It returns
	// once that is durable. NotFound means that there is no such zone.
	SetEvacuated(ctx context.Context, zone string, evacuated bool) error
}

// planning implements messenger.Planning and Planner.
type planning struct{ *Server }

// Submit replicates a plan. A version that is not higher than what has been
// committed changes nothing, and needs no quorum to be acknowledged: the higher
// one is durable already.
func (p planning) Submit(ctx context.Context, plan *messenger.Plan) (*messenger.SubmitResponse, error) {
	if len(plan.GetText()) > MaxPlan {
		return nil, twirp.InvalidArgumentError("text", "is too large; split the configuration into fewer routes")
	}
	if known := p.view.Load().plan; known.GetVersion() >= plan.GetVersion() {
		return &messenger.SubmitResponse{Version: known.GetVersion()}, nil
	}
	return lead(ctx, p.Server,
		func(ctx context.Context) (*messenger.SubmitResponse, error) {
			result, err := keeping(p).propose(ctx, &messenger.Command{Plan: plan})
			return &messenger.SubmitResponse{Version: result.Plan}, err
		},
		func(ctx context.Context, leader colleague) (*messenger.SubmitResponse, error) {
			return leader.Submit(ctx, plan)
		})
}

// Current commits an empty command before it answers. A leader that was frozen
// or cut off believes in its lease for longer than the others do, because its
// clock stood still; the command shows that a quorum still follows it.
func (p planning) Current(ctx context.Context, request *messenger.CurrentRequest) (*messenger.Plan, error) {
	return lead(ctx, p.Server,
		func(ctx context.Context) (*messenger.Plan, error) {
			if _, err := keeping(p).propose(ctx, &messenger.Command{}); err != nil {
				return nil, err
			}
			return ask(ctx, p.Server, func(_ time.Time, d *driver.Driver) *messenger.Plan {
				return orNone(d.State().Plan())
			})
		},
		func(ctx context.Context, leader colleague) (*messenger.Plan, error) {
			return leader.Current(ctx, request)
		})
}

func orNone(plan *messenger.Plan) *messenger.Plan {
	if plan == nil {
		return &messenger.Plan{}
	}
	return plan
}

// Fetch returns what this keeper has seen committed.
func (p planning) Fetch(context.Context, *messenger.CurrentRequest) (*messenger.Plan, error) {
	return orNone(p.view.Load().plan), nil
}

// Follow answers as soon as there is news, or after a wait.
func (p planning) Follow(ctx context.Context, request *messenger.FollowRequest) (*messenger.FollowResponse, error) {
	select {
	case <-p.stopping:
		return nil, unavailable(ErrStopping)
	default:
	}
	if request.GetNode() == "" {
		return nil, twirp.RequiredArgumentError("node")
	}
	setKind(ctx, kindOf(request.GetKeeper(), request.GetBrief()))
	if p.directory.follow(p.clock.Now(), request) {
		p.bulletin.wake(true)
	}
	arrived := p.clock.Now()
	held, gathered := p.hold(request)
	timer := p.clock.NewTimer(held)
	defer timer.Stop()
	for last := false; ; {
		changed := p.bulletin.next()
		turn, taken := p.turns.take(ctx)
		if !taken {
			return nil, twirp.NewError(twirp.Canceled, "the caller went away")
		}
		if last || p.newer(request) || !gathered && p.directory.fresh(request, p.epoch) {
			leaveTurn(ctx, turn)
			now := p.clock.Now()
			shown := p.view.Load() // first: the list is then at least as new
			response := p.directory.news(now, request, p.epoch)
			response.Plan, response.Zone = shown.plan.GetVersion(), p.settings.Zone
			response.Evacuations, response.Evacuated = shown.zones.Revision, shown.zones.Zones
			response.Rations = p.rations(arrived, request)
			p.nameKeepers(now, request, response)
			response.Isolated = p.isolated(now)
			return response, nil
		}
		turn.end()
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

// newer tells whether something is committed here that a router does not know of.
func (p planning) newer(request *messenger.FollowRequest) bool {
	shown := p.view.Load()
	return !request.GetKeeper() &&
		(shown.plan.GetVersion() > request.GetPlan() || shown.zones.Revision > request.GetEvacuations())
}

// Beat takes a heartbeat. One of a service that nobody named is left out, unless it
// is of a listed instance: that one may always say that it leaves.
func (p planning) Beat(beat lister.Listing) {
	services := p.services()
	service, named := services[beat.Service]
	if services != nil && !named && !p.directory.lists(beat.ID, beat.Service) {
		p.Unusable(beat.ID, lister.Unusable{Reason: lister.UnknownService, Field: "service"})
		return
	}
	beat.ColdUntil = coldest(p.clock.Now(), beat.ColdUntil, service)
	if changed, urgent := p.directory.beat(p.clock.Now(), beat); changed {
		p.log.Info().Str("endpoint", beat.ID).Str("service", beat.Service).Stringer("address", beat.Address).
			Uint8("state", uint8(beat.State)).Uint64("sequence", beat.Sequence).Time("started", beat.Started).Str("version", beat.Version).
			Msg("endpoint changed")
		p.bulletin.wake(urgent)
	}
}

// Leave notes that an instance gets no new work.
func (p planning) Leave(id string, started time.Time) {
	if p.directory.leave(p.clock.Now(), id, started) {
		p.log.Info().Str("endpoint", id).Time("started", started).Msg("endpoint leaves")
		p.bulletin.wake(true)
	}
}

// Unusable counts a heartbeat that names no endpoint to use. Other processes than
// endpoints may send them, in any number, so that the lines of the log are bounded.
func (p planning) Unusable(id string, fault lister.Unusable) {
	p.metrics.unusable.WithLabelValues(string(fault.Reason)).Inc()
	if p.unusable.Admit(p.clock.Now(), p.log) {
		p.log.Warn().Err(fault).Str("endpoint", id).Str("reason", string(fault.Reason)).Str("field", fault.Field).
			Msg("heartbeat left out")
	}
}
