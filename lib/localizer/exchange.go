package localizer

import (
	"net/netip"
	"sync"
	"time"

	"shallotkeel.example/lib/messenger"
)

// Exchange is what a router exchanges with its keepers about crashes, as a part of its polls. It keeps
// track of what each keeper has got. Its zero value is not usable: Observer must be set.
type Exchange struct {
	Observer *Observer

	mutex        sync.Mutex
	sent         map[netip.AddrPort]time.Time // when the latest poll was sent to each keeper
	acknowledged map[netip.AddrPort]time.Time // when the latest poll was sent that each keeper has answered
}

// AddReport adds what a keeper has not got to a poll.
func (x *Exchange) AddReport(now time.Time, keeper netip.AddrPort, request *messenger.FollowRequest) {
	x.mutex.Lock()
	if x.sent == nil {
		x.sent, x.acknowledged = make(map[netip.AddrPort]time.Time), make(map[netip.AddrPort]time.Time)
	}
	x.sent[keeper] = now
	since := x.acknowledged[keeper]
	x.mutex.Unlock()
	report := x.Observer.Report(now, since)
	report.AddTo(request, now)
}

// Answered applies a keeper's answer to a poll, and returns the features that are newly quarantined.
func (x *Exchange) Answered(now time.Time, keeper netip.AddrPort, response *messenger.FollowResponse) []Feature {
	x.mutex.Lock()
	if at, found := x.sent[keeper]; found {
		x.acknowledged[keeper] = at
	}
	x.mutex.Unlock()
	x.Observer.Ask(now, SuspectsFrom(response))
	return x.Observer.SetQuarantines(now, QuarantinesFrom(response.GetQuarantined()))
}

// Lost records that a keeper does not answer: it may have lost what it was told.
func (x *Exchange) Lost(keeper netip.AddrPort) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	delete(x.sent, keeper)
	delete(x.acknowledged, keeper)
}
