// Package retrier limits how many requests of a workspace are sent again.
//
// When endpoints fail, every request that is sent again is load on those that
// are left; without a limit, retries turn the loss of a few endpoints into the
// loss of all. A workspace earns a part of a retry with each request, so that
// in the long run retries stay a fixed part of its requests, and a small
// allowance by time, so that a workspace with few requests can retry as well.
//
// Invariants: in any stretch of time a workspace retries at most Burst, plus
// Ratio times its requests, plus Trickle times the time's seconds; a workspace
// that stands still longer than Burst/Trickle seconds costs no memory.
package retrier

import "time"

// Defaults of a Retrier's fields.
const (
	// DefaultBurst lets all requests of one large endpoint that fails be sent again.
	DefaultBurst   = 32
	DefaultRatio   = 0.25 // a power of two, so that sums are exact
	DefaultTrickle = 0.5
)

// maxBudgets bounds the workspaces with a budget below the full one; at 64
// bytes each they take 256 KiB. A workspace beyond it has no retry.
const maxBudgets = 4096

// Retrier keeps the budgets of all workspaces. The zero value is usable.
type Retrier struct {
	Burst   float64 // the most retries at once
	Ratio   float64 // retries earned by a request
	Trickle float64 // retries earned in a second

	budgets map[string]budget
}

type budget struct {
	left float64
	at   time.Time
}

// Request earns the workspace a part of a retry.
func (r *Retrier) Request(now time.Time, workspace string) {
	current, found := r.budgets[workspace]
	if !found {
		return // the budget is full
	}
	current = r.refill(now, current)
	current.left += r.ratio()
	r.keep(workspace, current)
}

// Withdraw takes one retry, or tells that the workspace has none left.
func (r *Retrier) Withdraw(now time.Time, workspace string) bool {
	current, found := r.budgets[workspace]
	if !found {
		if !r.room(now) {
			return false
		}
		current = budget{left: r.burst(), at: now}
	}
	current = r.refill(now, current)
	if current.left < 1 {
		r.keep(workspace, current)
		return false
	}
	current.left--
	r.keep(workspace, current)
	return true
}

func (r *Retrier) refill(now time.Time, current budget) budget {
	if passed := now.Sub(current.at); passed > 0 {
		current.left += r.trickle() * passed.Seconds()
		current.at = now
	}
	return current
}

// keep forgets a full budget: it is what an unknown workspace has.
func (r *Retrier) keep(workspace string, current budget) {
	if current.left >= r.burst() {
		delete(r.budgets, workspace)
		return
	}
	if r.budgets == nil {
		r.budgets = make(map[string]budget)
	}
	r.budgets[workspace] = current
}

// room makes place for one more budget.
func (r *Retrier) room(now time.Time) bool {
	if len(r.budgets) < maxBudgets {
		return true
	}
	for workspace, current := range r.budgets {
		r.keep(workspace, r.refill(now, current))
	}
	return len(r.budgets) < maxBudgets
}

func (r *Retrier) burst() float64   { return orDefault(r.Burst, DefaultBurst) }
func (r *Retrier) ratio() float64   { return orDefault(r.Ratio, DefaultRatio) }
func (r *Retrier) trickle() float64 { return orDefault(r.Trickle, DefaultTrickle) }

func orDefault(value, otherwise float64) float64 {
	if value <= 0 {
		return otherwise
	}
	return value
}

// Pauses between attempts of one request.
const (
	firstPause = 50 * time.Millisecond
	maxPause   = time.Second
)

// Pause returns how long a request waits before its next attempt: not at all
// before the second, because another endpoint is likely to be well, and longer
// each time after it.
func Pause(attempts int) time.Duration {
	if attempts < 2 {
		return 0
	}
	pause := firstPause
	for range attempts - 2 {
		pause = min(pause*2, maxPause)
	}
	return pause
}
