package soaker

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"shallotkeel.example/platform"
	"shallotkeel.example/platform/player"
)

const (
	healthPath    = "/health"
	endpointSlots = 24
	hangTime      = 6 * time.Second
	idleTime      = 20 * time.Second
	maxQueryText  = 512 // bytes of a body, without what makes an upload long
)

// pool is what endpoints share.
type pool struct {
	fleet  *fleet
	record *record
	ledger *ledger
	seed   uint64
	faulty atomic.Int64 // percent of the answers that meet a fault
	number atomic.Int64
	// resuming means that endpoints go on with streams as they are asked.
	resuming bool
	// crash is called when an endpoint runs the request that crashes it.
	crash func(e *endpoint)
}

// endpoint is one incarnation of an endpoint.
type endpoint struct {
	pool                       *pool
	service, id, zone, version string
	address                    string
	listener                   net.Listener
	sequence                   atomic.Uint64
	leaving, gone              atomic.Bool
	acknowledged               atomic.Pointer[acknowledgement] // of its leaving
	hearing, talking           gate                            // requests in, answers out
	stopBeats                  context.CancelFunc

	lock   sync.Mutex
	conns  map[net.Conn]*send // what each connection answers, nil if it waits
	closed bool
}

// gate holds bytes back until a time.
type gate struct{ until atomic.Int64 }

func (g *gate) shut(length time.Duration) { g.until.Store(time.Now().Add(length).UnixNano()) }

func (g *gate) wait() {
	for left := g.until.Load() - time.Now().UnixNano(); left > 0; left = g.until.Load() - time.Now().UnixNano() {
		time.Sleep(time.Duration(left))
	}
}

// gated is a connection through both gates of an endpoint.
type gated struct {
	*net.TCPConn
	in, out *gate
	heard   time.Time // when the latest bytes arrived, before the gate
}

func (c *gated) Read(buffer []byte) (int, error) {
	n, err := c.TCPConn.Read(buffer)
	c.heard = time.Now()
	c.in.wait()
	return n, err
}

func (c *gated) Write(text []byte) (int, error) {
	c.out.wait()
	return c.TCPConn.Write(text)
}

// start starts an endpoint at an address, or at one of its own if address is empty.
func (p *pool) start(ctx context.Context, service, zone, version, address string) (*endpoint, error) {
	number := p.number.Add(1)
	if address == "" {
		address = fmt.Sprintf("127.%d.2.%d:8080", p.fleet.subnet, number)
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	e := &endpoint{
		pool: p, service: service, id: fmt.Sprintf("i-%s-%d", service, number), zone: zone, version: version, address: address,
		listener: listener, conns: make(map[net.Conn]*send),
	}
	p.record.add("endpoint %s of version %s starts at %s", e.id, version, address)
	go e.accept()
	beats, stop := context.WithCancel(ctx)
	e.stopBeats = stop
	go e.announce(beats)
	return e, nil
}

// announce sends heartbeats until the context ends.
func (e *endpoint) announce(ctx context.Context) {
	client := &http.Client{Timeout: callTimeout}
	for node := rand.IntN(len(e.pool.fleet.keepers)); ctx.Err() == nil; {
		if e.call(ctx, client, http.MethodPut, node) {
			pause(ctx, heartbeatInterval)
			continue
		}
		node++
		pause(ctx, 50*time.Millisecond)
	}
}

// call calls a keeper about this endpoint, and reports whether it acknowledged.
func (e *endpoint) call(ctx context.Context, client *http.Client, method string, node int) bool {
	state := player.Ready
	if e.leaving.Load() {
		state = player.Draining
	}
	body, err := json.Marshal(player.Heartbeat{
		Service: e.service, Address: e.address, Zone: e.zone, Version: e.version, Slots: endpointSlots, State: state, Sequence: e.sequence.Add(1),
	})
	if err != nil {
		return false
	}
	controls := e.pool.fleet.controls()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+controls[node%len(controls)]+platform.PathInstances+e.id, bytes.NewReader(body))
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	accepted := response.StatusCode/100 == 2
	if accepted && (method == http.MethodDelete || state == player.Draining) {
		ack := &acknowledgement{at: time.Now(), by: e.pool.fleet.keepers[node%len(controls)].Name}
		if e.acknowledged.CompareAndSwap(nil, ack) {
			e.pool.record.add("endpoint %s: %s acknowledges its leaving (%s)", e.id, ack.by, method)
		}
	}
	return accepted
}

