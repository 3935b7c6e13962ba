// Package commander orders the engines of one pool to load and unload models. It
// obtains the pool's lease from the keepers, passes the state and the wanted models
// to an orderer, and returns the orders to send.
//
// A Commander is a pure state machine on the router that hosts the pool's scheduler;
// a Sender delivers its orders.
//
// Invariants: the lease counts from when it was requested; one lease request is in
// flight at a time; the time of a reading is not later than the engine's
// announcement; an endpoint without room for a model gets no order.
package commander

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"time"

	"shallotkeel.example/lib/describer"
	"shallotkeel.example/lib/matcher"
	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/orderer"
	"shallotkeel.example/lib/scheduler"
)

const (
	// stepInterval is the time between two comparisons of the wanted with the loaded
	// models.
	stepInterval = time.Second
	// leaseRetryInterval is the minimum time between two lease requests, whether no
	// answer came or the answer had no permit.
	leaseRetryInterval = time.Second
	// maxLeasePollInterval is the maximum time between two requests for a lease that
	// another holder has.
	maxLeasePollInterval = 5 * time.Second
	// leaseRenewalDivisor sets the renewal time: a lease is renewed after its
	// duration divided by this number.
	leaseRenewalDivisor = 3
	// permitsWanted is the number of load permits in one request, because one load
	// is ordered at a time.
	permitsWanted = 1
)

// Leaser grants the leases of pools. The keepers do so.
type Leaser interface {
	Lease(ctx context.Context, request *messenger.LeaseRequest) (*messenger.LeaseResponse, error)
}

// Sender delivers an order to its endpoint before the context ends.
type Sender interface {
	Send(ctx context.Context, order orderer.Order) orderer.Result
}

// Reading is the state of an engine as it announced it.
type Reading struct {
	orderer.Endpoint
	At      time.Time // not later than the engine's announcement
	Expires time.Time // when the announcement expires
}

// Actions are what the host has to do now.
type Actions struct {
	Lease  *messenger.LeaseRequest // request to send, its answer goes to Leased; nil if there is none
	Orders []orderer.Order         // orders to send, the result of each goes to Ended
}

// Commander orders the engines of one pool. It is not safe for concurrent use.
type Commander struct {
	pool                 *messenger.Pool
	holder               string
	orderer              orderer.Orderer
	engines              map[string]*Reading
	fence                uint64
	leaseRequestInFlight bool
	leaseRequestedAt     time.Time
	nextLeaseRequestAt   time.Time
	nextStepAt           time.Time
}

// New returns a commander for a pool. The holder's name is unique to one incarnation
// of the pool's scheduler: a successor on the same router has no record of the
// orders that are still in flight, and so must wait until the lease expires.
func New(pool *messenger.Pool, holder string) *Commander {
	return &Commander{pool: pool, holder: holder, engines: make(map[string]*Reading)}
}

// Observe records an engine's state, unless it is older than the recorded one.
func (c *Commander) Observe(reading Reading) {
	last := c.engines[reading.ID]
	if last != nil && (reading.Incarnation < last.Incarnation || reading.At.Before(last.At)) {
		return
	}
	c.engines[reading.ID] = &reading
}

// LastReading returns the last state of an endpoint that accepts orders, or the zero
// Reading if there is none.
func (c *Commander) LastReading(id string) Reading {
	if last := c.engines[id]; last != nil {
		return *last
	}
	return Reading{}
}

// Hidden returns the model that gets no new requests at an endpoint, or an empty
// string.
func (c *Commander) Hidden(id string) string {
	return c.orderer.Hidden(id)
}

// NextStep returns when Step has to run if no event comes before. It is the zero
// time while the pool has no engine that accepts orders.
func (c *Commander) NextStep(now time.Time) time.Time {
	if len(c.engines) == 0 {
		return time.Time{}
	}
	next := c.nextStepAt
	if !c.leaseRequestInFlight && c.nextLeaseRequestAt.Before(next) {
		next = c.nextLeaseRequestAt
	}
	if next.Before(now) {
		return now
	}
	return next
}

