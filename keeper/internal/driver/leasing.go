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

// LeaseDone is told the answer to a request for a lease, once.
type LeaseDone func(lessor.Answer, error)

// Lease answers a request for a pool's lease. Only a leader whose own lease is
// valid answers, because another one may renew what its successor gave away,
// and only once it has applied what earlier leaders granted.
func (d *Driver) Lease(now time.Time, request *messenger.LeaseRequest, done LeaseDone) {
	if err := d.leads(now); err != nil {
		done(lessor.Answer{}, err)
		return
	}
	status := d.Status(now)
	if !status.Quorum || !d.settled(status) {
		done(lessor.Answer{}, merry.Errorf("%w has answered yet; ask again", replicator.ErrNoQuorum))
		return
	}
	ask := lessor.Request{
		Pool: lessor.PoolFromWire(request.GetPool()), Holder: request.GetHolder(), Fence: request.GetFence(),
		Loads: int(min(request.GetWantLoads(), lessor.MaxLoads)), Rate: d.loadRate(request.GetPool().GetService()),
	}
	answer := d.leases.Handle(now, status.Term, d.state.Leases(), ask)
	if answer.Propose == nil {
		done(answer, nil)
		return
	}
	d.Propose(now, &messenger.Command{Lease: answer.Propose}, func(_ applier.Result, err error) {
		// The lease runs from the request: that is the earlier time, and the
		// holder counts from when it sent it.
		done(d.leases.Complete(now, status.Term, d.state.Leases(), ask, err != nil), err)
	})
}

// loadRate is how many loads per minute a service may begin; 0 for a service
// that is not described.
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
