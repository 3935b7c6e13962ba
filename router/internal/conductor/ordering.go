package conductor

import (
	"context"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"

	"shallotkeel.example/lib/describer"
	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/orderer"
	"shallotkeel.example/lib/scheduler"
	"shallotkeel.example/router/internal/commander"
)

// leaseTimeout bounds a request for a lease, an election of the keepers included.
const leaseTimeout = 3 * time.Second

// transit is the most that a state is older than its arrival here, besides the
// age that came with it: renewals are collected, and a call takes its time.
const transit = renewEvery + callTimeout

// ordering tells whether this router orders engines. Alone, every router is a
// scheduler of every pool and knows only its own requests.
func (c *Conductor) ordering() bool {
	return c.options.Leaser != nil && c.options.Sender != nil && !c.options.Alone
}

// room is how many models fit into an endpoint; 0 if it takes no orders.
func (c *Conductor) room(message *messenger.Announcement) int {
	labels := labelsOf(message)
	if c.rules != nil {
		if c.rules.Draining(message.GetId(), labels) {
			return 0 // its copies serve no new work
		}
		labels = c.rules.Effective(message.GetId(), labels)
	}
	room, err := strconv.Atoi(labels[describer.LabelRoom])
	if err != nil {
		return 0
	}
	return min(max(room, 0), describer.MaxRoom)
}

// hear tells the pool's commander what an engine announced. It comes after the
// announcement was applied, so that nothing is granted for a model that was
// hidden before and is read as not in use after.
func (c *Conductor) hear(now time.Time, h *hosted, message *messenger.Announcement, address netip.AddrPort, age time.Duration) {
	room := 0
	if c.ordering() && !message.GetLeaving() {
		room = c.room(message)
	}
	if room == 0 && h.commander == nil {
		return
	}
	if h.commander == nil {
		holder := c.self.Name + "/" + strconv.FormatUint(c.self.Incarnation, 36) + "/" + strconv.FormatUint(h.desk.Incarnation, 36)
		h.commander = commander.New(&messenger.Pool{Zone: c.options.Zone, Service: h.service}, holder)
	}
	h.commander.Heard(commander.Reading{
		Endpoint: orderer.Endpoint{
			ID: message.GetId(), Incarnation: message.GetIncarnation(), Address: address,
			Fenced: message.GetFenced(), Room: room, Loaded: message.GetLoaded(),
		},
		At: now.Add(-age - transit), Expires: h.expires[message.GetId()],
	})
}

// shown lists the models for which an endpoint gets new work.
func (h *hosted) shown(message *messenger.Announcement) []string {
	if h.commander == nil {
		return message.GetModels()
	}
	hidden := h.commander.Hidden(message.GetId())
	if hidden == "" {
		return message.GetModels()
	}
	return slices.DeleteFunc(slices.Clone(message.GetModels()), func(model string) bool { return model == hidden })
}

// command lets a pool's commander act, and returns when it wants to act again.
func (c *Conductor) command(now time.Time, h *hosted) time.Time {
	if h.commander == nil || c.rules == nil {
		return time.Time{}
	}
	if due := h.commander.Due(now); due.IsZero() || now.Before(due) {
		return due
	}
	actions := h.commander.Step(now, c.rules, func() scheduler.Usage { return h.desk.Pool.Usage() })
	for _, order := range actions.Orders {
		c.order(now, h.commander, order)
	}
	if actions.Lease != nil {
		c.askLease(now, h.commander, actions.Lease)
	}
	return h.commander.Due(now)
}

// order sends an order. Its time counts from the step that checked the lease,
// so that a process that stood still in between sends nothing.
func (c *Conductor) order(now time.Time, from *commander.Commander, order orderer.Order) {
	ctx, cancel := clockwork.WithDeadline(context.Background(), c.clock, now.Add(orderer.OrderTimeout))
	c.metrics.messages.WithLabelValues(kindOrder).Inc()
	c.log.Info().Str("endpoint", order.Endpoint).Str("order", string(order.Kind)).Str("model", order.Model).
		Uint64("fence", order.Fence).Msg("orders an engine")
	c.launch(func() {
		defer cancel()
		result := c.options.Sender.Send(ctx, order)
		if result != orderer.Accepted {
			c.metrics.failures.WithLabelValues(kindOrder).Inc()
		}
		c.post(func() { from.Ended(c.clock.Now(), order, result) })
	})
}

func (c *Conductor) askLease(sent time.Time, from *commander.Commander, request *messenger.LeaseRequest) {
	c.metrics.messages.WithLabelValues(kindLease).Inc()
	c.launch(func() {
		ctx, cancel := context.WithTimeout(context.Background(), leaseTimeout)
		defer cancel()
		answer, err := c.options.Leaser.Lease(ctx, request)
		if err != nil {
			c.metrics.failures.WithLabelValues(kindLease).Inc()
		}
		c.post(func() { from.Leased(c.clock.Now(), sent, answer, err) })
	})
}
