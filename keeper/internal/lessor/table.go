// Package lessor leases each pool to one scheduler at a time, so that engines
// get orders from one place, and paces the loads that are ordered.
//
// A Table is the replicated part: who holds a pool's lease and under which
// fencing number. It changes only when a lease passes to another holder. A Desk
// is the part in the leader's memory: until when each lease lasts, and how many
// loads each service may begin. Renewals therefore cost no sync.
//
// Invariants:
//   - a fencing number is given once, and later grants have higher numbers, also
//     across leaders, restarts and snapshots;
//   - a pool passes to another holder only when the lease of the former one is
//     over on its own clock: a new leader, which does not know the renewals of
//     the last one, first waits as long as a lease lasts;
//   - while a grant is on its way through the log, nobody's lease is renewed;
//   - a service begins at most its rate of loads, plus Burst's part of it; a new
//     leader starts with nothing saved up.
//
// The Table is bounded by MaxPools, and the Desk by the Table and MaxPools.
package lessor

import (
	"cmp"
	"slices"

	"shallotkeel.example/lib/messenger"
)

// MaxPools bounds the pools that have ever been leased.
const MaxPools = 8192

// Pool names what is leased.
type Pool struct {
	Zone    string
	Service string
}

// PoolFromWire converts a pool's name.
func PoolFromWire(wire *messenger.Pool) Pool {
	return Pool{Zone: wire.GetZone(), Service: wire.GetService()}
}

func (p Pool) wire() *messenger.Pool {
	return &messenger.Pool{Zone: p.Zone, Service: p.Service}
}

// Grant is who holds a pool's lease. The zero value is nobody.
type Grant struct {
	Holder string
	Fence  uint64
}

// Table is the replicated part. The zero value is empty.
type Table struct {
	last   uint64
	grants map[Pool]Grant
}

// Grant returns who holds a pool's lease as far as the log tells.
func (t *Table) Grant(pool Pool) Grant {
	return t.grants[pool]
}

// Full tells whether there is no room for a pool.
func (t *Table) Full(pool Pool) bool {
	_, known := t.grants[pool]
	return !known && len(t.grants) >= MaxPools
}

// Apply carries out a committed grant and returns who holds the lease then. A
// grant that rests on an old state has no effect.
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

// Encode returns the table for a snapshot.
func (t *Table) Encode() *messenger.LeaseTable {
	wire := &messenger.LeaseTable{Last: t.last}
	for pool, grant := range t.grants {
		wire.Leases = append(wire.Leases, &messenger.LeaseState{Pool: pool.wire(), Holder: grant.Holder, Fence: grant.Fence})
	}
	slices.SortFunc(wire.GetLeases(), func(a, b *messenger.LeaseState) int { return cmp.Compare(a.GetFence(), b.GetFence()) })
	return wire
}

// Decode returns the table that was encoded.
func Decode(wire *messenger.LeaseTable) *Table {
	t := &Table{last: wire.GetLast(), grants: make(map[Pool]Grant, len(wire.GetLeases()))}
	for _, lease := range wire.GetLeases() {
		t.grants[PoolFromWire(lease.GetPool())] = Grant{Holder: lease.GetHolder(), Fence: lease.GetFence()}
	}
	return t
}
