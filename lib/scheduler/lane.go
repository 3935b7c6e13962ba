package scheduler

import (
	"container/heap"
	"time"

	"shallotkeel.example/lib/estimator"
)

// laneKey identifies those tickets of a workspace that may go to the same
// endpoints.
type laneKey struct {
	model string
	avoid string // IDs of avoided endpoints, joined; usually empty
	alone bool   // suspected of crashing endpoints
	zone  string // zone that the demand comes from, empty for local tickets
}

// lane is the FIFO queue of one workspace's tickets with the same key. A lane
// for the demand of another zone has only a count instead of tickets.
type lane struct {
	key             laneKey
	workspace       *workspace
	record          *estimator.Record
	avoid           []string
	endpoints       bitset // eligible endpoints that may serve the lane
	group           *group
	groupGeneration uint64   // value of Pool.groupGeneration when the group was determined
	active          bool     // listed in workspace.active
	heapIndex       int      // position in the group's heap, -1 if not in it
	first           *request // head of the linked list, nil if empty or remote
	last            *request
	count           int       // tickets, or the other zone's demand
	counter         float64   // key in the heap: the price, plus remotePenalty for another zone's demand
	created         uint64    // serial number by order of creation
	strandedSince   time.Time // since when endpoints has been empty, zero if it is not
}

// remote reports whether the lane holds the demand of another zone.
func (l *lane) remote() bool {
	return l.key.zone != ""
}

// firstArrival returns the arrival number of the lane's first ticket.
func (l *lane) firstArrival() uint64 {
	if l.first == nil {
		return l.created
	}
	return l.first.arrivalNumber
}

// before orders lanes by counter. On equal counters local work precedes that of
// other zones, then the earlier arrival comes first.
func (l *lane) before(other *lane) bool {
	switch {
	case l.counter != other.counter:
		return l.counter < other.counter
	case l.remote() != other.remote():
		return !l.remote()
	case l.firstArrival() != other.firstArrival():
		return l.firstArrival() < other.firstArrival()
	default:
		return l.created < other.created
	}
}

// push appends a request to the queue.
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

// unlink removes a request from any position of the queue.
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

// group is the set of lanes that may go to the same endpoints, as a heap
// ordered by counter. Thus a free slot finds its next request without a scan of
// all workspaces, and a workspace whose endpoints are full does not block the
// others.
type group struct {
	endpoints bitset
	alone     bool
	lanes     laneHeap
}

// groupKey identifies a group by its set of endpoints and by whether it is for
// suspects.
type groupKey struct {
	endpoints string
	alone     bool
}

// laneHeap is a min-heap of lanes ordered by lane.before.
type laneHeap []*lane

func (h laneHeap) Len() int           { return len(h) }
func (h laneHeap) Less(i, j int) bool { return h[i].before(h[j]) }

func (h laneHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *laneHeap) Push(x any) {
	l := x.(*lane)
	l.heapIndex = len(*h)
	*h = append(*h, l)
}

// Pop implements heap.Interface.
func (h *laneHeap) Pop() any {
	old := *h
	l := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	l.heapIndex = -1
	return l
}

// updateHeap inserts, moves or removes the lane in its group's heap after a
// change of its counter, its ticket count or its activity.
func (l *lane) updateHeap() {
	member := l.active && l.count > 0
	switch {
	case member && l.heapIndex < 0:
		heap.Push(&l.group.lanes, l)
	case member:
		heap.Fix(&l.group.lanes, l.heapIndex)
	case l.heapIndex >= 0:
		heap.Remove(&l.group.lanes, l.heapIndex)
	}
}
