package driver

import (
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"shallotkeel.example/keeper/internal/applier"
	"shallotkeel.example/keeper/internal/lessor"
	"shallotkeel.example/lib/describer"
	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/replicator"
)

// LeaseDone receives the answer to a request for a lease. It is called once.
type LeaseDone func(lessor.Answer, error)

// Lease answers a request for a pool's lease. Only a leader with a valid leader
// lease answers: any other leader might renew a pool's lease that its successor
// has already granted to another holder. The leader must also have applied all
// grants of earlier leaders.
func (d *Driver) Lease(now time.Time, wire *messenger.LeaseRequest, done LeaseDone) {
	if err := d.checkLeader(now); err != nil {
		done(lessor.Answer{}, err)
		return
	}
	status := d.Status(now)
	if !status.Quorum || !d.caughtUp(status) {
		done(lessor.Answer{}, merry.Errorf("%w has answered yet; ask again", replicator.ErrNoQuorum))
		return
	}
	request := lessor.Request{
		Pool: lessor.PoolFromWire(wire.GetPool()), Holder: wire.GetHolder(), Fence: wire.GetFence(),
		Loads: int(min(wire.GetWantLoads(), lessor.MaxLoads)), Rate: d.loadRate(wire.GetPool().GetService()),
	}
	answer := d.leases.Handle(now, status.Term, d.state.Leases(), request)
	if answer.Propose == nil {
		done(answer, nil)
		return
	}
	d.Propose(now, &messenger.Command{Lease: answer.Propose}, func(_ applier.Result, err error) {
		// The lease starts at the time of the request, not of the commit. The holder
		// counts from when it sent the request, which is earlier still.
		done(d.leases.Complete(now, status.Term, d.state.Leases(), request, err != nil), err)
	})
}

// loadRate returns the number of model loads per minute that a service may
// start; 0 for a service without an object.
func (d *Driver) loadRate(service string) float64 {
	object, found := d.state.Configuration().Snapshot().Objects[describer.Key{Kind: describer.Service, Name: service}]
	if !found {
		return 0
	}
	if rate, err := strconv.ParseFloat(object.Labels[describer.LabelLoads], 64); err == nil && rate > 0 {
		return rate
	}
	return describer.DefaultLoads
}
