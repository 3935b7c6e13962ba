// Package orderer decides which engines of a pool load and unload which
// models, and sends the orders under a lease with a fencing number.
//
// An Orderer is a pure state machine at the scheduler of a pool. What is wanted
// comes from labels (which models a service offers and in how many copies) and
// from demand; what is there comes from the endpoints' announcements, which
// read their state back. Every Step compares the two and yields the orders that
// bring them closer.
//
// Invariants:
//   - no order leaves unless the lease outlasts the order's own timeout, so that
//     an order that is still on its way when the lease ends has timed out;
//   - an endpoint that ignores fencing numbers gets no order before an order of
//     the former leaseholder has timed out and its state was read back after
//     that: otherwise two leaseholders' orders mix, which one would notice by a
//     model that appears and vanishes again;
//   - a model is unloaded only where it is not in use, after its endpoint has
//     been hidden from new work of that model, and never below the wanted
//     copies;
//   - one order at a time is in flight to an endpoint, and at most MaxLoading
//     endpoints of a pool load at once, because an engine that loads serves
//     slower; loads are paced by permits, which the weight store's rate gives;
//   - an endpoint's state is read back before the first order of a lease, and a
//     load whose answer was lost counts as under way until it is read back or
//     its time is over.
package orderer

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// Kind is what an order asks of an engine.
type Kind string

// The kinds of order, as the engines' interface names them.
const (
	Load   Kind = "load"
	Unload Kind = "unload"
)

// Limits and times.
const (
	// OrderTimeout is how long the host waits for an order's answer.
	OrderTimeout = 5 * time.Second
	// MaxLoading is how many endpoints of a pool load at once.
	MaxLoading = 1
	// surplusAfter is how long a copy beyond the wanted ones must be without
	// demand before it may make room. It keeps models from being swapped back
	// and forth when demand alternates.
	surplusAfter = time.Minute
	// loadTimeout is how long a load may take until it counts as failed.
	loadTimeout = 10 * time.Minute
	// doubtTimeout is the same for a load whose answer was lost: it may never
	// have reached the engine.
	doubtTimeout = time.Minute
)

// Want says in how many copies a model is wanted in this pool at least.
type Want struct {
	Model  string
	Copies int
}

// Demand is the work for a model in this pool.
type Demand struct {
	Model   string
	Waiting int
	Running int
}

