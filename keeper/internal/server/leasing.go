package server

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"shallotkeel.example/keeper/internal/driver"
	"shallotkeel.example/keeper/internal/lessor"
	"shallotkeel.example/lib/messenger"
)

// maxLeaseNameBytes bounds each name in a request for a lease, and thereby the memory
// of the table of leases.
const maxLeaseNameBytes = 128

// Lease acquires or renews the lease of a pool. It is safe to retry: the holder of
// the lease gets it again under the same fencing number.
func (k keeping) Lease(ctx context.Context, request *messenger.LeaseRequest) (*messenger.LeaseResponse, error) {
	if err := checkLease(request); err != nil {
		return nil, err
	}
	return runOnLeader(ctx, k.Server,
		func(ctx context.Context) (*messenger.LeaseResponse, error) {
			answer, err := await(ctx, k.Server, func(now time.Time, d *driver.Driver, done func(lessor.Answer, error)) {
				d.Lease(now, request, done)
			})
			return &messenger.LeaseResponse{
				Fence: answer.Fence, LeaseMs: uint32(answer.Lease / time.Millisecond),
				Permits: uint32(answer.Permits), HeldBy: answer.HeldBy,
			}, err
		},
		func(ctx context.Context, leader peerClient) (*messenger.LeaseResponse, error) {
			return leader.Lease(ctx, request)
		})
}

// checkLease validates the names in a request for a lease.
func checkLease(request *messenger.LeaseRequest) error {
	for field, name := range map[string]string{
		"pool.zone": request.GetPool().GetZone(), "pool.service": request.GetPool().GetService(), "holder": request.GetHolder(),
	} {
		if name == "" || len(name) > maxLeaseNameBytes {
			return twirp.InvalidArgumentError(field, "must have 1 to 128 bytes")
		}
	}
	return nil
}
