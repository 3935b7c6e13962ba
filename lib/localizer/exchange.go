package localizer

import (
	"net/netip"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"shallotkeel.example/lib/messenger"
)

// Exchange is what a router exchanges with its keepers about crashes, as a part of its polls. It keeps
// track of what each keeper has got. Its zero value is not usable: Observer and Clock must be set.
type Exchange struct {
	Observer *Observer
	Clock    clockwork.Clock
	Log      zerolog.Logger

	mutex        sync.Mutex
	sent         map[netip.AddrPort]time.Time // when the latest poll was sent to each keeper
	acknowledged map[netip.AddrPort]time.Time // when the latest poll was sent that each keeper has answered
}

// AddReport adds what a keeper has not got to a poll.
func (x *Exchange) AddReport(keeper netip.AddrPort, request *messenger.FollowRequest) {
	now := x.Clock.Now()
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

// Answered applies the quarantines in a keeper's answer to a poll, and its questions for answers.
func (x *Exchange) Answered(keeper netip.AddrPort, response *messenger.FollowResponse) {
	now := x.Clock.Now()
	x.mutex.Lock()
	if at, found := x.sent[keeper]; found {
		x.acknowledged[keeper] = at
	}
	x.mutex.Unlock()
	x.Observer.Ask(now, SuspectsFrom(response))
	for _, feature := range x.Observer.SetQuarantines(now, QuarantinesFrom(response.GetQuarantined())) {
		x.Log.Warn().Hex("feature", feature.Bytes()).Stringer("keeper", keeper).Msg("requests with a feature that crashes endpoints are refused from now on")
	}
}

// Lost records that a keeper does not answer: it may have lost what it was told.
func (x *Exchange) Lost(keeper netip.AddrPort) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	delete(x.sent, keeper)
	delete(x.acknowledged, keeper)
}
