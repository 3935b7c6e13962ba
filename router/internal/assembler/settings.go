package assembler

import (
	"net/netip"
	"slices"
	"time"

	"shallotkeel.example/lib/detector"
	"shallotkeel.example/lib/labeler"
	"shallotkeel.example/lib/loader"
	"shallotkeel.example/router/internal/director"
)

// Values of Settings.Scheduling; empty means SchedulingPool. With SchedulingStandalone the
// router schedules without the other routers, as a baseline.
const (
	SchedulingPool       = "pool"
	SchedulingStandalone = "alone"
)

// Settings is a router's settings file; docs/INTERFACES.md has an example.
type Settings struct {
	Name    string         `json:"name"`
	Zone    string         `json:"zone"`
	Listen  netip.AddrPort `json:"listen"`
	Control netip.AddrPort `json:"control"`
	// Advertise is the control address that other routers connect to, if it differs from
	// Control.
	Advertise netip.AddrPort   `json:"advertise"`
	Peers     []netip.AddrPort `json:"peers"`
	Keepers   []netip.AddrPort `json:"keepers"`
	Secret    string           `json:"secret"`
	// EndpointToken and OperatorToken authorize calls to /v1/endpoints/ and /admin/.
	EndpointToken string `json:"endpoint_token"`
	OperatorToken string `json:"operator_token"`
	Scheduling    string `json:"scheduling"`
	Trace         string `json:"trace"`
	Limits        Limits `json:"limits"`
	Timing        Timing `json:"timing"`
	// Platform holds the settings for a platform that has its own interface. If it is
	// set, all other fields are ignored.
	Platform *director.Settings `json:"platform"`
}

// Limits bound the resources that clients can make the router use. A limit of zero
// means the default.
type Limits struct {
	BodyBytes      int64           `json:"body_bytes"`
	Waiting        int             `json:"waiting"`
	Connections    int             `json:"connections"`
	CompareBytes   int             `json:"compare_bytes"`
	RequestTimeout loader.Duration `json:"request_timeout"`
	StopTimeout    loader.Duration `json:"stop_timeout"`
}

// Timing holds the intervals of the control traffic.
type Timing struct {
	Heartbeat    loader.Duration `json:"heartbeat"`
	SuspectAfter loader.Duration `json:"suspect_after"`
	Compare      loader.Duration `json:"compare"`
}

const (
	defaultStopTimeout = 30 * time.Second
	// defaultConnections is twice the number of connections that 4096 waiting and as many
	// running requests need with one request per connection.
	defaultConnections = 16384
	// minHeartbeats is how many heartbeat intervals the suspect time must span: a
	// heartbeat takes up to two rounds of gossip through a large zone, and one may be
	// lost.
	minHeartbeats = 3
)

// advertisedAddress returns the control address that other routers connect to.
func (s *Settings) advertisedAddress() netip.AddrPort {
	if s.Advertise.IsValid() {
		return s.Advertise
	}
	return s.Control
}

// seeds returns the peers without this router itself, so that all routers can share one
// list of peers.
func (s *Settings) seeds() []netip.AddrPort {
	return slices.DeleteFunc(slices.Clone(s.Peers), func(peer netip.AddrPort) bool {
		return peer == s.Control || peer == s.Advertise
	})
}

// Check returns the problems of the settings.
func (s *Settings) Check() []loader.Problem {
	if s.Platform != nil {
		return s.Platform.Check()
	}
	problems := append(s.checkNames(), s.checkAddresses()...)
	problems = append(problems, s.checkTokens()...)
	return append(problems, s.checkNumbers()...)
}

func (s *Settings) checkNames() (problems []loader.Problem) {
	if s.Name == "" || labeler.Check("name", s.Name) != nil {
		problems = append(problems, loader.Problem{
			Key: "name", Message: "the name is missing or malformed",
			Remedy: "set a name of letters, digits and dashes that no other router has",
		})
	}
	if s.Zone == "" || labeler.Check("zone", s.Zone) != nil {
		problems = append(problems, loader.Problem{
			Key: "zone", Message: "the availability zone is missing or malformed",
			Remedy: "set the zone that this instance is in",
		})
	}
	if s.Scheduling != "" && s.Scheduling != SchedulingPool && s.Scheduling != SchedulingStandalone {
		problems = append(problems, loader.Problem{
			Key: "scheduling", Message: "\"" + s.Scheduling + "\" is no way of scheduling",
			Remedy: "set \"pool\", or \"alone\" for the baseline",
		})
	}
	return problems
}

func (s *Settings) checkAddresses() (problems []loader.Problem) {
	if !s.Listen.IsValid() {
		problems = append(problems, loader.Problem{
			Key: "listen", Message: "the address is missing", Remedy: "set the IP number and port for callers, endpoints and operators",
		})
	}
	if !s.Control.IsValid() || s.Control.Port() == 0 || s.Control.Addr().IsUnspecified() {
		problems = append(problems, loader.Problem{
			Key: "control", Message: "the address is missing or cannot be reached by others",
			Remedy: "set the IP number and port at which the other processes reach this one",
		})
	}
	if s.Advertise.IsValid() && (s.Advertise.Port() == 0 || s.Advertise.Addr().IsUnspecified()) {
		problems = append(problems, loader.Problem{
			Key: "advertise", Message: "the address cannot be reached by others",
			Remedy: "set an IP number and port, or leave it out where it is the same as control",
		})
	}
	if len(s.Keepers) == 0 {
		problems = append(problems, loader.Problem{
			Key: "keepers", Message: "there is no keeper", Remedy: "list the control addresses of the keepers, this zone's first",
		})
	}
	return problems
}

func (s *Settings) checkTokens() (problems []loader.Problem) {
	for key, value := range map[string]string{
		"secret": s.Secret, "endpoint_token": s.EndpointToken, "operator_token": s.OperatorToken,
	} {
		if value == "" {
			problems = append(problems, loader.Problem{
				Key: key, Message: "it is missing", Remedy: "set a long random text, the same in all processes that use it",
			})
		}
	}
	return problems
}

func (s *Settings) checkNumbers() (problems []loader.Problem) {
	if s.Limits.BodyBytes < 0 || s.Limits.Waiting < 0 || s.Limits.Connections < 0 || s.Limits.CompareBytes < 0 || s.Limits.RequestTimeout.Duration < 0 || s.Limits.StopTimeout.Duration < 0 {
		problems = append(problems, loader.Problem{
			Key: "limits", Message: "a limit is negative", Remedy: "set a positive number, or leave it out for the default",
		})
	}
	heartbeat := s.Timing.Heartbeat.Or(detector.DefaultHeartbeat)
	suspect := s.Timing.SuspectAfter.Or(detector.DefaultSuspectAfter)
	if heartbeat <= 0 || suspect < minHeartbeats*heartbeat {
		problems = append(problems, loader.Problem{
			Key: "suspect_after", Message: "the suspect time is too short for the heartbeat",
			Remedy: "set it to at least three heartbeats",
		})
	}
	if s.Timing.Compare.Duration < 0 {
		problems = append(problems, loader.Problem{
			Key: "compare", Message: "the interval is negative", Remedy: "set for example \"200ms\"",
		})
	}
	return problems
}
