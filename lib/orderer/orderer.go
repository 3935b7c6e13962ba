// Package orderer decides which engines of a pool load and unload which models, and
// returns the orders under a lease with a fencing number.
//
// An Orderer is a pure state machine at the scheduler of a pool. The wanted state
// comes from labels (which models a service offers and in how many copies) and from
// demand; the actual state comes from the endpoints' announcements, which read it
// back. Every Step compares the two and returns the orders that reduce the
// difference.
//
// Invariants:
//   - no order is sent unless the lease outlasts the order's own timeout, so that
//     an order still in flight when the lease ends has timed out;
//   - an endpoint that ignores fencing numbers gets no order until an order of the
//     former leaseholder must have timed out and the endpoint's state was read
//     back after that: otherwise the orders of two leaseholders mix, and a model
//     appears and disappears again;
//   - a model is unloaded only where it is not in use, after it was hidden from
//     new requests at that endpoint, and never below the wanted number of copies;
//   - one order at a time is in flight to an endpoint, and at most MaxLoading
//     endpoints of a pool load at once, because an engine that loads serves more
//     slowly; loads are paced by permits, which follow the transfer rate of the
//     weight store;
//   - an endpoint's state is read back before the first order of a lease, and a
//     load whose answer was lost counts as in progress until it is read back or
//     times out.
package orderer

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// Kind is what an order asks an engine to do.
type Kind string

// The kinds of order, named as in the engines' interface.
const (
	Load   Kind = "load"
	Unload Kind = "unload"
)

// Limits and times.
const (
	// OrderTimeout is how long the host waits for the answer to an order.
	OrderTimeout = 5 * time.Second
	// MaxLoading is how many endpoints of a pool may load at once.
	MaxLoading = 1
	// surplusIdleTime is how long a surplus copy must be without demand before it
	// may be unloaded for another model. It keeps models from being swapped back and
	// forth when demand alternates.
	surplusIdleTime = time.Minute
	// loadTimeout is how long a load may take until it counts as failed.
	loadTimeout = 10 * time.Minute
	// unconfirmedLoadTimeout is the timeout of a load whose answer was lost: the
	// order may never have reached the engine.
	unconfirmedLoadTimeout = time.Minute
)

// Want is the minimum number of copies of a model in this pool.
type Want struct {
	Model  string
	Copies int
}

// Demand is the number of requests for a model in this pool.
type Demand struct {
	Model   string
	Waiting int
	Running int
}

// Endpoint is the state of an engine as it announced it.
type Endpoint struct {
	ID          string
	Incarnation uint64
	Address     netip.AddrPort
	// Fenced is set if the engine refuses orders with an old fencing number.
	Fenced bool
	// Room is how many models fit; 0 for an endpoint that accepts no orders.
	Room   int
	Loaded []string
	// InUse are the models for which requests run at the endpoint.
	InUse []string
	Busy  int // number of requests running at the endpoint
}

// Order is one order to one endpoint.
type Order struct {
	Endpoint    string
	Incarnation uint64
	Address     netip.AddrPort
	Kind        Kind
	Model       string
	Fence       uint64
}

// Result is the result of an order.
type Result uint8

// The results of an order.
const (
	Accepted Result = iota + 1
	// Outdated: the endpoint has seen a higher fencing number. The lease has passed
	// to another holder, even if it has not expired here.
	Outdated
	// Unknown: no answer arrived, or it was neither of the above.
	Unknown
)

// Orderer decides the orders of one pool. The zero value is ready to use and holds
// no lease.
type Orderer struct {
	wants       []Want
	demand      map[string]Demand
	idleSince   map[string]time.Time // start of the time without demand, by model
	endpoints   map[string]*engine
	fence       uint64
	leasedSince time.Time
	leasedUntil time.Time
	permits     int
	needsPermit bool // a load had to wait for a permit in the last Step
}

