package server

import (
	"context"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/twitchtv/twirp"

	"shallotkeel.example/keeper/internal/applier"
	"shallotkeel.example/lib/messenger"
)

// ErrOvertaken means that another order for the zone came between.
var ErrOvertaken = merry.Sentinel("another order for the zone came first; look how it is and order again")

// SetEvacuated takes an order for a zone. What it was given after is what this keeper knew
// when it arrived, however long it is on its way from here.
func (p planning) SetEvacuated(ctx context.Context, zone string, evacuated bool) error {
	base := p.view.Load().evacuations.Changed(zone)
	if !p.knowsZone(zone) {
		return twirp.NotFoundError("there is no zone " + zone + "; name one of the platform's")
	}
	done, err := p.Evacuate(ctx, &messenger.EvacuationOrder{Zone: zone, Evacuated: evacuated, Base: base})
	if err == nil && done.GetOvertaken() {
		return unavailable(ErrOvertaken)
	}
	return err
}

// knowsZone tells whether the platform or a listed endpoint names a zone.
func (p planning) knowsZone(zone string) bool {
	_, named := p.settings.Platform.Zones[zone]
	return named || p.directory.inZone(zone)
}

// Evacuate replicates an order that arrived at a keeper.
func (p planning) Evacuate(ctx context.Context, order *messenger.EvacuationOrder) (*messenger.EvacuateResponse, error) {
	if order.GetZone() == "" {
		return nil, twirp.RequiredArgumentError("zone")
	}
	return lead(ctx, p.Server,
		func(ctx context.Context) (*messenger.EvacuateResponse, error) {
			result, err := keeping(p).propose(ctx, &messenger.Command{Evacuation: order})
			return &messenger.EvacuateResponse{Overtaken: result.Overtaken}, err
		},
		func(ctx context.Context, leader peerClient) (*messenger.EvacuateResponse, error) {
			return leader.Evacuate(ctx, order)
		})
}

// chillReturning notes which zones are evacuated now, and takes the endpoints of those that are taken
// back for cold. They may be, and say so with their next heartbeat only; until then every router
// would send to them at once.
func (s *Server) chillReturning(before []string, now applier.Evacuations) {
	s.log.Info().Strs("evacuated", now.Zones).Strs("before", before).Uint64("revision", now.Revision).Msg("evacuated zones changed")
	services := s.services()
	for _, zone := range before {
		if !slices.Contains(now.Zones, zone) {
			s.directory.chill(s.clock.Now(), zone, func(service string) time.Duration { return services[service].Cold.Length })
		}
	}
}
