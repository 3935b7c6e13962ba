package resolver

import "crypto/sha256"

// maxRemovedKeys bounds the removed keys that are remembered; each takes 80 bytes.
const maxRemovedKeys = 1024

// RemovedKey describes a key that no workspace holds any longer.
type RemovedKey struct {
	// Workspace is the name of the last workspace that held the key.
	Workspace string
	// Since is the first version of the configuration known to this router that lacks the key.
	Since uint64
}

// InheritRemovedKeys records the keys that an earlier table held and this one does not. It is
// called before the table is in use; a nil table held no keys.
//
// It lets a refusal distinguish a workspace whose key was removed by a change from a client whose
// key this router has never known.
func (t *Table) InheritRemovedKeys(earlier *Table) {
	if earlier == nil {
		return
	}
	t.removedKeys = make(map[[sha256.Size]byte]RemovedKey)
	for digest, workspace := range earlier.workspaces {
		t.rememberRemoved(digest, RemovedKey{Workspace: workspace.Name, Since: t.version})
	}
	for digest, removed := range earlier.removedKeys {
		t.rememberRemoved(digest, removed)
	}
}

// rememberRemoved records a removed key unless a workspace holds it again or the bound is reached.
func (t *Table) rememberRemoved(digest [sha256.Size]byte, removed RemovedKey) {
	if _, held := t.workspaces[digest]; !held && len(t.removedKeys) < maxRemovedKeys {
		t.removedKeys[digest] = removed
	}
}

// RemovedKey returns the record of a key that no workspace holds any longer, if it is remembered.
func (t *Table) RemovedKey(key string) (RemovedKey, bool) {
	removed, found := t.removedKeys[sha256.Sum256([]byte(key))]
	return removed, found
}
