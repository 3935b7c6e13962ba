package launcher

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"

	"shallotkeel.example/lib/loader"
)

// The secrets of a bench fleet. They can be constants, since the fleet runs on
// loopback only, for a few minutes.
const (
	FleetSecret   = "bench-fleet-secret"
	EndpointToken = "bench-endpoint-token"
	OperatorToken = "bench-operator-token"
)

// routerSettings are the settings of a router, as documented in docs/INTERFACES.md.
type routerSettings struct {
	Name          string           `json:"name"`
	Zone          string           `json:"zone"`
	Listen        netip.AddrPort   `json:"listen"`
	Control       netip.AddrPort   `json:"control"`
	Advertise     string           `json:"advertise,omitempty"`
	Peers         []netip.AddrPort `json:"peers"`
	Keepers       []netip.AddrPort `json:"keepers"`
	Secret        string           `json:"secret"`
	EndpointToken string           `json:"endpoint_token"`
	OperatorToken string           `json:"operator_token"`
	Scheduling    string           `json:"scheduling"`
	Trace         string           `json:"trace"`
}

// keeperSettings are the settings of a keeper.
type keeperSettings struct {
	Name      string                    `json:"name"`
	Zone      string                    `json:"zone"`
	Listen    netip.AddrPort            `json:"listen"`
	Control   netip.AddrPort            `json:"control"`
	Advertise string                    `json:"advertise,omitempty"`
	Data      string                    `json:"data"`
	Keepers   map[string]netip.AddrPort `json:"keepers"`
	Join      bool                      `json:"join"`
	Secret    string                    `json:"secret"`
}

// StandinSettings are the settings of a stand-in. A plan sets those of its behaviour;
// Prepare sets the addresses, the token and the journal.
type StandinSettings struct {
	Name          string            `json:"name"`
	Listen        netip.AddrPort    `json:"listen"`
	Address       *netip.AddrPort   `json:"address,omitempty"`
	Routers       []netip.AddrPort  `json:"routers"`
	EndpointToken string            `json:"endpoint_token"`
	Type          string            `json:"type"`
	Service       string            `json:"service"`
	Labels        map[string]string `json:"labels,omitempty"`
	Models        []string          `json:"models,omitempty"`
	Slots         int               `json:"slots"`
	TTL           loader.Duration   `json:"ttl"`
	TokenTime     loader.Duration   `json:"token_time"`
	Slowdown      float64           `json:"slowdown"`
	Prefill       loader.Duration   `json:"prefill"`
	Busy          loader.Duration   `json:"busy"`
	Cache         int               `json:"cache"`
	EventDelay    loader.Duration   `json:"event_delay"`
	EventLoss     float64           `json:"event_loss"`
	LoadLag       loader.Duration   `json:"load_lag"`
	Fenced        bool              `json:"fenced"`
	Seed          uint64            `json:"seed"`
	CrashOn       string            `json:"crash_on"`
	Journal       string            `json:"journal"`
}

// IdealTokensPerSecond returns the tokens per second of a model stand-in whose slots
// are all busy.
func (s StandinSettings) IdealTokensPerSecond() float64 {
	step := s.TokenTime.Seconds() * (1 + s.Slowdown*float64(s.Slots-1))
	return float64(s.Slots) / step
}

// ModelStandin returns the settings of a model stand-in as the bench uses it: eight
// slots, a step of 8 to 11 ms, and events that are delayed and sometimes lost.
func ModelStandin(name, service string, models []string) StandinSettings {
	return StandinSettings{
		Name: name, Type: "model", Service: service, Models: models, Slots: 8,
		TTL: duration(3 * time.Second), TokenTime: duration(8 * time.Millisecond), Slowdown: 0.05,
		Prefill: duration(50 * time.Microsecond), Cache: 64,
		EventDelay: duration(500 * time.Millisecond), EventLoss: 0.1, LoadLag: duration(time.Second), Fenced: true,
	}
}

// PlainStandin returns the settings of a plain stand-in as the bench uses it.
func PlainStandin(name, service string) StandinSettings {
	return StandinSettings{
		Name: name, Type: "plain", Service: service, Slots: 8,
		TTL: duration(3 * time.Second), Busy: duration(5 * time.Millisecond), LoadLag: duration(time.Second),
	}
}

func duration(d time.Duration) loader.Duration {
	return loader.Duration{Duration: d}
}

// The range of the fleet's ports lies below the ephemeral ports of Linux, since an
// outgoing connection could otherwise take the port of a process that is being
// restarted.
const (
	minPort = 12_000
	maxPort = 32_000
)

// ports reserves free ports of the loopback address.
type ports struct {
	next      int            // port that was tried last; 0 before the first
	listeners []net.Listener // keep the reserved ports bound
}

// reserve finds a free port and keeps it bound until release, so that no port is
// reserved twice. The search starts at a random port, so that two benches on one
// machine do not compete for the same ports.
func (p *ports) reserve() (netip.AddrPort, error) {
	if p.next == 0 {
		p.next = minPort + rand.IntN(maxPort-minPort)
	}
	for range maxPort - minPort {
		p.next = minPort + (p.next+1-minPort)%(maxPort-minPort)
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(p.next))
		listener, err := net.Listen("tcp", address.String())
		if err != nil {
			continue
		}
		p.listeners = append(p.listeners, listener)
		return address, nil
	}
	return netip.AddrPort{}, merry.Errorf("%w: no free port between %d and %d; end other programs", ErrProcess, minPort, maxPort)
}

// release unbinds the reserved ports, so that the processes can listen on them.
func (p *ports) release() {
	for _, listener := range p.listeners {
		_ = listener.Close()
	}
	p.listeners = nil
}
