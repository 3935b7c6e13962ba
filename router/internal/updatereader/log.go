package updatereader

import (
	"net/netip"

	"shallotkeel.example/lib/lister"
)

// maxLogged bounds the endpoint changes that are logged one by one, per update of a keeper and per
// second. At a start, keepers send thousands of changes to each router, and each log line takes
// processor time that requests wait for.
const maxLogged = 16

// log logs changes of endpoints, each once, however many keepers report it.
func (r *Reader) log(keeper netip.AddrPort, changed []lister.Listing) {
	if len(changed) > maxLogged {
		r.logSummary(keeper, changed)
		return
	}
	for _, listing := range changed {
		if !r.logDamper.Admit(r.options.Clock.Now(), r.options.Log) {
			continue
		}
		r.options.Log.Info().Str("endpoint", listing.ID).Str("service", listing.Service).Stringer("address", listing.Address).
			Uint8("state", uint8(listing.State)).Bool("silent", listing.Silent).Uint64("sequence", listing.Sequence).
			Time("started", listing.Started).Str("version", listing.Version).
			Stringer("keeper", keeper).Msg("endpoint changed")
	}
}

// logSummary logs many changes as one line. Each of them is in the log of the keeper that received the
// endpoint's heartbeat.
func (r *Reader) logSummary(keeper netip.AddrPort, changed []lister.Listing) {
	var ready, leaving, gone, silent int
	for _, listing := range changed {
		switch {
		case listing.Silent:
			silent++
		case listing.State == lister.Ready:
			ready++
		case listing.State == lister.Leaving:
			leaving++
		default:
			gone++
		}
	}
	r.options.Log.Info().Int("endpoints", len(changed)).Int("ready", ready).Int("leaving", leaving).Int("gone", gone).
		Int("silent", silent).Stringer("keeper", keeper).Msg("endpoints changed")
}
