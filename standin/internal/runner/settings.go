// Package runner puts a stand-in together from its settings and runs it.
//
// Invariants: a planned stop is announced first, then lets running requests
// finish, then withdraws; reported load lags and cache events come late and
// with gaps, by the settings and a seed, so that a run can be repeated.
package runner

import (
	"net/netip"

	"shallotkeel.example/lib/loader"
)

// The types of stand-in.
const (
	TypeModel = "model"
	TypePlain = "plain"
)

// Settings of a stand-in.
type Settings struct {
	Name          string            `json:"name"`
	Listen        netip.AddrPort    `json:"listen"`
	Address       netip.AddrPort    `json:"address"` // announced address, if it is not Listen
	Routers       []netip.AddrPort  `json:"routers"`
	EndpointToken string            `json:"endpoint_token"`
	Type          string            `json:"type"`
	Service       string            `json:"service"`
	Labels        map[string]string `json:"labels"`
	Models        []string          `json:"models"`
	Slots         int               `json:"slots"`
	TTL           loader.Duration   `json:"ttl"`
	TokenTime     loader.Duration   `json:"token_time"`
	Slowdown      float64           `json:"slowdown"` // part of token_time that each further request adds to a step
	Prefill       loader.Duration   `json:"prefill"`  // for each prompt unit
	Busy          loader.Duration   `json:"busy"`     // of one plain call
	Cache         int               `json:"cache"`    // entries of the prefix cache
	EventDelay    loader.Duration   `json:"event_delay"`
	EventLoss     float64           `json:"event_loss"` // part of the cache events that is lost
	LoadLag       loader.Duration   `json:"load_lag"`
	Fenced        bool              `json:"fenced"`
	Room          int               `json:"room"`      // models that fit, announced as a label; 0 takes no orders from routers
	LoadTime      loader.Duration   `json:"load_time"` // of one model
	Seed          uint64            `json:"seed"`
	CrashOn       string            `json:"crash_on"` // the fault of that name, in force from the start
	Journal       string            `json:"journal"`  // file that every execution is appended to, or empty
	StopTimeout   loader.Duration   `json:"stop_timeout"`
}

// Check tells which settings cannot be used.
func (s *Settings) Check() []loader.Problem {
	var problems []loader.Problem
	require := func(fine bool, key, message, remedy string) {
		if !fine {
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
