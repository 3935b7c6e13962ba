package balancer

import (
	"slices"
	"time"
)

// minSilence is how long an endpoint must have sent nothing for a failure to be explained by its
// silence. It is longer than the gaps between the events of a busy endpoint, and shorter than a dial
// timeout.
const minSilence = 150 * time.Millisecond

// silenceLimit is how long after the expected first token a client must have waited for its departure to
// count against an engine that has sent nothing at all in the meantime. Clients leave after two seconds.
const silenceLimit = 600 * time.Millisecond

// silence records when an endpoint sent nothing on any connection.
//
// An endpoint may be silent for some seconds and go on. The failures of that time, such as dials that
// time out, say nothing about the time after it, but their pauses double and would keep requests away
// for as long again. An endpoint that sends data on other connections while attempts fail is not
// silent: what its connections carry does not show that it accepts new ones.
type silence struct {
	endedAt     time.Time // end of the last silence of at least minSilence
	causedPause bool      // the current pause follows a failure in a silence
	// liftedAt is when data last ended a pause, zero once a request that was sent later has been answered.
	liftedAt time.Time
}

// noteData records that the endpoint sent data for a slot. A pause that a silence caused ends with the
// silence: the next request is a probe. If the probe fails, data ends no further pause until a later request has been
// answered: streams whose events are far apart would otherwise end pause after pause of an endpoint that accepts
// no connections.
func (e *endpoint) noteData(now time.Time, s *Slot) {
	if now.Sub(e.lastActivity) >= minSilence {
		e.silence.endedAt = now
	}
	e.lastActivity = now
	if !s.sentAt.Before(e.silence.liftedAt) {
		e.silence.liftedAt = time.Time{}
	}
	if !e.silence.causedPause {
		return
	}
	e.silence.causedPause = false
	if !now.Before(e.pausedUntil) {
		return
	}
	e.pausedUntil, e.consecutiveFailures, e.silence.liftedAt = now, 0, now
	if e.inBackoff(now) {
		e.pausedUntil = e.backoffUntil
	}
}

// pauseAfter pauses the endpoint after a failed attempt.
func (e *endpoint) pauseAfter(now time.Time, failed *Slot) {
	if now.Before(e.pausedUntil) {
		return
	}
	e.pause(now)
	e.silence.causedPause = e.silence.liftedAt.IsZero() && e.wasSilentSince(now, failed.sentAt)
}

// wasSilentSince reports whether the endpoint was silent for at least a part of an attempt. The
// silence may have ended while the attempt went on, because a dial that began in a silence is not
// answered at its end.
func (e *endpoint) wasSilentSince(now, sent time.Time) bool {
	return now.Sub(sent) >= minSilence && (now.Sub(e.lastActivity) >= minSilence || e.silence.endedAt.After(sent))
}

// heardNothing reports whether an engine has sent nothing on any connection since the prompt of the slot was
// sent, although its first token is overdue. Silence ends no request: an engine may pause and go on. But an engine
// that has gone dark would get new requests again and again, each until its client leaves.
func (s *Slot) heardNothing(now time.Time) bool {
	e := s.endpoint
	return slices.Contains(e.awaiting, s) && !e.lastActivity.After(s.sentAt) && now.Sub(s.sentAt) >= s.ExpectedWait+silenceLimit
}
