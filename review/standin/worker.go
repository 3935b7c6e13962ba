package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	headerID       = "X-Shallotkeel-Request-Id"
	headerStamp    = "X-Shallotkeel-Response-Stamp"
	headerNotRun   = "X-Shallotkeel-Not-Executed"
	headerExpected = "X-Shallotkeel-Expect-Instance"
	headerInstance = "X-Shallotkeel-Instance-Id"
	headerDeadline = "X-Shallotkeel-Deadline-Ms"
	headerModel    = "X-Shallotkeel-Model"
	headerTokens   = "X-Shallotkeel-Token-Counts"
	headerPrefix   = "X-Shallotkeel-Prefix-Hash"
)

const (
	slots     = 6
	queueSize = 24
	bodySize  = 800
)

// run is a request that a worker began to run.
type run struct {
	id, worker, method, path, body string
	at                             time.Time
}

// pool holds the workers of one service and what they ran.
type pool struct {
	fleet   *fleet
	record  *record
	service string
	subnet  int // third byte of the workers' addresses
	work    time.Duration
	// before is called before a request runs, and returns whether the worker crashes under it. It
	// may be nil.
	before func(w *worker, body []byte) (crashes bool)
	// answer returns the status of the answer to a request that has run. It may be nil.
	answer func(w *worker, h *http.Request) int
	// stream answers a request that runs with events. If it is nil, answers have one body.
	stream func(w *worker, out http.ResponseWriter, h *http.Request, body []byte)

	mutex sync.Mutex
	runs  []run
	count int // workers started
	live  []*worker
}

// worker is one incarnation of a worker.
type worker struct {
	pool     *pool
	id, zone string
	address  string
	server   *http.Server
	places   chan struct{} // a value for each running request
	waiting  atomic.Int64
	sequence atomic.Uint64
	silent   chan struct{} // closed when heartbeats end
	once     sync.Once
	crashed  atomic.Bool
}

// start starts a worker at an address, or at a free one of its own if address is empty.
func (p *pool) start(zone, address string) (*worker, error) {
	p.mutex.Lock()
	p.count++
	number := p.count
	p.mutex.Unlock()
	if address == "" {
		address = fmt.Sprintf("127.%d.%d.%d:8080", p.fleet.subnet, p.subnet, number)
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	w := &worker{
		pool: p, id: fmt.Sprintf("i-%08x", rand.Uint32()), zone: zone, address: address,
		places: make(chan struct{}, slots), silent: make(chan struct{}),
	}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(listener) }() // it ends with the worker
	p.mutex.Lock()
	p.live = append(p.live, w)
	p.mutex.Unlock()
	p.record.add("worker %s of %s starts at %s in %s", w.id, p.service, address, zone)
	go w.announce()
	return w, nil
}

// announce sends heartbeats until the worker is silent.
func (w *worker) announce() {
	client := &http.Client{Timeout: time.Second}
	for next := rand.IntN(3); ; {
		if !w.beat(client, next) {
			next++ // the next node is called
			select {
			case <-w.silent:
				return
			case <-time.After(50 * time.Millisecond):
			}
			continue
		}
		select {
		case <-w.silent:
			return
		case <-time.After(heartbeat):
		}
	}
}

// beat sends one heartbeat, and reports whether it was acknowledged.
func (w *worker) beat(client *http.Client, node int) bool {
	body, _ := json.Marshal(map[string]any{ // it cannot fail
		"service": w.pool.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": slots, "state": "ready",
		"cold_remaining_ms": 0, "sequence": w.sequence.Add(1),
	})
	return w.call(client, http.MethodPut, node, body) != ""
}

// call calls a keeper about this worker, and returns the address of the keeper if it acknowledged.
func (w *worker) call(client *http.Client, method string, node int, body []byte) string {
	controls := w.pool.fleet.controls()
	address := controls[node%len(controls)]
	request, err := http.NewRequest(method, "http://"+address+"/api/instances/"+w.id, bytes.NewReader(body))
	if err != nil {
		return ""
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return ""
	}
	response.Body.Close()
	if response.StatusCode/100 != 2 {
		return ""
	}
	return address
}

// leave sends DELETE, as a worker does that never reports "draining", and returns when it was
// acknowledged. The worker serves on, and sends no heartbeats any more.
func (w *worker) leave() (time.Time, error) {
	w.endHeartbeats()
	client := &http.Client{Timeout: time.Second}
	for node := range 6 {
		if by := w.call(client, http.MethodDelete, node, nil); by != "" {
			at := time.Now()
			w.pool.record.addAt(at, "worker %s: DELETE is acknowledged by %s", w.id, by)
			return at, nil
		}
	}
	return time.Time{}, fmt.Errorf("no keeper acknowledged the DELETE of %s", w.id)
}

func (w *worker) endHeartbeats() {
	w.once.Do(func() { close(w.silent) })
}

