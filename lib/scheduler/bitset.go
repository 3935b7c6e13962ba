package scheduler

import (
	"encoding/binary"
	"math/bits"
)

// bitset is a set of endpoints, identified by their index in
// Pool.endpointsByIndex.
type bitset []uint64

const wordBits = 64

func (b *bitset) add(index int) {
	for len(*b) <= index/wordBits {
		*b = append(*b, 0)
	}
	(*b)[index/wordBits] |= 1 << (index % wordBits)
}

func (b *bitset) remove(index int) {
	if index/wordBits < len(*b) {
		(*b)[index/wordBits] &^= 1 << (index % wordBits)
	}
}

func (b *bitset) put(index int, member bool) {
	if member {
		b.add(index)
		return
	}
	b.remove(index)
}

func (b bitset) has(index int) bool {
	return index/wordBits < len(b) && b[index/wordBits]&(1<<(index%wordBits)) != 0
}

func (b bitset) empty() bool {
	for _, word := range b {
		if word != 0 {
			return false
		}
	}
	return true
}

func (b bitset) intersects(other bitset) bool {
	for i := range min(len(b), len(other)) {
		if b[i]&other[i] != 0 {
			return true
		}
	}
	return false
}

// each calls visit for every member of the intersection of both sets, in
// ascending order.
func (b bitset) each(other bitset, visit func(index int)) {
	for i := range min(len(b), len(other)) {
		for word := b[i] & other[i]; word != 0; word &= word - 1 {
			visit(i*wordBits + bits.TrailingZeros64(word))
		}
	}
}

// key returns a string that is equal for equal sets, for use as a map key.
func (b bitset) key() string {
	last := len(b)
	for last > 0 && b[last-1] == 0 {
		last--
	}
	text := make([]byte, 0, last*8)
	for _, word := range b[:last] {
		text = binary.LittleEndian.AppendUint64(text, word)
	}
	return string(text)
}
