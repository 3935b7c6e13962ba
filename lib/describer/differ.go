package describer

import (
	"maps"
	"slices"
)

// Difference is one wanted object that differs from the object in force.
type Difference struct {
	Key    Key
	Before *Object // nil: the object does not exist yet
	After  *Object // nil: the object is to be deleted
}

// Equivalent reports whether two objects are equal apart from their versions.
func Equivalent(a, b Object) bool {
	return a.Key() == b.Key() && a.Selector == b.Selector && maps.Equal(a.Labels, b.Labels)
}

// Diff lists the differences between the wanted and the current objects, each group
// in order of kind and name. Current objects that are not wanted are listed as
// deletions, at the end, only with prune: a file usually describes just a part of
// the configuration.
func Diff(current, wanted []Object, prune bool) []Difference {
	known := byKey(current)
	want := byKey(wanted)
	var differences []Difference
	for _, object := range sorted(wanted) {
		before, found := known[object.Key()]
		switch {
		case !found:
			differences = append(differences, Difference{Key: object.Key(), After: &object})
		case !Equivalent(before, object):
			differences = append(differences, Difference{Key: object.Key(), Before: &before, After: &object})
		}
	}
	if !prune {
		return differences
	}
	for _, object := range sorted(current) {
		if _, kept := want[object.Key()]; !kept {
			differences = append(differences, Difference{Key: object.Key(), Before: &object})
		}
	}
	return differences
}

// Edits converts differences to edits that conflict if one of the objects has been
// changed since it was read.
func Edits(differences []Difference) []Edit {
	edits := make([]Edit, 0, len(differences))
	for _, difference := range differences {
		edits = append(edits, edit(difference))
	}
	return edits
}

func edit(difference Difference) Edit {
	edit := Edit{Check: true}
	if difference.Before != nil {
		edit.Version = difference.Before.Version
	}
	if difference.After == nil {
		edit.Delete = true
		edit.Object = Object{Kind: difference.Key.Kind, Name: difference.Key.Name}
		return edit
	}
	edit.Object = *difference.After
	return edit
}

func byKey(objects []Object) map[Key]Object {
	keyed := make(map[Key]Object, len(objects))
	for _, object := range objects {
		keyed[object.Key()] = object
	}
	return keyed
}

func sorted(objects []Object) []Object {
	ordered := slices.Clone(objects)
	SortObjects(ordered)
	return ordered
}
