package director

import (
	"net"
	"net/http"
	"sync"
)

// connections counts client connections, and those of them that are idle. Its zero value is ready
// to use.
type connections struct {
	mutex    sync.Mutex
	open     int
	accepted uint64 // total since the start
	idle     map[net.Conn]struct{}
}

// setState records the new state of a connection, as http.Server.ConnState reports it.
func (c *connections) setState(conn net.Conn, state http.ConnState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.idle == nil {
		c.idle = make(map[net.Conn]struct{})
	}
	delete(c.idle, conn)
	switch state {
	case http.StateNew:
		c.open++
		c.accepted++
	case http.StateIdle:
		c.idle[conn] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		c.open--
	}
}

// counts returns the number of open connections, and how many of them are busy: with a request in
// flight, or new and without a request yet.
func (c *connections) counts() (open, busy int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.open, c.open - len(c.idle)
}

// total returns the number of connections accepted since the start.
func (c *connections) total() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.accepted
}
