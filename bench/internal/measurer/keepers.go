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

const (
	changesTimed   = 20
	inForcePoll    = 5 * time.Millisecond
	inForceTimeout = 20 * time.Second
	claimTime      = 3 * time.Second
	claimCallers   = 32
	claimBatch     = 16
)

// inForce measures how long a change takes from being sent until every router
// shows it.
func (r *report) inForce(s *site, routers int) error {
	times := hdrhistogram.New(1, inForceTimeout.Microseconds(), 3)
	for i := range changesTimed {
		took, err := s.timeChange(i)
		if err != nil {
			return err
		}
		_ = times.RecordValue(took.Microseconds()) // bounded by the timeout
	}
	where := fmt.Sprintf("%d routers", routers)
	at := func(q float64) float64 { return float64(times.ValueAtQuantile(q)) / 1000 }
	r.add(
		Figure{Name: "change in force at every router, p50", Where: where, Unit: "ms", Value: at(50)},
		Figure{Name: "change in force at every router, p99", Where: where, Unit: "ms", Value: at(99),
			Note: fmt.Sprintf("of %d changes", changesTimed)},
	)
	return nil
}

func (s *site) timeChange(i int) (time.Duration, error) {
	routers := s.fleet.Of(launcher.Router)
	change := describer.Change{ID: fmt.Sprintf("timed-%d", i), Edits: []describer.Edit{{Object: describer.Object{
		Kind: describer.Workspace, Name: "club-timed", Labels: labeler.Labels{"round": fmt.Sprint(i)},
	}}}}
	began := time.Now()
	status, applied, err := routers[i%len(routers)].Change(s.ctx, change)
	if err != nil {
		return 0, err
	}
	if status != http.StatusOK {
		return 0, merry.Errorf("%w: change got status %d", ErrMeasure, status)
	}
	ctx, cancel := context.WithTimeout(s.ctx, inForceTimeout)
	defer cancel()
	var waiting sync.WaitGroup
	var late atomic.Bool
	for _, router := range routers {
		waiting.Go(func() {
			if !shows(ctx, router, applied.Revision) {
				late.Store(true)
			}
		})
	}
	waiting.Wait()
	if late.Load() {
		return 0, merry.Errorf("%w: revision %d was not in force everywhere within %v", ErrMeasure, applied.Revision, inForceTimeout)
	}
	return time.Since(began), nil
}

// shows waits until a router shows the revision.
func shows(ctx context.Context, router *launcher.Node, revision uint64) bool {
	for ctx.Err() == nil {
		var objects reporter.Objects
		if router.Admin(ctx, "/admin/objects", &objects) == nil && objects.Revision >= revision {
			return true
		}
		time.Sleep(inForcePoll)
	}
	return false
}

// claims measures how many idempotency keys a second the keepers claim, each
// synced on a majority of disks, one a call and in batches.
func (r *report) claims(s *site, where string) error {
	leader, err := s.leader()
	if err != nil {
		return err
	}
	client := dialer.Client(launcher.FleetSecret, &dialer.Counter{})
	keeping := messenger.NewKeepingProtobufClient("http://"+leader.Control.String(), client)
	for _, batch := range []int{1, claimBatch} {
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
	return nil, merry.Errorf("%w: no router says who leads the keepers", ErrMeasure)
}

func (s *site) claimRate(keeping messenger.Keeping, batch int) (float64, error) {
	ctx, cancel := context.WithTimeout(s.ctx, claimTime)
	defer cancel()
	var granted atomic.Int64
	var failed atomic.Pointer[error]
	var callers sync.WaitGroup
	for i := range claimCallers {
		callers.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				answer, err := keeping.Claim(ctx, claimBatchOf(i, n, batch))
				if ctx.Err() != nil {
					return
				}
				if err != nil {
					failed.Store(&err)
					return
				}
				for _, result := range answer.GetResults() {
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
	return float64(granted.Load()) / claimTime.Seconds(), nil
}

func claimBatchOf(caller, n, batch int) *messenger.ClaimRequest {
	request := &messenger.ClaimRequest{}
	for j := range batch {
		request.Claims = append(request.Claims, &messenger.ClaimEntry{
			// Spread over many workspaces, since the live claims of each are bounded.
			Workspace: fmt.Sprintf("claims-%d-%d", caller, n%64),
			Key:       fmt.Sprintf("%d-%d-%d-%d", batch, caller, n, j), Digest: uint64(n), Owner: fmt.Sprintf("bench-%d-%d-%d", caller, n, j),
		})
	}
	return request
}