// Step returns the actions to take now. It calls usage, which walks over the pool's
// requests, only if it needs the result.
func (c *Commander) Step(now time.Time, rules *matcher.Rules, usage func() scheduler.Usage) Actions {
	service, found := rules.Service(c.pool.GetService())
	if !found || service.Type != describer.TypeModel {
		c.nextStepAt, c.nextLeaseRequestAt = now.Add(stepInterval), now.Add(stepInterval)
		return Actions{}
	}
	var actions Actions
	if !now.Before(c.nextStepAt) {
		c.nextStepAt = now.Add(stepInterval)
		c.updateOrderer(now, service, usage())
		actions.Orders = c.orderer.Step(now)
		if retryAt := c.leaseRequestedAt.Add(leaseRetryInterval); c.orderer.NeedsPermit() && retryAt.Before(c.nextLeaseRequestAt) {
			c.nextLeaseRequestAt = retryAt // the next renewal would bring the permit too late
		}
	}
	if len(c.engines) > 0 && !c.leaseRequestInFlight && !now.Before(c.nextLeaseRequestAt) {
		c.leaseRequestInFlight, c.leaseRequestedAt = true, now
		actions.Lease = &messenger.LeaseRequest{Pool: c.pool, Holder: c.holder, Fence: c.fence}
		if c.orderer.NeedsPermit() {
			actions.Lease.WantLoads = permitsWanted
		}
	}
	return actions
}

// updateOrderer passes the wanted models, the demand and the engines' states to the
// orderer.
func (c *Commander) updateOrderer(now time.Time, service *matcher.Service, usage scheduler.Usage) {
	c.orderer.SetWants(Wants(service))
	var demands []orderer.Demand
	for _, model := range slices.Sorted(maps.Keys(usage.Models)) {
		demands = append(demands, orderer.Demand{
			Model: model, Waiting: usage.Models[model].Waiting, Running: usage.Models[model].Running,
		})
	}
	c.orderer.SetDemand(now, demands)
	for id, reading := range c.engines {
		if !now.Before(reading.Expires) || reading.Room == 0 {
			c.orderer.Remove(id)
			delete(c.engines, id)
			continue
		}
		endpoint := reading.Endpoint
		endpoint.InUse, endpoint.Busy = inUse(usage.Endpoints[id], endpoint.Loaded)
		c.orderer.Read(reading.At, endpoint)
	}
}

// inUse returns the models in use at an endpoint and the number of its running
// requests. Foreign requests, which show only in the endpoint's load, may be for any
// loaded model: they come from a previous scheduler whose routers have not enrolled
// here yet.
func inUse(usage scheduler.EndpointUsage, loaded []string) (models []string, busy int) {
	for model, count := range usage.Models {
		models = append(models, model)
		busy += count
	}
	if usage.Foreign > 0 {
		models = append(models, loaded...)
	}
	slices.Sort(models)
	return slices.Compact(models), busy + usage.Foreign
}

// Leased handles the answer to a lease request that was sent at the given time.
func (c *Commander) Leased(now, sent time.Time, answer *messenger.LeaseResponse, err error) {
	c.leaseRequestInFlight = false
	c.nextLeaseRequestAt = now.Add(leaseRetryInterval)
	if err != nil {
		return
	}
	lease := time.Duration(answer.GetLeaseMs()) * time.Millisecond
	if answer.GetFence() == 0 {
		c.fence = 0
		c.orderer.EndLease()
		c.nextLeaseRequestAt = now.Add(min(max(lease, leaseRetryInterval), maxLeasePollInterval))
		return
	}
	c.fence = answer.GetFence()
	c.orderer.SetLease(now, c.fence, sent.Add(lease))
	c.orderer.AddPermits(int(answer.GetPermits()))
	c.nextLeaseRequestAt = sent.Add(lease / leaseRenewalDivisor)
}

// Ended handles the result of an order.
func (c *Commander) Ended(now time.Time, order orderer.Order, result orderer.Result) {
	c.orderer.Ended(now, order, result)
}

// Wants reads from a service's labels how many copies of each model are wanted in
// each availability zone.
func Wants(service *matcher.Service) []orderer.Want {
	wants := make([]orderer.Want, 0, len(service.Models))
	for _, model := range service.Models {
		copies, err := strconv.Atoi(service.Labels[describer.PrefixCopies+model])
		if err != nil || copies < 1 {
			copies = 1
		}
		wants = append(wants, orderer.Want{Model: model, Copies: copies})
	}
	return wants
}
