package balancer

import (
	"container/list"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// maxCachedParts bounds the entries per engine, at 150 bytes each.
const maxCachedParts = 4096

// prefixCache estimates which prompt parts an engine caches, from what this router has sent there.
// It evicts the least recently used parts. Its zero value is empty.
type prefixCache struct {
	order  list.List // of *cachedPart, most recently used first
	byKey  map[uint64]*list.Element
	tokens int
}

type cachedPart struct {
	key    uint64
	tokens int
}

// chain calls visit with each part and a key that covers all parts up to it, until visit returns
// false: an engine can reuse a part only behind the same preceding parts.
func chain(work *Work, visit func(key uint64, part Part) bool) {
	key := hashText(work.Model)
	for _, part := range work.Parts {
		key = mix(key, part.ID)
		if !visit(key, part) {
			return
		}
	}
}

// cachedTokens returns the number of tokens in the cached prefix of a prompt.
func (p *prefixCache) cachedTokens(work *Work) int {
	tokens := 0
	chain(work, func(key uint64, part Part) bool {
		if _, found := p.byKey[key]; !found {
			return false
		}
		tokens += part.Tokens
		return true
	})
	return tokens
}

// add records the parts of a prompt that was sent, and evicts old parts beyond limit tokens (0: no
// limit).
func (p *prefixCache) add(work *Work, limit int) {
	if p.byKey == nil {
		p.byKey = make(map[uint64]*list.Element)
	}
	chain(work, func(key uint64, part Part) bool {
		if at, found := p.byKey[key]; found {
			p.order.MoveToFront(at)
			return true
		}
		p.byKey[key] = p.order.PushFront(&cachedPart{key: key, tokens: part.Tokens})
		p.tokens += part.Tokens
		return true
	})
	for p.order.Len() > maxCachedParts || limit > 0 && p.tokens > limit && p.order.Len() > 1 {
		oldest := p.order.Remove(p.order.Back()).(*cachedPart)
		delete(p.byKey, oldest.key)
		p.tokens -= oldest.tokens
	}
}

func sum(parts []Part) int {
	tokens := 0
	for _, part := range parts {
		tokens += part.Tokens
	}
	return tokens
}

func hashText(text string) uint64 {
	return xxhash.Sum64String(text)
}

func mix(a, b uint64) uint64 {
	var both [16]byte
	binary.LittleEndian.PutUint64(both[:8], a)
	binary.LittleEndian.PutUint64(both[8:], b)
	return xxhash.Sum64(both[:])
}
