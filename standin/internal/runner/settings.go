// Package runner assembles a stand-in from its settings and runs it.
//
// Invariants: a planned stop is announced first, then running requests finish,
// then the endpoint is withdrawn; the announced load lags, and cache events are
// delayed and dropped, as the settings say and by a seeded random source, so that
// a run can be repeated.
package runner

import (
	"net/netip"

	"shallotkeel.example/lib/loader"
)

// The types of stand-in: a model engine and a plain service.
const (
	TypeModel = "model"
	TypePlain = "plain"
)

// Settings of a stand-in.
type Settings struct {
	Name          string            `json:"name"`
	Listen        netip.AddrPort    `json:"listen"`
	Address       netip.AddrPort    `json:"address"` // the announced address, if it differs from Listen
	Routers       []netip.AddrPort  `json:"routers"`
	EndpointToken string            `json:"endpoint_token"`
	Type          string            `json:"type"`
	Service       string            `json:"service"`
	Labels        map[string]string `json:"labels"`
	Models        []string          `json:"models"`
	Slots         int               `json:"slots"`
	TTL           loader.Duration   `json:"ttl"`
	TokenTime     loader.Duration   `json:"token_time"`
	Slowdown      float64           `json:"slowdown"` // fraction of token_time that each further request adds to a step
	Prefill       loader.Duration   `json:"prefill"`  // time for each prompt unit
	Busy          loader.Duration   `json:"busy"`     // duration of one plain call
	Cache         int               `json:"cache"`    // capacity of the prefix cache, in entries
	EventDelay    loader.Duration   `json:"event_delay"`
	EventLoss     float64           `json:"event_loss"` // fraction of the cache events that is dropped, 0 to 1
	LoadLag       loader.Duration   `json:"load_lag"`
	Fenced        bool              `json:"fenced"`
	Room          int               `json:"room"`      // number of models that fit, announced as a label; 0 announces none, so that routers give no orders
	LoadTime      loader.Duration   `json:"load_time"` // duration of loading one model
	Seed          uint64            `json:"seed"`
	CrashOn       string            `json:"crash_on"` // initial value of the fault crash_on
	Journal       string            `json:"journal"`  // file to which every journal entry is appended; empty for none
	StopTimeout   loader.Duration   `json:"stop_timeout"`
}

// Check returns the problems of the settings.
func (s *Settings) Check() []loader.Problem {
	var problems []loader.Problem
	require := func(valid bool, key, message, remedy string) {
		if !valid {
			problems = append(problems, loader.Problem{Key: key, Message: message, Remedy: remedy})
		}
	}
	require(s.Name != "", "name", "is missing", "give the endpoint an id that is unique in its zone")
	require(s.Listen.IsValid(), "listen", "is missing", "set an address and port to listen on")
	require(len(s.Routers) > 0, "routers", "is empty", "name the public addresses of the zone's routers")
	require(s.Type == TypeModel || s.Type == TypePlain, "type", "is unknown", "write \"model\" or \"plain\"")
	require(s.Service != "", "service", "is missing", "name the service that the endpoint belongs to")
	require(s.Slots > 0, "slots", "is not positive", "set how many requests run at once")
	require(s.TTL.Duration > 0, "ttl", "is not positive", "set for example \"3s\"")
	require(s.Type != TypeModel || len(s.Models) > 0 || s.Room > 0, "models", "is empty", "name the models that the engine offers, or set \"room\" to have them loaded by order")
	require(s.Room >= 0 && (s.Room == 0 || len(s.Models) <= s.Room), "room", "is smaller than the number of models", "raise it, or name fewer models")
	require(s.Type != TypeModel || s.TokenTime.Duration > 0, "token_time", "is not positive", "set for example \"10ms\"")
	require(s.EventLoss >= 0 && s.EventLoss <= 1, "event_loss", "is not between 0 and 1", "set the part of events to lose")
	return problems
}

func (s *Settings) address() netip.AddrPort {
	if s.Address.IsValid() {
		return s.Address
	}
	return s.Listen
}
