package updatereader

import (
	"net/netip"

	"shallotkeel.example/lib/localizer"
	"shallotkeel.example/lib/messenger"
)

// updateQuarantines applies the quarantines in an update, and the questions for answers.
func (r *Reader) updateQuarantines(keeper netip.AddrPort, update *messenger.FollowResponse) {
	now := r.options.Clock.Now()
	r.options.Crashes.Ask(now, localizer.SuspectsFrom(update))
	for _, feature := range r.options.Crashes.SetQuarantines(now, localizer.QuarantinesFrom(update.GetQuarantined())) {
		r.options.Log.Warn().Hex("feature", feature.Bytes()).Stringer("keeper", keeper).Msg("requests with a feature that crashes endpoints are refused from now on")
	}
}
