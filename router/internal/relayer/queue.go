package relayer

import (
	"sync"
	"time"

	"shallotkeel.example/lib/limiter"
	"shallotkeel.example/lib/retrier"
)

// queue shares the limits of waiting requests and the retry budgets among handlers. The zero value
// admits no request until the limiter's Total is set.
type queue struct {
	lock    sync.Mutex
	limiter limiter.Limiter
	retrier retrier.Retrier
}

// enter admits a request to the queue, of which at most bound may wait for the workspace. It returns
// false and the time after which to retry if the queue is full.
func (q *queue) enter(now time.Time, workspace string, bound int) (time.Duration, bool) {
	q.lock.Lock()
	defer q.lock.Unlock()
	q.retrier.Deposit(now, workspace)
	return q.limiter.Enter(now, workspace, bound)
}

// leave ends the wait of a request. Served is whether it got a slot.
func (q *queue) leave(now time.Time, workspace string, served bool) {
	q.lock.Lock()
	defer q.lock.Unlock()
	q.limiter.Leave(now, workspace, served)
}

// waiting returns the number of waiting requests.
func (q *queue) waiting() int {
	q.lock.Lock()
	defer q.lock.Unlock()
	return q.limiter.Waiting()
}

// retryBudget is the retry budget of one workspace.
type retryBudget struct {
	queue     *queue
	workspace string
}

// Withdraw takes one retry from the budget. It returns false if the budget is used up.
func (b retryBudget) Withdraw(now time.Time) bool {
	b.queue.lock.Lock()
	defer b.queue.lock.Unlock()
	return b.queue.retrier.Withdraw(now, b.workspace)
}
