// Package controller serves a stand-in's own paths: what it executed, its
// faults, orders and KV caches.
//
// Invariants: a fenced stand-in refuses an order whose fencing number is lower
// than one it has seen; one that is not fenced obeys every order, as some
// deployments' engines do, and still tells the highest number it has seen. A
// model is served when its load has ended, and no more models than fit are taken.
package controller

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"

	"shallotkeel.example/standin/internal/completer"
	"shallotkeel.example/standin/internal/failer"
	"shallotkeel.example/standin/internal/journaler"
)

// maxBody bounds what a control call may send.
const maxBody = 1 << 20

// Order tells an engine to change what it has loaded.
type Order struct {
	Fence uint64 `json:"fence"`
	Order string `json:"order"` // "load" or "unload"
	Model string `json:"model"`
}

// Controller serves the control paths. Completer and Engine are nil for a
// plain service.
type Controller struct {
	Journal   *journaler.Journaler
	Failer    *failer.Failer
	Completer *completer.Completer
	Fenced    bool
	Loading   Loading

	lock    sync.Mutex
	fence   uint64
	loads   uint64            // begun
	loading map[string]uint64 // number of the load on its way, by model
}

// Fence returns the highest fencing number seen.
func (c *Controller) Fence() uint64 {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.fence
}

// Register adds the control paths to a mux.
func (c *Controller) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /control/executions", c.executions)
	mux.HandleFunc("GET /control/service", c.service)
	mux.HandleFunc("GET /control/log", c.log)
	mux.HandleFunc("POST /control/faults", c.faults)
	if c.Completer == nil {
		return
	}
	mux.HandleFunc("POST /control/orders", c.orders)
	mux.HandleFunc("DELETE /v1/requests/{id}", c.cancel)
	mux.HandleFunc("GET /control/kv/{request}", c.export)
	mux.HandleFunc("PUT /control/kv/{request}", c.restore)
}

func (c *Controller) executions(w http.ResponseWriter, _ *http.Request) {
	write(w, c.Journal.Executions())
}

func (c *Controller) service(w http.ResponseWriter, _ *http.Request) {
	write(w, c.Journal.Service())
}

func (c *Controller) log(w http.ResponseWriter, _ *http.Request) {
	write(w, c.Journal.Entries())
}

func (c *Controller) faults(w http.ResponseWriter, r *http.Request) {
	var faults failer.Faults
	if !read(w, r, &faults) {
		return
	}
	c.Failer.Set(faults)
	w.WriteHeader(http.StatusNoContent)
}

func (c *Controller) cancel(w http.ResponseWriter, r *http.Request) {
	if c.Completer.Engine.CancelByID(r.PathValue("id")) == 0 {
		http.Error(w, "no such request runs or waits here", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (c *Controller) export(w http.ResponseWriter, r *http.Request) {
	cache, known := c.Completer.Caches.Export(r.PathValue("request"))
	if !known {
		http.Error(w, "no KV cache of that request is here", http.StatusNotFound)
		return
	}
	write(w, cache)
}

func (c *Controller) restore(w http.ResponseWriter, r *http.Request) {
	var cache completer.Cache
	if !read(w, r, &cache) {
		return
	}
	cache.Request = r.PathValue("request")
	c.Completer.Caches.Import(cache)
	w.WriteHeader(http.StatusNoContent)
}

func read(w http.ResponseWriter, r *http.Request, into any) bool {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err == nil {
		err = json.Unmarshal(text, into)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

func write(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
