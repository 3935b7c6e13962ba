package server

import (
	"context"
	"time"

	"shallotkeel.example/keeper/internal/applier"
	"shallotkeel.example/lib/lister"
	"shallotkeel.example/lib/messenger"
)

// departureTimeout bounds how long an endpoint that leaves waits for the acknowledgement. It calls
// another keeper after a second.
const departureTimeout = 900 * time.Millisecond

// departures holds the departures of endpoints that are durable at a quorum, by instance id. A nil
// map is empty.
type departures map[string]departure

// departure is the departure of one incarnation.
type departure struct {
	started time.Time
	at      time.Time // when it was applied here
}

// includes reports whether the departure of an incarnation is durable.
func (d departures) includes(id string, started time.Time) bool {
	known, found := d[id]
	return found && known.started.Equal(started)
}

// correct sets the state of a listing whose sender has not heard of the instance's departure.
func (d departures) correct(listing *lister.Listing) {
	if listing.State == lister.Ready && d.includes(listing.ID, listing.Started) {
		listing.State = lister.Leaving
	}
}

// depart applies departures that have become durable, and reports whether the list changed.
func (d *directory) depart(now time.Time, added []applier.Departure) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	if d.departures == nil {
		d.departures = make(departures)
	}
	changed := false
	for _, one := range added {
		d.departures[one.ID] = departure{started: one.Started, at: now}
		if d.list.Depart(one.ID, one.Started) {
			changed = true
		}
	}
	return changed
}

// expireDepartures drops the departures that are older than any heartbeat that may still arrive.
func (d *directory) expireDepartures(now time.Time) {
	for id, known := range d.departures {
		if now.Sub(known.at) > applier.DepartureRetention {
			delete(d.departures, id)
		}
	}
}

// hasDeparture reports whether the departure of an incarnation is durable.
func (d *directory) hasDeparture(departure applier.Departure) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.departures.includes(departure.ID, departure.Started)
}

// incarnation completes a departure that does not say which incarnation ends: it is the listed one.
func (d *directory) incarnation(id string, started time.Time) applier.Departure {
	d.lock.Lock()
	defer d.lock.Unlock()
	if known, found := d.list.Find(id); found && started.IsZero() {
		started = known.Started
	}
	return applier.Departure{ID: id, Started: started}
}

// Depart replicates a departure that was announced to this or another keeper.
func (p planning) Depart(ctx context.Context, departure *messenger.Departure) (*messenger.DepartResponse, error) {
	return runOnLeader(ctx, p.Server,
		func(ctx context.Context) (*messenger.DepartResponse, error) {
			_, err := keeping(p).propose(ctx, &messenger.Command{Departure: departure})
			return &messenger.DepartResponse{}, err
		},
		func(ctx context.Context, leader peerClient) (*messenger.DepartResponse, error) {
			return leader.Depart(ctx, departure)
		})
}

// awaitDurable returns once a departure is on the disks of a quorum. The list of endpoints is in
// memory, with a copy on disk that may be a second old: after a power loss of all keepers the
// endpoint would be listed as ready, although its departure was acknowledged.
func (p planning) awaitDurable(ctx context.Context, departure applier.Departure) error {
	if p.directory.hasDeparture(departure) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, departureTimeout)
	defer cancel()
	_, err := p.Depart(ctx, applier.DepartureToWire(departure))
	if err == nil {
		return nil
	}
	p.unconfirmedDepartures.Add(1)
	if p.heartbeatDamper.Admit(p.clock.Now(), p.log) {
		p.log.Warn().Err(err).Str("endpoint", departure.ID).Time("started", departure.Started).
			Msg("departure of an endpoint is not acknowledged: no quorum of keepers has stored it; routers send it no new requests")
	}
	return err
}

// applyDepartures applies the departures after a revision to the list of endpoints, and notifies the
// followers of changes.
func (s *Server) applyDepartures(now time.Time, state *applier.State, applied uint64) {
	if applied > state.DeparturesRevision() {
		applied = 0 // the state was opened again and is behind
	}
	added := state.DeparturesSince(applied)
	if s.directory.depart(now, added) {
		s.log.Info().Int("departures", len(added)).Msg("endpoints marked as leaving by the replicated departures")
		s.updates.notify(true)
	}
}
