// Package rationer bounds the rate of requests that all routers of the fleet together send to an
// endpoint with a small capacity.
//
// An endpoint that has just started is cold: it crashes if its rate of requests is well above a
// limit. Hundreds of routers select endpoints independently, and no request waits for a message, so
// that the rate has to be allocated in advance. The rate is divided into parts, each of which
// belongs to one keeper. A keeper leases its part to one router at a time, among those that report
// to it, in the answer to a poll; that router leaves a pause between its requests.
//
// Alternatives that fail: with an even part of the rate for each router that might send a request,
// the total is far above the rate in some seconds, and each router's part is less than its requests
// need; if routers own endpoints by hashing over the routers' names, an endpoint has two owners
// where the routers' views of the fleet differ.
//
// Invariants, while all clocks run at the same speed: at most one router has a keeper's part of an
// endpoint at any time, whichever processes are cut off, restart or report to another keeper; in
// any second all routers together send to the endpoint at most the number of requests that Limit
// allows. A router that receives no answers from keepers soon sends nothing to the endpoint.
package rationer

import (
	"math"
	"time"
)

// LeaseTerm is the duration of a lease, from the moment at which the router asks for it. Routers
// ask at least twice a second.
const LeaseTerm = 1500 * time.Millisecond

// earlyCredit is the fraction of a pause by which a request may be sent early if the previous one was
// sent later than allowed. Without it each pause is longer by the time until the next request
// arrives.
const earlyCredit = 0.5

// Limit is the load that a cold endpoint tolerates.
type Limit struct {
	// Rate is in requests per second.
	Rate float64
	// Up to Overage times the rate plus Slack requests may be sent within one second. An Overage
	// below 1 counts as 1.
	Overage, Slack float64
}

// Parts returns the number of parts into which the limit is divided among the keepers, at least
// one, and the pause between the requests of each part.
//
// A part's requests within one second are 1 more than the number of pauses that fit into it, and
// one request may come early by earlyCredit. Each part thus adds at most that much to the total
// beyond the rate.
func (l Limit) Parts(keepers int) (count int, pause time.Duration) {
	excess := (max(l.Overage, 1)-1)*l.Rate + l.Slack
	count = min(keepers, int(excess/(1+earlyCredit)))
	count = max(count, 1)
	return count, time.Duration(math.Ceil(float64(count) / l.Rate * float64(time.Second)))
}
