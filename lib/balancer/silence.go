package balancer

import "time"

// minSilence is how long an endpoint must have sent nothing for a failure to be explained by its
// silence. It is longer than the gaps between the events of a busy endpoint, and shorter than a dial
// timeout.
const minSilence = 150 * time.Millisecond

// silenceLimit is how long an engine may send nothing on any connection before it gets no new requests
// while others do. It is longer than the gaps of an engine that preempts streams, and short beside the
// two seconds after which clients leave.
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
}

// noteData records that the endpoint sent data. A pause that a silence caused ends with the silence:
// the next request is a probe, and the pause lasts longer again if the probe fails.
func (e *endpoint) noteData(now time.Time) {
	if now.Sub(e.lastActivity) >= minSilence {
		e.silence.endedAt = now
	}
	e.lastActivity = now
	if !e.silence.causedPause {
		return
	}
	e.silence.causedPause = false
	if !now.Before(e.pausedUntil) {
		return
	}
	e.pausedUntil = now
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
	e.silence.causedPause = e.wasSilentSince(now, failed.sentAt)
}

// wasSilentSince reports whether the endpoint was silent for at least a part of an attempt. The
// silence may have ended while the attempt went on, because a dial that began in a silence is not
// answered at its end.
func (e *endpoint) wasSilentSince(now, sent time.Time) bool {
	return now.Sub(sent) >= minSilence && (now.Sub(e.lastActivity) >= minSilence || e.silence.endedAt.After(sent))
}

// isSilent reports whether an engine that runs requests of this router sends nothing. Silence keeps new
// requests away and ends none: an engine may pause for some seconds and go on. It ends with the first data.
func (b *Balancer) isSilent(now time.Time, e *endpoint) bool {
	if b.cacheCapacities[e.Service] == 0 || e.own.running == 0 || now.Sub(e.lastActivity) < silenceLimit {
		return false
	}
	// An engine that has begun to answer none of its requests may still prefill their prompts.
	return e.own.running > len(e.awaiting) || e.overdue(now) >= silenceLimit
}
