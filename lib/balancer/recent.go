package balancer

import "container/list"

const (
	// recentEngines is the number of engines remembered for each prefix, and maxRecentPrefixes the
	// number of prefixes, at 150 bytes each.
	recentEngines     = 4
	maxRecentPrefixes = 4096
)

// recentUses records the engines to which requests with the same prefix were sent. It evicts the
// least recently used prefixes. Its zero value is empty.
type recentUses struct {
	order list.List // of *prefixUse, most recently used first
	byKey map[uint64]*list.Element
}

type prefixUse struct {
	key     uint64
	engines []*endpoint // latest first
}

// add records that a prompt was sent to an engine.
func (r *recentUses) add(work *Work, e *endpoint) {
	key, shares := work.prefixKey()
	if !shares {
		return
	}
	if r.byKey == nil {
		r.byKey = make(map[uint64]*list.Element)
	}
	known, found := r.byKey[key]
	if !found {
		known = r.order.PushFront(&prefixUse{key: key})
		r.byKey[key] = known
	}
	r.order.MoveToFront(known)
	s := known.Value.(*prefixUse)
	engines := []*endpoint{e}
	for _, other := range s.engines {
		if other != e && len(engines) < recentEngines {
			engines = append(engines, other)
		}
	}
	s.engines = engines
	if r.order.Len() > maxRecentPrefixes {
		oldest := r.order.Remove(r.order.Back()).(*prefixUse)
		delete(r.byKey, oldest.key)
	}
}

// get returns the engines to which prompts with the same prefix were sent, latest first.
func (r *recentUses) get(work *Work) []*endpoint {
	key, shares := work.prefixKey()
	if !shares {
		return nil
	}
	known, found := r.byKey[key]
	if !found {
		return nil
	}
	return known.Value.(*prefixUse).engines
}

// prefixKey returns a key of the prefix that a prompt shares with others, all parts but the last,
// and whether it has such a prefix.
func (w *Work) prefixKey() (key uint64, shares bool) {
	shared := Work{Model: w.Model, Parts: w.SharedParts()}
	chain(&shared, func(at uint64, _ Part) bool {
		key, shares = at, true
		return true
	})
	return key, shares
}
