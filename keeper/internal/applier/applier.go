// Package applier applies committed commands to the replicated state of the
// keepers: the configuration of objects, the plan (a configuration that is always
// sent complete), the evacuated zones, the departures of endpoints, the claims of
// idempotency keys, the quarantined fingerprints and the leases of pools. The state
// includes the replicated clock, by which claims, fingerprints and departures expire.
//
// Invariants: the state depends on the committed commands alone and is the same
// at every replica; the replicated clock never goes back, and it advances only by
// time that leaders measured on their monotonic clocks, so that a wrong wall clock
// expires nothing.
package applier

import (
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	"shallotkeel.example/keeper/internal/lessor"
	"shallotkeel.example/lib/claimer"
	"shallotkeel.example/lib/configurer"
	"shallotkeel.example/lib/messenger"
)

// ErrMalformed means that a committed command or a snapshot cannot be decoded.
var ErrMalformed = merry.Sentinel("replicated state is malformed")

// Result is the result of applying a command.
type Result struct {
	Change configurer.Result
	Claims []*messenger.ClaimResult
	// Plan is the version of the plan in force afterwards.
	Plan uint64
	// Overtaken means that an order for a zone changed nothing, because another order
	// for the zone was applied in between.
	Overtaken bool
}

// State is the replicated state. It is not safe for concurrent use.
type State struct {
	clock         time.Duration
	configuration *configurer.Machine
	claims        *claimer.Machine
	quarantine    quarantine
	leases        *lessor.Table
	plan          *messenger.Plan
	zones         zones
	departures    departures
}

// New returns an empty state.
func New() *State {
	return &State{configuration: &configurer.Machine{}, claims: &claimer.Machine{}, leases: &lessor.Table{}}
}

// Configuration returns the configuration of objects. It is read-only for the
// caller.
func (s *State) Configuration() *configurer.Machine {
	return s.configuration
}

// Clock returns the replicated clock.
func (s *State) Clock() time.Duration {
	return s.clock
}

// ClaimCount returns the number of idempotency keys with a claim.
func (s *State) ClaimCount() int {
	return s.claims.Len()
}

// Leases returns the table of the pools' leases. It is read-only for the caller.
func (s *State) Leases() *lessor.Table {
	return s.leases
}

// Plan returns the plan in force, nil if there is none. It is read-only for the
// caller.
func (s *State) Plan() *messenger.Plan {
	return s.plan
}

// Evacuations returns the evacuated zones.
func (s *State) Evacuations() Evacuations {
	return s.zones.evacuated
}

// Apply applies a committed command. An error means that the command cannot be
// decoded and that the state is unchanged.
func (s *State) Apply(data []byte) (Result, error) {
	var command messenger.Command
	if err := proto.Unmarshal(data, &command); err != nil {
		return Result{}, merry.Errorf("%w: decode a committed command: %v; run the same version on all keepers", ErrMalformed, err)
	}
	s.clock = max(s.clock, time.Duration(command.GetClockMs())*time.Millisecond)
	var result Result
	if verified := command.GetChange(); verified != nil {
		result.Change = s.configuration.Apply(
			configurer.ChangeFromWire(verified.GetChange()),
			configurer.FindingsFromWire(verified.GetFindings()),
			verified.GetBase(), time.UnixMilli(command.GetUnixMs()))
	}
	policy := policyFromWire(command.GetPolicy())
	if claim := command.GetClaim(); claim != nil {
		result.Claims = s.claims.Claim(s.clock, policy, claim.GetClaims())
	}
	if record := command.GetRecord(); record != nil {
		s.claims.Record(s.clock, policy, record.GetEntries())
	}
	if fingerprints := command.GetQuarantine(); fingerprints != nil {
		s.quarantine.add(s.clock, fingerprints.GetFingerprints())
	}
	if grant := command.GetLease(); grant != nil {
		s.leases.Apply(grant)
	}
	if plan := command.GetPlan(); plan.GetVersion() > s.plan.GetVersion() {
		// Of two plans with the same version, the one that was committed first remains
		// in force: the other would replace a plan that was acknowledged under that
		// version.
		s.plan = plan
	}
	result.Plan = s.plan.GetVersion()
	if order := command.GetEvacuation(); order != nil {
		result.Overtaken = s.zones.apply(order)
	}
	if departure := command.GetDeparture(); departure != nil {
		s.departures.add(s.clock, departure)
	}
	return result, nil
}

// Encode returns the state as the bytes of a snapshot, the same at every replica.
func (s *State) Encode() ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(&messenger.KeeperState{
		ClockMs:            uint64(s.clock / time.Millisecond),
		Configuration:      s.configuration.Encode(),
		Claims:             s.claims.Encode(),
		Quarantined:        s.quarantine.encode(),
		QuarantineRevision: s.quarantine.revision,
		Leases:             s.leases.Encode(),
		Plan:               s.plan,
		Zones:              s.zones.encode(),
		ZonesRevision:      s.zones.revision,
		Departures:         s.departures.encode(),
		DeparturesRevision: s.departures.revision,
	})
}

// Decode returns the state from the bytes of Encode. No bytes mean an empty state.
func Decode(data []byte) (*State, error) {
	var wire messenger.KeeperState
	if err := proto.Unmarshal(data, &wire); err != nil {
		return nil, merry.Errorf("%w: decode a snapshot: %v; run the same version on all keepers", ErrMalformed, err)
	}
	s := &State{
		clock:         time.Duration(wire.GetClockMs()) * time.Millisecond,
		configuration: configurer.Decode(wire.GetConfiguration()),
		claims:        claimer.Decode(wire.GetClaims()),
		leases:        lessor.Decode(wire.GetLeases()),
		plan:          wire.GetPlan(),
	}
	s.zones.decode(wire.GetZones(), wire.GetZonesRevision())
	s.departures.decode(wire.GetDepartures(), wire.GetDeparturesRevision())
	s.quarantine.decode(wire.GetQuarantined(), wire.GetQuarantineRevision())
	return s, nil
}

// PolicyToWire converts the window and the bounds of claims, with defaults filled
// in, for a command.
func PolicyToWire(policy claimer.Policy) *messenger.ClaimPolicy {
	policy = policy.OrDefaults()
	return &messenger.ClaimPolicy{
		WindowMs: uint32(policy.Window / time.Millisecond), PerWorkspace: uint32(policy.PerWorkspace),
		InAll: uint32(policy.Total), AnswerBytes: uint32(policy.AnswerBytes),
		WorkspaceBytes: uint32(policy.WorkspaceBytes), AllBytes: uint32(policy.TotalBytes),
	}
}

func policyFromWire(wire *messenger.ClaimPolicy) claimer.Policy {
	return claimer.Policy{
		Window: time.Duration(wire.GetWindowMs()) * time.Millisecond, PerWorkspace: int(wire.GetPerWorkspace()),
		Total: int(wire.GetInAll()), AnswerBytes: int(wire.GetAnswerBytes()),
		WorkspaceBytes: int(wire.GetWorkspaceBytes()), TotalBytes: int(wire.GetAllBytes()),
	}
}
