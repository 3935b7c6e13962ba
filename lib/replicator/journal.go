package replicator

// journal is the part of the log that is held in memory: all entries after base.
// Entries up to and including base are committed and covered by a snapshot.
type journal struct {
	base    Position
	entries []Entry
}

// last returns the position of the last entry, or base if there is none.
func (j *journal) last() Position {
	if len(j.entries) == 0 {
		return j.base
	}
	return j.entries[len(j.entries)-1].position()
}

// term returns the term of the entry at an index, and false if the index is before
// base or after the last entry.
func (j *journal) term(index uint64) (uint64, bool) {
	switch {
	case index == j.base.Index:
		return j.base.Term, true
	case index < j.base.Index || index > j.last().Index:
		return 0, false
	}
	return j.entries[index-j.base.Index-1].Term, true
}

// matches reports whether the log holds an entry with that index and term.
func (j *journal) matches(position Position) bool {
	term, known := j.term(position.Index)
	return known && term == position.Term
}

// entriesFrom returns the entries from an index on, limited to a number of entries
// and to a number of bytes of data. It returns at least one entry, even if that
// exceeds the bytes, and nil if the index is not in memory. The caller must not
// modify the slice.
func (j *journal) entriesFrom(index uint64, entries, bytes int) []Entry {
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

// entriesBetween returns the entries after one index, up to and including another.
func (j *journal) entriesBetween(after, upTo uint64) []Entry {
	if upTo <= after || after < j.base.Index {
		return nil
	}
	return j.entries[after-j.base.Index : upTo-j.base.Index : upTo-j.base.Index]
}

func (j *journal) append(entry Entry) {
	j.entries = append(j.entries, entry)
}

// truncateFrom drops the entries from an index on. It limits the capacity of the
// slice, so that the next append copies the remaining entries: queued messages
// still share the array.
func (j *journal) truncateFrom(index uint64) {
	keep := index - j.base.Index - 1
	j.entries = j.entries[:keep:keep]
}

// conflictHint returns the highest index, at most the given one, at which this log
// may match a log that has a different entry at the given index. That is the last
// entry of the previous term, so that one round trip skips a whole term (section
// 5.3 of the paper).
func (j *journal) conflictHint(index uint64) uint64 {
	if index > j.last().Index {
		return j.last().Index
	}
	conflictTerm, known := j.term(index)
	if !known {
		return j.base.Index
	}
	for index > j.base.Index {
		term, _ := j.term(index)
		if term != conflictTerm {
			break
		}
		index--
	}
	return index
}

// compact drops the entries up to an index, except the latest of them up to keep
// bytes, which slow followers may still need. It moves base accordingly.
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
	// The copy releases the old array.
	j.entries = append(make([]Entry, 0, len(kept)), kept...)
	j.base = Position{Index: index, Term: term}
}

// entryOverhead is the memory that an entry takes besides its data, in bytes.
const entryOverhead = 48

// reset empties the log and makes it start after a snapshot at base.
func (j *journal) reset(base Position) {
	j.base = base
	j.entries = nil
}
