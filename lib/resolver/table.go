package resolver

import (
	"crypto/sha256"
	"net"
	"slices"
	"strings"
)

// Table is a compiled plan. It is immutable once it is in use.
type Table struct {
	version     uint64
	limits      Limits
	hosts       map[string][]*Route // longest prefix first
	services    map[string]*Service
	workspaces  map[[sha256.Size]byte]*Workspace
	requiresKey bool
	removedKeys map[[sha256.Size]byte]RemovedKey
}

// Compile checks a plan and prepares it for lookups.
func Compile(plan Plan) (*Table, error) {
	if err := plan.Check(); err != nil {
		return nil, err
	}
	t := &Table{
		version: plan.Version, limits: plan.Limits, requiresKey: len(plan.Workspaces) > 0,
		hosts:      make(map[string][]*Route),
		services:   make(map[string]*Service, len(plan.Services)),
		workspaces: make(map[[sha256.Size]byte]*Workspace),
	}
	for i := range plan.Routes {
		route := plan.Routes[i]
		host := strings.ToLower(route.Host)
		t.hosts[host] = append(t.hosts[host], &route)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range plan.Services {
		service := plan.Services[i]
		t.services[service.Name] = &service
	}
	for _, workspace := range plan.Workspaces {
		named := workspace
		named.Keys = nil
		for _, key := range workspace.Keys {
			t.workspaces[sha256.Sum256([]byte(key))] = &named
		}
	}
	return t, nil
}

// Version returns the plan's version.
func (t *Table) Version() uint64 {
	return t.version
}

// Limits returns the limits for requests of clients.
func (t *Table) Limits() Limits {
	return t.limits
}

// RequiresKey reports whether requests need the key of a workspace.
func (t *Table) RequiresKey() bool {
	return t.requiresKey
}

// Service returns a service by its name.
func (t *Table) Service(name string) (*Service, bool) {
	service, found := t.services[name]
	return service, found
}

// Services returns all services by name. Callers must not modify the map.
func (t *Table) Services() map[string]*Service {
	return t.services
}

// Route returns the route of the host with the longest prefix of the request's path.
func (t *Table) Route(host, path string) (*Route, bool) {
	for _, route := range t.hosts[bareHost(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return nil, false
}

// bareHost strips the port and converts the host to lower case.
func bareHost(host string) string {
	if strings.Contains(host, ":") {
		if bare, _, err := net.SplitHostPort(host); err == nil {
			host = bare
		}
	}
	return strings.ToLower(host)
}

// Workspace returns the workspace that holds a key.
func (t *Table) Workspace(key string) (*Workspace, bool) {
	workspace, found := t.workspaces[sha256.Sum256([]byte(key))]
	return workspace, found
}

// Includes reports whether the service gets a share of the route's requests.
func (r *Route) Includes(service string) bool {
	return slices.ContainsFunc(r.Shares, func(share Share) bool { return share.Service == service && share.Weight > 0 })
}

// Pick selects a service by weight. Draw is a random number in [0, 1).
func (r *Route) Pick(draw float64) string {
	total := 0
	for _, share := range r.Shares {
		total += share.Weight
	}
	at := int(draw * float64(total))
	for _, share := range r.Shares {
		if at < share.Weight {
			return share.Service
		}
		at -= share.Weight
	}
	return r.Shares[len(r.Shares)-1].Service
}
