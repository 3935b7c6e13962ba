package resolver

import "crypto/sha256"

// maxFormer bounds the keys that are remembered after they went, 80 bytes each.
const maxFormer = 1024

// Former tells of a key that is held no longer.
type Former struct {
	// Workspace is who held it last.
	Workspace string
	// Since is the first version known without it.
	Since uint64
}

// Succeed remembers which keys an earlier table held and this one does not. It is called
// before the table is in use; a nil table held none.
//
// A workspace whose requests are refused since a change took its key is told apart by it
// from one whose key this router has never known.
func (t *Table) Succeed(earlier *Table) {
	if earlier == nil {
		return
	}
	t.former = make(map[[sha256.Size]byte]Former)
	for digest, workspace := range earlier.workspaces {
		t.remember(digest, Former{Workspace: workspace.Name, Since: t.version})
	}
	for digest, former := range earlier.former {
		t.remember(digest, former)
	}
}

// remember notes a key unless it is held, or too many are noted.
func (t *Table) remember(digest [sha256.Size]byte, former Former) {
	if _, held := t.workspaces[digest]; !held && len(t.former) < maxFormer {
		t.former[digest] = former
	}
}

// Former returns what became of a key that is not held.
func (t *Table) Former(key string) (Former, bool) {
	former, found := t.former[sha256.Sum256([]byte(key))]
	return former, found
}
