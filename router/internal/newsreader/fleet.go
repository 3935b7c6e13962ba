package newsreader

import (
	"math"
	"time"

	"shallotkeel.example/lib/apportioner"
	"shallotkeel.example/lib/messenger"
)

// Fleet is what keepers add up of all routers' reports.
type Fleet struct {
	// Uses is what becomes of what the workspaces ask for.
	Uses map[string]apportioner.Use
	// Loads is how many unread tokens all other routers have at the engines.
	Loads map[uint64]int
	// Backlog is for how long engines still read, as the median router believes.
	Backlog time.Duration
}

// mostScaled bounds by how much sums are scaled up for routers that are not in them. Half
// of the fleet is missing where keepers are cut in two; a larger part only for moments, as
// when all start, and then the few that are heard say little of the rest.
const mostScaled = 2

// fleetOf returns the whole fleet's sums. Where keepers do not hear one another, a keeper
// has the reports of some routers only, while the others still serve: taken for the whole
// fleet, they would make everybody's share here twice what it is. The others are taken to
// do as these do.
func fleetOf(news *messenger.FollowResponse) Fleet {
	scale := 1.0
	if counted := news.GetReporting(); counted > 0 {
		scale = min(max(float64(news.GetExpected())/float64(counted), 1), mostScaled)
	}
	fleet := Fleet{
		Uses:    make(map[string]apportioner.Use, len(news.GetUses())),
		Loads:   make(map[uint64]int, len(news.GetLoads())),
		Backlog: time.Duration(news.GetBacklogMs()) * time.Millisecond,
	}
	for _, use := range news.GetUses() {
		fleet.Uses[use.GetWorkspace()] = apportioner.Use{
			Demand: scaled(use.GetAsked(), scale), Served: scaled(use.GetGot(), scale), Shed: scaled(use.GetUnheard(), scale),
		}
	}
	for _, at := range news.GetLoads() {
		fleet.Loads[at.GetEndpoint()] = scaled(int(at.GetUnread()), scale)
	}
	return fleet
}

func scaled[T int | uint64](value T, by float64) T {
	return T(math.Round(float64(value) * by))
}
