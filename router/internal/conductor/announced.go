package conductor

import (
	"context"
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"

	"shallotkeel.example/lib/describer"
	"shallotkeel.example/lib/detector"
	"shallotkeel.example/lib/labeler"
	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/scheduler"
)

// ErrNoScheduler is the kind of the error when an announcement reaches nobody.
var ErrNoScheduler = merry.Sentinel("no scheduler took the announcement")

// maxAnnounced bounds the endpoints that one router remembers.
const maxAnnounced = 16384

// announcement is an endpoint that announced itself at this router.
type announcement struct {
	message *messenger.Announcement
	expires time.Time
}

// announced remembers the endpoints that announce themselves at this router,
// so that a new scheduler of their pool hears of them at once.
type announced struct {
	known map[string]announcement
}

// Announce passes an endpoint's announcement on to its pool's scheduler.
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
	c.remember(now, message)
	if c.options.Alone {
		for _, m := range c.detector.Live() {
			if m.Name != c.self.Name {
				c.forward(m, message, func(error) {})
			}
		}
	}
	owner, found := c.owner(message.GetService())
	if !found {
		finish(merry.Errorf("%w: the zone has no router; announce again", ErrNoScheduler))
		return
	}
	if owner.Name == c.self.Name {
		c.applyAnnouncement(now, message)
		finish(nil)
		return
	}
	c.forward(owner, message, finish)
}

func (c *Conductor) remember(now time.Time, message *messenger.Announcement) {
	if c.announce.known == nil {
		c.announce.known = make(map[string]announcement)
	}
	old, known := c.announce.known[message.GetId()]
	if (!known && len(c.announce.known) >= maxAnnounced) || old.message.GetIncarnation() > message.GetIncarnation() {
		return
	}
	ttl := time.Duration(message.GetTtlMs()) * time.Millisecond
	c.announce.known[message.GetId()] = announcement{message: message, expires: now.Add(ttl)}
}

func (c *Conductor) forward(to detector.Member, message *messenger.Announcement, finish func(error)) {
	method := c.peers.get(to.Address).scheduling.Announce
	request := &messenger.AnnounceRequest{Announcement: message}
	call(c, kindAnnounce, method, request, func(answer *messenger.AnnounceResponse, err error) {
		switch {
		case err != nil:
			finish(merry.Errorf("%w: %v; announce again", ErrNoScheduler, err))
		case answer.GetNotHere():
			finish(merry.Errorf("%w: the pool's scheduler is changing; announce again", ErrNoScheduler))
		default:
			finish(nil)
		}
	})
}

// receiveAnnouncement takes what another router passed on.
func (c *Conductor) receiveAnnouncement(now time.Time, request *messenger.AnnounceRequest) *messenger.AnnounceResponse {
	message := request.GetAnnouncement()
	if message.GetZone() != c.options.Zone || !c.applyAnnouncement(now, message) {
		return &messenger.AnnounceResponse{NotHere: true}
	}
	return &messenger.AnnounceResponse{}
}

func (c *Conductor) applyAnnouncement(now time.Time, message *messenger.Announcement) bool {
	h := c.pool(now, message.GetService())
	address, err := netip.ParseAddrPort(message.GetAddress())
	if h == nil || err != nil {
		return false
	}
	old := h.endpoints[message.GetId()]
	if old.GetIncarnation() > message.GetIncarnation() || (old == nil && len(h.endpoints) >= maxAnnounced) {
		return true // news of a former life changes nothing
	}
	ttl := time.Duration(message.GetTtlMs()) * time.Millisecond
	h.endpoints[message.GetId()] = message
	h.expires[message.GetId()] = now.Add(ttl)
	h.desk.Apply(now, scheduler.Announced{
		ID: message.GetId(), Incarnation: message.GetIncarnation(), Address: address,
		Labels: labelsOf(message), Models: message.GetModels(), Slots: c.slots(message), TTL: ttl,
		Leaving: message.GetLeaving(), Load: int(message.GetLoad()),
		Cached: message.GetCached(), Evicted: message.GetEvicted(),
	})
	return true
}

// slots is how many requests this router's pool may run at an endpoint. Alone,
// every router takes an equal part and at least one.
func (c *Conductor) slots(message *messenger.Announcement) int {
	slots := int(message.GetSlots())
	if !c.options.Alone {
		return slots
	}
	return max(1, slots/len(c.detector.Live()))
}

// rescale applies announcements again when the number of live routers changes
// what each may use of an endpoint.
func (c *Conductor) rescale(now time.Time) {
	if !c.options.Alone {
		return
	}
	for _, h := range c.pools {
		for id, message := range h.endpoints {
			if now.Before(h.expires[id]) {
				c.applyAnnouncement(now, message)
			}
		}
	}
}

func labelsOf(message *messenger.Announcement) labeler.Labels {
	labels := make(labeler.Labels, len(message.GetLabels())+3)
	for key, value := range message.GetLabels() {
		labels[key] = value
	}
	labels[describer.LabelZone] = message.GetZone()
	labels[describer.LabelService] = message.GetService()
	labels[describer.LabelEndpoint] = message.GetId()
	return labels
}

// reannounce tells the schedulers of all pools what this router knows.
func (c *Conductor) reannounce(now time.Time) {
	services := make(map[string]bool)
	for _, a := range c.announce.known {
		services[a.message.GetService()] = true
	}
	for service := range services {
		c.reannounceTo(now, service)
	}
}

func (c *Conductor) reannounceTo(now time.Time, service string) {
	owner, found := c.owner(service)
	if !found {
		return
	}
	for id, a := range c.announce.known {
		switch {
		case !now.Before(a.expires):
			delete(c.announce.known, id)
		case a.message.GetService() != service:
		case owner.Name == c.self.Name:
			c.applyAnnouncement(now, a.message)
		default:
			c.forward(owner, a.message, func(error) {})
		}
	}
}
