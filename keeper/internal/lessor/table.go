// Package lessor leases each pool to one scheduler at a time, so that engines
// get orders from one place, and paces the loads that are ordered.
//
// A Table is the replicated part: the holder of each pool's lease and its fencing
// number. It changes only when a lease passes to another holder. A Granter is the
// part in the leader's memory: the expiry of each lease, and the number of loads
// that each service may begin. Renewals therefore need no disk sync.
//
// Invariants:
//   - a fencing number is used once, and later grants have higher numbers, also
//     across leaders, restarts and snapshots;
//   - a pool passes to another holder only when the previous holder's lease has
//     expired on that holder's own clock: a new leader, which does not know the
//     renewals of the previous leader, first waits for the duration of a lease;
//   - while a grant is pending in the log, no lease of its pool is renewed;
//   - a service begins loads at most at its rate, plus a burst of the loads of
//     BurstWindow; a new leader starts with empty buckets.
//
// The Table is bounded by MaxPools, and the Granter by the Table and MaxPools.
package lessor

import (
	"cmp"
	"slices"

	"shallotkeel.example/lib/messenger"
)

// MaxPools bounds the pools that have ever been leased.
const MaxPools = 8192

// Pool identifies a leased pool: the engines of a service in a zone.
type Pool struct {
	Zone    string
	Service string
}

// PoolFromWire converts a pool from its message.
func PoolFromWire(wire *messenger.Pool) Pool {
	return Pool{Zone: wire.GetZone(), Service: wire.GetService()}
}

func (p Pool) wire() *messenger.Pool {
	return &messenger.Pool{Zone: p.Zone, Service: p.Service}
}

// Grant is the holder of a pool's lease and its fencing number. The zero value means that the
// pool has never been leased.
type Grant struct {
	Holder string
	Fence  uint64
}

// Table holds the grants that are replicated through the log. The zero value is empty.
type Table struct {
	last   uint64 // highest fencing number that was used
	grants map[Pool]Grant
}

// Grant returns the latest committed grant of a pool.
func (t *Table) Grant(pool Pool) Grant {
	return t.grants[pool]
}

// Full reports whether the table cannot take a grant of a pool.
func (t *Table) Full(pool Pool) bool {
	_, known := t.grants[pool]
	return !known && len(t.grants) >= MaxPools
}

// Apply applies a committed grant and returns the pool's grant afterwards. A grant
// that was proposed before another one of its pool was applied has no effect.
func (t *Table) Apply(wire *messenger.LeaseGrant) Grant {
	pool := PoolFromWire(wire.GetPool())
	current := t.grants[pool]
	if current.Fence != wire.GetAfter() || t.Full(pool) {
		return current
	}
	if t.grants == nil {
		t.grants = make(map[Pool]Grant)
	}
	t.last++
	t.grants[pool] = Grant{Holder: wire.GetHolder(), Fence: t.last}
	return t.grants[pool]
}

// Encode converts the table for a snapshot.
func (t *Table) Encode() *messenger.LeaseTable {
	wire := &messenger.LeaseTable{Last: t.last}
	for pool, grant := range t.grants {
		wire.Leases = append(wire.Leases, &messenger.LeaseState{Pool: pool.wire(), Holder: grant.Holder, Fence: grant.Fence})
	}
	slices.SortFunc(wire.GetLeases(), func(a, b *messenger.LeaseState) int { return cmp.Compare(a.GetFence(), b.GetFence()) })
	return wire
}

// Decode restores a table from the result of Encode.
func Decode(wire *messenger.LeaseTable) *Table {
	t := &Table{last: wire.GetLast(), grants: make(map[Pool]Grant, len(wire.GetLeases()))}
	for _, lease := range wire.GetLeases() {
		t.grants[PoolFromWire(lease.GetPool())] = Grant{Holder: lease.GetHolder(), Fence: lease.GetFence()}
	}
	return t
}
