// Package director assembles a router that serves clients byte for byte, without a scheduler of its
// own: the components that follow the state of the fleet, choose endpoints and forward requests, and
// the listeners around them.
package director

import (
	"net/netip"
	"time"

	"shallotkeel.example/lib/budgeter"
	"shallotkeel.example/lib/loader"
)

// Settings are the router's settings on a platform that has an interface of its own.
type Settings struct {
	Name   string         `json:"name"`
	Zone   string         `json:"zone"`
	Listen netip.AddrPort `json:"listen"`
	Ready  netip.AddrPort `json:"ready"`
	// Metrics is the address that serves metrics.
	Metrics netip.AddrPort `json:"metrics"`
	// Seeds are the addresses of some keepers. Only their hosts are used; Port is the port of all
	// keepers' control addresses.
	Seeds  []netip.AddrPort `json:"seeds"`
	Port   uint16           `json:"port"`
	Secret string           `json:"secret"`
	// Memory is the memory limit of the instance, in MB.
	Memory int `json:"memory"`
	// Processors is the processor time of the instance, in cores.
	Processors float64 `json:"processors"`
	// Descriptors is the limit of open files and sockets of the process.
	Descriptors int `json:"descriptors"`
	// Pass is the maximum time that an event of a stream may spend in the router.
	Pass loader.Duration `json:"pass"`
	// Grace is the time from the begin of a planned stop until the process is killed.
	Grace loader.Duration `json:"grace"`
	Retry Retry           `json:"retry"`
}

// file is a complete settings file, as it is read again while the router runs.
type file struct {
	Platform *Settings `json:"platform"`
}

// Check returns the problems of the file.
func (f *file) Check() []loader.Problem {
	if f.Platform == nil {
		return []loader.Problem{{Key: "platform", Message: "the key is gone", Remedy: "put it back or restart the router"}}
	}
	return f.Platform.Check()
}

// Retry bounds the requests that all routers together send again.
type Retry struct {
	Ratio  float64         `json:"ratio"`
	Slack  float64         `json:"slack"`
	Window loader.Duration `json:"window"`
}

func (r Retry) bound() budgeter.Bound {
	return budgeter.Bound{Ratio: r.Ratio, Slack: r.Slack, Window: r.Window.Duration}
}

// Check returns the problems of the settings.
func (s *Settings) Check() []loader.Problem {
	var problems []loader.Problem
	problem := func(wrong bool, key, message, remedy string) {
		if wrong {
			problems = append(problems, loader.Problem{Key: key, Message: message, Remedy: remedy})
		}
	}
	problem(s.Name == "", "name", "the name is missing", "set one that no other instance has")
	problem(s.Zone == "", "zone", "the availability zone is missing", "set the zone that this instance is in")
	problem(!s.Listen.IsValid(), "listen", "the address is missing", "set the address that clients reach")
	problem(!s.Ready.IsValid(), "ready", "the address is missing", "set the address that the platform asks for readiness")
	problem(!s.Metrics.IsValid(), "metrics", "the address is missing", "set the address that serves metrics")
	problem(len(s.Seeds) == 0, "seeds", "no keeper is named", "name at least one")
	problem(s.Port == 0, "port", "the port is missing", "set the port of the keepers' control addresses")
	problem(s.Secret == "", "secret", "the secret is missing", "set the fleet's secret, the same in all processes")
	problem(s.Memory <= 0, "memory", "the limit is missing", "set the instance's memory in MB")
	problem(s.Processors <= 0, "processors", "the limit is missing", "set the instance's processor time in cores")
	problem(s.Descriptors <= 0, "descriptors", "the limit is missing", "set how many files and sockets the process may open")
	problem(s.Grace.Duration < minGrace, "grace", "the time for a planned stop is too short", "allow at least "+minGrace.String())
	problem(s.Retry.Window.Duration < time.Second, "retry", "the window is shorter than a second", "set the window over which repeats are counted")
	return problems
}

// seeds returns the control addresses of the seed keepers.
func (s *Settings) seeds() []netip.AddrPort {
	addresses := make([]netip.AddrPort, 0, len(s.Seeds))
	for _, seed := range s.Seeds {
		addresses = append(addresses, netip.AddrPortFrom(seed.Addr(), s.Port))
	}
	return addresses
}
