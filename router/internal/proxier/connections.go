package proxier

import "shallotkeel.example/lib/forwarder"

const (
	// minConnections is the least even part of an endpoint's connections that a router has.
	minConnections = 2
	// burstDivisor divides an endpoint's connections into what one router may open at most.
	burstDivisor = 2
)

// SetRouterCount sets the number of routers, which share the connections that an endpoint accepts.
func (p *Proxier) SetRouterCount(count int) {
	p.routers.Store(int64(count))
}

// connectionBound returns how many connections to one endpoint of the request's service this router may
// open. It may exceed its even part while requests need it to: clients are spread unevenly, and the part of a
// flooded router would be used up while the endpoints have room.
func (p *Proxier) connectionBound(q *request) forwarder.Bound {
	service, found := q.table.Service(q.service)
	if !found || service.Connections == 0 {
		return forwarder.Bound{}
	}
	routers := int(max(p.routers.Load(), 1))
	part := max(service.Connections/routers, minConnections)
	return forwarder.Bound{Part: part, Open: max(service.Connections/burstDivisor, part)}
}
