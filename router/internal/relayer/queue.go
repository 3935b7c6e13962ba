package relayer

import (
	"sync"
	"time"

	"shallotkeel.example/lib/limiter"
	"shallotkeel.example/lib/retrier"
)

// queue shares the waiting room and the retry budgets among handlers. The zero
// value has no room until the limiter's total is set.
type queue struct {
	lock    sync.Mutex
	limiter limiter.Limiter
	retrier retrier.Retrier
}

// enter lets a request wait, or tells when to come back.
func (q *queue) enter(now time.Time, workspace string, bound int) (time.Duration, bool) {
	q.lock.Lock()
	defer q.lock.Unlock()
	q.retrier.Request(now, workspace)
	return q.limiter.Enter(now, workspace, bound)
}

func (q *queue) leave(now time.Time, workspace string, served bool) {
	q.lock.Lock()
	defer q.lock.Unlock()
	q.limiter.Leave(now, workspace, served)
}

func (q *queue) waiting() int {
	q.lock.Lock()
	defer q.lock.Unlock()
	return q.limiter.Waiting()
}

// budget is the retry budget of one workspace.
type budget struct {
	queue     *queue
	workspace string
}

// Withdraw takes one retry.
func (b budget) Withdraw(now time.Time) bool {
	b.queue.lock.Lock()
	defer b.queue.lock.Unlock()
	return b.queue.retrier.Withdraw(now, b.workspace)
}
