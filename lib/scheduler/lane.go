package scheduler

import (
	"container/heap"
	"time"

	"shallotkeel.example/lib/estimator"
)

// laneKey names the tickets of a workspace that may go to the same endpoints.
type laneKey struct {
	model string
	avoid string // ids of avoided endpoints, joined; usually empty
	alone bool
	zone  string // for demand of another zone
}

// lane is the queue of one workspace's tickets with the same key, in order of
// arrival. A lane of another zone's demand holds a number in place of tickets.
type lane struct {
	key       laneKey
	workspace *workspace
	record    *estimator.Record
	avoid     []string
	set       bitset // endpoints that may serve it and are not leaving
	group     *group
	grouped   uint64 // generation of the groups that group belongs to
	active    bool   // its workspace lists it
	position  int    // in the group's heap, -1 outside
	first     *request
	last      *request
	count     int
	counter   float64 // key in the heap
	created   uint64
	stranded  time.Time // since when set is empty, zero if it is not
}

func (l *lane) remote() bool {
	return l.key.zone != ""
}

// order is the arrival of the lane's first ticket.
func (l *lane) order() uint64 {
	if l.first == nil {
		return l.created
	}
	return l.first.order
}

// before orders lanes by counter; on equal counters local work comes before
// another zone's, then first come, first served.
func (l *lane) before(other *lane) bool {
	switch {
	case l.counter != other.counter:
		return l.counter < other.counter
	case l.remote() != other.remote():
		return !l.remote()
	case l.order() != other.order():
		return l.order() < other.order()
	default:
		return l.created < other.created
	}
}

func (l *lane) push(r *request) {
	r.lane = l
	r.previous, r.next = l.last, nil
	if l.last == nil {
		l.first = r
	} else {
		l.last.next = r
	}
	l.last = r
	l.count++
}

func (l *lane) unlink(r *request) {
	if r.previous == nil {
		l.first = r.next
	} else {
		r.previous.next = r.next
	}
	if r.next == nil {
		l.last = r.previous
	} else {
		r.next.previous = r.previous
	}
	r.previous, r.next = nil, nil
	l.count--
}

// group is the lanes that may go to the same endpoints, ordered by counter, so
// that a free slot finds its next request without looking at every workspace,
// and a workspace whose endpoints are full holds up no other.
type group struct {
	set   bitset
	alone bool
	lanes laneHeap
}

type groupKey struct {
	set   string
	alone bool
}

type laneHeap []*lane

func (h laneHeap) Len() int           { return len(h) }
func (h laneHeap) Less(i, j int) bool { return h[i].before(h[j]) }

func (h laneHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position = i
	h[j].position = j
}

// Push is called by container/heap.
func (h *laneHeap) Push(x any) {
	l := x.(*lane)
	l.position = len(*h)
	*h = append(*h, l)
}

// Pop is called by container/heap.
func (h *laneHeap) Pop() any {
	old := *h
	l := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	l.position = -1
	return l
}

// settle brings the lane's place in its group up to date.
func (l *lane) settle() {
	member := l.active && l.count > 0
	switch {
	case member && l.position < 0:
		heap.Push(&l.group.lanes, l)
	case member:
		heap.Fix(&l.group.lanes, l.position)
	case l.position >= 0:
		heap.Remove(&l.group.lanes, l.position)
	}
}
