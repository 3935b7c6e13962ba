package updatereader

import (
	"net/netip"

	"shallotkeel.example/lib/messenger"
)

// updateQuarantines applies the quarantines in an update, and the questions for answers.
func (r *Reader) updateQuarantines(keeper netip.AddrPort, update *messenger.FollowResponse) {
	for _, feature := range r.crashes.Answered(r.options.Clock.Now(), keeper, update) {
		r.options.Log.Warn().Hex("feature", feature.Bytes()).Stringer("keeper", keeper).Msg("requests with a feature that crashes endpoints are refused from now on")
	}
}
