// Package interner replaces the names in a message or a session by small
// numbers, so that each name is transmitted only once.
//
// Invariants: writer and reader number names in the order of transmission; a
// number unknown to the reader resolves to the empty name and never to another
// name; a reader stores at most its bound of names, however many are sent.
package interner

// Writer assigns numbers to names. The zero value is ready to use.
type Writer struct {
	index  map[string]uint32
	unsent []string
}

// Intern returns the number of a name, assigning the next number to a new name.
func (w *Writer) Intern(name string) uint32 {
	if number, known := w.index[name]; known {
		return number
	}
	if w.index == nil {
		w.index = make(map[string]uint32)
	}
	number := uint32(len(w.index))
	w.index[name] = number
	w.unsent = append(w.unsent, name)
	return number
}

// Take returns the names that were assigned a number since the last call, in
// order. The caller must send them to the reader.
func (w *Writer) Take() []string {
	unsent := w.unsent
	w.unsent = nil
	return unsent
}

// Len returns the number of names that have been assigned a number.
func (w *Writer) Len() int {
	return len(w.index)
}

// Reader resolves the numbers assigned by a Writer. The zero value holds no
// names and is ready to use.
type Reader struct {
	names []string
}

// Extend appends names received from a Writer's Take. Names that would exceed
// bound, the maximum number of names in total, are ignored.
func (r *Reader) Extend(names []string, bound int) {
	r.names = append(r.names, names[:min(len(names), max(0, bound-len(r.names)))]...)
}

// Get returns the name with the given number, or the empty string if the number
// is unknown.
func (r *Reader) Get(number uint32) string {
	return At(r.names, number)
}

// Len returns the number of stored names.
func (r *Reader) Len() int {
	return len(r.names)
}

// At returns the name with the given number in a message's own list of names, or
// the empty string if the number is out of range.
func At(names []string, number uint32) string {
	if uint64(number) >= uint64(len(names)) {
		return ""
	}
	return names[number]
}
