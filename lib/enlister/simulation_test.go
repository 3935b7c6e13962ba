package enlister

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"shallotkeel.example/lib/labeler"
	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/scheduler"
)

// allowAll is a configuration that allows every workspace at every endpoint.
type allowAll struct{}

func (allowAll) Weight(string) float64                       { return 1 }
func (allowAll) Allowed(string, string, labeler.Labels) bool { return true }
func (allowAll) Draining(string, labeler.Labels) bool        { return false }

const (
	testSlots    = 3
	testEndpoint = "e1"
	testTTL      = time.Hour
)

// pendingCall is one call of an Enlister or of a Registrar in flight.
type pendingCall struct {
	from      string // name of the router at one end of the call
	exchange  *messenger.ExchangeRequest
	enlister  *Enlister // the caller; its router may have restarted since
	grant     *Call
	registrar *Registrar // the caller
}

// simRouter is one router with the state of its requests, by Seq.
type simRouter struct {
	enlister *Enlister
	waiting  map[uint64]bool
	running  map[uint64]bool
	granted  map[uint64]int // number of grants
}

// simulation is routers, a scheduler, and a network that loses, repeats and delays
// calls.
type simulation struct {
	now         time.Time
	registrar   *Registrar
	routers     map[string]*simRouter
	calls       []pendingCall
	seq         uint64 // of the last request
	incarnation uint64 // of the scheduler
	lostRunning bool   // the scheduler lost running requests: slots may be used twice for a while
}

func newSimulation(routers int) *simulation {
	w := &simulation{now: time.Unix(1000, 0), routers: make(map[string]*simRouter)}
	w.restartRegistrar()
	w.lostRunning = false
	for i := range routers {
		w.restartRouter(fmt.Sprintf("r%d", i))
	}
	return w
}

func (w *simulation) restartRegistrar() {
	w.incarnation++
	w.registrar = &Registrar{Incarnation: w.incarnation, Pool: scheduler.New(scheduler.Options{
		Zone: "z", Service: "s", Origin: w.incarnation, NoEndpointAfter: time.Hour,
	})}
	w.registrar.Apply(w.now, scheduler.Configured{Rules: allowAll{}})
	w.announce()
	w.lostRunning = true
}

func (w *simulation) announce() {
	w.registrar.Apply(w.now, scheduler.Announced{
		ID: testEndpoint, Incarnation: 1, Address: netip.MustParseAddrPort("10.0.0.1:9000"),
		Models: []string{"m"}, Slots: testSlots, TTL: testTTL,
	})
}

func (w *simulation) restartRouter(name string) {
	incarnation := uint64(1)
	if old := w.routers[name]; old != nil {
		incarnation = old.enlister.Router.Incarnation + 1
	}
	w.routers[name] = &simRouter{
		enlister: &Enlister{Zone: "z", Service: "s", Router: scheduler.RouterID{Name: name, Incarnation: incarnation}},
		waiting:  make(map[uint64]bool), running: make(map[uint64]bool), granted: make(map[uint64]int),
	}
}

func (w *simulation) names() []string {
	return slices.Sorted(maps.Keys(w.routers))
}

func (w *simulation) add(name string) {
	w.seq++
	w.routers[name].waiting[w.seq] = true
	w.routers[name].enlister.Add(w.now, scheduler.Ticket{Seq: w.seq, Workspace: "w" + name, Model: "m", Hint: 10})
}

func (r *simRouter) finish(seq uint64, ending scheduler.Ending) {
	delete(r.waiting, seq)
	delete(r.running, seq)
	r.enlister.Finish(scheduler.Finish{Seq: seq, Charged: 10, Ending: ending})
}

func (r *simRouter) accept(outcomes []Outcome) {
	for _, outcome := range outcomes {
		if g, ok := outcome.(Granted); ok {
			r.granted[g.Seq]++
			delete(r.waiting, g.Seq)
			r.running[g.Seq] = true
		}
	}
}

