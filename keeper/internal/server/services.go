package server

import (
	"sync"

	"github.com/rs/zerolog"

	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/resolver"
)

// serviceCache caches the services of the plan in force. Its zero value has no plan.
//
// The services decide which heartbeats are accepted: any process may announce an instance of
// a service that is not configured, at the address of a serving endpoint. If accepted, it would
// take over that address, and routers would consider the serving endpoint gone until it restarts.
// Endpoints without a configured service get no work, so ignoring them loses nothing.
type serviceCache struct {
	mutex   sync.Mutex
	version uint64
	byName  map[string]resolver.Service // nil if there is no valid plan
}

// services returns the services of a plan by name, nil if the plan is missing or invalid. The map
// is shared and read-only.
func (n *serviceCache) services(plan *messenger.Plan, platform Platform, log zerolog.Logger) map[string]resolver.Service {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if plan.GetVersion() == n.version {
		return n.byName
	}
	n.version, n.byName = plan.GetVersion(), nil
	services, err := platform.Services(plan.GetText())
	if err != nil {
		log.Error().Err(err).Uint64("version", n.version).
			Msg("accepted configuration cannot be parsed; accepting heartbeats of all services and sending no work to cold endpoints")
		return nil
	}
	n.byName = make(map[string]resolver.Service, len(services))
	for _, service := range services {
		n.byName[service.Name] = service
	}
	return n.byName
}

// services returns the services of the plan in force by name, nil if they are unknown.
func (s *Server) services() map[string]resolver.Service {
	if s.platform.Services == nil {
		return nil
	}
	return s.serviceCache.services(s.view.Load().plan, s.platform, s.log)
}
