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

// ErrOvertaken means that another order for the zone was committed after the state that the
// order was based on.
var ErrOvertaken = merry.Sentinel("another order for the zone came first; look how it is and order again")

// SetEvacuated accepts an order to evacuate a zone, or to end its evacuation. The order is based
// on the zone's state that is known to this keeper when the order arrives, however long replication
// takes: it has no effect if another order for the zone is committed before it.
func (p planning) SetEvacuated(ctx context.Context, zone string, evacuated bool) error {
	base := p.view.Load().evacuations.Changed(zone)
	if !p.zoneExists(zone) {
		return twirp.NotFoundError("there is no zone " + zone + "; name one of the platform's")
	}
	done, err := p.Evacuate(ctx, &messenger.EvacuationOrder{Zone: zone, Evacuated: evacuated, Base: base})
	if err == nil && done.GetOvertaken() {
		return unavailable(ErrOvertaken)
	}
	return err
}

// zoneExists reports whether the platform's settings or a listed endpoint name a zone.
func (p planning) zoneExists(zone string) bool {
	_, named := p.settings.Platform.Zones[zone]
	return named || p.directory.hasZone(zone)
}

// Evacuate replicates an order that arrived at this or another keeper. The response says
// whether another order overtook it.
func (p planning) Evacuate(ctx context.Context, order *messenger.EvacuationOrder) (*messenger.EvacuateResponse, error) {
	if order.GetZone() == "" {
		return nil, twirp.RequiredArgumentError("zone")
	}
	return runOnLeader(ctx, p.Server,
		func(ctx context.Context) (*messenger.EvacuateResponse, error) {
			result, err := keeping(p).propose(ctx, &messenger.Command{Evacuation: order})
			return &messenger.EvacuateResponse{Overtaken: result.Overtaken}, err
		},
		func(ctx context.Context, leader peerClient) (*messenger.EvacuateResponse, error) {
			return leader.Evacuate(ctx, order)
		})
}

// markReturnedZonesCold logs a change of the evacuated zones, and marks the endpoints of zones
// that are no longer evacuated as cold. They may be cold, but report it only with their next
// heartbeat; until then every router would send to them at once.
func (s *Server) markReturnedZonesCold(before []string, now applier.Evacuations) {
	s.log.Info().Strs("evacuated", now.Zones).Strs("before", before).Uint64("revision", now.Revision).Msg("evacuated zones changed")
	services := s.services()
	for _, zone := range before {
		if !slices.Contains(now.Zones, zone) {
			s.directory.markZoneCold(s.clock.Now(), zone, func(service string) time.Duration { return services[service].Cold.Length })
		}
	}
}
