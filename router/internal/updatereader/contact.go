package updatereader

import (
	"sync"
	"time"
)

const (
	// contactAge is how old the latest poll with an answer may be while the router counts as in contact.
	// It covers the longest poll that a keeper holds, and its answer.
	contactAge = 2 * time.Second
	// contactTime is how long a router must have been in contact before its configuration counts as the
	// newest: longer than a keeper without a quorum takes to say so.
	contactTime = 3 * time.Second
)

// contact tracks whether keepers that have a quorum answer this router, and the newest configuration
// that any of them has named. Its zero value has no contact.
type contact struct {
	mutex sync.Mutex
	since time.Time // begin of the present contact
	last  time.Time // when the latest poll was sent that has been answered
	named uint64    // the newest version of the configuration
}

// answered records an answer, by the time at which its poll was sent: what arrives after a freeze of
// this process may be as old as the freeze.
func (c *contact) answered(sent time.Time, version uint64, isolated bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.named = max(c.named, version)
	if isolated || !sent.After(c.last) {
		return
	}
	if sent.Sub(c.last) > contactAge {
		c.since = sent
	}
	c.last = sent
}

// confirms reports whether a version of the configuration is known to be the newest.
func (c *contact) confirms(now time.Time, version uint64) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	inContact := !c.last.IsZero() && now.Sub(c.last) <= contactAge
	return inContact && now.Sub(c.since) >= contactTime && version >= c.named
}

// Current reports whether the configuration in force is known to be the newest one. A router that has
// just started, is cut off, or was until a moment ago cannot know it.
func (r *Reader) Current() bool {
	return r.contact.confirms(r.options.Clock.Now(), r.version())
}
