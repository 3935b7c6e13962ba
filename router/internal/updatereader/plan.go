package updatereader

import (
	"context"
	"net/netip"
	"time"

	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/resolver"
)

// fetchTimeout bounds the transfer of a configuration, a few hundred KB.
const fetchTimeout = 1500 * time.Millisecond

// primaryWait is how long the router waits for the primary keeper to offer a newer configuration that
// another keeper has named. The primary names it at the same moment if it is connected to its peers.
// After the wait, the configuration is fetched from the keeper that named it.
const primaryWait = 400 * time.Millisecond

// awaitPrimary waits until a version has been fetched from the primary keeper, and reports whether it
// is in force. It also returns true if the context ends.
//
// A configuration is hundreds of KB. If every router fetched it from the keeper that names it first,
// four of five copies would cross zones at each change.
func (r *Reader) awaitPrimary(ctx context.Context, version uint64) bool {
	if r.version() == 0 {
		return false // the first configuration is fetched from any keeper
	}
	limit := r.options.Clock.After(primaryWait)
	for {
		r.mutex.Lock()
		changed := r.planChanged
		r.mutex.Unlock()
		if r.version() >= version {
			return true
		}
		select {
		case <-ctx.Done():
			return true
		case <-limit:
			return false
		case <-changed:
		}
	}
}

// fetch fetches the configuration from a keeper that has a newer one, and activates it.
func (r *Reader) fetch(ctx context.Context, keeper netip.AddrPort) {
	r.fetching.Lock()
	defer r.fetching.Unlock()
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	plan, err := r.options.Dial(keeper).Fetch(ctx, &messenger.CurrentRequest{})
	if err != nil {
		r.options.Log.Warn().Err(err).Stringer("keeper", keeper).Msg("fetching the configuration failed; retrying after the next update that names it")
		return
	}
	if plan.GetVersion() <= r.version() {
		return
	}
	r.activate(keeper, plan)
}

// activate compiles a configuration and brings it into force.
func (r *Reader) activate(keeper netip.AddrPort, plan *messenger.Plan) {
	decoded, err := r.options.Dialect.Plan(plan.GetText())
	if err == nil {
		var table *resolver.Table
		if table, err = resolver.Compile(decoded); err == nil {
			table.InheritRemovedKeys(r.table.Load())
			r.options.Plan(table)
			before := r.version()
			if r.table.Swap(table) == nil {
				close(r.ready)
			}
			r.mutex.Lock()
			close(r.planChanged)
			r.planChanged = make(chan struct{})
			r.mutex.Unlock()
			r.options.Log.Info().Uint64("version", plan.GetVersion()).Uint64("before", before).
				Stringer("keeper", keeper).Msg("configuration in force")
			return
		}
	}
	// Keepers accept a configuration only after checking it with the same code.
	r.options.Log.Error().Err(err).Uint64("version", plan.GetVersion()).Msg("an accepted configuration is unusable here, the previous one stays in force; run the same version of all programs")
}
