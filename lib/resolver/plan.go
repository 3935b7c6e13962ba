// Package resolver determines, for one version of the whole configuration, the route of a request,
// the workspace that sent it, and the services that may run it.
//
// A Plan is the configuration that an operator has written. A Table is compiled from it once and is
// then only read, by any number of goroutines, so that every request is handled under exactly one
// version from its arrival to its end.
//
// Invariants: a plan that does not pass Check is never compiled; the keys of workspaces are kept
// and compared only as digests, so that the duration of a lookup reveals nothing about a key.
package resolver

import (
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

// ErrPlan is the sentinel of all errors about a configuration that cannot be used.
var ErrPlan = merry.Sentinel("configuration is not usable")

// Kind determines whether a request may run more than once.
type Kind uint8

// The kinds of request.
const (
	// AtMostOnce requests run at most once for each request that a client sends.
	AtMostOnce Kind = iota + 1
	// Repeatable requests are idempotent: they may run more than once.
	Repeatable
	// Stream requests are answered by a series of events. They run at most once unless their route
	// is resumable.
	Stream
)

// Share is the part of a route's requests that goes to one service.
type Share struct {
	Service string
	Weight  int
}

// Route determines the handling of all requests to a host below a path prefix.
type Route struct {
	Name      string
	Host      string
	Prefix    string
	Kind      Kind
	Resumable bool
	Shares    []Share
	// Attempts is the maximum number of endpoints to which one request of a client is sent.
	Attempts int
	// Timeout bounds the time until the answer is complete. Target is the time until the first part
	// of the answer that earns full credit. Gap is the longest pause between two events that is
	// still on time.
	Timeout time.Duration
	Target  time.Duration
	Gap     time.Duration
	// Rank is the priority; 0 is the most urgent.
	Rank      int
	Anonymous bool
}

// Retryable reports whether a request of the route may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Repeatable || r.Kind == Stream && r.Resumable
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine runs at once.
	Slots int
	// Tokens is the number of tokens that fit into an engine's memory.
	Tokens int
	// TransferTime is the time to transfer the cache of one prompt token from one engine to another,
	// 0 if engines don't transfer cached prompt prefixes.
	TransferTime time.Duration
	// Stride is the number of tokens in each event of a stream, 0 if it is not known.
	Stride int
}

// Service is a group of endpoints that do the same work.
type Service struct {
	Name string
	// Health is the path of the endpoints' health check.
	Health string
	// Connections is the number of connections that an endpoint accepts from all callers together.
	Connections int
	// Engine is nil for a plain service.
	Engine *Engine
	Cold   Cold
}

// Cold is the load limit of an endpoint that has just started or has been idle for a while.
type Cold struct {
	// Rate is the number of requests per second that the endpoint can serve until it is warm; 0
	// means no limit. Well above this rate the endpoint crashes.
	Rate float64
	// Length is the time that the endpoint takes to get warm.
	Length time.Duration
}

// Workspace is a group of users that have one fair share of the capacity in common.
type Workspace struct {
	Name string
	Keys []string
	// Rank takes precedence over the route's if Ranked is set.
	Rank   int
	Ranked bool
}

// Limits bound the size of requests and the time that clients may take to send them.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	// Rate is the capacity of all engines together in tokens per second, with the weights of prompt
	// tokens and generated tokens that admission uses; 0 if it is unknown.
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

// Check returns an error that wraps ErrPlan and names the first fault which makes the plan
// unusable.
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
	if r.Kind < AtMostOnce || r.Kind > Stream {
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

// checkKeys rejects a key that two workspaces hold: its requests could be charged to either of
// them.
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
