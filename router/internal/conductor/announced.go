package conductor

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	"shallotkeel.example/lib/detector"
	"shallotkeel.example/lib/messenger"
)

// ErrNoScheduler is the kind of the error when an announcement reaches nobody.
var ErrNoScheduler = merry.Sentinel("no scheduler took the announcement")

const (
	// maxAnnounced bounds the endpoints that one router remembers.
	maxAnnounced = 16384
	// renewEvery is how long renewals are collected, so that the endpoints of a
	// pool share one call. It is a small part of any sensible time to live.
	renewEvery = 200 * time.Millisecond
	// announcePause is the time before an announcement that the scheduler did
	// not take is told again. A new scheduler learns of its duty a little later
	// than others, and endpoints speak only every third of their time to live.
	announcePause = 50 * time.Millisecond
)

// announcement is an endpoint that announced itself at this router.
type announcement struct {
	message *messenger.Announcement
	expires time.Time
	told    detector.Member // the scheduler that knows it in full
	calling bool
	due     time.Time // when to tell it in full, zero if it need not be told
	renew   bool
	waiting func(error) // the endpoint's own call
}

// announced remembers the endpoints that announce themselves at this router,
// so that a new scheduler of their pool hears of them at once.
type announced struct {
	known   map[string]*announcement
	flushed time.Time
}

// Announce passes an endpoint's announcement on to its pool's scheduler. One
// that changes nothing but the load is renewed with the next batch.
func (c *Conductor) Announce(ctx context.Context, message *messenger.Announcement) error {
	result := make(chan error, 1)
	c.post(func() { c.take(message, func(err error) { result <- err }) })
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return merry.Errorf("%w: %v; announce again", ErrNoScheduler, ctx.Err())
	case <-c.done:
		return merry.Errorf("%w: this router is stopping; announce to another router of the zone", ErrNoScheduler)
	}
}

func (c *Conductor) take(message *messenger.Announcement, finish func(error)) {
	now := c.clock.Now()
	if c.announce.known == nil {
		c.announce.known = make(map[string]*announcement)
	}
	known := c.announce.known[message.GetId()]
	if known == nil && len(c.announce.known) >= maxAnnounced {
		finish(merry.Errorf("%w: this router knows too many endpoints; announce to another router", ErrNoScheduler))
		return
	}
	if known == nil || known.message.GetIncarnation() < message.GetIncarnation() {
		known = &announcement{}
		c.announce.known[message.GetId()] = known
	} else if known.message.GetIncarnation() > message.GetIncarnation() {
		finish(nil) // news of a former life
		return
	}
	same := known.message != nil && sameButLoad(known.message, message)
	known.message = message
	known.expires = now.Add(time.Duration(message.GetTtlMs()) * time.Millisecond)
	owner, found := c.owner(message.GetService())
	if same && found && known.due.IsZero() && sameLife(known.told, owner) && !c.options.Alone {
		known.renew = true
		finish(nil)
		return
	}
	known.due, known.waiting = now, finish
	c.stepAnnounced(now)
}

func sameLife(a, b detector.Member) bool {
	return a.Name == b.Name && a.Incarnation == b.Incarnation
}

// sameButLoad tells whether a renewal says as much as the whole announcement.
func sameButLoad(old, message *messenger.Announcement) bool {
	if len(message.GetCached())+len(message.GetEvicted())+len(old.GetCached())+len(old.GetEvicted()) > 0 {
		return false
	}
	load := old.GetLoad()
	old.Load = message.GetLoad()
	same := proto.Equal(old, message)
	old.Load = load
	return same
}

// reannounce marks what has to be told to new schedulers.
func (c *Conductor) reannounce(now time.Time) {
	for _, a := range c.announce.known {
		if owner, found := c.owner(a.message.GetService()); found && !sameLife(owner, a.told) {
			a.due = now
		}
	}
}

// reannounceTo tells everything of a service again.
func (c *Conductor) reannounceTo(now time.Time, service string) {
	for _, a := range c.announce.known {
		if a.message.GetService() == service {
			a.due = now
		}
	}
}