// end closes the listener and all connections at once, as at the end of a process.
func (w *worker) end(why string) {
	if w.crashed.Swap(true) {
		return
	}
	w.endHeartbeats()
	_ = w.server.Close()
	w.pool.record.add("worker %s %s", w.id, why)
	w.pool.mutex.Lock()
	defer w.pool.mutex.Unlock()
	for i, other := range w.pool.live {
		if other == w {
			w.pool.live = append(w.pool.live[:i:i], w.pool.live[i+1:]...)
			return
		}
	}
}

// crash ends the worker, and starts a new incarnation at the same address after a while.
func (w *worker) crash(back time.Duration) {
	w.end("crashes")
	time.AfterFunc(back, func() {
		if _, err := w.pool.start(w.zone, w.address); err != nil {
			w.pool.record.add("worker at %s does not start again: %v", w.address, err)
		}
	})
}

// close ends all workers.
func (p *pool) close() {
	p.mutex.Lock()
	live := append([]*worker(nil), p.live...)
	p.mutex.Unlock()
	for _, w := range live {
		w.end("ends with the case")
	}
}

// runsOf returns the runs of a request.
func (p *pool) runsOf(id string) []run {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var found []run
	for _, r := range p.runs {
		if r.id == id {
			found = append(found, r)
		}
	}
	return found
}

// runsByBody counts the runs of POST requests by their bodies.
func (p *pool) runsByBody() map[string]int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	counts := make(map[string]int)
	for _, r := range p.runs {
		if r.method == http.MethodPost {
			counts[r.body]++
		}
	}
	return counts
}

// runsAt returns the runs at a worker after a time.
func (p *pool) runsAt(worker string, after time.Time) []run {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var found []run
	for _, r := range p.runs {
		if r.worker == worker && r.at.After(after) {
			found = append(found, r)
		}
	}
	return found
}

// ServeHTTP answers a health check, rejects a request, or runs it.
func (w *worker) ServeHTTP(out http.ResponseWriter, h *http.Request) {
	if h.URL.Path == "/health" {
		out.Header().Set(headerInstance, w.id)
		return
	}
	body, err := io.ReadAll(h.Body)
	if err != nil {
		return // the connection broke before the request was whole
	}
	id := h.Header.Get(headerID)
	out.Header().Set(headerID, id)
	out.Header().Set(headerInstance, w.id)
	switch expected := h.Header.Get(headerExpected); {
	case id == "":
		w.reject(out, http.StatusBadRequest)
		return
	case expected != "" && expected != w.id:
		w.reject(out, http.StatusMisdirectedRequest)
		return
	}
	if w.waiting.Add(1) > slots+queueSize {
		w.waiting.Add(-1)
		w.reject(out, http.StatusServiceUnavailable)
		return
	}
	defer w.waiting.Add(-1)
	select {
	case w.places <- struct{}{}:
		defer func() { <-w.places }()
	case <-h.Context().Done():
		return
	}
	w.run(out, h, id, body)
}

// reject answers that the request did not run.
func (w *worker) reject(out http.ResponseWriter, status int) {
	out.Header().Set(headerNotRun, "1")
	out.WriteHeader(status)
}

// run runs a request and answers it.
func (w *worker) run(out http.ResponseWriter, h *http.Request, id string, body []byte) {
	p := w.pool
	begun := time.Now()
	p.mutex.Lock()
	p.runs = append(p.runs, run{id: id, worker: w.id, method: h.Method, path: h.URL.Path, body: string(body), at: begun})
	p.mutex.Unlock()
	p.record.addAt(begun, "worker %s runs %s %s %s", w.id, id, h.Method, h.URL.Path)
	if p.before != nil && p.before(w, body) {
		w.crash(2 * time.Second)
		return
	}
	if p.stream != nil {
		out.Header().Set(headerStamp, fmt.Sprintf("%s.%d.%d", w.id, http.StatusOK, bodySize))
		out.Header().Set("Content-Type", "text/event-stream")
		p.stream(w, out, h, body)
		return
	}
	select {
	case <-time.After(p.work):
	case <-h.Context().Done():
		p.record.add("worker %s: the connection of %s closed while it ran", w.id, id)
		return
	}
	status := http.StatusOK
	if p.answer != nil {
		status = p.answer(w, h)
	}
	out.Header().Set(headerStamp, fmt.Sprintf("%s.%d.%d", w.id, status, bodySize))
	out.Header().Set("Content-Type", "application/octet-stream")
	out.Header().Set("Content-Length", fmt.Sprint(bodySize))
	out.WriteHeader(status)
	_, _ = io.WriteString(out, bodyOf(id)) // the connection may have closed
	p.record.add("worker %s answers %s with %d", w.id, id, status)
}

// bodyOf returns the body of the answer to a request.
func bodyOf(id string) string {
	return strings.Repeat(id+" ", bodySize)[:bodySize]
}
