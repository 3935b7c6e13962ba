// Package commander orders the engines of one pool to load and unload models:
// it gets the pool's lease from the keepers, tells an orderer what there is and
// what is wanted, and sends its orders.
//
// A Commander is a pure state machine at the host of the pool's scheduler; a
// Sender carries its orders.
//
// Invariants: the lease is counted from when it was asked for; one request for
// it is in flight at a time; a state that was read counts from when the engine
// told it at the latest; an endpoint without room gets no order.
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
	// stepEvery is the time between two looks at what is wanted and there.
	stepEvery = time.Second
	// retryAfter is the least time between two requests for the lease, whether no
	// answer came or no permit.
	retryAfter = time.Second
	// askAtLeast is how often a lease that another one holds is asked for.
	askAtLeast = 5 * time.Second
	// renewShare is the part of a lease after which it is renewed.
	renewShare = 3
	// permitsWanted is how many loads are asked for at once: one is ordered at a
	// time.
	permitsWanted = 1
)

// Leaser gives pools' leases: the keepers.
type Leaser interface {
	Lease(ctx context.Context, request *messenger.LeaseRequest) (*messenger.LeaseResponse, error)
}

// Sender carries an order to its endpoint before the context ends.
type Sender interface {
	Send(ctx context.Context, order orderer.Order) orderer.Result
}

// Reading is what an engine told of itself.
type Reading struct {
	orderer.Endpoint
	At      time.Time // not after the engine told it
	Expires time.Time // when its announcement is over
}

// Actions are what the host has to do now.
type Actions struct {
	Lease  *messenger.LeaseRequest // to be answered by Leased, nil if there is none
	Orders []orderer.Order         // each to be answered by Ended
}

// Commander orders one pool's engines. It is not safe for concurrent use.
type Commander struct {
	pool    *messenger.Pool
	holder  string
	orderer orderer.Orderer
	engines map[string]*Reading
	fence   uint64
	asking  bool
	askedAt time.Time
	askAt   time.Time
	stepAt  time.Time
}

// New returns a commander for a pool. The holder's name is unique to this life
// of the pool's scheduler: its successor at the same router knows nothing of
// the orders that are still in flight, and so must wait for the lease.
func New(pool *messenger.Pool, holder string) *Commander {
	return &Commander{pool: pool, holder: holder, engines: make(map[string]*Reading)}
}

// Heard takes in what an engine told of itself.
func (c *Commander) Heard(reading Reading) {
	known := c.engines[reading.ID]
	if known != nil && (reading.Incarnation < known.Incarnation || reading.At.Before(known.At)) {
		return
	}
	c.engines[reading.ID] = &reading
}

// Known returns what was last heard of an endpoint that takes orders.
func (c *Commander) Known(id string) Reading {
	if known := c.engines[id]; known != nil {
		return *known
	}
	return Reading{}
}

// Hidden is the model that gets no new work at an endpoint, empty if none.
func (c *Commander) Hidden(id string) string {
	return c.orderer.Hidden(id)
}

// Due is when Step has something to do if nothing else happens; the zero time
// while the pool has no engine that takes orders.
func (c *Commander) Due(now time.Time) time.Time {
	if len(c.engines) == 0 {
		return time.Time{}
	}
	due := c.stepAt
	if !c.asking && c.askAt.Before(due) {
		due = c.askAt
	}
	if due.Before(now) {
		return now
	}
	return due
}

// Step returns what to do now. Work is asked for what waits and runs, which
// costs a walk over the pool, only if it is needed.
func (c *Commander) Step(now time.Time, rules *matcher.Rules, work func() scheduler.Usage) Actions {
	service, found := rules.Service(c.pool.GetService())
	if !found || service.Type != describer.TypeModel {
		c.stepAt, c.askAt = now.Add(stepEvery), now.Add(stepEvery)
		return Actions{}
	}
	var actions Actions
	if !now.Before(c.stepAt) {
		c.stepAt = now.Add(stepEvery)
		c.look(now, service, work())
		actions.Orders = c.orderer.Step(now)
		if again := c.askedAt.Add(retryAfter); c.orderer.Lacking() && again.Before(c.askAt) {
			c.askAt = again // the next renewal would be late for a permit
		}
	}
	if len(c.engines) > 0 && !c.asking && !now.Before(c.askAt) {
		c.asking, c.askedAt = true, now
		actions.Lease = &messenger.LeaseRequest{Pool: c.pool, Holder: c.holder, Fence: c.fence}
		if c.orderer.Lacking() {
			actions.Lease.WantLoads = permitsWanted
		}
	}
	return actions
}

// look tells the orderer what is wanted and what is there.
func (c *Commander) look(now time.Time, service *matcher.Service, usage scheduler.Usage) {
	c.orderer.Want(Wants(service))
	var demands []orderer.Demand
	for _, model := range slices.Sorted(maps.Keys(usage.Models)) {
		demands = append(demands, orderer.Demand{
			Model: model, Waiting: usage.Models[model].Waiting, Running: usage.Models[model].Running,
		})
	}
	c.orderer.Demanded(now, demands)
	for id, reading := range c.engines {
		if !now.Before(reading.Expires) || reading.Room == 0 {
			c.orderer.Gone(id)
			delete(c.engines, id)
			continue
		}
		endpoint := reading.Endpoint
		endpoint.InUse, endpoint.Busy = inUse(usage.Endpoints[id], endpoint.Loaded)
		c.orderer.Read(reading.At, endpoint)
	}
}

// inUse lists the models in use at an endpoint. Requests of which only the
// endpoint's load tells may be for any model: those of a former scheduler whose
// routers have not come yet.
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

// Leased takes in the answer to a request for the lease that was sent then.
func (c *Commander) Leased(now, sent time.Time, answer *messenger.LeaseResponse, err error) {
	c.asking = false
	c.askAt = now.Add(retryAfter)
	if err != nil {
		return
	}
	lease := time.Duration(answer.GetLeaseMs()) * time.Millisecond
	if answer.GetFence() == 0 {
		c.fence = 0
		c.orderer.Lost()
		c.askAt = now.Add(min(max(lease, retryAfter), askAtLeast))
		return
	}
	c.fence = answer.GetFence()
	c.orderer.Leased(now, c.fence, sent.Add(lease))
	c.orderer.Permit(int(answer.GetPermits()))
	c.askAt = sent.Add(lease / renewShare)
}

// Ended takes in how an order ended.
func (c *Commander) Ended(now time.Time, order orderer.Order, result orderer.Result) {
	c.orderer.Ended(now, order, result)
}

// Wants reads from a service's labels which models are wanted in how many
// copies in each availability zone.
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
