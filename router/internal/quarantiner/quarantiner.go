// Package quarantiner reports crashes of endpoints to the keepers, and applies the quarantines that
// they order, at a router on the project's own interface.
//
// It follows every keeper by long polls: each keeper judges what it has been told, and routers are few
// per keeper. A router on the platform's interface exchanges the same in the polls that it needs for
// endpoints anyway.
package quarantiner

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"shallotkeel.example/lib/localizer"
	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/subscriber"
)

// pollWait is how long a keeper holds a poll while the quarantines do not change. What a router learns
// meanwhile waits as long for its report.
const pollWait = time.Second

// Options configures a Quarantiner.
type Options struct {
	Name     string
	Zone     string
	Keepers  []netip.AddrPort
	Observer *localizer.Observer
	Client   *http.Client // for calls to keepers
	Clock    clockwork.Clock
	Log      zerolog.Logger
}

// Quarantiner implements subscriber.Host.
type Quarantiner struct {
	name, zone string
	keepers    []netip.AddrPort
	exchange   localizer.Exchange
	subscriber *subscriber.Subscriber
}

// New returns a Quarantiner that follows no keeper before Run.
func New(options Options) *Quarantiner {
	q := &Quarantiner{
		name: options.Name, zone: options.Zone, keepers: options.Keepers,
		exchange: localizer.Exchange{Observer: options.Observer, Clock: options.Clock, Log: options.Log},
	}
	q.subscriber = subscriber.New(subscriber.Options{
		Host: q, Clock: options.Clock, Log: options.Log, Wait: pollWait,
		Dial: func(address netip.AddrPort) messenger.Planning {
			return messenger.NewPlanningProtobufClient("http://"+address.String(), options.Client)
		},
	})
	return q
}

// Run follows the keepers until the context ends.
func (q *Quarantiner) Run(ctx context.Context) {
	q.subscriber.Run(ctx, q.keepers...)
}

// Report returns the crashes that the keeper has not been told of.
func (q *Quarantiner) Report(keeper netip.AddrPort, _ bool) *messenger.FollowRequest {
	request := &messenger.FollowRequest{Node: q.name, Zone: q.zone}
	q.exchange.AddReport(keeper, request)
	return request
}

// Update applies the quarantines in a keeper's answer.
func (q *Quarantiner) Update(_ context.Context, keeper netip.AddrPort, answer *messenger.FollowResponse) {
	q.exchange.Answered(keeper, answer)
}

// Lost records that a keeper has to be told everything again.
func (q *Quarantiner) Lost(keeper netip.AddrPort, _ error) {
	q.exchange.Lost(keeper)
}