// Endpoint is an engine as it announced itself.
type Endpoint struct {
	ID          string
	Incarnation uint64
	Address     netip.AddrPort
	// Fenced says that it refuses orders with an old fencing number.
	Fenced bool
	// Room is how many models fit; 0 for an endpoint that takes no orders.
	Room   int
	Loaded []string
	// InUse are the models with a request running there.
	InUse []string
	Busy  int // requests running there
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

// Result is how an order ended.
type Result uint8

// The results of an order.
const (
	Accepted Result = iota + 1
	// Outdated: the endpoint has seen a higher fencing number. The lease is not
	// ours any more, whatever we believe.
	Outdated
	// Unknown: no answer came.
	Unknown
)

// Orderer plans for one pool. The zero value is ready to use and holds no
// lease.
type Orderer struct {
	wants     []Want
	demand    map[string]Demand
	idleSince map[string]time.Time // by model: since when it has had no demand
	endpoints map[string]*engine
	fence     uint64
	granted   time.Time
	until     time.Time
	permits   int
	lacking   bool // a load had to wait for a permit in the last Step
}

// engine is an endpoint with what was ordered there.
type engine struct {
	Endpoint
	readAt   time.Time
	inFlight *Order
	sentAt   time.Time
	loading  string // model whose load was accepted and is not yet read back
	loadBy   time.Time
	hidden   string // model that gets no new work here, because it is to be unloaded
	hiddenAt time.Time
}

// Leased says that this orderer holds the lease with this fencing number until
// that time. A renewal has the same number.
func (o *Orderer) Leased(now time.Time, fence uint64, until time.Time) {
	if fence < o.fence {
		return
	}
	if fence > o.fence {
		o.fence = fence
		o.granted = now
	}
	o.until = until
}

// Lost says that the lease is over.
func (o *Orderer) Lost() {
	o.until = time.Time{}
}

// Permit allows this many more loads.
func (o *Orderer) Permit(loads int) {
	o.permits += max(0, loads)
}

// Want sets the wanted copies.
func (o *Orderer) Want(wants []Want) {
	o.wants = slices.Clone(wants)
	slices.SortFunc(o.wants, func(a, b Want) int { return cmp.Compare(a.Model, b.Model) })
}

// Demanded sets the demand for all models.
func (o *Orderer) Demanded(now time.Time, demands []Demand) {
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

// Read takes in what an endpoint told of itself at that time. What is older
// than what is known changes nothing.
func (o *Orderer) Read(now time.Time, told Endpoint) {
	if o.endpoints == nil {
		o.endpoints = make(map[string]*engine)
	}
	known := o.endpoints[told.ID]
	if known != nil && (told.Incarnation < known.Incarnation || now.Before(known.readAt)) {
		return
	}
	if known == nil || known.Incarnation != told.Incarnation {
		known = known.reborn()
		o.endpoints[told.ID] = known
	}
	known.Endpoint = told
	known.readAt = now
	if known.loading != "" && (slices.Contains(told.Loaded, known.loading) || now.After(known.loadBy)) {
		known.loading = ""
	}
	if known.hidden != "" && !slices.Contains(told.Loaded, known.hidden) {
		known.hidden = ""
	}
}

// reborn is an engine of which nothing is known but the order to its former
// life: that one may still arrive, at the same address.
func (e *engine) reborn() *engine {
	if e == nil {
		return &engine{}
	}
	return &engine{inFlight: e.inFlight, sentAt: e.sentAt}
}

// Gone forgets an endpoint, unless an order to it is in flight: it would get a
// second one beside that if it came back at once. The host tells it again.
func (o *Orderer) Gone(id string) {
	if known := o.endpoints[id]; known != nil && known.inFlight == nil {
		delete(o.endpoints, id)
	}
}

// Hidden is the model that gets no new work at an endpoint, empty if none.
func (o *Orderer) Hidden(id string) string {
	if known := o.endpoints[id]; known != nil {
		return known.hidden
	}
	return ""
}

// Ended takes the result of an order in.
func (o *Orderer) Ended(now time.Time, order Order, result Result) {
	known := o.endpoints[order.Endpoint]
	if known == nil || known.inFlight == nil || *known.inFlight != order {
		return
	}
	known.inFlight = nil
	switch result {
	case Accepted:
		known.expect(order, now.Add(loadTimeout))
	case Outdated:
		o.Lost()
	case Unknown:
		known.expect(order, now.Add(doubtTimeout))
	}
}

// expect remembers a load until it is read back or its time is over.
func (e *engine) expect(order Order, by time.Time) {
	if order.Kind == Load {
		e.loading, e.loadBy = order.Model, by
	}
}

// Lacking tells whether a load waited for a permit in the last Step.
func (o *Orderer) Lacking() bool {
	return o.lacking
}

// Step returns the orders to send now. The host sends each and calls Ended.
func (o *Orderer) Step(now time.Time) []Order {
	o.lacking = false
	if !o.holds(now) {
		o.show()
		return nil
	}
	var orders []Order
	for _, want := range o.byNeed() {
		if order, found := o.load(now, want); found {
			orders = append(orders, order)
		}
	}
	return append(orders, o.unloads(now)...)
}

// show ends the hiding of models that cannot be unloaded without a lease. They
// would stay idle, however much work waits for them, until the keepers are
// reached again.
func (o *Orderer) show() {
	for _, e := range o.endpoints {
		if e.inFlight == nil {
			e.hidden = ""
		}
	}
}

// holds tells whether an order sent now would have ended before the lease does.
func (o *Orderer) holds(now time.Time) bool {
	return now.Add(OrderTimeout).Before(o.until)
}

// ready tells whether an endpoint may get an order.
func (o *Orderer) ready(now time.Time, e *engine) bool {
	if e.Room == 0 || e.inFlight != nil || e.loading != "" {
		return false
	}
	settled := o.granted
	if !e.Fenced {
		// It would obey the former leaseholder's last order, so that one must
		// have timed out, and what it did must have been read back.
		settled = settled.Add(OrderTimeout)
	}
	return !now.Before(settled) && !e.readAt.Before(settled)
}

// need is a model that lacks copies.
type need struct {
	model   string
	missing int  // below the wanted copies
	pressed bool // requests wait although all wanted copies are there
}

// byNeed lists the models that should get a copy, the most needed first.
func (o *Orderer) byNeed() []need {
	var needs []need
	for _, want := range o.wants {
		have := o.copies(want.Model)
		demand := o.demand[want.Model]
		candidate := need{model: want.Model, missing: max(0, want.Copies-have)}
		candidate.pressed = candidate.missing == 0 && demand.Waiting > demand.Running
		if candidate.missing > 0 || candidate.pressed {
			needs = append(needs, candidate)
		}
	}
	slices.SortStableFunc(needs, func(a, b need) int {
		return cmp.Or(cmp.Compare(b.missing, a.missing), cmp.Compare(o.demand[b.model].Waiting, o.demand[a.model].Waiting))
	})
	return needs
}

// copies counts where a model is, or is about to be, and stays.
func (o *Orderer) copies(model string) int {
	count := 0
	for _, e := range o.endpoints {
		if e.has(model) && e.hidden != model {
			count++
		}
	}
	return count
}

func (e *engine) has(model string) bool {
	ordered := e.inFlight != nil && e.inFlight.Kind == Load && e.inFlight.Model == model
	return ordered || e.loading == model || slices.Contains(e.Loaded, model)
}

// load orders a load where there is room, on the least busy endpoint, or makes
// room by hiding a model that can be spared.
func (o *Orderer) load(now time.Time, wanted need) (Order, bool) {
	if o.loadingNow() >= MaxLoading {
		return Order{}, false
	}
	for _, e := range o.byBusy() {
		if !o.ready(now, e) || e.has(wanted.model) || len(e.Loaded) >= e.Room {
			continue
		}
		if o.permits == 0 {
			o.lacking = true
			return Order{}, false
		}
		o.permits--
		return o.send(now, e, Load, wanted.model), true
	}
	if o.hiding() {
		return Order{}, false
	}
	for _, e := range o.byBusy() {
		if !o.ready(now, e) || e.has(wanted.model) {
			continue
		}
		if spare := o.spare(now, e); spare != "" {
			e.hidden, e.hiddenAt = spare, now
			return Order{}, false
		}
	}
	return Order{}, false
}

// spare is a model at the endpoint that is there in more copies than wanted and
// has had no demand for long, empty if there is none.
func (o *Orderer) spare(now time.Time, e *engine) string {
	for _, model := range slices.Sorted(slices.Values(e.Loaded)) {
		idle, known := o.idleSince[model]
		wanted, offered := o.wanted(model)
		if !offered || (o.copies(model) > wanted && known && now.Sub(idle) >= surplusAfter) {
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

// unloads orders the hidden models out where nothing uses them any more, and
// shows those again that have come to be needed meanwhile.
func (o *Orderer) unloads(now time.Time) []Order {
	var orders []Order
	for _, e := range o.byBusy() {
		if e.hidden == "" || !o.ready(now, e) {
			continue
		}
		if wanted, _ := o.wanted(e.hidden); o.copies(e.hidden) < wanted {
			e.hidden = ""
			continue
		}
		// What ran before the model was hidden must have been read as ended.
		quiet := e.readAt.After(e.hiddenAt) && !slices.Contains(e.InUse, e.hidden)
		if quiet && e.readAt.After(e.sentAt) {
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

func (o *Orderer) loadingNow() int {
	count := 0
	for _, e := range o.endpoints {
		if e.loading != "" || (e.inFlight != nil && e.inFlight.Kind == Load) {
			count++
		}
	}
	return count
}

func (o *Orderer) hiding() bool {
	for _, e := range o.endpoints {
		if e.hidden != "" {
			return true
		}
	}
	return false
}

// byBusy lists the endpoints, the least busy first.
func (o *Orderer) byBusy() []*engine {
	list := make([]*engine, 0, len(o.endpoints))
	for _, e := range o.endpoints {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b *engine) int {
		return cmp.Or(cmp.Compare(a.Busy, b.Busy), cmp.Compare(a.ID, b.ID))
	})
	return list
}
