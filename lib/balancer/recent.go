package balancer

import "container/list"

const (
	// recentEach is how many engines are remembered of a part that requests share, and
	// recentMost of how many parts, 150 bytes each.
	recentEach = 4
	recentMost = 4096
)

// recent remembers to which engines requests were sent that share a part, the parts used least
// recently forgotten first. Its zero value is empty.
type recent struct {
	order list.List // of *sharing, the one used last in front
	byKey map[uint64]*list.Element
}

type sharing struct {
	key uint64
	at  []*endpoint // the latest first
}

// note remembers that a prompt was sent to an engine.
func (r *recent) note(work *Work, e *endpoint) {
	key, shares := work.sharing()
	if !shares {
		return
	}
	if r.byKey == nil {
		r.byKey = make(map[uint64]*list.Element)
	}
	known, found := r.byKey[key]
	if !found {
		known = r.order.PushFront(&sharing{key: key})
		r.byKey[key] = known
	}
	r.order.MoveToFront(known)
	s := known.Value.(*sharing)
	at := []*endpoint{e}
	for _, other := range s.at {
		if other != e && len(at) < recentEach {
			at = append(at, other)
		}
	}
	s.at = at
	if r.order.Len() > recentMost {
		oldest := r.order.Remove(r.order.Back()).(*sharing)
		delete(r.byKey, oldest.key)
	}
}

// get returns the engines that prompts with the same part were sent to.
func (r *recent) get(work *Work) []*endpoint {
	key, shares := work.sharing()
	if !shares {
		return nil
	}
	known, found := r.byKey[key]
	if !found {
		return nil
	}
	return known.Value.(*sharing).at
}

// sharing names what a prompt shares with others, by all parts but the last.
func (w *Work) sharing() (key uint64, shares bool) {
	shared := Work{Model: w.Model, Parts: w.shared()}
	chain(&shared, func(at uint64, _ Part) bool {
		key, shares = at, true
		return true
	})
	return key, shares
}