// send adds the calls that the ends would send now to the pending calls.
func (w *simulation) send() {
	for _, name := range w.names() {
		if batch := w.routers[name].enlister.Next(w.now); batch != nil {
			w.calls = append(w.calls, pendingCall{from: name, exchange: batch, enlister: w.routers[name].enlister})
		}
	}
	for _, call := range w.registrar.Calls(w.now) {
		w.calls = append(w.calls, pendingCall{from: call.Router.Name, grant: &call, registrar: w.registrar})
	}
}

// arrive delivers a call to its target, and the response to the caller if answered
// is true.
func (w *simulation) arrive(f pendingCall, answered bool) {
	if f.exchange != nil {
		w.arriveExchange(f, answered)
		return
	}
	r := w.routers[f.from]
	response, outcomes := r.enlister.Grant(clone(f.grant.Request))
	r.accept(outcomes)
	if answered {
		f.registrar.Answered(w.now, *f.grant, response)
	} else {
		f.registrar.Failed(w.now, *f.grant)
	}
}

func (w *simulation) arriveExchange(f pendingCall, answered bool) {
	r := w.routers[f.from]
	response := clone(w.registrar.Exchange(w.now, clone(f.exchange)))
	if r.enlister != f.enlister {
		return
	}
	if answered {
		r.accept(r.enlister.Answered(w.now, f.exchange.GetNumber(), response))
	} else {
		r.enlister.Failed(w.now, f.exchange.GetNumber())
	}
}

// lose fails a call that has not arrived.
func (w *simulation) lose(f pendingCall) {
	if f.exchange != nil {
		f.enlister.Failed(w.now, f.exchange.GetNumber())
		return
	}
	f.registrar.Failed(w.now, *f.grant)
}

// clone copies a message as the network would: the ends share no memory.
func clone[M proto.Message](message M) M {
	return proto.Clone(message).(M)
}

func (w *simulation) running() int {
	sum := 0
	for _, r := range w.routers {
		sum += len(r.running)
	}
	return sum
}

func (w *simulation) waiting() int {
	sum := 0
	for _, r := range w.routers {
		sum += len(r.waiting)
	}
	return sum
}

// pick removes a random call from the pending ones.
func (w *simulation) pick(t *rapid.T) (pendingCall, bool) {
	w.send()
	if len(w.calls) == 0 {
		return pendingCall{}, false
	}
	at := rapid.IntRange(0, len(w.calls)-1).Draw(t, "flight")
	f := w.calls[at]
	w.calls = slices.Delete(w.calls, at, at+1)
	return f, true
}

func pickSeq(t *rapid.T, set map[uint64]bool) (uint64, bool) {
	if len(set) == 0 {
		return 0, false
	}
	seqs := slices.Sorted(maps.Keys(set))
	return seqs[rapid.IntRange(0, len(seqs)-1).Draw(t, "seq")], true
}

// runToCompletion delivers every call and finishes every running request, for a
// number of steps of 50 ms.
func (w *simulation) runToCompletion(steps int) {
	for range steps {
		w.now = w.now.Add(50 * time.Millisecond)
		w.endStaleSessions()
		w.registrar.Expire(w.now)
		w.registrar.Apply(w.now, scheduler.Tick{})
		w.send()
		flights := w.calls
		w.calls = nil
		for _, f := range flights {
			w.arrive(f, true)
		}
		for _, name := range w.names() {
			for _, seq := range slices.Sorted(maps.Keys(w.routers[name].running)) {
				w.routers[name].finish(seq, scheduler.Done)
			}
		}
	}
}

// endStaleSessions ends the sessions of former router incarnations, as the coordinator
// does after the detector has found out.
func (w *simulation) endStaleSessions() {
	for _, router := range w.registrar.Routers() {
		if w.routers[router.Name].enlister.Router != router {
			w.registrar.RouterGone(w.now, router)
		}
	}
}

// expireSessions makes the registrar end silent sessions. In a random walk a router is
// silent while its calls are lost, so the scheduler may drop running requests.
func (w *simulation) expireSessions() {
	before := len(w.registrar.Routers())
	w.registrar.Expire(w.now)
	w.lostRunning = w.lostRunning || len(w.registrar.Routers()) < before
}
