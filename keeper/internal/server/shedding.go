package server

import (
	"time"

	"shallotkeel.example/lib/messenger"
)

// lateHold is by how much longer a keeper that is late holds polls. Their callers allow for
// more (subscriber).
const lateHold = 400 * time.Millisecond

// hold returns how long a poll is held without a newer configuration, and whether news of
// endpoints waits for that time as well.
//
// Hundreds of routers can ask for more than a keeper's processor yields. Then whoever asks
// for the configuration, the other keepers' agreement included, waits behind them; operators
// get no answer, and keepers take one another for dead. Polls are what can wait: a late
// keeper answers each once in a longer time, and at once for a newer configuration or to
// whoever has only just begun to follow.
func (p planning) hold(request *messenger.FollowRequest) (held time.Duration, gathered bool) {
	wait := min(time.Duration(request.GetWaitMs())*time.Millisecond, maxPollWait)
	if request.GetEpoch() == p.epoch && p.pacer.Lags() {
		return wait + lateHold, true
	}
	return wait, false
}

// tellLateness logs when this keeper becomes late or is so no more, and returns which it is.
func (s *Server) tellLateness(before bool) bool {
	late := s.pacer.Lags()
	if late != before {
		s.log.Info().Bool("late", late).Dur("late_ms", s.pacer.Lateness()).Int("followers", s.directory.size()).
			Msg("lateness changed; a late keeper holds polls for longer")
	}
	return late
}
