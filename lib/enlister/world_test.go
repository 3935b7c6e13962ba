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

// open lets everybody go everywhere.
type open struct{}

func (open) Weight(string) float64                       { return 1 }
func (open) Allowed(string, string, labeler.Labels) bool { return true }
func (open) Draining(string, labeler.Labels) bool        { return false }

const (
	worldSlots    = 3
	worldEndpoint = "e1"
	worldTTL      = time.Hour
)

// flight is one call of an Enlister or of a Desk that is on its way.
type flight struct {
	from     string // router
	exchange *messenger.ExchangeRequest
	enlister *Enlister // that made the call; its router may have died since
	grant    *Call
	desk     *Desk // that made the call
}

// host is one router with its requests.
type host struct {
	enlister *Enlister
	waiting  map[uint64]bool
	running  map[uint64]bool
	granted  map[uint64]int
}

// world is routers, a scheduler, and a network that loses, repeats and delays.
type world struct {
	now     time.Time
	desk    *Desk
	hosts   map[string]*host
	flights []flight
	seq     uint64
	origin  uint64
	forgave bool // the scheduler forgot running work: slots may be used twice for a while
}

func newWorld(routers int) *world {
	w := &world{now: time.Unix(1000, 0), hosts: make(map[string]*host)}
	w.restartDesk()
	w.forgave = false
	for i := range routers {
		w.restartHost(fmt.Sprintf("r%d", i))
	}
	return w
}

func (w *world) restartDesk() {
	w.origin++
	w.desk = &Desk{Incarnation: w.origin, Pool: scheduler.New(scheduler.Options{
		Zone: "z", Service: "s", Origin: w.origin, NoEndpointAfter: time.Hour,
	})}
	w.desk.Apply(w.now, scheduler.Configured{Rules: open{}})
	w.announce()
	w.forgave = true
}

func (w *world) announce() {
	w.desk.Apply(w.now, scheduler.Announced{
		ID: worldEndpoint, Incarnation: 1, Address: netip.MustParseAddrPort("10.0.0.1:9000"),
		Models: []string{"m"}, Slots: worldSlots, TTL: worldTTL,
	})
}

func (w *world) restartHost(name string) {
	incarnation := uint64(1)
	if old := w.hosts[name]; old != nil {
		incarnation = old.enlister.Router.Incarnation + 1
	}
	w.hosts[name] = &host{
		enlister: &Enlister{Zone: "z", Service: "s", Router: scheduler.RouterID{Name: name, Incarnation: incarnation}},
		waiting:  make(map[uint64]bool), running: make(map[uint64]bool), granted: make(map[uint64]int),
	}
}

func (w *world) names() []string {
	return slices.Sorted(maps.Keys(w.hosts))
}

func (w *world) add(name string) {
	w.seq++
	w.hosts[name].waiting[w.seq] = true
	w.hosts[name].enlister.Add(w.now, scheduler.Ticket{Seq: w.seq, Workspace: "w" + name, Model: "m", Hint: 10})
}

func (h *host) finish(seq uint64, ending scheduler.Ending) {
	delete(h.waiting, seq)
	delete(h.running, seq)
	h.enlister.Finish(scheduler.Finish{Seq: seq, Charged: 10, Ending: ending})
}

func (h *host) take(outcomes []Outcome) {
	for _, outcome := range outcomes {
		if g, ok := outcome.(Granted); ok {
			h.granted[g.Seq]++
			delete(h.waiting, g.Seq)
			h.running[g.Seq] = true
		}
	}
}

// send collects the calls that are due.
func (w *world) send() {
	for _, name := range w.names() {
		if batch := w.hosts[name].enlister.Next(w.now); batch != nil {
			w.flights = append(w.flights, flight{from: name, exchange: batch, enlister: w.hosts[name].enlister})
		}
	}
	for _, call := range w.desk.Calls(w.now) {
		w.flights = append(w.flights, flight{from: call.Router.Name, grant: &call, desk: w.desk})
	}
}

// arrive lets a call reach its target, and its answer the caller unless it is lost.
func (w *world) arrive(f flight, answered bool) {
	if f.exchange != nil {
		w.arriveExchange(f, answered)
		return
	}
	h := w.hosts[f.from]
	response, outcomes := h.enlister.Grant(clone(f.grant.Request))
	h.take(outcomes)
	if answered {
		f.desk.Answered(w.now, *f.grant, response)
	} else {
		f.desk.Failed(w.now, *f.grant)
	}
}

func (w *world) arriveExchange(f flight, answered bool) {
	h := w.hosts[f.from]
	response := clone(w.desk.Exchange(w.now, clone(f.exchange)))
	if h.enlister != f.enlister {
		return
	}
	if answered {
		h.take(h.enlister.Answered(w.now, f.exchange.GetNumber(), response))
	} else {
		h.enlister.Failed(w.now, f.exchange.GetNumber())
	}
}

// lose lets a call fail without having arrived.
func (w *world) lose(f flight) {
	if f.exchange != nil {
		f.enlister.Failed(w.now, f.exchange.GetNumber())
		return
	}
	f.desk.Failed(w.now, *f.grant)
}

// clone stands for the wire: the ends share no memory.
func clone[M proto.Message](message M) M {
	return proto.Clone(message).(M)
}

func (w *world) running() int {
	sum := 0
	for _, h := range w.hosts {
		sum += len(h.running)
	}
	return sum
}

func (w *world) waiting() int {
	sum := 0
	for _, h := range w.hosts {
		sum += len(h.waiting)
	}
	return sum
}

// pick draws one call that is on its way.
func (w *world) pick(t *rapid.T) (flight, bool) {
	w.send()
	if len(w.flights) == 0 {
		return flight{}, false
	}
	at := rapid.IntRange(0, len(w.flights)-1).Draw(t, "flight")
	f := w.flights[at]
	w.flights = slices.Delete(w.flights, at, at+1)
	return f, true
}

func pickSeq(t *rapid.T, set map[uint64]bool) (uint64, bool) {
	if len(set) == 0 {
		return 0, false
	}
	seqs := slices.Sorted(maps.Keys(set))
	return seqs[rapid.IntRange(0, len(seqs)-1).Draw(t, "seq")], true
}

// settle lets everything through, finishing what runs, until nothing is left.
func (w *world) settle(steps int) {
	for range steps {
		w.now = w.now.Add(50 * time.Millisecond)
		w.bury()
		w.desk.Expire(w.now)
		w.desk.Apply(w.now, scheduler.Tick{})
		w.send()
		flights := w.flights
		w.flights = nil
		for _, f := range flights {
			w.arrive(f, true)
		}
		for _, name := range w.names() {
			for _, seq := range slices.Sorted(maps.Keys(w.hosts[name].running)) {
				w.hosts[name].finish(seq, scheduler.Done)
			}
		}
	}
}

// bury ends the sessions of routers' former lives, as the conductor does when
// the detector has found out.
func (w *world) bury() {
	for _, router := range w.desk.Routers() {
		if w.hosts[router.Name].enlister.Router != router {
			w.desk.Gone(w.now, router)
		}
	}
}

// expire lets the desk end silent sessions. In a walk a router is silent for
// as long as its calls are lost, so the scheduler may forget running work.
func (w *world) expire() {
	before := len(w.desk.Routers())
	w.desk.Expire(w.now)
	w.forgave = w.forgave || len(w.desk.Routers()) < before
}
