package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// worker is a sound worker of a service. It runs what is sent to it, and reports to the keepers.
type worker struct {
	fleet    *fleet
	id       string
	service  string
	number   int
	listener net.Listener
	sequence atomic.Uint64
	state    atomic.Value // string
	ending   chan struct{}
	// handle, if set, answers instead of run.
	handle http.HandlerFunc
}

// startWorker starts a worker on a free port.
func (f *fleet) startWorker(number int, service string, handle http.HandlerFunc) (*worker, error) {
	listener, err := net.Listen("tcp", f.address(netWorker, number, 0))
	if err != nil {
		return nil, err
	}
	w := &worker{fleet: f, id: fmt.Sprintf("i-%s-%d", service, number), service: service, number: number, listener: listener, ending: make(chan struct{}), handle: handle}
	w.state.Store("ready")
	go func() { _ = http.Serve(listener, http.HandlerFunc(w.serve)) }()
	go w.beat()
	f.notef("worker %s of %s started at %s", w.id, service, listener.Addr())
	return w, nil
}

// serve answers a request. One that names another instance is not run.
func (w *worker) serve(answer http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/health" {
		answer.Header().Set("X-Shallotkeel-Instance-Id", w.id)
		return
	}
	id := request.Header.Get("X-Shallotkeel-Request-Id")
	answer.Header().Set("X-Shallotkeel-Request-Id", id)
	if expected := request.Header.Get("X-Shallotkeel-Expect-Instance"); expected != "" && expected != w.id {
		answer.Header().Set("X-Shallotkeel-Not-Executed", "1")
		answer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if w.handle != nil {
		w.handle(answer, request)
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	w.fleet.notef("worker %s (%s) runs %s %s, tenant %q", w.id, w.service, id, request.URL.Path, request.Header.Get("X-Shallotkeel-Tenant"))
	time.Sleep(20 * time.Millisecond)
	answer.Header().Set("X-Shallotkeel-Response-Stamp", w.id+"."+id)
	_, _ = io.WriteString(answer, strings.Repeat("x", 800))
}

// beat reports to the keepers until the worker ends.
func (w *worker) beat() {
	for {
		w.report()
		select {
		case <-w.ending:
			return
		case <-time.After(heartbeat):
		}
	}
}

// report sends one heartbeat: a keeper that does not acknowledge it within a second is followed by the next one. It
// reports whether one did.
func (w *worker) report() bool {
	state, _ := w.state.Load().(string)
	body, err := json.Marshal(map[string]any{
		"service": w.service, "address": w.listener.Addr().String(), "zone": zoneOf(w.number), "version": "v1", "slots": 6,
		"state": state, "cold_remaining_ms": 0, "sequence": w.sequence.Add(1),
	})
	if err != nil {
		return false
	}
	return w.call(http.MethodPut, body)
}

// call sends a call to the keepers, one after the other.
func (w *worker) call(method string, body []byte) bool {
	client := http.Client{Timeout: time.Second}
	for try := range 3 {
		keeper := w.fleet.address(netKeeper, 1+(w.number+try)%3, portControl)
		request, err := http.NewRequest(method, "http://"+keeper+"/api/instances/"+w.id, bytes.NewReader(body))
		if err != nil {
			return false
		}
		request.Header.Set("Content-Type", "application/json")
		response, err := client.Do(request)
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode < 300 {
			return true
		}
	}
	return false
}
