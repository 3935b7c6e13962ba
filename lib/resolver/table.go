package resolver

import (
	"crypto/sha256"
	"net"
	"slices"
	"strings"
)

// Table is a compiled plan. It is immutable.
type Table struct {
	version    uint64
	limits     Limits
	hosts      map[string][]*Route // longest prefix first
	services   map[string]*Service
	workspaces map[[sha256.Size]byte]*Workspace
	guarded    bool
	former     map[[sha256.Size]byte]Former
}

// Compile checks a plan and prepares it for lookups.
func Compile(plan Plan) (*Table, error) {
	if err := plan.Check(); err != nil {
		return nil, err
	}
	t := &Table{
		version: plan.Version, limits: plan.Limits, guarded: len(plan.Workspaces) > 0,
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

// Limits returns what clients may send.
func (t *Table) Limits() Limits {
	return t.limits
}

// Guarded tells whether requests need the key of a workspace.
func (t *Table) Guarded() bool {
	return t.guarded
}

// Service returns a service by its name.
func (t *Table) Service(name string) (*Service, bool) {
	service, found := t.services[name]
	return service, found
}

// Services returns all services by name. The map is only for reading.
func (t *Table) Services() map[string]*Service {
	return t.services
}

// Route returns the route with the longest path that begins the request's.
func (t *Table) Route(host, path string) (*Route, bool) {
	for _, route := range t.hosts[bareHost(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return nil, false
}

// bareHost drops a port and the case of letters.
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

// Shared tells whether a service has a part of the route's requests.
func (r *Route) Shared(service string) bool {
	return slices.ContainsFunc(r.Shares, func(share Share) bool { return share.Service == service && share.Weight > 0 })
}

// Pick returns the service for a draw from 0 up to 1.
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
