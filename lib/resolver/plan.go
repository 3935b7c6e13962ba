// Package resolver answers, for one version of a whole configuration, which
// route a request takes, which workspace sent it, and which services may run it.
//
// A Plan is what an operator described; a Table is compiled from it once and
// then only read, by any number of goroutines, so that every request is judged
// by exactly one version from its arrival to its end.
//
// Invariants: a plan that does not pass Check is never compiled; a workspace's
// keys are kept as digests only and are compared by digest, so that the time a
// lookup takes tells nothing about a key.
package resolver

import (
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

// ErrPlan is the kind of every error about a configuration that cannot be used.
var ErrPlan = merry.Sentinel("configuration is not usable")

// Kind says what may be done with a request more than once.
type Kind uint8

// The kinds of request.
const (
	// Once may run at most once for each request that a client sends.
	Once Kind = iota + 1
	// Repeatable is idempotent: it may run more than once.
	Repeatable
	// Stream is answered by a series of events, and may run at most once unless
	// its route is resumable.
	Stream
)

// Share is a service's part of a route's requests.
type Share struct {
	Service string
	Weight  int
}

// Route says what happens to the requests of a host below a path.
type Route struct {
	Name      string
	Host      string
	Prefix    string
	Kind      Kind
	Resumable bool
	Shares    []Share
	// Attempts is how many endpoints may get one request of a client.
	Attempts int
	// Timeout is the longest time until the final answer; Target the time until
	// the first part of it that earns full credit; Gap the longest pause between
	// two events that is still on time.
	Timeout time.Duration
	Target  time.Duration
	Gap     time.Duration
	// Rank is 0 for the most urgent requests.
	Rank      int
	Anonymous bool
}

// Repeats tells whether a request of the route may run more than once.
func (r *Route) Repeats() bool {
	return r.Kind == Repeatable || r.Kind == Stream && r.Resumable
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many requests an engine runs at once.
	Slots int
	// Tokens is how many tokens its memory holds.
	Tokens int
}

// Service is a group of endpoints that do the same work.
type Service struct {
	Name string
	// Health is the path of its health check.
	Health string
	// Connections is how many connections an endpoint accepts from all callers.
	Connections int
	// Engine is nil for a plain service.
	Engine *Engine
	Cold   Cold
}

// Cold says what an endpoint bears that has only just started, or got nothing for a while.
type Cold struct {
	// Rate is how many requests a second it bears until it is warm, 0 for any number. Well
	// above it the endpoint crashes.
	Rate float64
	// Length is how long it takes to get warm.
	Length time.Duration
}

// Workspace is a group of users who share one fair share of the capacity.
type Workspace struct {
	Name string
	Keys []string
	// Rank goes before the route's if Ranked is set.
	Rank   int
	Ranked bool
}

// Limits bound what a client may send and how fast.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	// Rate is the tokens a second that all engines yield together; 0 is unknown.
	Rate float64
}

// Plan is a whole configuration.
type Plan struct {
	Version    uint64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}

// Check returns an error that names what makes the plan unusable.
func (p *Plan) Check() error {
	services := make(map[string]bool, len(p.Services))
	for _, service := range p.Services {
		if service.Name == "" || services[service.Name] {
			return merry.Errorf("%w: service %q is nameless or stands twice; name each service once", ErrPlan, service.Name)
		}
		services[service.Name] = true
	}
	places := make(map[string]string, len(p.Routes))
	for i := range p.Routes {
		route := &p.Routes[i]
		if err := route.check(services); err != nil {
			return err
		}
		place := strings.ToLower(route.Host) + route.Prefix
		if other, taken := places[place]; taken {
			return merry.Errorf("%w: routes %q and %q share a host and a path; change one of them", ErrPlan, other, route.Name)
		}
		places[place] = route.Name
	}
	return p.checkKeys()
}

func (r *Route) check(services map[string]bool) error {
	fail := func(what string) error {
		return merry.Errorf("%w: route %q %s", ErrPlan, r.Name, what)
	}
	if r.Host == "" || !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return fail("needs a host and a path that begins and ends with a slash")
	}
	if r.Kind < Once || r.Kind > Stream {
		return fail("has no kind; say what may be repeated")
	}
	if r.Timeout <= 0 {
		return fail("has no timeout; set one above 0")
	}
	if r.Attempts < 1 {
		return fail("allows no attempt; allow at least one")
	}
	weights := 0
	for _, share := range r.Shares {
		if !services[share.Service] {
			return fail("names the unknown service " + share.Service)
		}
		if share.Weight < 0 {
			return fail("has a negative weight")
		}
		weights += share.Weight
	}
	if weights <= 0 {
		return fail("has weights that add up to 0; give one service a weight")
	}
	return nil
}

// checkKeys refuses a key that two workspaces hold: its requests could be
// counted for either.
func (p *Plan) checkKeys() error {
	holders := make(map[string]string)
	for _, workspace := range p.Workspaces {
		if workspace.Name == "" {
			return merry.Errorf("%w: a workspace has no name", ErrPlan)
		}
		for _, key := range workspace.Keys {
			if holder, taken := holders[key]; taken && holder != workspace.Name {
				return merry.Errorf("%w: workspaces %q and %q share a key; give each its own", ErrPlan, holder, workspace.Name)
			}
			holders[key] = workspace.Name
		}
	}
	return nil
}
