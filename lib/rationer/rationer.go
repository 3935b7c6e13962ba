// Package rationer bounds the requests that a whole fleet of routers sends to an endpoint
// that bears few of them.
//
// An endpoint that has only just started is cold: well above some requests a second it
// crashes. Hundreds of routers choose it by themselves, and no request waits for a message,
// so that the rate has to be handed out beforehand. It is divided into parts, one for each
// of some keepers. A keeper leases its part to one router at a time, among those that report
// to it, with the answer to a poll; that router leaves a pause between its requests.
//
// Ways that were ruled out: an even part of the rate for each router with a chance to send
// is far above the rate in some seconds, and each router's part is less than its requests
// need; routers that own an endpoint by hashing over their names own it twice where their
// views of the fleet differ.
//
// Invariants, while clocks run at one speed: at most one router has a keeper's part of an
// endpoint at any time, whoever is cut off, restarts or reports elsewhere; in any second all
// routers together send to it at most what Limit allows. A router that hears no keeper
// soon sends nothing there.
package rationer

import (
	"math"
	"time"
)

// Term is for how long a part is leased, from the moment at which a router asks for it.
// Routers ask twice a second or more.
const Term = 1500 * time.Millisecond

// credit is the part of a pause by which a request may come sooner after one that came
// later than it might. Without it each pause is longer by the time until the next request
// comes.
const credit = 0.5

// Limit is what a cold endpoint bears.
type Limit struct {
	// Rate is in requests a second.
	Rate float64
	// Overage is how many times the rate may come within one second, and Slack how many
	// requests more. Overage counts as 1 at least.
	Overage, Slack float64
}

// Parts returns into how many parts the limit is divided for so many keepers, one at least,
// and the pause between the requests of each.
//
// A part's requests within one second are 1 more than pauses fit into it, and one may come
// early by the credit. All parts together exceed the rate by that much each at most.
func (l Limit) Parts(keepers int) (count int, pause time.Duration) {
	beyond := (max(l.Overage, 1)-1)*l.Rate + l.Slack
	count = min(keepers, int(beyond/(1+credit)))
	count = max(count, 1)
	return count, time.Duration(math.Ceil(float64(count) / l.Rate * float64(time.Second)))
}
