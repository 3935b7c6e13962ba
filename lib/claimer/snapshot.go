package claimer

import (
	"cmp"
	"slices"
	"time"

	"shallotkeel.example/lib/messenger"
)

// Encode returns all claims in the order in which they expire. The order of the
// answers is encoded as well: it decides which body is dropped first, and a replica
// that started from a snapshot must drop the same bodies as all other replicas.
func (m *Machine) Encode() []*messenger.ClaimState {
	orders := make(map[*claim]uint64, m.answers.Len())
	for at := m.answers.Front(); at != nil; at = at.Next() {
		orders[at.Value.(*claim)] = uint64(len(orders) + 1)
	}
	states := make([]*messenger.ClaimState, 0, len(m.byID))
	for at := m.byExpiry.Front(); at != nil; at = at.Next() {
		c := at.Value.(*claim)
		states = append(states, &messenger.ClaimState{
			Workspace: c.id.workspace, Key: c.id.key, Digest: c.digest, Owner: c.owner,
			ExpiresMs: uint64(c.expires / time.Millisecond), Recorded: c.recorded,
			Answer: c.answer, Order: orders[c],
		})
	}
	return states
}

// Decode returns a machine with the claims from Encode.
func Decode(states []*messenger.ClaimState) *Machine {
	m := &Machine{}
	var withBody []*messenger.ClaimState
	for _, state := range states {
		m.add(&claim{
			id:     scopedKey{workspace: state.GetWorkspace(), key: state.GetKey()},
			digest: state.GetDigest(), owner: state.GetOwner(),
			expires:  time.Duration(state.GetExpiresMs()) * time.Millisecond,
			recorded: state.GetRecorded(), answer: state.GetAnswer(),
		})
		if state.GetOrder() > 0 {
			withBody = append(withBody, state)
		}
	}
	slices.SortFunc(withBody, func(a, b *messenger.ClaimState) int { return cmp.Compare(a.GetOrder(), b.GetOrder()) })
	for _, state := range withBody {
		m.trackAnswer(m.byID[scopedKey{workspace: state.GetWorkspace(), key: state.GetKey()}])
	}
	return m
}
