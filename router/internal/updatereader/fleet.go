package updatereader

import (
	"math"
	"sync"
	"time"

	"shallotkeel.example/lib/apportioner"
	"shallotkeel.example/lib/balancer"
	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/predictor"
)

// FleetSums holds the sums that keepers compute over all routers' reports.
type FleetSums struct {
	// Uses is the demand of each workspace, and how much of it is served and shed.
	Uses map[string]apportioner.Use
	// Loads is the load of all other routers on each engine. Only some updates contain running requests.
	Loads map[uint64]balancer.Load
	// Speeds holds the observations of all other routers of the speed of each engine. It is nil in updates
	// without speeds.
	Speeds map[uint64]predictor.Sums
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
		Loads:   make(map[uint64]balancer.Load, len(update.GetLoads())),
		Backlog: time.Duration(update.GetBacklogMs()) * time.Millisecond,
	}
	for _, use := range update.GetUses() {
		sums.Uses[use.GetWorkspace()] = apportioner.Use{
			Demand: scaled(use.GetAsked(), scale), Served: scaled(use.GetGot(), scale), Shed: scaled(use.GetUnheard(), scale),
		}
	}
	for _, load := range update.GetLoads() {
		sums.Loads[load.GetEndpoint()] = balancer.Load{
			Unread: scaled(int(load.GetUnread()), scale), Running: scaled(int(load.GetRunning()), scale), Remaining: scaled(int(load.GetRemaining()), scale),
		}
	}
	if update.GetPeriodic() {
		sums.Speeds = speedsOf(update.GetSpeeds())
	}
	return sums
}

// hundredths is the unit of the sums in messenger.Speed.
const hundredths = 100

// speedsOf returns the observations in an update. They are not scaled for missing routers: the means of
// the others are right as well.
func speedsOf(wire []*messenger.Speed) map[uint64]predictor.Sums {
	speeds := make(map[uint64]predictor.Sums, len(wire))
	for _, speed := range wire {
		speeds[speed.GetEndpoint()] = predictor.Sums{
			Waits: float64(speed.GetWaits()) / hundredths, WaitLog: float64(speed.GetWaitLog()) / hundredths,
			Gaps: float64(speed.GetGaps()) / hundredths, GapLog: float64(speed.GetGapLog()) / hundredths,
		}
	}
	return speeds
}

const (
	// workInterval is the interval at which running requests are reported. They change less than unread
	// tokens, and keepers use a report of them for a second.
	workInterval = 250 * time.Millisecond
	// speedsInterval is the interval at which observed speeds are reported.
	speedsInterval = time.Second
)

// addLoads adds this router's load on engines to a report, with running requests if they are due.
func (r *Reader) addLoads(request *messenger.FollowRequest) {
	if r.options.Loads == nil {
		return
	}
	withWork := r.workReported.due(r.options.Clock.Now(), workInterval)
	for endpoint, load := range r.options.Loads() {
		reported := &messenger.Load{Endpoint: endpoint, Unread: uint32(max(load.Unread, 0))}
		if withWork {
			reported.Running, reported.Remaining = uint32(max(load.Running, 0)), uint32(max(load.Remaining, 0))
		}
		if reported.Unread > 0 || reported.Running > 0 {
			request.Loads = append(request.Loads, reported)
		}
	}
}

// addSpeeds adds this router's observations of the speed of engines to a report, if they are due.
func (r *Reader) addSpeeds(request *messenger.FollowRequest) {
	if r.options.Speeds == nil || !r.speedsReported.due(r.options.Clock.Now(), speedsInterval) {
		return
	}
	request.Periodic = true
	for endpoint, sums := range r.options.Speeds() {
		speed := &messenger.Speed{
			Endpoint: endpoint, Waits: uint32(toHundredths(sums.Waits)), WaitLog: int32(toHundredths(sums.WaitLog)),
			Gaps: uint32(toHundredths(sums.Gaps)), GapLog: int32(toHundredths(sums.GapLog)),
		}
		if speed.Waits > 0 || speed.Gaps > 0 {
			request.Speeds = append(request.Speeds, speed)
		}
	}
}

func toHundredths(sum float64) int64 {
	return int64(math.Round(sum * hundredths))
}

// schedule tracks when a part of the reports was last sent. The zero value is due.
type schedule struct {
	mutex sync.Mutex
	last  time.Time
}

// due reports whether the interval has passed since the part was last sent, and if so records it as sent.
func (s *schedule) due(now time.Time, interval time.Duration) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.last.IsZero() && now.Sub(s.last) < interval {
		return false
	}
	s.last = now
	return true
}

// reset makes the part due: the last report may not have arrived.
func (s *schedule) reset() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.last = time.Time{}
}

func scaled[T int | uint64](value T, by float64) T {
	return T(math.Round(float64(value) * by))
}