// engine is an endpoint and the state of the orders to it.
type engine struct {
	Endpoint
	readAt       time.Time
	inFlight     *Order
	sentAt       time.Time
	loading      string // model whose load was accepted and is not yet read back
	loadDeadline time.Time
	hidden       string // model that gets no new requests here, because it is to be unloaded
	hiddenAt     time.Time
	removed      bool // it is dropped once the order in flight has ended
}

// SetLease records that this orderer holds the lease with this fencing number until
// the given time. A renewal has the same number; a lower number is ignored.
func (o *Orderer) SetLease(now time.Time, fence uint64, until time.Time) {
	if fence < o.fence {
		return
	}
	if fence > o.fence {
		o.fence = fence
		o.leasedSince = now
	}
	o.leasedUntil = until
}

// EndLease records that the lease has ended.
func (o *Orderer) EndLease() {
	o.leasedUntil = time.Time{}
}

// AddPermits adds permits, one of which each load order takes.
func (o *Orderer) AddPermits(loads int) {
	o.permits += max(0, loads)
}

// SetWants sets the wanted number of copies of the models.
func (o *Orderer) SetWants(wants []Want) {
	o.wants = slices.Clone(wants)
	slices.SortFunc(o.wants, func(a, b Want) int { return cmp.Compare(a.Model, b.Model) })
}

// SetDemand sets the demand for all models and tracks since when each wanted model
// has been without demand.
func (o *Orderer) SetDemand(now time.Time, demands []Demand) {
	if o.idleSince == nil {
		o.idleSince = make(map[string]time.Time)
	}
	o.demand = make(map[string]Demand, len(demands))
	for _, demand := range demands {
		o.demand[demand.Model] = demand
	}
	for _, want := range o.wants {
		busy := o.demand[want.Model].Waiting+o.demand[want.Model].Running > 0
		if _, idle := o.idleSince[want.Model]; busy {
			delete(o.idleSince, want.Model)
		} else if !idle {
			o.idleSince[want.Model] = now
		}
	}
}

// Read records the state of an endpoint as it was at the given time. A state of an
// older incarnation, or from before the last reading, is ignored.
func (o *Orderer) Read(readAt time.Time, endpoint Endpoint) {
	if o.endpoints == nil {
		o.endpoints = make(map[string]*engine)
	}
	known := o.endpoints[endpoint.ID]
	if known != nil && (endpoint.Incarnation < known.Incarnation || readAt.Before(known.readAt)) {
		return
	}
	if known == nil || known.Incarnation != endpoint.Incarnation {
		known = known.successor()
		o.endpoints[endpoint.ID] = known
	}
	known.Endpoint = endpoint
	known.readAt, known.removed = readAt, false
	if known.loading != "" && (slices.Contains(endpoint.Loaded, known.loading) || readAt.After(known.loadDeadline)) {
		known.loading = ""
	}
	if known.hidden != "" && !slices.Contains(endpoint.Loaded, known.hidden) {
		known.hidden = ""
	}
}

// successor returns the next incarnation of an engine. It keeps only the order in
// flight to the former incarnation, which may still arrive at the same address.
func (e *engine) successor() *engine {
	if e == nil {
		return &engine{}
	}
	return &engine{inFlight: e.inFlight, sentAt: e.sentAt}
}

// Remove drops an endpoint, after the end of an order that is in flight to it: if the
// endpoint came back at once, it would get a second order at the same time. Without
// the drop, a load that no announcement confirms any more would keep the pool from
// further loads.
func (o *Orderer) Remove(id string) {
	known := o.endpoints[id]
	switch {
	case known == nil:
	case known.inFlight != nil:
		known.removed = true
	default:
		delete(o.endpoints, id)
	}
}

// Hidden returns the model that gets no new requests at an endpoint, or an empty
// string.
func (o *Orderer) Hidden(id string) string {
	if known := o.endpoints[id]; known != nil {
		return known.hidden
	}
	return ""
}

