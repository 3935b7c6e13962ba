package passer

import (
	"sync"
	"time"
)

const (
	// oddsSpan is over how long requests are counted, twice that at the most: long enough for
	// some hundreds in a flood, short enough to follow one.
	oddsSpan = 500 * time.Millisecond
	// leastAsking is how many have to ask before anything is read from their number.
	leastAsking = 50
	// longestRoomPause is the longest pause for want of room. Clients believe at most a third of
	// their time, and by then others may have the room.
	longestRoomPause = time.Second
	// likelyRefused is the part of the calls from which on one that comes back is more likely to be
	// refused again than not.
	likelyRefused = 0.5
)

// odds tells how likely it is to be refused for want of room. Its zero value has seen nobody.
type odds struct {
	mutex       sync.Mutex
	begun       time.Time // of the younger span
	young, aged tally
}

type tally struct{ asked, refused int }

// add counts a request.
func (o *odds) add(now time.Time, refused bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.turn(now)
	o.young.asked++
	if refused {
		o.young.refused++
	}
}

// refused returns the part of the requests that were refused lately, 0 to 1.
func (o *odds) refused(now time.Time) float64 {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.turn(now)
	asked := o.young.asked + o.aged.asked
	if asked < leastAsking {
		return 0
	}
	return float64(o.young.refused+o.aged.refused) / float64(asked)
}

// turn begins a new span when one is over.
func (o *odds) turn(now time.Time) {
	since := now.Sub(o.begun)
	if since < oddsSpan {
		return
	}
	o.aged = o.young
	if since >= 2*oddsSpan {
		o.aged = tally{}
	}
	o.begun, o.young = now, tally{}
}

// Crowding returns the part of the requests that were refused for want of room lately, 0 to 1.
func (p *Passer) Crowding(now time.Time) float64 {
	return p.odds.refused(now)
}

// roomPause returns when a client may come back that was refused for want of room. Who comes
// back is as likely to be refused as those who ask now. Where one in twenty is let in, all others
// that come back at once only take the time in which somebody could be served.
func (p *Passer) roomPause(now time.Time) time.Duration {
	return pauseFor(p.odds.refused(now))
}

// pauseFor returns when to come back if a part of the requests, 0 to 1, is refused.
func pauseFor(refused float64) time.Duration {
	left := 1 - refused
	if retrySoon.Seconds() >= left*longestRoomPause.Seconds() {
		return longestRoomPause
	}
	return time.Duration(float64(retrySoon) / left)
}

// pressurePause returns when a client may come back whose call found no room at a plain service. As long
// as it is likely to be let in then, it comes back soon enough to be in time.
func (p *Passer) pressurePause(q *request) time.Duration {
	pressed := p.options.Balancer.RejectionShare(q.service)
	if pressed <= likelyRefused && !q.late() {
		return retrySoon
	}
	return pauseFor(pressed)
}
