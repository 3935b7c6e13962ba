// Package controller serves the control paths of a stand-in: its executions,
// faults, orders and KV caches.
//
// Invariants: a fenced stand-in refuses an order whose fencing number is lower
// than the highest that it has seen; an unfenced stand-in obeys every order, as
// the engines of some deployments do, and still reports the highest number that
// it has seen. A model is served from the end of its load, and a load is refused
// if the model does not fit.
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

// maxBodyBytes bounds the body of a control call.
const maxBodyBytes = 1 << 20

// Order is the body of an order to load or unload a model.
type Order struct {
	Fence uint64 `json:"fence"`
	Order string `json:"order"` // "load" or "unload"
	Model string `json:"model"`
}

// Controller serves the control paths. Completer is nil for a plain service, which
// has no paths for orders, cancellation and KV caches.
type Controller struct {
	Journal   *journaler.Journaler
	Failer    *failer.Failer
	Completer *completer.Completer
	Fenced    bool
	Loading   Loading

	lock     sync.Mutex
	fence    uint64
	lastLoad uint64            // number of the newest load, counted from 1
	loading  map[string]uint64 // number of the load in progress, by model
}

// Fence returns the highest fencing number seen.
func (c *Controller) Fence() uint64 {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.fence
}

// Register adds the control paths of the stand-in's type to a mux.
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
	mux.HandleFunc("PUT /control/kv/{request}", c.importCache)
}

func (c *Controller) executions(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, c.Journal.Executions())
}

func (c *Controller) service(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, c.Journal.Service())
}

func (c *Controller) log(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, c.Journal.Entries())
}

func (c *Controller) faults(w http.ResponseWriter, r *http.Request) {
	var faults failer.Faults
	if !readJSON(w, r, &faults) {
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
	writeJSON(w, cache)
}

func (c *Controller) importCache(w http.ResponseWriter, r *http.Request) {
	var cache completer.Cache
	if !readJSON(w, r, &cache) {
		return
	}
	cache.Request = r.PathValue("request")
	c.Completer.Caches.Import(cache)
	w.WriteHeader(http.StatusNoContent)
}

// readJSON decodes the body of a call, or answers that it is malformed and returns
// false.
func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		err = json.Unmarshal(text, into)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
