package measurer

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/ansel1/merry/v2"

	"shallotkeel.example/bench/internal/launcher"
	"shallotkeel.example/lib/describer"
	"shallotkeel.example/lib/dialer"
	"shallotkeel.example/lib/labeler"
	"shallotkeel.example/lib/messenger"
	"shallotkeel.example/lib/reporter"
)

// Sizes and times of the measurements of the keepers.
const (
	timedChanges        = 20
	inForcePollInterval = 5 * time.Millisecond
	inForceTimeout      = 20 * time.Second // for one change
	claimDuration       = 3 * time.Second  // for each number of claims per call
	claimCallers        = 32
	claimsPerCall       = 16 // of the calls with batches
)

// measureInForce measures the time from sending a change until every router reports
// its revision.
func (r *report) measureInForce(s *site, routers int) error {
	times := hdrhistogram.New(1, inForceTimeout.Microseconds(), 3)
	for i := range timedChanges {
		latency, err := s.timeChange(i)
		if err != nil {
			return err
		}
		_ = times.RecordValue(latency.Microseconds()) // the timeout bounds it
	}
	where := fmt.Sprintf("%d routers", routers)
	quantile := func(q float64) float64 { return float64(times.ValueAtQuantile(q)) / 1000 }
	r.add(
		Figure{Name: "change in force at every router, p50", Where: where, Unit: "ms", Value: quantile(50)},
		Figure{Name: "change in force at every router, p99", Where: where, Unit: "ms", Value: quantile(99),
			Note: fmt.Sprintf("of %d changes", timedChanges)},
	)
	return nil
}

// timeChange sends the i-th change to one of the routers, in rotation, and returns the
// time until it is in force at all of them.
func (s *site) timeChange(i int) (time.Duration, error) {
	routers := s.fleet.Of(launcher.Router)
	change := describer.Change{ID: fmt.Sprintf("timed-%d", i), Edits: []describer.Edit{{Object: describer.Object{
		Kind: describer.Workspace, Name: "club-timed", Labels: labeler.Labels{"round": fmt.Sprint(i)},
	}}}}
	started := time.Now()
	status, applied, err := routers[i%len(routers)].Change(s.ctx, change)
	if err != nil {
		return 0, err
	}
	if status != http.StatusOK {
		return 0, merry.Errorf("%w: change was answered with status %d, want 200", ErrMeasure, status)
	}
	ctx, cancel := context.WithTimeout(s.ctx, inForceTimeout)
	defer cancel()
	var polls sync.WaitGroup
	var timedOut atomic.Bool
	for _, router := range routers {
		polls.Go(func() {
			if !awaitRevision(ctx, router, applied.Revision) {
				timedOut.Store(true)
			}
		})
	}
	polls.Wait()
	if timedOut.Load() {
		return 0, merry.Errorf("%w: revision %d was not in force everywhere within %v", ErrMeasure, applied.Revision, inForceTimeout)
	}
	return time.Since(started), nil
}

// awaitRevision polls a router until it reports the revision or a later one. It returns
// false if the context ends first.
func awaitRevision(ctx context.Context, router *launcher.Node, revision uint64) bool {
	for ctx.Err() == nil {
		var objects reporter.Objects
		if router.Admin(ctx, "/admin/objects", &objects) == nil && objects.Revision >= revision {
			return true
		}
		time.Sleep(inForcePollInterval)
	}
	return false
}

// measureClaims measures how many idempotency keys per second the keepers claim, with
// one key per call and with batches. Each claim is synced on a majority of disks.
func (r *report) measureClaims(s *site, where string) error {
	leader, err := s.leader()
	if err != nil {
		return err
	}
	client := dialer.Client(launcher.FleetSecret, &dialer.Counter{})
	keeping := messenger.NewKeepingProtobufClient("http://"+leader.Control.String(), client)
	for _, batch := range []int{1, claimsPerCall} {
		rate, err := s.claimRate(keeping, batch)
		if err != nil {
			return err
		}
		r.add(Figure{
			Name: "claims", Where: where, Unit: "claims/s", Value: rate,
			Note: fmt.Sprintf("%d callers, %d a call, 3 keepers", claimCallers, batch),
		})
	}
	return nil
}

// leader returns the keeper that the first router reports as leader.
func (s *site) leader() (*launcher.Node, error) {
	var status reporter.Status
	if err := s.fleet.Of(launcher.Router)[0].Admin(s.ctx, "/admin/status", &status); err != nil {
		return nil, err
	}
	for _, keeper := range status.Keepers {
		if node, known := s.fleet.Node(keeper.Name); known && keeper.Role == "leader" {
			return node, nil
		}
	}
	return nil, merry.Errorf("%w: the first router reports no keeper as leader", ErrMeasure)
}

// claimRate returns the claims granted per second to concurrent callers that send
// batch claims per call.
func (s *site) claimRate(keeping messenger.Keeping, batch int) (float64, error) {
	ctx, cancel := context.WithTimeout(s.ctx, claimDuration)
	defer cancel()
	var granted atomic.Int64
	var failed atomic.Pointer[error]
	var callers sync.WaitGroup
	for i := range claimCallers {
		callers.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				response, err := keeping.Claim(ctx, newClaimRequest(i, n, batch))
				if ctx.Err() != nil {
					return
				}
				if err != nil {
					failed.Store(&err)
					return
				}
				for _, result := range response.GetResults() {
					if result.GetOutcome() == messenger.ClaimOutcome_CLAIM_GRANTED {
						granted.Add(1)
					}
				}
			}
		})
	}
	callers.Wait()
	if err := failed.Load(); err != nil {
		return 0, merry.Errorf("%w: claims: %v", ErrMeasure, *err)
	}
	return float64(granted.Load()) / claimDuration.Seconds(), nil
}

// newClaimRequest returns a request whose keys no other request has.
func newClaimRequest(caller, n, batch int) *messenger.ClaimRequest {
	request := &messenger.ClaimRequest{}
	for j := range batch {
		request.Claims = append(request.Claims, &messenger.ClaimEntry{
			// Spread over many workspaces, because the number of live claims of each is limited.
			Workspace: fmt.Sprintf("claims-%d-%d", caller, n%64),
			Key:       fmt.Sprintf("%d-%d-%d-%d", batch, caller, n, j), Digest: uint64(n), Owner: fmt.Sprintf("bench-%d-%d-%d", caller, n, j),
		})
	}
	return request
}
