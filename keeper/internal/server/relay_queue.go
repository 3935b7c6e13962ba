package server

import (
	"sync"
	"time"
)

// relayRetention is how long an item that a router sent to this keeper is kept for relaying to the
// other keepers: longer than a poll between keepers takes, however busy they are.
const relayRetention = 5 * time.Second

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
	var items []T
	for _, a := range r.items {
		if !a.at.Before(from) {
			items = append(items, a.item)
		}
	}
	return items
}
