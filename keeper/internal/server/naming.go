package server

import (
	"sync"

	"github.com/rs/zerolog"

	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/resolver"
)

// naming remembers the services that the configuration in force names. Its zero value
// knows of no configuration.
//
// Any process may announce an instance of a service that nobody named, at the
// address of one that serves. Believed, it would take that address away: routers see
// the true endpoint as gone for as long as it lives. What belongs to no service gets
// no work anyhow, so that nothing is lost by leaving it out.
type naming struct {
	mutex   sync.Mutex
	version uint64
	named   map[string]resolver.Service // nil while there is no configuration
}

// services returns the services of a configuration by their names, nil if they are not
// known. They are only for reading.
func (n *naming) services(plan *messenger.Plan, platform Platform, log zerolog.Logger) map[string]resolver.Service {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if plan.GetVersion() == n.version {
		return n.named
	}
	n.version, n.named = plan.GetVersion(), nil
	services, err := platform.Services(plan.GetText())
	if err != nil {
		log.Error().Err(err).Uint64("version", n.version).
			Msg("an accepted configuration cannot be read; all services count as named, and no cold endpoint gets work")
		return nil
	}
	n.named = make(map[string]resolver.Service, len(services))
	for _, service := range services {
		n.named[service.Name] = service
	}
	return n.named
}

// services returns the services of the configuration in force, nil if they are not known.
func (s *Server) services() map[string]resolver.Service {
	if s.platform.Services == nil {
		return nil
	}
	return s.serviceCache.services(s.view.Load().plan, s.platform, s.log)
}
