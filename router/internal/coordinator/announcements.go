package coordinator

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

// ErrNoScheduler is the kind of the error when no scheduler accepted an
// announcement.
var ErrNoScheduler = merry.Sentinel("no scheduler took the announcement")

// The errors of announcements that are no longer sent.
var (
	errSuperseded = merry.Errorf("%w: the endpoint has restarted", ErrNoScheduler)
	errExpired    = merry.Errorf("%w within the announcement's time to live; announce again", ErrNoScheduler)
)

const (
	// maxAnnounced bounds the endpoints that one router stores.
	maxAnnounced = 16384
	// renewalInterval is how long renewals are collected, so that the endpoints of a
	// pool share one call. It is a small part of any sensible time to live.
	renewalInterval = 200 * time.Millisecond
	// announceRetryDelay is the time before an announcement that the scheduler did
	// not accept is sent again. A new scheduler learns of its role a little later
	// than other routers, and endpoints announce themselves only every third of
	// their time to live.
	announceRetryDelay = 50 * time.Millisecond
)

// announcement is the state of an endpoint that announced itself at this router.
type announcement struct {
	message        *messenger.Announcement
	expires        time.Time
	acknowledgedBy detector.Member // scheduler that has acknowledged the full announcement
	inFlight       bool
	resendAt       time.Time // when to send the full announcement, zero if the scheduler has it
	renew          bool
	waiting        []func(error) // end the endpoint's calls that wait for the scheduler
}

// end ends the calls that wait for the scheduler.
func (a *announcement) end(err error) {
	for _, finish := range a.waiting {
		finish(err)
	}
	a.waiting = nil
}

// announcementTable stores the endpoints that announce themselves at this router, so
// that a new scheduler of their pool is notified of them at once.
type announcementTable struct {
	byID      map[string]*announcement
	renewedAt time.Time
}

// Announce forwards an endpoint's announcement to the scheduler of its pool. An
// announcement that changes nothing but the load is sent as a renewal with the next
// batch.
func (c *Coordinator) Announce(ctx context.Context, message *messenger.Announcement) error {
	result := make(chan error, 1)
	c.post(func() { c.acceptAnnouncement(message, func(err error) { result <- err }) })
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return merry.Errorf("%w: %v; announce again", ErrNoScheduler, ctx.Err())
	case <-c.done:
		return merry.Errorf("%w: this router is stopping; announce to another router of the zone", ErrNoScheduler)
	}
}

// acceptAnnouncement stores an announcement and sends it to the scheduler, at once or
// with the next renewals. finish gets the result.
func (c *Coordinator) acceptAnnouncement(message *messenger.Announcement, finish func(error)) {
	now := c.clock.Now()
	if c.announcements.byID == nil {
		c.announcements.byID = make(map[string]*announcement)
	}
	known := c.announcements.byID[message.GetId()]
	if known == nil && len(c.announcements.byID) >= maxAnnounced {
		finish(merry.Errorf("%w: this router knows too many endpoints; announce to another router", ErrNoScheduler))
		return
	}
	if known == nil || known.message.GetIncarnation() < message.GetIncarnation() {
		if known != nil {
			known.end(errSuperseded)
		}
		known = &announcement{}
		c.announcements.byID[message.GetId()] = known
	} else if known.message.GetIncarnation() > message.GetIncarnation() {
		finish(nil) // stale: from a former incarnation
		return
	}
	same := known.message != nil && differsOnlyInLoad(known.message, message)
	known.message = message
	known.expires = now.Add(time.Duration(message.GetTtlMs()) * time.Millisecond)
	owner, found := c.owner(message.GetService())
	if same && found && known.resendAt.IsZero() && sameIncarnation(known.acknowledgedBy, owner) && !c.options.Standalone {
		known.renew = true
		finish(nil)
		return
	}
	known.resendAt, known.waiting = now, append(known.waiting, finish)
	c.stepAnnouncements(now)
}

func sameIncarnation(a, b detector.Member) bool {
	return a.Name == b.Name && a.Incarnation == b.Incarnation
}

// differsOnlyInLoad reports whether two announcements of an endpoint differ in nothing
// but the load, which a renewal carries, and bring no cache events, which a renewal does
// not carry.
func differsOnlyInLoad(old, message *messenger.Announcement) bool {
	if len(message.GetCached())+len(message.GetEvicted())+len(old.GetCached())+len(old.GetEvicted()) > 0 {
		return false
	}
	load := old.GetLoad()
	old.Load = message.GetLoad()
	same := proto.Equal(old, message)
	old.Load = load
	return same
}

// reannounce schedules the announcements that new schedulers do not have yet.
func (c *Coordinator) reannounce(now time.Time) {
	for _, a := range c.announcements.byID {
		if owner, found := c.owner(a.message.GetService()); found && !sameIncarnation(owner, a.acknowledgedBy) {
			a.resendAt = now
		}
	}
}

