package policy

import (
	"container/heap"
	"time"
)

// timeline runs functions in virtual time: in order of their times and, for equal
// times, in the order in which they were scheduled. Runs with the same seed are
// therefore identical.
type timeline struct {
	now      time.Time
	sequence uint64
	queue    eventQueue
}

// event is one scheduled function.
type event struct {
	at       time.Time
	sequence uint64
	run      func()
}

// at schedules a function for a time. A time in the past counts as now.
func (t *timeline) at(when time.Time, run func()) {
	t.sequence++
	heap.Push(&t.queue, event{at: when, sequence: t.sequence, run: run})
}

// after schedules a function for a time from now.
func (t *timeline) after(wait time.Duration, run func()) {
	t.at(t.now.Add(wait), run)
}

// every runs a function at an interval until it returns false.
func (t *timeline) every(interval time.Duration, run func() bool) {
	t.after(interval, func() {
		if run() {
			t.every(interval, run)
		}
	})
}

// runUntil runs the functions scheduled up to and including a time, and advances the
// clock to it.
func (t *timeline) runUntil(end time.Time) {
	for len(t.queue) > 0 && !t.queue[0].at.After(end) {
		next := heap.Pop(&t.queue).(event)
		if next.at.After(t.now) {
			t.now = next.at
		}
		next.run()
	}
	t.now = end
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []event

func (q eventQueue) Len() int      { return len(q) }
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].sequence < q[j].sequence
}

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return last
}
