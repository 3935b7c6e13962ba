package server

import (
	"context"
	"slices"
	"time"

	"shallotkeel.example/lib/replicator"
)

// guests are keepers that no settings name and that have said that they are blank, by their
// addresses.
type guests map[string]guest

type guest struct {
	disk  uint64
	since time.Time
}

// note takes what such keepers answer, and returns those that have said it for a time.
func (g *guests) note(now time.Time, answers []answer, patience time.Duration) []answer {
	before := *g
	*g = make(guests)
	var patient []answer
	for _, a := range answers {
		known, found := before[a.address]
		if !found || known.disk != a.GetDisk() {
			known = guest{disk: a.GetDisk(), since: now}
		}
		(*g)[a.address] = known
		if now.Sub(known.since) >= patience {
			patient = append(patient, a)
		}
	}
	return patient
}

// guests asks keepers that follow this one and that no settings name. Only the one that founds
// the group needs them: each that is a member from the start need not join by changes of the
// membership, one after the other, while all routers of the fleet ask the few first members.
func (s *Server) guests(ctx context.Context) []answer {
	if !s.founds() || len(s.settings.Seeds) == 0 {
		return nil
	}
	named := s.peerAddresses()
	guests := slices.DeleteFunc(s.directory.keepers(), func(address string) bool {
		return slices.Contains(named, address) || address == s.settings.Address().String()
	})
	return s.statuses(ctx, guests[:min(len(guests), replicator.MaxReplicas-len(named)-1)])
}
