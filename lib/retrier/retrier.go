// Package retrier limits the retries of each workspace by a retry budget.
//
// When endpoints fail, every retry adds load to the remaining ones; without a
// limit, retries turn the loss of a few endpoints into the loss of all. Each
// request deposits a fraction of a retry into its workspace's budget, so that in
// the long run retries are a fixed fraction of the requests. The budget is also
// refilled slowly with time, so that a workspace with few requests can retry as
// well.
//
// Invariants: in any interval a workspace retries at most Burst, plus Ratio times
// its requests, plus RefillPerSecond times the interval's seconds; a workspace
// that is idle for longer than Burst/RefillPerSecond seconds needs no memory.
package retrier

import "time"

// Defaults of a Retrier's fields.
const (
	// DefaultBurst allows a retry of all requests of one large endpoint that fails.
	DefaultBurst           = 32
	DefaultRatio           = 0.25 // a power of two, so that floating-point sums are exact
	DefaultRefillPerSecond = 0.5
)

// maxBudgets bounds the workspaces whose budget is not full; at 64 bytes each
// they take 256 KiB. A further workspace gets no retries.
const maxBudgets = 4096

// Retrier holds the retry budgets of all workspaces. The zero value is ready to
// use; a field that is not positive has its default. A Retrier is not safe for
// concurrent use.
type Retrier struct {
	Burst           float64 // capacity of a budget, in retries
	Ratio           float64 // retries deposited per request
	RefillPerSecond float64 // retries added per second

	budgets map[string]budget // by workspace; a workspace without an entry has a full budget
}

type budget struct {
	retries   float64
	updatedAt time.Time
}

// Deposit adds the fraction of a retry that a request earns to the workspace's
// budget.
func (r *Retrier) Deposit(now time.Time, workspace string) {
	current, found := r.budgets[workspace]
	if !found {
		return // the budget is already full
	}
	current = r.refill(now, current)
	current.retries += r.ratio()
	r.store(workspace, current)
}

// Withdraw takes one retry from the workspace's budget, and reports whether there
// was one.
func (r *Retrier) Withdraw(now time.Time, workspace string) bool {
	current, found := r.budgets[workspace]
	if !found {
		if !r.evictFull(now) {
			return false
		}
		current = budget{retries: r.burst(), updatedAt: now}
	}
	current = r.refill(now, current)
	if current.retries < 1 {
		r.store(workspace, current)
		return false
	}
	current.retries--
	r.store(workspace, current)
	return true
}

// refill adds the retries earned by the time since the last update.
func (r *Retrier) refill(now time.Time, current budget) budget {
	if passed := now.Sub(current.updatedAt); passed > 0 {
		current.retries += r.refillPerSecond() * passed.Seconds()
		current.updatedAt = now
	}
	return current
}

// store stores a budget, or deletes the entry if the budget is full, because a
// workspace without an entry has a full budget.
func (r *Retrier) store(workspace string, current budget) {
	if current.retries >= r.burst() {
		delete(r.budgets, workspace)
		return
	}
	if r.budgets == nil {
		r.budgets = make(map[string]budget)
	}
	r.budgets[workspace] = current
}

// evictFull makes room for one more budget by deleting the full ones, if
// necessary, and reports whether there is room.
func (r *Retrier) evictFull(now time.Time) bool {
	if len(r.budgets) < maxBudgets {
		return true
	}
	for workspace, current := range r.budgets {
		r.store(workspace, r.refill(now, current))
	}
	return len(r.budgets) < maxBudgets
}

func (r *Retrier) burst() float64 { return orDefault(r.Burst, DefaultBurst) }
func (r *Retrier) ratio() float64 { return orDefault(r.Ratio, DefaultRatio) }
func (r *Retrier) refillPerSecond() float64 {
	return orDefault(r.RefillPerSecond, DefaultRefillPerSecond)
}

func orDefault(value, fallback float64) float64 {
	if value <= 0 {
		return fallback
	}
	return value
}

// Bounds of the pause between attempts of one request.
const (
	initialPause = 50 * time.Millisecond
	maxPause     = time.Second
)

// Pause returns the backoff before a request's next attempt, given the number of
// attempts so far. There is none before the second attempt, because another
// endpoint is likely to be healthy; from then on the backoff doubles with each
// attempt, up to maxPause.
func Pause(attempts int) time.Duration {
	if attempts < 2 {
		return 0
	}
	pause := initialPause
	for range attempts - 2 {
		pause = min(pause*2, maxPause)
	}
	return pause
}
