package controller

import (
	"net/http"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"shallotkeel.example/standin/internal/journaler"
)

// The orders that an engine accepts.
const (
	orderLoad   = "load"
	orderUnload = "unload"
)

// Loading configures how an engine loads models. With the zero value, loads end
// at once and any number of models fits.
type Loading struct {
	Clock clockwork.Clock
	Time  time.Duration // duration of one load
	Room  int           // number of models that fit, including those being loaded; 0 for no bound
}

// orders executes an order. As with real engines, the answer is sent when a load
// begins; the model is served from the end of the load.
func (c *Controller) orders(w http.ResponseWriter, r *http.Request) {
	var order Order
	if !readJSON(w, r, &order) {
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
	if order.Order == orderLoad && !c.beginLoad(order.Model) {
		http.Error(w, "no room; unload a model first", http.StatusInsufficientStorage)
		return
	}
	if order.Order == orderUnload {
		c.unload(order.Model)
	}
	c.Journal.Add(journaler.Entry{Verb: journaler.Ordered, Request: order.Order + " " + order.Model, Fence: order.Fence})
	w.WriteHeader(http.StatusNoContent)
}

// beginLoad starts loading a model and reports whether it fits. For a model that
// is loaded or being loaded it does nothing and reports true.
func (c *Controller) beginLoad(model string) bool {
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
	c.lastLoad++
	number := c.lastLoad
	c.loading[model] = number
	c.Loading.Clock.AfterFunc(c.Loading.Time, func() { c.finishLoad(model, number) })
	return true
}

// finishLoad makes a model available whose load has ended, unless the model was
// unloaded in the meantime.
func (c *Controller) finishLoad(model string, number uint64) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.loading[model] != number {
		return
	}
	delete(c.loading, model)
	c.Completer.SetModels(append(c.Completer.Models(), model))
}

func (c *Controller) unload(model string) {
	delete(c.loading, model)
	c.Completer.SetModels(slices.DeleteFunc(c.Completer.Models(), func(m string) bool { return m == model }))
}