// Ended handles the result of an order.
func (o *Orderer) Ended(now time.Time, order Order, result Result) {
	known := o.endpoints[order.Endpoint]
	if known == nil || known.inFlight == nil || *known.inFlight != order {
		return
	}
	known.inFlight = nil
	if known.removed {
		delete(o.endpoints, order.Endpoint)
	}
	switch result {
	case Accepted:
		known.expectLoad(order, now.Add(loadTimeout))
	case Outdated:
		o.EndLease()
	case Unknown:
		known.expectLoad(order, now.Add(unconfirmedLoadTimeout))
	}
}

// expectLoad records that a load is in progress until it is read back or the
// deadline passes.
func (e *engine) expectLoad(order Order, deadline time.Time) {
	if order.Kind == Load {
		e.loading, e.loadDeadline = order.Model, deadline
	}
}

// NeedsPermit reports whether a load waited for a permit in the last Step.
func (o *Orderer) NeedsPermit() bool {
	return o.needsPermit
}

// Step returns the orders to send now. The host sends each and calls Ended with its
// result.
func (o *Orderer) Step(now time.Time) []Order {
	o.needsPermit = false
	if !o.leaseCoversOrder(now) {
		o.unhideModels()
		return nil
	}
	var orders []Order
	for _, want := range o.shortages() {
		if order, found := o.load(now, want); found {
			orders = append(orders, order)
		}
	}
	return append(orders, o.unloads(now)...)
}

// unhideModels makes hidden models available again when there is no lease to unload
// them. Otherwise they would stay idle, however many requests wait for them, until
// the keepers are reached again.
func (o *Orderer) unhideModels() {
	for _, e := range o.endpoints {
		if e.inFlight == nil {
			e.hidden = ""
		}
	}
}

// leaseCoversOrder reports whether an order sent now would time out before the lease
// ends.
func (o *Orderer) leaseCoversOrder(now time.Time) bool {
	return now.Add(OrderTimeout).Before(o.leasedUntil)
}

// ready reports whether an endpoint may get an order.
func (o *Orderer) ready(now time.Time, e *engine) bool {
	if e.Room == 0 || e.inFlight != nil || e.loading != "" {
		return false
	}
	safeAfter := o.leasedSince
	if !e.Fenced {
		// The endpoint would obey the former leaseholder's last order, so that order
		// must have timed out, and its effect must have been read back.
		safeAfter = safeAfter.Add(OrderTimeout)
	}
	return !now.Before(safeAfter) && !e.readAt.Before(safeAfter)
}

// shortage is a model that should get another copy.
type shortage struct {
	model      string
	missing    int  // number of missing copies
	backlogged bool // more requests wait than run, although all wanted copies exist
}

// shortages lists the models that should get another copy, the largest shortage
// first.
func (o *Orderer) shortages() []shortage {
	var needs []shortage
	for _, want := range o.wants {
		current := o.copies(want.Model)
		demand := o.demand[want.Model]
		candidate := shortage{model: want.Model, missing: max(0, want.Copies-current)}
		candidate.backlogged = candidate.missing == 0 && demand.Waiting > demand.Running
		if candidate.missing > 0 || candidate.backlogged {
			needs = append(needs, candidate)
		}
	}
	slices.SortStableFunc(needs, func(a, b shortage) int {
		return cmp.Or(cmp.Compare(b.missing, a.missing), cmp.Compare(o.demand[b.model].Waiting, o.demand[a.model].Waiting))
	})
	return needs
}

// copies counts the endpoints at which a model is loaded, or about to be, and is not
// hidden.
func (o *Orderer) copies(model string) int {
	count := 0
	for _, e := range o.endpoints {
		if e.has(model) && e.hidden != model {
			count++
		}
	}
	return count
}

// has reports whether a model is loaded, is loading, or was ordered to be loaded.
func (e *engine) has(model string) bool {
	ordered := e.inFlight != nil && e.inFlight.Kind == Load && e.inFlight.Model == model
	return ordered || e.loading == model || slices.Contains(e.Loaded, model)
}

