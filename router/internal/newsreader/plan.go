package newsreader

import (
	"context"
	"net/netip"
	"time"

	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/resolver"
)

// fetchTimeout bounds the transfer of a configuration, a few hundred KB.
const fetchTimeout = 1500 * time.Millisecond

// otherPause is how long a newer configuration that a keeper names is waited for from the
// primary, which names it at the same moment if it hears the others. Then it is fetched from
// the one that named it.
const otherPause = 400 * time.Millisecond

// awaited waits for a version to come from the primary, and tells whether it has come.
//
// A configuration is hundreds of kilobytes. Fetched from whichever keeper names it first,
// four of five copies go from zone to zone, to every router, with each change.
func (r *Reader) awaited(ctx context.Context, version uint64) bool {
	if r.version() == 0 {
		return false // whoever has one first
	}
	limit := r.options.Clock.After(otherPause)
	for {
		r.mutex.Lock()
		enforced := r.enforced
		r.mutex.Unlock()
		if r.version() >= version {
			return true
		}
		select {
		case <-ctx.Done():
			return true
		case <-limit:
			return false
		case <-enforced:
		}
	}
}

// fetch gets the configuration from a keeper that has a newer one.
func (r *Reader) fetch(ctx context.Context, keeper netip.AddrPort) {
	r.fetching.Lock()
	defer r.fetching.Unlock()
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	plan, err := r.options.Dial(keeper).Fetch(ctx, &messenger.CurrentRequest{})
	if err != nil {
		r.options.Log.Warn().Err(err).Stringer("keeper", keeper).Msg("the configuration was not fetched; another answer brings it")
		return
	}
	if plan.GetVersion() <= r.version() {
		return
	}
	r.enforce(keeper, plan)
}

func (r *Reader) enforce(keeper netip.AddrPort, plan *messenger.Plan) {
	decoded, err := r.options.Dialect.Plan(plan.GetText())
	if err == nil {
		var table *resolver.Table
		if table, err = resolver.Compile(decoded); err == nil {
			table.InheritRemovedKeys(r.table.Load())
			r.options.Plan(table)
			before := r.version()
			if r.table.Swap(table) == nil {
				close(r.begun)
			}
			r.mutex.Lock()
			close(r.enforced)
			r.enforced = make(chan struct{})
			r.mutex.Unlock()
			r.options.Log.Info().Uint64("version", plan.GetVersion()).Uint64("before", before).
				Stringer("keeper", keeper).Msg("configuration in force")
			return
		}
	}
	// Keepers accept only what the same code has checked.
	r.options.Log.Error().Err(err).Uint64("version", plan.GetVersion()).Msg("an accepted configuration cannot be used; run one version of all programs")
}
