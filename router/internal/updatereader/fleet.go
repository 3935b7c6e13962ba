package updatereader

import (
	"math"
	"time"

	"shallotkeel.example/lib/apportioner"
	"shallotkeel.example/lib/messenger"
)

// FleetSums holds the sums that keepers compute over all routers' reports.
type FleetSums struct {
	// Uses is the demand of each workspace, and how much of it is served and shed.
	Uses map[string]apportioner.Use
	// Loads is the number of unread tokens that all other routers have at each engine.
	Loads map[uint64]int
	// Backlog is the prefill backlog of the engines, as the median router estimates it.
	Backlog time.Duration
}

// maxScale bounds the scaling of sums for routers that are missing in them. Half of the fleet is
// missing where a partition cuts the keepers in two. A larger part is missing only for moments, for
// example when all processes start, and then the few reports say little about the rest.
const maxScale = 2

// fleetSumsOf returns the sums of the whole fleet. In a partition, a keeper has the reports of some
// routers only, while the other routers still serve. If these sums were used as those of the whole
// fleet, every workspace would get twice its share at this router. The missing routers are assumed
// to carry the same load as the reporting ones.
func fleetSumsOf(update *messenger.FollowResponse) FleetSums {
	scale := 1.0
	if reporting := update.GetReporting(); reporting > 0 {
		scale = min(max(float64(update.GetExpected())/float64(reporting), 1), maxScale)
	}
	sums := FleetSums{
		Uses:    make(map[string]apportioner.Use, len(update.GetUses())),
		Loads:   make(map[uint64]int, len(update.GetLoads())),
		Backlog: time.Duration(update.GetBacklogMs()) * time.Millisecond,
	}
	for _, use := range update.GetUses() {
		sums.Uses[use.GetWorkspace()] = apportioner.Use{
			Demand: scaled(use.GetAsked(), scale), Served: scaled(use.GetGot(), scale), Shed: scaled(use.GetUnheard(), scale),
		}
	}
	for _, load := range update.GetLoads() {
		sums.Loads[load.GetEndpoint()] = scaled(int(load.GetUnread()), scale)
	}
	return sums
}

func scaled[T int | uint64](value T, by float64) T {
	return T(math.Round(float64(value) * by))
}
