package coordinator

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

// leaseTimeout bounds a request for a lease, including an election of the keepers.
const leaseTimeout = 3 * time.Second

// maxTransit bounds how much older than its arrival here an announced state is, in
// addition to the age that came with it: renewals are collected, and a call takes
// time.
const maxTransit = renewalInterval + callTimeout

// ordersEngines reports whether this router orders engines. In standalone mode it
// does not, because every router schedules every pool and sees only its own
// requests.
func (c *Coordinator) ordersEngines() bool {
	return c.options.Leaser != nil && c.options.Sender != nil && !c.options.Standalone
}

// modelCapacity returns how many models fit into an endpoint, or 0 if it accepts no
// orders.
func (c *Coordinator) modelCapacity(message *messenger.Announcement) int {
	labels := labelsOf(message)
	if c.rules != nil {
		if c.rules.Draining(message.GetId(), labels) {
			return 0 // its models serve no new requests
		}
		labels = c.rules.Effective(message.GetId(), labels)
	}
	capacity, err := strconv.Atoi(labels[describer.LabelRoom])
	if err != nil {
		return 0
	}
	return min(max(capacity, 0), describer.MaxRoom)
}

// updateCommander passes an engine's announcement to the pool's commander. It runs
// after the announcement was applied: otherwise a request could be granted for a
// model that was hidden before and then be read as not in use.
func (c *Coordinator) updateCommander(now time.Time, h *hostedPool, message *messenger.Announcement, address netip.AddrPort, age time.Duration) {
	capacity := 0
	if c.ordersEngines() && !message.GetLeaving() {
		capacity = c.modelCapacity(message)
	}
	if capacity == 0 && h.commander == nil {
		return
	}
	if h.commander == nil {
		holder := c.self.Name + "/" + strconv.FormatUint(c.self.Incarnation, 36) + "/" + strconv.FormatUint(h.registrar.Incarnation, 36)
		h.commander = commander.New(&messenger.Pool{Zone: c.options.Zone, Service: h.service}, holder)
	}
	h.commander.Observe(commander.Reading{
		Endpoint: orderer.Endpoint{
			ID: message.GetId(), Incarnation: message.GetIncarnation(), Address: address,
			Fenced: message.GetFenced(), Room: capacity, Loaded: message.GetLoaded(),
		},
		At: now.Add(-age - maxTransit), Expires: h.expires[message.GetId()],
	})
}

// visibleModels returns the models for which an endpoint gets new requests.
func (h *hostedPool) visibleModels(message *messenger.Announcement) []string {
	if h.commander == nil {
		return message.GetModels()
	}
	hidden := h.commander.Hidden(message.GetId())
	if hidden == "" {
		return message.GetModels()
	}
	return slices.DeleteFunc(slices.Clone(message.GetModels()), func(model string) bool { return model == hidden })
}

// stepCommander runs a pool's commander, and returns the time of its next step.
func (c *Coordinator) stepCommander(now time.Time, h *hostedPool) time.Time {
	if h.commander == nil || c.rules == nil {
		return time.Time{}
	}
	if next := h.commander.NextStep(now); next.IsZero() || now.Before(next) {
		return next
	}
	actions := h.commander.Step(now, c.rules, func() scheduler.Usage { return h.registrar.Pool.Usage() })
	for _, order := range actions.Orders {
		c.sendOrder(now, h.commander, order)
	}
	if actions.Lease != nil {
		c.requestLease(now, h.commander, actions.Lease)
	}
	return h.commander.NextStep(now)
}

// sendOrder sends an order. Its timeout counts from the step that checked the lease,
// so that a process that stalled in between sends nothing.
func (c *Coordinator) sendOrder(now time.Time, from *commander.Commander, order orderer.Order) {
	ctx, cancel := clockwork.WithDeadline(context.Background(), c.clock, now.Add(orderer.OrderTimeout))
	c.metrics.messages.WithLabelValues(kindOrder).Inc()
	c.log.Info().Str("endpoint", order.Endpoint).Str("order", string(order.Kind)).Str("model", order.Model).
		Uint64("fence", order.Fence).Msg("sending an order to an engine to change its loaded models")
	c.launch(func() {
		defer cancel()
		result := c.options.Sender.Send(ctx, order)
		if result != orderer.Accepted {
			c.metrics.failures.WithLabelValues(kindOrder).Inc()
		}
		c.post(func() { from.Ended(c.clock.Now(), order, result) })
	})
}

// requestLease sends a lease request to the keepers. The lease counts from sent.
func (c *Coordinator) requestLease(sent time.Time, from *commander.Commander, request *messenger.LeaseRequest) {
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
