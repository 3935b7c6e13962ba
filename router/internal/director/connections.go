package director

import (
	"net"
	"net/http"
	"sync"
)

// connections counts clients' connections, and those of them on which nothing is
// under way. Its zero value is empty.
type connections struct {
	mutex sync.Mutex
	open  int
	made  uint64 // since the start
	idle  map[net.Conn]struct{}
}

// change takes a connection's new state, as http.Server tells it.
func (c *connections) change(conn net.Conn, state http.ConnState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.idle == nil {
		c.idle = make(map[net.Conn]struct{})
	}
	delete(c.idle, conn)
	switch state {
	case http.StateNew:
		c.open++
		c.made++
	case http.StateIdle:
		c.idle[conn] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		c.open--
	}
}

// counts returns how many connections are open, and on how many of them something
// is under way or about to be.
func (c *connections) counts() (open, busy int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.open, c.open - len(c.idle)
}

// total returns how many connections there have been.
func (c *connections) total() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.made
}
