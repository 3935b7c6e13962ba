package forwarder

import (
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"
)

// ErrCrowded means that as many connections to the endpoint are open as its bound allows. It is wrapped
// together with ErrUnsent.
var ErrCrowded = merry.Sentinel("too many connections to the endpoint are open")

// surplusIdle is how long a connection beyond the even part is kept idle. A router that is flooded reuses
// it earlier: closing it after each answer would cost a new connection for each request.
const surplusIdle = time.Second

// Bound limits the connections that this client opens to an endpoint, which accepts a limited number from all
// its clients together. A field that is zero sets no limit.
type Bound struct {
	// Part is this client's even part. It may be exceeded while requests need more connections; those beyond
	// it are closed after surplusIdle, or when a request needs a new connection.
	Part int
	// Open is the maximum number of connections, idle ones included. A request that needs one more gets
	// ErrCrowded.
	Open int
}

// takeOrReserve removes the most recently used idle connection from the pool and returns it. If there is none,
// or the request needs a new connection, it returns nil and counts one that is about to be opened, or returns
// ErrCrowded. Both happen under one lock: otherwise a connection released in between would be left idle while
// the request opens another one or gets ErrCrowded.
//
// An idle connection gives way to a new one if the address has its even part already. It is returned as
// evicted, no longer counted, and the caller closes it.
func (c *Client) takeOrReserve(address netip.AddrPort, out *Outgoing) (cn, evicted *conn, err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	p := c.pool(address)
	if last := len(p.idle) - 1; last >= 0 && !out.Fresh {
		cn, p.idle = p.idle[last], p.idle[:last]
		return cn, nil, nil
	}
	bound := out.Bound
	if len(p.idle) > 0 && (bound.Part > 0 && p.open >= bound.Part || bound.Open > 0 && p.open >= bound.Open) {
		evicted, p.idle = p.idle[0], p.idle[1:] // the longest unused
		p.open--
	}
	if bound.Open > 0 && p.open >= bound.Open {
		return nil, evicted, ErrCrowded
	}
	p.open++
	return nil, evicted, nil
}

// release returns a connection to the pool.
func (c *Client) release(cn *conn, bound Bound) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	p := c.pool(cn.address)
	p.part, cn.released = bound.Part, c.Clock.Now()
	p.idle = append(p.idle, cn)
}

// sweep removes the idle connections that are not to be kept any longer, and returns them. The caller closes
// them, which decreases the number of open ones.
func (p *pool) sweep(now time.Time) []*conn {
	var closing []*conn
	kept := p.idle[:0]
	for _, cn := range p.idle {
		surplus := p.part > 0 && p.open-len(closing) > p.part && !now.Before(cn.released.Add(surplusIdle))
		if surplus || !now.Before(cn.expires) {
			closing = append(closing, cn)
		} else {
			kept = append(kept, cn)
		}
	}
	p.idle = kept
	return closing
}
