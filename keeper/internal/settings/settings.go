// Package settings is the settings file of a keeper.
package settings

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"shallotkeel.example/lib/labeler"
	"shallotkeel.example/lib/loader"
	"shallotkeel.example/lib/replicator"
)

// Settings is a keeper's settings file; docs/INTERFACES.md shows one.
type Settings struct {
	Name    string         `json:"name"`
	Zone    string         `json:"zone"`
	Listen  netip.AddrPort `json:"listen"`
	Control netip.AddrPort `json:"control"`
	// Advertise is the control address told to others, where it is not Control.
	Advertise netip.AddrPort `json:"advertise"`
	Data      string         `json:"data"`
	// Keepers are the control addresses by name, this keeper's own included.
	Keepers map[string]netip.AddrPort `json:"keepers"`
	// Join keeps this keeper from founding a group.
	Join   bool   `json:"join"`
	Secret string `json:"secret"`
	Timing Timing `json:"timing"`
	// Seeds are some keepers' addresses, where no list of all of them is kept.
	// Only their hosts count: all keepers use the port of Control.
	Seeds []netip.AddrPort `json:"seeds"`
	// Bootstrap says that the whole fleet starts for the first time, with empty
	// disks. Without it a keeper that knows seeds only ever joins a group.
	Bootstrap bool `json:"bootstrap"`
	// File is where the settings were read, and are looked at for changes.
	File string `json:"-"`
	// Memory is what the instance may use, in MB; 0 is not known.
	Memory int `json:"memory"`
	// Platform is set where the platform's operators and endpoints call.
	Platform *Platform `json:"platform"`
}

// Platform says how the platform's operators and endpoints call.
type Platform struct {
	Listen netip.AddrPort `json:"listen"`
	// Heartbeat is the pause between an endpoint's heartbeats.
	Heartbeat loader.Duration `json:"heartbeat"`
	// Zones are the availability zones of the platform, with their regions. Orders for
	// others are refused.
	Zones map[string]string `json:"zones"`
	Cold  Cold              `json:"cold"`
}

// Cold says by how much the requests to a cold endpoint within one second may exceed its
// rate: by how many times, 1 at least, and by how many requests more.
type Cold struct {
	Overage float64 `json:"overage"`
	Slack   float64 `json:"slack"`
}

// Timing is the pace of the agreement.
type Timing struct {
	Heartbeat loader.Duration `json:"heartbeat"`
	Election  loader.Duration `json:"election"`
}

// retireAfter is how long a member may be silent before the group goes on without
// it, where no operator looks after the members. A replaced instance stops
// counting as lost some four seconds after its successor's start, and the
// successor needs a second to start and catch up.
const retireAfter = 2 * time.Second

// leastHeartbeats is how many heartbeats must fit into an election timeout, so
// that a single lost message does not depose a leader.
const leastHeartbeats = 3

const leastHeartbeat = 5 * time.Millisecond

// Address is the control address that others are told.
func (s *Settings) Address() netip.AddrPort {
	if s.Advertise.IsValid() {
		return s.Advertise
	}
	return s.Control
}

// Check lists what is wrong with the settings.
func (s *Settings) Check() []loader.Problem {
	var problems []loader.Problem
	problem := func(key, message, remedy string) {
		problems = append(problems, loader.Problem{Key: key, Message: message, Remedy: remedy})
	}
	if s.Name == "" || labeler.Check("name", s.Name) != nil {
		problem("name", "the name is missing or malformed", "set a name of letters, digits and dashes that no other keeper has")
	}
	if s.Zone == "" || labeler.Check("zone", s.Zone) != nil {
		problem("zone", "the availability zone is missing or malformed", "set the zone that this instance is in")
	}
	if !s.Listen.IsValid() {
		problem("listen", "the address is missing", "set an IP number and port for health checks and metrics")
	}
	if !s.Control.IsValid() {
		problem("control", "the address is missing", "set an IP number and port for the other processes")
	}
	if s.Data == "" {
		problem("data", "the data folder is missing", "set a folder on a disk that survives a restart")
	}
	if s.Secret == "" {
		problem("secret", "the secret is missing", "set the fleet's secret, the same in all processes")
	}
	if own, found := s.Keepers[s.Name]; len(s.Seeds) == 0 && (!found || own != s.Address()) {
		problem("keepers", "this keeper itself is missing or has another address", "list every keeper of the group with its control address")
	}
	if s.Platform != nil && (!s.Platform.Listen.IsValid() || s.Platform.Heartbeat.Duration <= 0) {
		problem("platform", "the address or the pause between heartbeats is missing", "set both from what the platform says")
	}
	if s.Memory < 0 {
		problem("memory", "the limit is below 0", "set the instance's memory in MB, or leave it out")
	}
	if s.Platform != nil && min(s.Platform.Cold.Overage, s.Platform.Cold.Slack) < 0 {
		problem("platform", "the bound on cold endpoints is below 0", "set \"overage\" and \"slack\" of \"cold\" to what the platform allows, or leave them out")
	}
	timing := s.Agreement()
	if timing.Heartbeat < leastHeartbeat || timing.Election < leastHeartbeats*timing.Heartbeat {
		problem("election", "the election timeout is too short for the heartbeat", "set it to at least three heartbeats of at least 5ms")
	}
	return problems
}

// SeedAddresses returns the control addresses of the seeds.
func (s *Settings) SeedAddresses() []netip.AddrPort {
	addresses := make([]netip.AddrPort, 0, len(s.Seeds))
	for _, seed := range s.Seeds {
		addresses = append(addresses, netip.AddrPortFrom(seed.Addr(), s.Control.Port()))
	}
	return addresses
}

// Agreement returns the pace with defaults filled in.
func (s *Settings) Agreement() replicator.Timing {
	timing := replicator.Timing{
		Heartbeat: s.Timing.Heartbeat.Or(replicator.DefaultHeartbeat),
		Election:  s.Timing.Election.Or(replicator.DefaultElection),
	}
	if len(s.Seeds) > 0 {
		timing.Retire = retireAfter
	}
	return timing
}

// Names lists the keepers by name.
func (s *Settings) Names() []string {
	return slices.Sorted(maps.Keys(s.Keepers))
}
