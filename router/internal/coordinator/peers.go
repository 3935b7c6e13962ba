package coordinator

import (
	"context"
	"net/http"
	"net/netip"
	"sync"

	"shallotkeel.example/lib/messenger"
)

// peer holds the clients of one other router.
type peer struct {
	scheduling messenger.Scheduling
	granting   messenger.Granting
	membership messenger.Membership
}

// maxPeers bounds the cached clients. Connections of dropped clients close when they
// are idle.
const maxPeers = 1024

// peers caches the clients by control address.
type peers struct {
	dial  func(netip.AddrPort) *peer
	mutex sync.Mutex
	known map[netip.AddrPort]*peer
}

func newPeers(client *http.Client) *peers {
	dial := func(address netip.AddrPort) *peer {
		url := "http://" + address.String()
		return &peer{
			scheduling: messenger.NewSchedulingProtobufClient(url, client),
			granting:   messenger.NewGrantingProtobufClient(url, client),
			membership: messenger.NewMembershipProtobufClient(url, client),
		}
	}
	return &peers{dial: dial, known: make(map[netip.AddrPort]*peer)}
}

func (p *peers) get(address netip.AddrPort) *peer {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if found := p.known[address]; found != nil {
		return found
	}
	if len(p.known) >= maxPeers {
		clear(p.known)
	}
	made := p.dial(address)
	p.known[address] = made
	return made
}

// call runs a call to another router in a goroutine of its own and passes the result
// to finish on the control goroutine.
func call[Q, A any](c *Coordinator, kind string, method func(context.Context, *Q) (*A, error), request *Q, finish func(*A, error)) {
	c.metrics.messages.WithLabelValues(kind).Inc()
	c.launch(func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		answer, err := method(ctx, request)
		if err != nil {
			c.metrics.failures.WithLabelValues(kind).Inc()
		}
		c.post(func() { finish(answer, err) })
	})
}
