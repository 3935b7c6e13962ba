package policy

import (
	"container/heap"
	"time"
)

// timeline runs functions at simulated times, in order of time and then of
// being scheduled, so that a run is the same for the same seed.
type timeline struct {
	now    time.Time
	number uint64
	queue  eventQueue
}

type event struct {
	at     time.Time
	number uint64
	run    func()
}

// at runs a function at a time, at once if that is past.
func (t *timeline) at(when time.Time, run func()) {
	t.number++
	heap.Push(&t.queue, event{at: when, number: t.number, run: run})
}

func (t *timeline) after(wait time.Duration, run func()) {
	t.at(t.now.Add(wait), run)
}

// every runs a function at an interval for as long as it returns true.
func (t *timeline) every(interval time.Duration, run func() bool) {
	t.after(interval, func() {
		if run() {
			t.every(interval, run)
		}
	})
}

// until runs everything that is due before the time.
func (t *timeline) until(end time.Time) {
	for len(t.queue) > 0 && !t.queue[0].at.After(end) {
		next := heap.Pop(&t.queue).(event)
		if next.at.After(t.now) {
			t.now = next.at
		}
		next.run()
	}
	t.now = end
}

type eventQueue []event

func (q eventQueue) Len() int      { return len(q) }
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].number < q[j].number
}

// Push is called by container/heap.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop is called by container/heap.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return last
}
