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

// Load is what one workspace sends.
type Load struct {
	Workspace string  `json:"workspace"`
	Token     string  `json:"token"`
	PerSecond float64 `json:"per_second"` // open loop: Poisson arrivals
	Backlog   int     `json:"backlog"`    // closed loop: requests kept outstanding, in place of arrivals
	// Targets are base URLs of routers; all of the driver's if it is empty.
	Targets []string `json:"targets"`
	Mix     Mix      `json:"mix"`
}

// Driver runs loads of several workspaces against routers until its time is
// over, then waits for the answers that are still due.
type Driver struct {
	Caller   *Caller
	Targets  []string
	Loads    []Load
	Seed     uint64
	Recorder *Recorder
	// MaxOutstanding bounds open-loop requests in flight. An arrival beyond it
	// is counted as dropped by the driver and not sent.
	MaxOutstanding int
	// Ready tells whether the platform's balancer would send to a target now;
	// nil sends to every target.
	Ready func(target string) bool

	room    chan struct{}
	waiting sync.WaitGroup
	lock    sync.Mutex
	dropped int
}

// NewClient returns a client that keeps enough connections for a load.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConns: 0, MaxIdleConnsPerHost: 1024, IdleConnTimeout: 10 * time.Second, DisableCompression: true,
	}}
}

// Run sends the loads until the context ends, and returns when every call has
// its ending.
func (d *Driver) Run(ctx context.Context) {
	d.room = make(chan struct{}, max(d.MaxOutstanding, 1))
	var loops sync.WaitGroup
	for i, load := range d.Loads {
		if len(load.Targets) == 0 {
			load.Targets = d.Targets
		}
		if load.Backlog > 0 {
			for j := range load.Backlog {
				planner := NewPlanner(load.Workspace, load.Token, load.Mix, d.Seed+uint64(i)<<20+uint64(j))
				loops.Go(func() { d.closed(ctx, load, planner, j) })
			}
			continue
		}
		planner := NewPlanner(load.Workspace, load.Token, load.Mix, d.Seed+uint64(i)<<20)
		loops.Go(func() { d.open(ctx, load, planner) })
	}
	loops.Wait()
	d.waiting.Wait()
}

// Dropped returns how many arrivals were not sent for want of room.
func (d *Driver) Dropped() int {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.dropped
}

// open sends at the planned times, whatever has been answered: a caller that
// waited for answers would hide how late they are.
func (d *Driver) open(ctx context.Context, load Load, planner *Planner) {
	clock := d.Caller.Clock
	random := rand.New(rand.NewPCG(d.Seed, sum(load.Workspace)))
	next := clock.Now()
	for {
		next = next.Add(planner.Pause(load.PerSecond))
		if !sleep(ctx, clock, next.Sub(clock.Now())) {
			return
		}
		d.send(ctx, d.rotation(load.Targets, random.IntN(len(load.Targets))), planner.Next())
	}
}

// rotation returns the targets in the order in which a balancer would try
// them: the drawn one first, those that are ready before those that are not.
func (d *Driver) rotation(targets []string, first int) []string {
	rotated := append(slices.Clone(targets[first:]), targets[:first]...)
	if d.Ready == nil {
		return rotated
	}
	slices.SortStableFunc(rotated, func(a, b string) int {
		return order(d.Ready(b)) - order(d.Ready(a))
	})
	return rotated
}

func order(ready bool) int {
	if ready {
		return 1
	}
	return 0
}

// call tries the next target only when no connection was made, because then
// nothing was sent.
func (d *Driver) call(ctx context.Context, targets []string, request Request) Result {
	var result Result
	for _, target := range targets {
		result = d.Caller.Call(ctx, target, request)
		if result.Ending != Unsent {
			return result
		}
	}
	return result
}

func (d *Driver) send(ctx context.Context, targets []string, request Request) {
	select {
	case d.room <- struct{}{}:
	default:
		d.lock.Lock()
		d.dropped++
		d.lock.Unlock()
		return
	}
	d.waiting.Go(func() {
		defer func() { <-d.room }()
		d.Recorder.Add(d.call(context.WithoutCancel(ctx), targets, request))
	})
}

// closed keeps one request outstanding: when it is refused as not run it comes
// back when it was told to, as a well-behaved caller does.
func (d *Driver) closed(ctx context.Context, load Load, planner *Planner, i int) {
	for ctx.Err() == nil {
		request := planner.Next()
		for attempt := 1; ctx.Err() == nil; attempt++ {
			targets := d.rotation(load.Targets, (i+attempt)%len(load.Targets))
			result := d.call(context.WithoutCancel(ctx), targets, request)
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

// minRetry keeps a caller that was told no time from spinning.
const minRetry = 50 * time.Millisecond

// sleep returns false when the context ended first.
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
