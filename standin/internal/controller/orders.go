package controller

import (
	"net/http"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"shallotkeel.example/standin/internal/journaler"
)

// The orders that an engine knows.
const (
	orderLoad   = "load"
	orderUnload = "unload"
)

// Loading is how an engine loads models. The zero value loads at once and
// without bound.
type Loading struct {
	Clock clockwork.Clock
	Time  time.Duration // of one load
	Room  int           // models that fit, those being loaded included; 0 for no bound
}

// orders obeys an order. A load is answered when it begins, as engines do; the
// model is served when it has ended.
func (c *Controller) orders(w http.ResponseWriter, r *http.Request) {
	var order Order
	if !read(w, r, &order) {
		return
	}
	if order.Order != orderLoad && order.Order != orderUnload {
		http.Error(w, "order \"load\" or \"unload\"", http.StatusBadRequest)
		return
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.Fenced && order.Fence < c.fence {
		http.Error(w, "the fencing number is old; a newer leaseholder gives orders", http.StatusConflict)
		return
	}
	c.fence = max(c.fence, order.Fence)
	if order.Order == orderLoad && !c.begin(order.Model) {
		http.Error(w, "no room; unload a model first", http.StatusInsufficientStorage)
		return
	}
	if order.Order == orderUnload {
		c.remove(order.Model)
	}
	c.Journal.Add(journaler.Entry{Verb: journaler.Ordered, Request: order.Order + " " + order.Model, Fence: order.Fence})
	w.WriteHeader(http.StatusNoContent)
}

// begin begins a load if there is room. A model that is there or on its way
// stays as it is.
func (c *Controller) begin(model string) bool {
	models := c.Completer.Models()
	if slices.Contains(models, model) || c.loading[model] != 0 {
		return true
	}
	if c.Loading.Room > 0 && len(models)+len(c.loading) >= c.Loading.Room {
		return false
	}
	if c.Loading.Time <= 0 {
		c.Completer.SetModels(append(models, model))
		return true
	}
	if c.loading == nil {
		c.loading = make(map[string]uint64)
	}
	c.loads++
	number := c.loads
	c.loading[model] = number
	c.Loading.Clock.AfterFunc(c.Loading.Time, func() { c.end(model, number) })
	return true
}

// end serves a model whose load has ended, unless it was unloaded meanwhile.
func (c *Controller) end(model string, number uint64) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.loading[model] != number {
		return
	}
	delete(c.loading, model)
	c.Completer.SetModels(append(c.Completer.Models(), model))
}

func (c *Controller) remove(model string) {
	delete(c.loading, model)
	c.Completer.SetModels(slices.DeleteFunc(c.Completer.Models(), func(m string) bool { return m == model }))
}