// reannounceTo schedules all announcements of a service to be sent again.
func (c *Coordinator) reannounceTo(now time.Time, service string) {
	for _, a := range c.announcements.byID {
		if a.message.GetService() == service {
			a.resendAt = now
		}
	}
}

// stepAnnouncements drops expired announcements, sends those whose time has come,
// and returns the time of the next step.
func (c *Coordinator) stepAnnouncements(now time.Time) (next time.Time) {
	for id, a := range c.announcements.byID {
		switch {
		case !now.Before(a.expires):
			a.end(errExpired)
			delete(c.announcements.byID, id)
		case a.resendAt.IsZero() || a.inFlight:
		case now.Before(a.resendAt):
			next = earliest(next, a.resendAt)
		default:
			c.announceToScheduler(now, a)
		}
	}
	if now.Sub(c.announcements.renewedAt) >= renewalInterval {
		c.announcements.renewedAt = now
		c.renewAll(now)
	}
	return earliest(next, c.announcements.renewedAt.Add(renewalInterval))
}

// announceToScheduler sends the full announcement to the scheduler of its pool.
func (c *Coordinator) announceToScheduler(now time.Time, a *announcement) {
	message := a.message
	owner, found := c.owner(message.GetService())
	if c.options.Standalone {
		c.broadcast(message)
	}
	switch {
	case !found:
		a.resendAt = now.Add(announceRetryDelay)
	case owner.Name == c.self.Name:
		c.applyAnnouncement(now, message, a.age(now))
		c.acknowledge(a, owner)
	default:
		a.inFlight = true
		method := c.peers.get(owner.Address).scheduling.Announce
		request := &messenger.AnnounceRequest{Announcement: message, AgeMs: uint32(a.age(now) / time.Millisecond)}
		call(c, kindAnnounce, method, request, func(answer *messenger.AnnounceResponse, err error) {
			a.inFlight = false
			if err != nil || answer.GetNotHere() {
				a.resendAt = c.clock.Now().Add(announceRetryDelay)
			} else if a.message == message {
				c.acknowledge(a, owner)
			}
		})
	}
}

// age is the time since the endpoint announced itself. An announcement that is sent
// again to a new scheduler may be old, and its state must not be taken for the current
// one.
func (a *announcement) age(now time.Time) time.Duration {
	receivedAt := a.expires.Add(-time.Duration(a.message.GetTtlMs()) * time.Millisecond)
	return max(0, now.Sub(receivedAt))
}

// acknowledge records that a scheduler has the full announcement.
func (c *Coordinator) acknowledge(a *announcement, owner detector.Member) {
	a.acknowledgedBy, a.resendAt, a.renew = owner, time.Time{}, false
	// Cache events are sent once. Sending them again would not be wrong, but would
	// make messages long.
	if len(a.message.GetCached())+len(a.message.GetEvicted()) > 0 {
		a.message = proto.Clone(a.message).(*messenger.Announcement)
		a.message.Cached, a.message.Evicted = nil, nil
	}
	a.end(nil)
}

// broadcast sends an announcement to all routers of the zone. It serves the
// standalone baseline, where every router schedules its own requests.
func (c *Coordinator) broadcast(message *messenger.Announcement) {
	for _, m := range c.detector.Live() {
		if m.Name != c.self.Name {
			method := c.peers.get(m.Address).scheduling.Announce
			request := &messenger.AnnounceRequest{Announcement: message}
			// The next announcement makes up for a lost copy.
			call(c, kindAnnounce, method, request, func(*messenger.AnnounceResponse, error) {})
		}
	}
}

// renewAll sends the collected renewals, one call for each pool.
func (c *Coordinator) renewAll(now time.Time) {
	pools := make(map[string][]*announcement)
	for _, a := range c.announcements.byID {
		if a.renew {
			a.renew = false
			pools[a.message.GetService()] = append(pools[a.message.GetService()], a)
		}
	}
	for _, service := range slices.Sorted(maps.Keys(pools)) {
		c.renew(now, service, pools[service])
	}
}

func (c *Coordinator) renew(now time.Time, service string, endpoints []*announcement) {
	request := &messenger.AnnounceRequest{Pool: &messenger.Pool{Zone: c.options.Zone, Service: service}}
	for _, a := range endpoints {
		request.Renewals = append(request.Renewals, &messenger.Renewal{
			Id: a.message.GetId(), Incarnation: a.message.GetIncarnation(), Load: a.message.GetLoad(),
		})
	}
	finish := func(answer *messenger.AnnounceResponse, err error) {
		for _, a := range endpoints {
			if err != nil || answer.GetNotHere() || slices.Contains(answer.GetUnknown(), a.message.GetId()) {
				a.resendAt = c.clock.Now()
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