// leave drains, departs and ends, as an endpoint does that is replaced. Some depart first, and serve on for as long.
func (e *endpoint) leave(ctx context.Context, departsFirst bool) {
	e.pool.record.add("endpoint %s leaves (departs first %t)", e.id, departsFirst)
	if departsFirst {
		e.depart(ctx)
	}
	pause(ctx, heartbeatInterval+drainTime)
	if !departsFirst {
		e.depart(ctx)
	}
	pause(ctx, 2*time.Second)
	e.end(closed)
}

// depart ends the heartbeats and announces the end to one keeper after the other until one acknowledges it.
func (e *endpoint) depart(ctx context.Context) {
	e.stopBeats()
	client := &http.Client{Timeout: callTimeout}
	first := rand.IntN(len(e.pool.fleet.keepers))
	for i := range 2 * len(e.pool.fleet.keepers) {
		if e.call(ctx, client, http.MethodDelete, first+i) {
			return
		}
	}
}

// end ends the endpoint without another word: its connections close or are reset.
func (e *endpoint) end(how ending) {
	e.gone.Store(true)
	e.stopBeats()
	e.listener.Close()
	e.lock.Lock()
	e.closed = true
	e.lock.Unlock()
	e.breakOff(how)
	e.pool.record.add("endpoint %s has ended (reset %t)", e.id, how == reset)
}

// breakOff closes or resets all connections.
func (e *endpoint) breakOff(how ending) {
	e.lock.Lock()
	defer e.lock.Unlock()
	for conn, s := range e.conns {
		if how == reset {
			_ = conn.(*gated).SetLinger(0)
		}
		if s != nil {
			e.pool.ledger.read(func() {
				s.fault += ", then its connection breaks"
				s.doubtful = s.doubtful || s.framing == none && how != reset
			})
		}
		conn.Close()
	}
}

func (e *endpoint) accept() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return // the endpoint has ended
		}
		c := &gated{TCPConn: conn.(*net.TCPConn), in: &e.hearing, out: &e.talking}
		e.lock.Lock()
		if e.closed {
			conn.Close()
		} else {
			e.conns[c] = nil
			go e.serve(c)
		}
		e.lock.Unlock()
	}
}

// serve answers the requests of a connection, one after the other.
func (e *endpoint) serve(c *gated) {
	defer func() {
		e.lock.Lock()
		defer e.lock.Unlock()
		delete(e.conns, c)
		_ = c.Close() // the caller may have closed it
	}()
	reader := bufio.NewReader(c)
	for previous := ""; ; {
		_ = c.SetReadDeadline(time.Now().Add(idleTime))
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		heard := c.heard
		first := make([]byte, min(max(request.ContentLength, 0), maxQueryText))
		if _, err := io.ReadFull(request.Body, first); err != nil {
			return
		}
		if request.URL.Path == healthPath {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", platform.HeaderSelf, e.id)
			continue
		}
		a := e.answer(request, string(first), previous, heard)
		if !a.script.early {
			if _, err := io.Copy(io.Discard, request.Body); err != nil {
				return
			}
		}
		e.lock.Lock()
		e.conns[c] = a.send
		e.lock.Unlock()
		served := a.script.play(c, func() { _, _ = io.Copy(io.Discard, c) }) // until the caller gives up
		e.lock.Lock()
		e.conns[c] = nil
		e.lock.Unlock()
		if !served {
			return
		}
		previous = a.id
	}
}

