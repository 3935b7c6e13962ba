package balancer

import (
	"container/list"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// maxParts bounds the parts that are remembered of one engine, 150 bytes each.
const maxParts = 4096

// parts is what an engine probably holds of prompts: what this router has sent
// there, the least recently used forgotten first. Its zero value is empty.
type parts struct {
	order  list.List // of *held, the one used last in front
	byKey  map[uint64]*list.Element
	tokens int
}

type held struct {
	key    uint64
	tokens int
}

// chain names each part by all parts up to it: an engine can use a part only
// behind the same ones.
func chain(work *Work, visit func(key uint64, part Part) bool) {
	key := hashText(work.Model)
	for _, part := range work.Parts {
		key = mix(key, part.ID)
		if !visit(key, part) {
			return
		}
	}
}

// kept returns how many tokens of a prompt are held.
func (p *parts) kept(work *Work) int {
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

// note remembers that a prompt was sent, within a number of tokens.
func (p *parts) note(work *Work, limit int) {
	if p.byKey == nil {
		p.byKey = make(map[uint64]*list.Element)
	}
	chain(work, func(key uint64, part Part) bool {
		if at, found := p.byKey[key]; found {
			p.order.MoveToFront(at)
			return true
		}
		p.byKey[key] = p.order.PushFront(&held{key: key, tokens: part.Tokens})
		p.tokens += part.Tokens
		return true
	})
	for p.order.Len() > maxParts || limit > 0 && p.tokens > limit && p.order.Len() > 1 {
		oldest := p.order.Remove(p.order.Back()).(*held)
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