// stepAnnounced tells what is due.
func (c *Conductor) stepAnnounced(now time.Time) (next time.Time) {
	for id, a := range c.announce.known {
		switch {
		case !now.Before(a.expires):
			delete(c.announce.known, id)
		case a.due.IsZero() || a.calling:
		case now.Before(a.due):
			next = earliest(next, a.due)
		default:
			c.tellScheduler(now, a)
		}
	}
	if now.Sub(c.announce.flushed) >= renewEvery {
		c.announce.flushed = now
		c.renewAll(now)
	}
	return earliest(next, c.announce.flushed.Add(renewEvery))
}

func (c *Conductor) tellScheduler(now time.Time, a *announcement) {
	message := a.message
	owner, found := c.owner(message.GetService())
	if c.options.Alone {
		c.copyToAll(message)
	}
	switch {
	case !found:
		a.due = now.Add(announcePause)
	case owner.Name == c.self.Name:
		c.applyAnnouncement(now, message, a.age(now))
		c.settle(a, owner)
	default:
		a.calling = true
		method := c.peers.get(owner.Address).scheduling.Announce
		request := &messenger.AnnounceRequest{Announcement: message, AgeMs: uint32(a.age(now) / time.Millisecond)}
		call(c, kindAnnounce, method, request, func(answer *messenger.AnnounceResponse, err error) {
			a.calling = false
			if err != nil || answer.GetNotHere() {
				a.due = c.clock.Now().Add(announcePause)
			} else if a.message == message {
				c.settle(a, owner)
			}
		})
	}
}

// age is how long ago the endpoint announced itself. What is told again to a new
// scheduler is old, and must not pass for a state that was read just now.
func (a *announcement) age(now time.Time) time.Duration {
	heard := a.expires.Add(-time.Duration(a.message.GetTtlMs()) * time.Millisecond)
	return max(0, now.Sub(heard))
}

// settle notes that a scheduler knows the endpoint.
func (c *Conductor) settle(a *announcement, owner detector.Member) {
	a.told, a.due, a.renew = owner, time.Time{}, false
	// Cache events are news once; telling them again would not be wrong, but long.
	if len(a.message.GetCached())+len(a.message.GetEvicted()) > 0 {
		a.message = proto.Clone(a.message).(*messenger.Announcement)
		a.message.Cached, a.message.Evicted = nil, nil
	}
	if a.waiting != nil {
		a.waiting(nil)
		a.waiting = nil
	}
}

// copyToAll is for the baseline, where every router schedules for itself.
func (c *Conductor) copyToAll(message *messenger.Announcement) {
	for _, m := range c.detector.Live() {
		if m.Name != c.self.Name {
			method := c.peers.get(m.Address).scheduling.Announce
			request := &messenger.AnnounceRequest{Announcement: message}
			// A lost copy is made up for by the next announcement.
			call(c, kindAnnounce, method, request, func(*messenger.AnnounceResponse, error) {})
		}
	}
}

// renewAll sends the collected renewals, one call for each pool.
func (c *Conductor) renewAll(now time.Time) {
	pools := make(map[string][]*announcement)
	for _, a := range c.announce.known {
		if a.renew {
			a.renew = false
			pools[a.message.GetService()] = append(pools[a.message.GetService()], a)
		}
	}
	for _, service := range slices.Sorted(maps.Keys(pools)) {
		c.renew(now, service, pools[service])
	}
}

func (c *Conductor) renew(now time.Time, service string, endpoints []*announcement) {
	request := &messenger.AnnounceRequest{Pool: &messenger.Pool{Zone: c.options.Zone, Service: service}}
	for _, a := range endpoints {
		request.Renewals = append(request.Renewals, &messenger.Renewal{
			Id: a.message.GetId(), Incarnation: a.message.GetIncarnation(), Load: a.message.GetLoad(),
		})
	}
	finish := func(answer *messenger.AnnounceResponse, err error) {
		for _, a := range endpoints {
			if err != nil || answer.GetNotHere() || slices.Contains(answer.GetUnknown(), a.message.GetId()) {
				a.due = c.clock.Now()
			}
		}
	}
	owner, found := c.owner(service)
	switch {
	case !found:
	case owner.Name == c.self.Name:
		finish(c.receiveAnnouncement(now, request), nil)
	default:
		call(c, kindAnnounce, c.peers.get(owner.Address).scheduling.Announce, request, finish)
	}
}
