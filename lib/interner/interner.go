// Package interner numbers the names of a message or of a session, so that each
// name is sent once and stands as a small number from then on.
//
// Invariants: both ends number in the order of the names that were sent; a
// number that the reader does not know reads as the empty name and never as
// another one; a reader holds no more names than its bound, however many are sent.
package interner

// Writer gives numbers to names. The zero value is ready to use.
type Writer struct {
	index map[string]uint32
	fresh []string
}

// Put returns the number of a name.
func (w *Writer) Put(name string) uint32 {
	if at, known := w.index[name]; known {
		return at
	}
	if w.index == nil {
		w.index = make(map[string]uint32)
	}
	at := uint32(len(w.index))
	w.index[name] = at
	w.fresh = append(w.fresh, name)
	return at
}

// Take returns the names that were put since the last Take, to be sent along.
func (w *Writer) Take() []string {
	fresh := w.fresh
	w.fresh = nil
	return fresh
}

// Len counts the names that have a number.
func (w *Writer) Len() int {
	return len(w.index)
}

// Reader is the other end of a Writer. The zero value holds no names.
type Reader struct {
	names []string
}

// Extend takes in the names that a Writer sent along, up to a bound in all.
func (r *Reader) Extend(names []string, bound int) {
	r.names = append(r.names, names[:min(len(names), max(0, bound-len(r.names)))]...)
}

// Get returns the name with a number, or the empty one.
func (r *Reader) Get(at uint32) string {
	return At(r.names, at)
}

// Len counts the names.
func (r *Reader) Len() int {
	return len(r.names)
}

// At returns the name with a number in a message's own list, or the empty one.
func At(names []string, at uint32) string {
	if uint64(at) >= uint64(len(names)) {
		return ""
	}
	return names[at]
}
