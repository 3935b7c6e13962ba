// Package relay forwards the connections between the fleet's processes and cuts
// them on demand, in one direction or both, without a reset. To the processes this
// is the same as a network partition.
//
// A relay listens at the address that one process advertises to others. It
// identifies the client of a connection by the process that owns the remote end.
//
// Invariants: a cut delays bytes and loses none, so that a connection that outlives
// the cut continues where it stopped, as with TCP retransmission. A new connection
// is accepted during a cut but stays silent, since user space cannot leave a SYN
// unanswered. The delayed bytes are bounded by one buffer per direction and the
// kernel's socket buffers.
package relay

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

// ErrRelay is the base of every error of a relay.
var ErrRelay = merry.Sentinel("relay cannot run")

const (
	bufferBytes = 32 << 10
	dialTimeout = 2 * time.Second
	// The kernel's list of connections is not read atomically, so that a single
	// lookup may miss a connection.
	lookupAttempts   = 5
	lookupRetryDelay = 2 * time.Millisecond
)

// Link is one direction of traffic between two processes, given by their names.
type Link struct{ From, To string }

// Network is a set of relays and of cut links. Its zero value is ready to use once
// Owner is set.
type Network struct {
	// Owner returns the name of the process that holds the local end of a
	// connection, and the empty name if it is not known.
	Owner func(local, remote netip.AddrPort) string

	lock      sync.Mutex
	cut       map[Link]bool
	changed   chan struct{} // closed and replaced whenever cut changes
	listeners []net.Listener
	conns     map[net.Conn]bool // open connections, which Close closes
	closed    bool
}

// Cut cuts links until Heal is called.
func (n *Network) Cut(links ...Link) {
	n.updateLinks(func() {
		for _, link := range links {
			n.cut[link] = true
		}
	})
}

// Heal ends every cut.
func (n *Network) Heal() {
	n.updateLinks(func() { clear(n.cut) })
}

// updateLinks applies a change to the state of the links and wakes all waiting
// connections.
func (n *Network) updateLinks(edit func()) {
	n.lock.Lock()
	defer n.lock.Unlock()
	if n.cut == nil {
		n.cut = make(map[Link]bool)
	}
	edit()
	if n.changed != nil {
		close(n.changed)
	}
	n.changed = make(chan struct{})
}

// awaitUncut waits until the link is not cut. It returns false when the network is
// closed.
func (n *Network) awaitUncut(link Link) bool {
	for {
		n.lock.Lock()
		if n.changed == nil {
			n.changed = make(chan struct{})
		}
		isCut, closed, changed := n.cut[link], n.closed, n.changed
		n.lock.Unlock()
		if closed {
			return false
		}
		if !isCut {
			return true
		}
		<-changed
	}
}

// Listen starts a relay at the given address, where port 0 stands for any free one,
// in front of the process named to, which listens at inner. It returns the relay's
// address.
func (n *Network) Listen(address netip.AddrPort, to string, inner netip.AddrPort) (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return netip.AddrPort{}, merry.Errorf("%w: %v; choose a free address", ErrRelay, err)
	}
	n.lock.Lock()
	n.listeners = append(n.listeners, listener)
	n.lock.Unlock()
	go n.accept(listener, to, inner)
	return netip.ParseAddrPort(listener.Addr().String())
}

// accept proxies every connection of a listener until it is closed.
func (n *Network) accept(listener net.Listener, to string, inner netip.AddrPort) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return // the network was closed
		}
		go n.proxy(conn, to, inner)
	}
}

// proxy forwards one connection in both directions.
func (n *Network) proxy(outer net.Conn, to string, inner netip.AddrPort) {
	defer outer.Close()
	from, known := n.identifyClient(outer)
	if !known {
		// A connection of an unknown client cannot be cut and must not get
		// through: the cell would pass without an effective cut. The client
		// retries after the reset.
		reset(outer)
		return
	}
	request, response := Link{From: from, To: to}, Link{From: to, To: from}
	if !n.track(outer) || !n.awaitUncut(request) {
		return
	}
	defer n.untrack(outer)
	conn, err := net.DialTimeout("tcp", inner.String(), dialTimeout)
	if err != nil {
		reset(outer) // no process listens at inner
		return
	}
	defer conn.Close()
	if !n.track(conn) {
		return
	}
	defer n.untrack(conn)
	var both sync.WaitGroup
	both.Go(func() { n.forward(request, conn, outer) })
	both.Go(func() { n.forward(response, outer, conn) })
	both.Wait()
}

// identifyClient returns the name of the process at the remote end of an accepted
// connection, and false if it is not found, for example because it has ended.
func (n *Network) identifyClient(outer net.Conn) (name string, known bool) {
	remote, err := netip.ParseAddrPort(outer.RemoteAddr().String())
	if err != nil {
		return "", false
	}
	local, err := netip.ParseAddrPort(outer.LocalAddr().String())
	if err != nil {
		return "", false
	}
	for range lookupAttempts {
		if name = n.Owner(remote, local); name != "" {
			return name, true
		}
		time.Sleep(lookupRetryDelay)
	}
	return "", false
}

// forward copies bytes in one direction until it ends, and then propagates the way
// in which it ended: a half-close as a half-close, an error as a reset.
func (n *Network) forward(link Link, to, from net.Conn) {
	buffer := make([]byte, bufferBytes)
	for {
		size, err := from.Read(buffer)
		if !n.awaitUncut(link) {
			return
		}
		if size > 0 {
			if _, failed := to.Write(buffer[:size]); failed != nil {
				reset(from, to)
				return
			}
		}
		if errors.Is(err, io.EOF) {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
		if err != nil {
			reset(from, to)
			return
		}
	}
}

// reset closes connections with a TCP reset, so that no peer mistakes the end of a
// broken connection for the end of an answer.
func reset(conns ...net.Conn) {
	for _, conn := range conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

// track registers a connection to be closed by Close. It returns false if the
// network is already closed.
func (n *Network) track(conn net.Conn) bool {
	n.lock.Lock()
	defer n.lock.Unlock()
	if n.closed {
		return false
	}
	if n.conns == nil {
		n.conns = make(map[net.Conn]bool)
	}
	n.conns[conn] = true
	return true
}

// untrack removes a connection that has ended.
func (n *Network) untrack(conn net.Conn) {
	n.lock.Lock()
	defer n.lock.Unlock()
	delete(n.conns, conn)
}

// Close closes every relay and connection.
func (n *Network) Close() {
	n.updateLinks(func() { n.closed = true })
	n.lock.Lock()
	defer n.lock.Unlock()
	for _, listener := range n.listeners {
		_ = listener.Close()
	}
	for conn := range n.conns {
		_ = conn.Close()
	}
}
