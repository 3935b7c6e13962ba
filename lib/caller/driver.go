package caller

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Load configures the requests that one workspace sends.
type Load struct {
	Workspace string  `json:"workspace"`
	Token     string  `json:"token"`
	PerSecond float64 `json:"per_second"` // rate of Poisson arrivals (open loop)
	Backlog   int     `json:"backlog"`    // if positive, number of requests kept in flight (closed loop) instead of arrivals
	// Targets are base URLs of routers. If empty, the driver's targets are used.
	Targets []string `json:"targets"`
	Mix     Mix      `json:"mix"`
}

// Driver runs the loads of several workspaces against routers until its context
// is done, then waits for the outstanding answers.
type Driver struct {
	Caller   *Caller
	Targets  []string
	Loads    []Load
	Seed     uint64
	Recorder *Recorder
	// MaxOutstanding bounds the open-loop requests in flight. Arrivals beyond it
	// are not sent and are counted as dropped.
	MaxOutstanding int
	// Ready reports whether the platform's load balancer would currently send to
	// a target. If nil, all targets are ready.
	Ready func(target string) bool

	inFlight chan struct{}  // semaphore of open-loop requests in flight
	calls    sync.WaitGroup // open-loop requests in flight
	lock     sync.Mutex     // guards dropped
	dropped  int
}

// maxHeadBytes bounds the head of an answer, which the client holds in memory.
const maxHeadBytes = 64 << 10

// NewClient returns an HTTP client that keeps enough idle connections for a load.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConns: 0, MaxIdleConnsPerHost: 1024, IdleConnTimeout: 10 * time.Second, DisableCompression: true,
		MaxResponseHeaderBytes: maxHeadBytes,
	}}
}

// Run sends the loads until the context is done, and returns when every call has
// ended.
func (d *Driver) Run(ctx context.Context) {
	d.inFlight = make(chan struct{}, max(d.MaxOutstanding, 1))
	var loops sync.WaitGroup
	for i, load := range d.Loads {
		if len(load.Targets) == 0 {
			load.Targets = d.Targets
		}
		if load.Backlog > 0 {
			for j := range load.Backlog {
				planner := NewPlanner(load.Workspace, load.Token, load.Mix, d.Seed+uint64(i)<<20+uint64(j))
				loops.Go(func() { d.runClosedLoop(ctx, load, planner, j) })
			}
			continue
		}
		planner := NewPlanner(load.Workspace, load.Token, load.Mix, d.Seed+uint64(i)<<20)
		loops.Go(func() { d.runOpenLoop(ctx, load, planner) })
	}
	loops.Wait()
	d.calls.Wait()
}

// Dropped returns the number of arrivals that were not sent because
// MaxOutstanding requests were in flight.
func (d *Driver) Dropped() int {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.dropped
}

// runOpenLoop sends requests at the planned times, regardless of outstanding
// answers: a load that waits for answers would hide how late they are.
func (d *Driver) runOpenLoop(ctx context.Context, load Load, planner *Planner) {
	clock := d.Caller.Clock
	random := rand.New(rand.NewPCG(d.Seed, nameHash(load.Workspace)))
	next := clock.Now()
	for {
		next = next.Add(planner.Pause(load.PerSecond))
		if !sleep(ctx, clock, next.Sub(clock.Now())) {
			return
		}
		d.start(ctx, d.rotation(load.Targets, random.IntN(len(load.Targets))), planner.Next())
	}
}

// rotation returns the targets in the order in which a load balancer would try
// them: beginning with the index first, and ready targets before others.
func (d *Driver) rotation(targets []string, first int) []string {
	rotated := append(slices.Clone(targets[first:]), targets[:first]...)
	if d.Ready == nil {
		return rotated
	}
	slices.SortStableFunc(rotated, func(a, b string) int {
		return readyRank(d.Ready(b)) - readyRank(d.Ready(a))
	})
	return rotated
}

// readyRank returns 1 for ready targets and 0 for others.
func readyRank(ready bool) int {
	if ready {
		return 1
	}
	return 0
}

// callFirstReachable sends the request to one target after another until a
// connection is established. It never resends a request that may have been sent.
func (d *Driver) callFirstReachable(ctx context.Context, targets []string, request Request) Result {
	var result Result
	for _, target := range targets {
		result = d.Caller.Call(ctx, target, request)
		if result.Ending != Unsent {
			return result
		}
	}
	return result
}

// start sends a request in the background, or drops it if MaxOutstanding requests
// are in flight. The call continues when ctx is done.
func (d *Driver) start(ctx context.Context, targets []string, request Request) {
	select {
	case d.inFlight <- struct{}{}:
	default:
		d.lock.Lock()
		d.dropped++
		d.lock.Unlock()
		return
	}
	d.calls.Go(func() {
		defer func() { <-d.inFlight }()
		d.Recorder.Add(d.callFirstReachable(context.WithoutCancel(ctx), targets, request))
	})
}

// runClosedLoop keeps one request in flight. A request that did not run is
// retried after the pause that the router asked for, as well-behaved clients do.
// The number of the loop, counted from 0, varies its first target.
func (d *Driver) runClosedLoop(ctx context.Context, load Load, planner *Planner, number int) {
	for ctx.Err() == nil {
		request := planner.Next()
		for attempt := 1; ctx.Err() == nil; attempt++ {
			targets := d.rotation(load.Targets, (number+attempt)%len(load.Targets))
			result := d.callFirstReachable(context.WithoutCancel(ctx), targets, request)
			result.Attempted = attempt
			d.Recorder.Add(result)
			if result.Ending == Answered {
				break
			}
			sleep(ctx, d.Caller.Clock, max(result.Retry, minRetry))
			if result.Ending != NotRun && result.Ending != Unsent {
				break
			}
		}
	}
}

// minRetry is the minimum pause between attempts, so that a closed loop does not
// spin when the answer asks for no pause.
const minRetry = 50 * time.Millisecond

// sleep pauses and reports whether the pause elapsed before the context was done.
func sleep(ctx context.Context, clock clockwork.Clock, pause time.Duration) bool {
	if pause <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-clock.After(pause):
		return true
	}
}
