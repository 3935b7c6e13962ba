package configurer

import (
	"maps"
	"slices"

	"github.com/ansel1/merry/v2"

	"shallotkeel.example/lib/describer"
)

// ErrForgotten means that a revision is not covered by the history, because it is
// too old or does not exist yet.
var ErrForgotten = merry.Sentinel("that revision is not known")

// History lists at most limit accepted changes, newest first: those below the
// revision before, or the newest of all if before is 0.
func (m *Machine) History(before uint64, limit int) []Revision {
	var found []Revision
	for _, entry := range slices.Backward(m.history.items) {
		if len(found) >= limit {
			break
		}
		if before == 0 || entry.item.Revision < before {
			found = append(found, entry.item)
		}
	}
	return found
}

// At returns the objects as of a revision, by undoing all later changes. A rollback
// to it is a new change, made from the difference to the objects in force.
func (m *Machine) At(revision uint64) (describer.Snapshot, error) {
	if revision > m.revision || revision+1 < m.oldest() {
		return describer.Snapshot{}, merry.Errorf("%w: revision %d; ask for %d to %d",
			ErrForgotten, revision, m.oldest()-1, m.revision)
	}
	objects := maps.Clone(m.objects)
	if objects == nil {
		objects = make(map[describer.Key]describer.Object)
	}
	for _, entry := range slices.Backward(m.history.items) {
		if entry.item.Revision <= revision {
			break
		}
		undo(objects, entry.item)
	}
	return describer.Snapshot{Revision: revision, Objects: objects}, nil
}

// undo restores the objects to the state before a revision.
func undo(objects map[describer.Key]describer.Object, revision Revision) {
	for _, before := range revision.Before {
		if before.Version == 0 {
			delete(objects, before.Key())
			continue
		}
		objects[before.Key()] = before
	}
}

// oldest returns the first revision in the history, or the next revision if the
// history is empty.
func (m *Machine) oldest() uint64 {
	if len(m.history.items) == 0 {
		return m.revision + 1
	}
	return m.history.items[0].item.Revision
}

// Difference holds the changes from one revision to the revision in force.
type Difference struct {
	Revision  uint64
	Full      bool // Objects is the complete configuration
	Objects   []describer.Object
	Deletions []describer.Key
}

// Since returns the changes after a revision. If the revision is 0 or older than the
// history, the difference is the full configuration. If it is not below the revision
// in force, the difference is empty.
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
	for _, key := range m.editedKeys(after) {
		if object, found := m.objects[key]; found {
			difference.Objects = append(difference.Objects, object)
			continue
		}
		difference.Deletions = append(difference.Deletions, key)
	}
	return difference
}

// editedKeys lists the keys of all objects that were edited after a revision.
func (m *Machine) editedKeys(after uint64) []describer.Key {
	keys := make(map[describer.Key]bool)
	for _, entry := range slices.Backward(m.history.items) {
		if entry.item.Revision <= after {
			break
		}
		for _, before := range entry.item.Before {
			keys[before.Key()] = true
		}
	}
	return slices.SortedFunc(maps.Keys(keys), compareKeys)
}
