package configurer

import (
	"maps"
	"slices"

	"github.com/ansel1/merry/v2"

	"shallotkeel.example/lib/describer"
)

// ErrForgotten means that the history no longer reaches back that far.
var ErrForgotten = merry.Sentinel("that revision is not known")

// History lists accepted changes, newest first: those below a revision, or the
// newest if it is 0.
func (m *Machine) History(before uint64, limit int) []Revision {
	var found []Revision
	for _, at := range slices.Backward(m.history.items) {
		if len(found) >= limit {
			break
		}
		if before == 0 || at.item.Revision < before {
			found = append(found, at.item)
		}
	}
	return found
}

// At returns the objects as of a revision, by undoing the changes since. Going
// back to it is a new change, made from the difference to what is in force.
func (m *Machine) At(revision uint64) (describer.Snapshot, error) {
	if revision > m.revision || revision+1 < m.oldest() {
		return describer.Snapshot{}, merry.Errorf("%w: revision %d; ask for %d to %d",
			ErrForgotten, revision, m.oldest()-1, m.revision)
	}
	objects := maps.Clone(m.objects)
	if objects == nil {
		objects = make(map[describer.Key]describer.Object)
	}
	for _, at := range slices.Backward(m.history.items) {
		if at.item.Revision <= revision {
			break
		}
		undo(objects, at.item)
	}
	return describer.Snapshot{Revision: revision, Objects: objects}, nil
}

func undo(objects map[describer.Key]describer.Object, revision Revision) {
	for _, before := range revision.Before {
		if before.Version == 0 {
			delete(objects, before.Key())
			continue
		}
		objects[before.Key()] = before
	}
}

// oldest is the first revision whose change is remembered.
func (m *Machine) oldest() uint64 {
	if len(m.history.items) == 0 {
		return m.revision + 1
	}
	return m.history.items[0].item.Revision
}

// Difference is what changed from one revision to the one in force.
type Difference struct {
	Revision  uint64
	Full      bool // Objects are all there are
	Objects   []describer.Object
	Deletions []describer.Key
}

// Since returns what changed after a revision: everything, if that is 0 or
// lies before the history, and nothing if it is not below the one in force.
func (m *Machine) Since(after uint64) Difference {
	difference := Difference{Revision: m.revision}
	if after >= m.revision {
		return difference
	}
	if after == 0 || after+1 < m.oldest() {
		difference.Full = true
		difference.Objects = sorted(m.objects)
		return difference
	}
	for _, key := range m.edited(after) {
		if object, found := m.objects[key]; found {
			difference.Objects = append(difference.Objects, object)
			continue
		}
		difference.Deletions = append(difference.Deletions, key)
	}
	return difference
}

// edited lists the objects that changes after a revision edited.
func (m *Machine) edited(after uint64) []describer.Key {
	keys := make(map[describer.Key]bool)
	for _, at := range slices.Backward(m.history.items) {
		if at.item.Revision <= after {
			break
		}
		for _, before := range at.item.Before {
			keys[before.Key()] = true
		}
	}
	return slices.SortedFunc(maps.Keys(keys), compareKeys)
}
