package coordinator

import (
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"shallotkeel.example/lib/describer"
	"shallotkeel.example/lib/labeler"
	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/scheduler"
)

// receiveAnnouncement handles an announcement, or the renewals of a pool, that a router
// forwarded.
func (c *Coordinator) receiveAnnouncement(now time.Time, request *messenger.AnnounceRequest) *messenger.AnnounceResponse {
	if message := request.GetAnnouncement(); message != nil {
		if message.GetZone() != c.options.Zone || !c.applyAnnouncement(now, message, time.Duration(request.GetAgeMs())*time.Millisecond) {
			return &messenger.AnnounceResponse{NotHere: true}
		}
		return &messenger.AnnounceResponse{}
	}
	if request.GetPool().GetZone() != c.options.Zone {
		return &messenger.AnnounceResponse{NotHere: true}
	}
	h := c.pool(now, request.GetPool().GetService())
	if h == nil {
		return &messenger.AnnounceResponse{NotHere: true}
	}
	response := &messenger.AnnounceResponse{}
	for _, renewal := range request.GetRenewals() {
		if !c.applyRenewal(now, h, renewal) {
			response.Unknown = append(response.Unknown, renewal.GetId())
		}
	}
	return response
}

func (c *Coordinator) applyRenewal(now time.Time, h *hostedPool, renewal *messenger.Renewal) bool {
	known := h.endpoints[renewal.GetId()]
	if known == nil || known.GetIncarnation() != renewal.GetIncarnation() {
		return false
	}
	renewed := known
	if known.GetLoad() != renewal.GetLoad() {
		renewed = proto.Clone(known).(*messenger.Announcement)
		renewed.Load = renewal.GetLoad()
	}
	return c.applyAnnouncement(now, renewed, 0)
}

// applyAnnouncement applies an announcement, which its endpoint sent the given age ago,
// to the pool. It returns false if this router does not schedule the pool or the address
// is invalid.
func (c *Coordinator) applyAnnouncement(now time.Time, message *messenger.Announcement, age time.Duration) bool {
	h := c.pool(now, message.GetService())
	address, err := netip.ParseAddrPort(message.GetAddress())
	if h == nil || err != nil {
		return false
	}
	old := h.endpoints[message.GetId()]
	if old.GetIncarnation() > message.GetIncarnation() || (old == nil && len(h.endpoints) >= maxAnnounced) {
		return true // ignored: it is of a former incarnation, or above the bound of endpoints
	}
	ttl := time.Duration(message.GetTtlMs()) * time.Millisecond
	h.expires[message.GetId()] = now.Add(ttl)
	h.registrar.Apply(now, scheduler.Announced{
		ID: message.GetId(), Incarnation: message.GetIncarnation(), Address: address,
		Labels: labelsOf(message), Models: h.visibleModels(message), Slots: c.slots(message), TTL: ttl,
		Leaving: message.GetLeaving(), Load: int(message.GetLoad()),
		Cached: message.GetCached(), Evicted: message.GetEvicted(),
	})
	if len(message.GetCached())+len(message.GetEvicted()) > 0 {
		// Cache events are applied once, not with every renewal.
		message = proto.Clone(message).(*messenger.Announcement)
		message.Cached, message.Evicted = nil, nil
	}
	h.endpoints[message.GetId()] = message
	c.updateCommander(now, h, message, address, age)
	return true
}

// removeExpiredEndpoints drops the announcements of endpoints that expired more than
// endpointRetention ago.
func (c *Coordinator) removeExpiredEndpoints(now time.Time) {
	for _, h := range c.pools {
		for id, expires := range h.expires {
			if now.Sub(expires) > endpointRetention {
				delete(h.expires, id)
				delete(h.endpoints, id)
			}
		}
	}
}

// endpointRetention is how long the status shows an endpoint whose announcement has
// expired.
const endpointRetention = time.Minute

// slots returns how many requests this router's pool may run at an endpoint. In
// standalone mode every live router has an equal part of the slots, and at least one.
func (c *Coordinator) slots(message *messenger.Announcement) int {
	slots := int(message.GetSlots())
	if !c.options.Standalone {
		return slots
	}
	return max(1, slots/len(c.detector.Live()))
}

// rescale applies announcements again when a change of the number of live routers
// changes the part of each endpoint that a standalone router may use.
func (c *Coordinator) rescale(now time.Time) {
	if !c.options.Standalone {
		return
	}
	for _, h := range c.pools {
		for id, message := range h.endpoints {
			if now.Before(h.expires[id]) {
				c.applyAnnouncement(now, message, 0)
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