// answer runs a request and composes what is written.
func (e *endpoint) answer(request *http.Request, body, previous string, heard time.Time) *answering {
	id := request.Header.Get(platform.HeaderID)
	q, readable := readQuery(id, body)
	s := &send{endpoint: e.id, version: e.version, at: heard, leaving: e.acknowledged.Load(), fault: "sound", status: http.StatusOK, ran: true}
	s.resumed, _ = strconv.Atoi(request.Header.Get(platform.HeaderResume)) // a request without it begins anew
	refuse := func(status int) *answering {
		s.status, s.ran, s.fault = status, false, "refuses"
		e.pool.ledger.arrive(id, s)
		sc := newScript(status, id, "", "", length, nil)
		sc.markNotRun()
		return &answering{script: sc, send: s, id: id}
	}
	if request.Header.Get(platform.HeaderInstance) != e.id {
		return refuse(http.StatusMisdirectedRequest)
	}
	if q.stream == poison {
		e.pool.crash(e)
		s.fault = "crashes"
		e.pool.ledger.arrive(id, s)
		return &answering{script: &script{ending: reset}, send: s, id: id}
	}
	number, from, known := e.pool.ledger.arrive(id, s)
	if !known || !readable {
		e.pool.record.add("endpoint %s: request %q is no client's", e.id, id)
		return &answering{script: newScript(http.StatusBadRequest, id, "", "", length, nil), send: s, id: id}
	}
	hash := fnv.New64a()
	fmt.Fprint(hash, id, number)
	r := rand.New(rand.NewPCG(e.pool.seed, hash.Sum64()))
	var sc *script
	name := "sound"
	e.pool.ledger.read(func() {
		s.stamp = fmt.Sprintf("%s.%s.%d", e.id, id, number)
		s.framing = []framing{chunked, chunked, length, none}[r.IntN(4)]
		// Only a router that has passed on events asks for more than its client did.
		if s.resumed > from && !e.pool.resuming && r.IntN(100) < 2*int(e.pool.faulty.Load()) {
			sc, name = resumeFault(r, q, s, number)
		} else {
			sc = e.compose(r, request, q, s, number)
		}
		s.framing = sc.frame
		if name == "sound" && r.IntN(100) < int(e.pool.faulty.Load()) {
			f := firstFaults[r.IntN(len(firstFaults))]
			f.apply(r, &answering{script: sc, send: s, id: id, previous: previous, query: q, streaming: isStream(request), long: request.ContentLength > maxQueryText})
			name = f.name
		}
		if sc.cut >= 0 {
			name += fmt.Sprintf(" (%d of %d, head %d)", sc.cut, sc.size(), len(sc.head))
			s.framing = sc.frame
			s.doubtful = sc.frame == none && sc.ending == closed && sc.cut >= len(sc.head) && (!isStream(request) || sc.atBoundary())
		}
		s.fault = name
	})
	e.pool.record.add("endpoint %s gets %s %s (arrival %d, after %d): %s", e.id, id, request.URL.Path, number, s.resumed, name)
	return &answering{script: sc, send: s, id: id}
}

func isStream(request *http.Request) bool { return routeOf(request.URL.Path).Kind == player.Streaming }

// compose returns the answer of a sound endpoint.
func (e *endpoint) compose(r *rand.Rand, request *http.Request, q *query, s *send, number int) *script {
	if isStream(request) {
		events := q.events(s, number, s.resumed, s.resumed+1)
		if r.IntN(3) == 0 {
			events = split(r, events)
		}
		return newScript(s.status, q.id, s.stamp, eventStream, s.framing, events)
	}
	return newScript(s.status, q.id, s.stamp, "text/plain", s.framing, []line{{pause: time.Duration(q.pace) * time.Millisecond, text: q.plain()}})
}
