// Package relay stands between the fleet's processes and cuts their
// connections, in one direction or both, without a reset: what a network
// partition looks like from inside.
//
// A relay listens at the address by which others reach one process. It finds
// out who connects by the process that owns the other end of the connection.
//
// Invariants: a cut holds back bytes and loses none, so that a connection that
// outlives the cut goes on where it was, as TCP does; while a cut lasts a new
// connection is accepted and stays silent, since user space cannot leave a SYN
// unanswered; what is held back is bounded by one buffer a direction and the
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

// ErrRelay is the kind of every error of a relay.
var ErrRelay = merry.Sentinel("relay cannot run")

const (
	bufferSize  = 32 << 10
	dialTimeout = 2 * time.Second
	// The kernel's list of connections is not read in one piece, so that one
	// look may miss a connection.
	lookups     = 5
	lookupPause = 2 * time.Millisecond
)

// Link is one direction between two processes, by name.
type Link struct{ From, To string }

// Network is the set of relays and of cut links. Its zero value with Owner set
// is ready to use.
type Network struct {
	// Owner returns the name of the process that holds the local end of a
	// connection.
	Owner func(local, remote netip.AddrPort) string

	lock      sync.Mutex
	cut       map[Link]bool
	changed   chan struct{} // closed and replaced whenever cut changes
	listeners []net.Listener
	conns     map[net.Conn]bool
	closed    bool
}

// Cut cuts links until Mend is called.
func (n *Network) Cut(links ...Link) {
	n.change(func() {
		for _, link := range links {
			n.cut[link] = true
		}
	})
}

// Mend mends every link.
func (n *Network) Mend() {
	n.change(func() { clear(n.cut) })
}

func (n *Network) change(edit func()) {
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

// await returns when the link is not cut, and false when the network closed.
func (n *Network) await(link Link) bool {
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

// Listen starts a relay in front of the process named to, which listens at
// inner, and returns the relay's own address.
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

func (n *Network) accept(listener net.Listener, to string, inner netip.AddrPort) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return // the network was closed
		}
		go n.join(conn, to, inner)
	}
}

// join carries one connection in both directions.
func (n *Network) join(outer net.Conn, to string, inner netip.AddrPort) {
	defer outer.Close()
	from, known := n.owner(outer)
	if !known {
		// A connection that no cut could hold back must not get through: the
		// cell would pass without having been cut. Its caller tries again.
		reset(outer)
		return
	}
	there, back := Link{From: from, To: to}, Link{From: to, To: from}
	if !n.keep(outer) || !n.await(there) {
		return
	}
	defer n.forget(outer)
	conn, err := net.DialTimeout("tcp", inner.String(), dialTimeout)
	if err != nil {
		reset(outer) // nobody listens there
		return
	}
	defer conn.Close()
	if !n.keep(conn) {
		return
	}
	defer n.forget(conn)
	var both sync.WaitGroup
	both.Go(func() { n.carry(there, conn, outer) })
	both.Go(func() { n.carry(back, outer, conn) })
	both.Wait()
}

// owner returns the process at the far end of an accepted connection, and
// false if that cannot be found out, for example because it has ended.
func (n *Network) owner(outer net.Conn) (name string, known bool) {
	far, err := netip.ParseAddrPort(outer.RemoteAddr().String())
	if err != nil {
		return "", false
	}
	near, err := netip.ParseAddrPort(outer.LocalAddr().String())
	if err != nil {
		return "", false
	}
	for range lookups {
		if name = n.Owner(far, near); name != "" {
			return name, true
		}
		time.Sleep(lookupPause)
	}
	return "", false
}

// carry moves bytes in one direction. When that direction ends, the end is
// passed on: a half-closed connection stays half-closed, a broken one breaks.
func (n *Network) carry(link Link, to, from net.Conn) {
	buffer := make([]byte, bufferSize)
	for {
		size, err := from.Read(buffer)
		if !n.await(link) {
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

// reset ends both sides with a reset, so that neither takes the end of a
// broken connection for the end of an answer.
func reset(conns ...net.Conn) {
	for _, conn := range conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

func (n *Network) keep(conn net.Conn) bool {
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

func (n *Network) forget(conn net.Conn) {
	n.lock.Lock()
	defer n.lock.Unlock()
	delete(n.conns, conn)
}

// Close ends every relay and connection.
func (n *Network) Close() {
	n.change(func() { n.closed = true })
	n.lock.Lock()
	defer n.lock.Unlock()
	for _, listener := range n.listeners {
		_ = listener.Close()
	}
	for conn := range n.conns {
		_ = conn.Close()
	}
}
