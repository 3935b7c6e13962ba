package director

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"
)

// limited closes connections for which there is no room at once. A process that takes
// whatever comes runs out of memory or descriptors in a flood, and then cannot
// even reach an endpoint; a client whose connection is closed unread tries
// another router.
type limited struct {
	net.Listener
	room   func() bool
	closed *atomic.Uint64 // counts the connections that were closed unread
	log    zerolog.Logger
	full   atomic.Bool
}

// Accept returns the next connection for which there is room.
func (l *limited) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		room := l.room()
		if l.full.Swap(!room) == room {
			l.log.Warn().Bool("full", !room).Msg("room for clients' connections changed")
		}
		if room {
			return conn, nil
		}
		l.closed.Add(1)
		conn.Close()
	}
}

// connections counts clients' connections, and those of them on which nothing is
// under way. Its zero value is empty.
type connections struct {
	mutex sync.Mutex
	open  int
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
