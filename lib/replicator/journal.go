package replicator

// journal is the part of the log that is held in memory: everything behind the
// base. Entries at and before the base are known to be committed.
type journal struct {
	base    Position
	entries []Entry
}

func (j *journal) last() Position {
	if len(j.entries) == 0 {
		return j.base
	}
	return j.entries[len(j.entries)-1].position()
}

// term returns the term of the entry at an index, if it is known.
func (j *journal) term(index uint64) (uint64, bool) {
	switch {
	case index == j.base.Index:
		return j.base.Term, true
	case index < j.base.Index || index > j.last().Index:
		return 0, false
	}
	return j.entries[index-j.base.Index-1].Term, true
}

// matches tells whether the entry at a position is in the log.
func (j *journal) matches(position Position) bool {
	term, known := j.term(position.Index)
	return known && term == position.Term
}

// from returns entries from an index on, at most that many, and at most that
// many bytes unless the first alone is larger. The slice must not be changed.
func (j *journal) from(index uint64, entries, bytes int) []Entry {
	if index <= j.base.Index || index > j.last().Index {
		return nil
	}
	rest := j.entries[index-j.base.Index-1:]
	size := 0
	for i, entry := range rest {
		size += len(entry.Data)
		if i == entries || (i > 0 && size > bytes) {
			return rest[:i:i]
		}
	}
	return rest[:len(rest):len(rest)]
}

// between returns the entries behind one index up to and including another.
func (j *journal) between(after, upTo uint64) []Entry {
	if upTo <= after || after < j.base.Index {
		return nil
	}
	return j.entries[after-j.base.Index : upTo-j.base.Index : upTo-j.base.Index]
}

func (j *journal) append(entry Entry) {
	j.entries = append(j.entries, entry)
}

// cut drops the entries from an index on. The rest is copied when something
// is appended, because messages still share the array.
func (j *journal) cut(index uint64) {
	keep := index - j.base.Index - 1
	j.entries = j.entries[:keep:keep]
}

// conflict returns the highest index, at most the given one, at which a log
// with another entry there may still agree: the end of the previous term. It
// skips a whole term in one round trip (section 5.3 of the paper).
func (j *journal) conflict(index uint64) uint64 {
	if index > j.last().Index {
		return j.last().Index
	}
	wrong, known := j.term(index)
	if !known {
		return j.base.Index
	}
	for index > j.base.Index {
		term, _ := j.term(index)
		if term != wrong {
			break
		}
		index--
	}
	return index
}

// compact moves the base to an index but keeps that many bytes of entries
// before it for followers that are a little behind.
func (j *journal) compact(index uint64, keep int) {
	size := 0
	for index > j.base.Index {
		size += len(j.entries[index-j.base.Index-1].Data) + entryOverhead
		if size > keep {
			break
		}
		index--
	}
	if index == j.base.Index {
		return
	}
	term, _ := j.term(index)
	kept := j.entries[index-j.base.Index:]
	// The copy lets the old array go.
	j.entries = append(make([]Entry, 0, len(kept)), kept...)
	j.base = Position{Index: index, Term: term}
}

// entryOverhead is the memory of an entry besides its data, in bytes.
const entryOverhead = 48

// reset makes the log empty behind a snapshot.
func (j *journal) reset(base Position) {
	j.base = base
	j.entries = nil
}
