package server

import (
	"sort"
	"sync"
	"time"

	"shallotkeel.example/lib/versioner"
)

// relayRetention is how long an item that a router sent to this keeper is kept for relaying to the
// other keepers: for as long as the origin of a stream is of use. A keeper that was cut off hears of
// what it has missed from nobody else.
const relayRetention = versioner.Retention

// relayQueue holds items that routers sent to this keeper, in order of arrival, until the other
// keepers have got them. Its zero value is empty. It is safe for concurrent use.
type relayQueue[T any] struct {
	mutex sync.Mutex
	items []relayed[T]
}

// relayed is an item with its time of arrival.
type relayed[T any] struct {
	at   time.Time
	item T
}

// add adds an item, and drops the oldest if there are more than most.
func (r *relayQueue[T]) add(now time.Time, most int, item T) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.items) >= most {
		r.items = r.items[1:]
	}
	r.items = append(r.items, relayed[T]{at: now, item: item})
}

// since returns the items that arrived from a time on, and drops those older than relayRetention.
func (r *relayQueue[T]) since(now, from time.Time) []T {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	expired := 0
	for expired < len(r.items) && now.Sub(r.items[expired].at) > relayRetention {
		expired++
	}
	r.items = r.items[expired:]
	first := sort.Search(len(r.items), func(i int) bool { return !r.items[i].at.Before(from) })
	var items []T
	for _, a := range r.items[first:] {
		items = append(items, a.item)
	}
	return items
}
