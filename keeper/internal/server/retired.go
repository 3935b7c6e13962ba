package server

import (
	"slices"

	"shallotkeel.example/lib/replicator"
)

// maxRetired bounds the names that are kept; the oldest are dropped.
const maxRetired = 64

// retired holds the names of keepers that left the group since this process started. Only the
// control loop uses it; its zero value is empty.
//
// It makes the removal of a keeper idempotent: an operator whose answer is lost repeats
// the removal, and must not get an error that the member is unknown.
type retired struct {
	names []string
}

// update adds the keepers that left the group between two states of it, and drops those that
// are members again.
func (r *retired) update(before, after replicator.Group) {
	for _, replica := range before {
		if len(after.Named(replica.Name)) > 0 || r.has(replica.Name) {
			continue
		}
		r.names = append(r.names, replica.Name)
		if len(r.names) > maxRetired {
			r.names = r.names[1:]
		}
	}
	r.names = slices.DeleteFunc(r.names, func(name string) bool { return len(after.Named(name)) > 0 })
}

// has reports whether a keeper of this name left the group.
func (r *retired) has(name string) bool {
	return slices.Contains(r.names, name)
}
