package server

import (
	"sync"

	"github.com/rs/zerolog"

	"shallotkeel.example/lib/messenger"
)

// naming remembers which services the configuration in force names. Its zero value
// knows of no configuration.
//
// Any process may announce an instance of a service that nobody named, at the
// address of one that serves. Believed, it would take that address away: routers see
// the true endpoint as gone for as long as it lives. What belongs to no service gets
// no work anyhow, so that nothing is lost by leaving it out.
type naming struct {
	mutex   sync.Mutex
	version uint64
	names   map[string]bool // nil while there is no configuration
}

// knows tells whether a service is named, as far as that is known.
func (n *naming) knows(plan *messenger.Plan, service string, platform Platform, log zerolog.Logger) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if plan.GetVersion() != n.version {
		n.version, n.names = plan.GetVersion(), nil
		names, err := platform.Services(plan.GetText())
		if err != nil {
			log.Error().Err(err).Uint64("version", n.version).Msg("an accepted configuration cannot be read; all services count as named")
			return true
		}
		n.names = make(map[string]bool, len(names))
		for _, name := range names {
			n.names[name] = true
		}
	}
	return n.names == nil || n.names[service]
}