// load returns an order to load a model on the endpoint with the fewest running
// requests that has room. If none has room, it hides a surplus model, to be unloaded
// in a later step.
func (o *Orderer) load(now time.Time, wanted shortage) (Order, bool) {
	if o.loadingEndpoints() >= MaxLoading {
		return Order{}, false
	}
	for _, e := range o.byRunningRequests() {
		if !o.ready(now, e) || e.has(wanted.model) || len(e.Loaded) >= e.Room {
			continue
		}
		if o.permits == 0 {
			o.needsPermit = true
			return Order{}, false
		}
		o.permits--
		return o.send(now, e, Load, wanted.model), true
	}
	if o.hidesModel() {
		return Order{}, false
	}
	for _, e := range o.byRunningRequests() {
		if !o.ready(now, e) || e.has(wanted.model) {
			continue
		}
		if surplus := o.surplusModel(now, e); surplus != "" {
			e.hidden, e.hiddenAt = surplus, now
			return Order{}, false
		}
	}
	return Order{}, false
}

// surplusModel returns a model at the endpoint that the service no longer offers, or
// that has more copies than wanted and has been without demand for surplusIdleTime;
// an empty string if there is none.
func (o *Orderer) surplusModel(now time.Time, e *engine) string {
	for _, model := range slices.Sorted(slices.Values(e.Loaded)) {
		idle, known := o.idleSince[model]
		wanted, offered := o.wanted(model)
		if !offered || (o.copies(model) > wanted && known && now.Sub(idle) >= surplusIdleTime) {
			return model
		}
	}
	return ""
}

func (o *Orderer) wanted(model string) (copies int, offered bool) {
	for _, want := range o.wants {
		if want.Model == model {
			return want.Copies, true
		}
	}
	return 0, false
}

// unloads returns orders to unload the hidden models that are no longer in use, and
// unhides those that are needed again.
func (o *Orderer) unloads(now time.Time) []Order {
	var orders []Order
	for _, e := range o.byRunningRequests() {
		if e.hidden == "" || !o.ready(now, e) {
			continue
		}
		if wanted, _ := o.wanted(e.hidden); o.copies(e.hidden) < wanted {
			e.hidden = ""
			continue
		}
		// Requests that ran before the model was hidden must have been read as
		// ended.
		unused := e.readAt.After(e.hiddenAt) && !slices.Contains(e.InUse, e.hidden)
		if unused && e.readAt.After(e.sentAt) {
			orders = append(orders, o.send(now, e, Unload, e.hidden))
		}
	}
	return orders
}

func (o *Orderer) send(now time.Time, e *engine, kind Kind, model string) Order {
	order := Order{
		Endpoint: e.ID, Incarnation: e.Incarnation, Address: e.Address,
		Kind: kind, Model: model, Fence: o.fence,
	}
	e.inFlight = &order
	e.sentAt = now
	return order
}

func (o *Orderer) loadingEndpoints() int {
	count := 0
	for _, e := range o.endpoints {
		if e.loading != "" || (e.inFlight != nil && e.inFlight.Kind == Load) {
			count++
		}
	}
	return count
}

// hidesModel reports whether a model is hidden at any endpoint. At most one surplus
// model of a pool is hidden at a time.
func (o *Orderer) hidesModel() bool {
	for _, e := range o.endpoints {
		if e.hidden != "" {
			return true
		}
	}
	return false
}

// byRunningRequests lists the endpoints, the least busy first.
func (o *Orderer) byRunningRequests() []*engine {
	list := make([]*engine, 0, len(o.endpoints))
	for _, e := range o.endpoints {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b *engine) int {
		return cmp.Or(cmp.Compare(a.Busy, b.Busy), cmp.Compare(a.ID, b.ID))
	})
	return list
}
