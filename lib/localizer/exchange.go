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

	mutex   sync.Mutex
	keepers map[netip.AddrPort]*exchanged
}

// exchanged is what a keeper has been told, as times up to which it knows all crashes.
type exchanged struct {
	epoch        uint64 // of the keeper that has answered last
	sent         time.Time
	acknowledged time.Time
}

// AddReport adds what a keeper has not got to a poll.
func (x *Exchange) AddReport(keeper netip.AddrPort, request *messenger.FollowRequest) {
	now := x.Clock.Now()
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if x.keepers == nil {
		x.keepers = make(map[netip.AddrPort]*exchanged)
	}
	known, found := x.keepers[keeper]
	if !found {
		known = &exchanged{}
		x.keepers[keeper] = known
	}
	report := x.Observer.Report(now, known.acknowledged)
	known.sent = report.Through
	report.AddTo(request, now)
}

// Reported reports whether any keeper has acknowledged all crashes that are known here.
func (x *Exchange) Reported() bool {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	latest := time.Time{}
	for _, known := range x.keepers {
		latest = later(latest, known.acknowledged)
	}
	return x.Observer.Reported(latest)
}

// Answered applies the quarantines in a keeper's answer to a poll, and its questions for answers.
func (x *Exchange) Answered(keeper netip.AddrPort, response *messenger.FollowResponse) {
	now := x.Clock.Now()
	x.mutex.Lock()
	if known, found := x.keepers[keeper]; found {
		known.acknowledged = known.sent
		if epoch := response.GetEpoch(); known.epoch != epoch {
			if known.epoch != 0 {
				known.acknowledged = time.Time{} // it has started again, and was told the latest changes only
			}
			known.epoch = epoch
		}
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
	delete(x.keepers, keeper)
}
