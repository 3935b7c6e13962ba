// Package applier is the whole replicated state of the keepers: the
// configuration of objects, the plan that is sent as a whole, the evacuated
// zones, the claims of idempotency keys, the quarantined fingerprints,
// and the leases of pools, with the replicated clock that lets claims and
// fingerprints expire.
//
// Invariants: the state is a function of the committed commands alone, the
// same at every replica; the replicated clock never goes back, and it moves
// only by what leaders measured on their monotonic clocks, so that a wall clock
// that was set wrongly expires nothing.
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

// ErrMalformed means that a committed command or a snapshot cannot be read.
var ErrMalformed = merry.Sentinel("replicated state is malformed")

// Result is what a command led to.
type Result struct {
	Change configurer.Result
	Claims []*messenger.ClaimResult
	// Plan is the version of the whole configuration in force afterwards.
	Plan uint64
	// Overtaken tells that an order for a zone changed nothing because another came between.
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
}

// New returns an empty state.
func New() *State {
	return &State{configuration: &configurer.Machine{}, claims: &claimer.Machine{}, leases: &lessor.Table{}}
}

// Configuration returns the configuration for reading.
func (s *State) Configuration() *configurer.Machine {
	return s.configuration
}

// Clock returns the replicated clock.
func (s *State) Clock() time.Duration {
	return s.clock
}

// Claims returns how many keys are remembered.
func (s *State) Claims() int {
	return s.claims.Len()
}

// Leases returns who holds the pools' leases, for reading.
func (s *State) Leases() *lessor.Table {
	return s.leases
}

// Plan returns the whole configuration in force, nil if there is none. It is
// only for reading.
func (s *State) Plan() *messenger.Plan {
	return s.plan
}

// Evacuations returns the evacuated zones.
func (s *State) Evacuations() Evacuations {
	return s.zones.evacuated
}

// Apply carries out a committed command.
func (s *State) Apply(data []byte) (Result, error) {
	var command messenger.Command
	if err := proto.Unmarshal(data, &command); err != nil {
		return Result{}, merry.Errorf("%w: %v; run keepers of one version", ErrMalformed, err)
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
		// Of two plans with one version the first that was committed stays: taking
		// the second would change what was acknowledged under that version.
		s.plan = plan
	}
	result.Plan = s.plan.GetVersion()
	if order := command.GetEvacuation(); order != nil {
		result.Overtaken = s.zones.apply(order)
	}
	return result, nil
}

// Encode returns the state for a snapshot.
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
	})
}

// Decode returns the state that was encoded; no bytes are an empty state.
func Decode(data []byte) (*State, error) {
	var wire messenger.KeeperState
	if err := proto.Unmarshal(data, &wire); err != nil {
		return nil, merry.Errorf("%w: %v; run keepers of one version", ErrMalformed, err)
	}
	s := &State{
		clock:         time.Duration(wire.GetClockMs()) * time.Millisecond,
		configuration: configurer.Decode(wire.GetConfiguration()),
		claims:        claimer.Decode(wire.GetClaims()),
		leases:        lessor.Decode(wire.GetLeases()),
		plan:          wire.GetPlan(),
	}
	s.zones.decode(wire.GetZones(), wire.GetZonesRevision())
	s.quarantine.decode(wire.GetQuarantined(), wire.GetQuarantineRevision())
	return s, nil
}

// PolicyToWire converts the bounds of claims for a command.
func PolicyToWire(policy claimer.Policy) *messenger.ClaimPolicy {
	policy = policy.OrDefaults()
	return &messenger.ClaimPolicy{
		WindowMs: uint32(policy.Window / time.Millisecond), PerWorkspace: uint32(policy.PerWorkspace),
		InAll: uint32(policy.InAll), AnswerBytes: uint32(policy.AnswerBytes),
		WorkspaceBytes: uint32(policy.WorkspaceBytes), AllBytes: uint32(policy.AllBytes),
	}
}

func policyFromWire(wire *messenger.ClaimPolicy) claimer.Policy {
	return claimer.Policy{
		Window: time.Duration(wire.GetWindowMs()) * time.Millisecond, PerWorkspace: int(wire.GetPerWorkspace()),
		InAll: int(wire.GetInAll()), AnswerBytes: int(wire.GetAnswerBytes()),
		WorkspaceBytes: int(wire.GetWorkspaceBytes()), AllBytes: int(wire.GetAllBytes()),
	}
}
