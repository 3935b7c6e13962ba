package newsreader

import (
	"net/netip"

	"shallotkeel.example/lib/lister"
)

// mostLogged bounds the changes of endpoints that are logged one by one, in one answer of a keeper
// and in a second. At a start keepers tell of thousands, to each router, and each line takes time
// that requests wait for.
const mostLogged = 16

// log logs changes of endpoints, each once, however many keepers say it.
func (r *Reader) log(keeper netip.AddrPort, changed []lister.Listing) {
	if len(changed) > mostLogged {
		r.logSum(keeper, changed)
		return
	}
	for _, listing := range changed {
		if !r.lines.Admit(r.options.Clock.Now(), r.options.Log) {
			continue
		}
		r.options.Log.Info().Str("endpoint", listing.ID).Str("service", listing.Service).Stringer("address", listing.Address).
			Uint8("state", uint8(listing.State)).Bool("silent", listing.Silent).Uint64("sequence", listing.Sequence).
			Time("started", listing.Started).Str("version", listing.Version).
			Stringer("keeper", keeper).Msg("endpoint changed")
	}
}

// logSum logs many changes as one. Each of them is in the logs of the keeper that heard it.
func (r *Reader) logSum(keeper netip.AddrPort, changed []lister.Listing) {
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
