// Package settings defines and validates the settings file of a keeper.
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

// Settings is a keeper's settings file; docs/INTERFACES.md has an example.
type Settings struct {
	Name    string         `json:"name"`
	Zone    string         `json:"zone"`
	Listen  netip.AddrPort `json:"listen"`
	Control netip.AddrPort `json:"control"`
	// Advertise is the control address that is announced to other processes if it
	// differs from Control.
	Advertise netip.AddrPort `json:"advertise"`
	Data      string         `json:"data"`
	// Keepers are the control addresses of all keepers by name, including this one.
	Keepers map[string]netip.AddrPort `json:"keepers"`
	// Join keeps this keeper from founding a group.
	Join   bool   `json:"join"`
	Secret string `json:"secret"`
	Timing Timing `json:"timing"`
	// Seeds are the addresses of some keepers, for deployments without a list of all
	// keepers. Only the hosts are used: all keepers use the port of Control.
	Seeds []netip.AddrPort `json:"seeds"`
	// Bootstrap is set when the whole fleet starts for the first time, with empty
	// disks. Without it a keeper with seeds joins a group and never founds one.
	Bootstrap bool `json:"bootstrap"`
	// File is the path that the settings were read from. It is watched for changes.
	File string `json:"-"`
	// Memory is the memory limit of the instance in MB, 0 if unknown.
	Memory int `json:"memory"`
	// Platform is set if this keeper serves the platform's operators and endpoints.
	Platform *Platform `json:"platform"`
}

// Platform configures the interface for the platform's operators and endpoints.
type Platform struct {
	Listen netip.AddrPort `json:"listen"`
	// Heartbeat is the interval between the heartbeats of an endpoint.
	Heartbeat loader.Duration `json:"heartbeat"`
	// Zones maps the availability zones of the platform to their regions. Orders for
	// other zones are refused unless a listed endpoint is in the zone.
	Zones map[string]string `json:"zones"`
	Cold  Cold              `json:"cold"`
}

// Cold bounds the requests to a cold endpoint within one second: Overage times its rate, where an
// Overage below 1 counts as 1, plus Slack requests.
type Cold struct {
	Overage float64 `json:"overage"`
	Slack   float64 `json:"slack"`
}

// Timing configures the replication protocol: the interval between a leader's heartbeats and the
// election timeout.
type Timing struct {
	Heartbeat loader.Duration `json:"heartbeat"`
	Election  loader.Duration `json:"election"`
}

// retireAfter is how long a member may be silent before the group removes it, in
// deployments with seeds, where no operator manages the members. A replaced instance
// counts as a lost member, of which the group tolerates only a minority, until about four
// seconds after the start of its successor. The successor needs one of them to start and
// catch up.
const retireAfter = 2 * time.Second

// minHeartbeatsPerElection is the minimum ratio of the election timeout to the heartbeat
// interval, so that a single lost message does not depose a leader.
const minHeartbeatsPerElection = 3

// minHeartbeat is the minimum interval between a leader's heartbeats.
const minHeartbeat = 5 * time.Millisecond

// Address returns the control address that is announced to other processes.
func (s *Settings) Address() netip.AddrPort {
	if s.Advertise.IsValid() {
		return s.Advertise
	}
	return s.Control
}

// Check returns the problems of the settings, none if they are valid.
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
	timing := s.ReplicationTiming()
	if timing.HeartbeatInterval < minHeartbeat || timing.ElectionTimeout < minHeartbeatsPerElection*timing.HeartbeatInterval {
		problem("election", "the election timeout is too short for the heartbeat", "set it to at least three heartbeats of at least 5ms")
	}
	return problems
}

// SeedAddresses returns the control addresses of the seeds: their hosts with the port of Control.
func (s *Settings) SeedAddresses() []netip.AddrPort {
	addresses := make([]netip.AddrPort, 0, len(s.Seeds))
	for _, seed := range s.Seeds {
		addresses = append(addresses, netip.AddrPortFrom(seed.Addr(), s.Control.Port()))
	}
	return addresses
}

// ReplicationTiming returns the timing of the replication protocol with defaults filled in.
func (s *Settings) ReplicationTiming() replicator.Timing {
	timing := replicator.Timing{
		HeartbeatInterval: s.Timing.Heartbeat.Or(replicator.DefaultHeartbeatInterval),
		ElectionTimeout:   s.Timing.Election.Or(replicator.DefaultElectionTimeout),
	}
	if len(s.Seeds) > 0 {
		timing.RetireAfter = retireAfter
	}
	return timing
}

// Names returns the sorted names of the keepers.
func (s *Settings) Names() []string {
	return slices.Sorted(maps.Keys(s.Keepers))
}
