package server

import (
	"time"

	"shallotkeel.example/lib/messenger"
)

// lagHold is the additional time for which a lagging keeper holds polls. The callers' timeout
// (package subscriber) is longer.
const lagHold = 400 * time.Millisecond

// holdTime returns how long a poll is held if there is no newer plan or evacuation, and whether
// updates of endpoints are coalesced by holding them back for that time as well.
//
// Hundreds of routers can need more processor time than a keeper has. Calls that concern the
// configuration, and the replication messages of the other keepers, then queue behind their polls;
// operators get no answer, and keepers consider one another dead. Polls can be delayed: a lagging
// keeper answers each poll after a longer time, but at once if there is a newer plan or evacuation
// or the caller has just begun to follow.
func (p planning) holdTime(request *messenger.FollowRequest) (hold time.Duration, coalesce bool) {
	wait := min(time.Duration(request.GetWaitMs())*time.Millisecond, maxPollWait)
	if request.GetEpoch() == p.epoch && p.pacer.Lags() {
		return wait + lagHold, true
	}
	return wait, false
}

// logLag logs when this keeper starts or stops lagging, and reports whether it lags.
func (s *Server) logLag(before bool) bool {
	lags := s.pacer.Lags()
	if lags != before {
		s.log.Info().Bool("late", lags).Dur("late_ms", s.pacer.Lateness()).Int("followers", s.directory.followerCount()).
			Msg("keeper started or stopped lagging; it holds polls longer while it lags")
	}
	return lags
}
