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

// Bound limits the connections to an endpoint that accepts a limited number from all its callers together.
// The zero value is no limit.
type Bound struct {
	// Part is this caller's even part. Connections beyond it are opened only while none is idle, and are kept
	// idle for a short time only.
	Part int
	// Open is the number of connections beyond which none is opened.
	Open int
}

// reserve counts a connection that is about to be opened, or returns ErrCrowded. An idle connection is closed
// for it if the address has its even part already.
func (c *Client) reserve(address netip.AddrPort, bound Bound) error {
	c.mutex.Lock()
	p := c.pool(address)
	var closing *conn
	if bound.Part > 0 && p.open >= bound.Part && len(p.idle) > 0 {
		closing, p.idle = p.idle[0], p.idle[1:] // the longest unused
		p.open--
	}
	crowded := bound.Open > 0 && p.open >= bound.Open
	if !crowded {
		p.open++
	}
	c.mutex.Unlock()
	if closing != nil {
		closing.Close()
	}
	if crowded {
		return ErrCrowded
	}
	return nil
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
