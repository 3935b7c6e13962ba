package describer

import (
	"maps"
	"slices"
)

// Difference is one object that differs from what is in force.
type Difference struct {
	Key    Key
	Before *Object // nil: the object does not exist yet
	After  *Object // nil: the object is to be deleted
}

// Same tells whether two objects say the same, whatever their versions.
func Same(a, b Object) bool {
	return a.Key() == b.Key() && a.Selector == b.Selector && maps.Equal(a.Labels, b.Labels)
}

// Diff lists how the wanted objects differ from the current ones, in order of
// kind and name. Objects that are not wanted are listed as deletions only with
// prune, because a file usually describes a part of the configuration.
func Diff(current, wanted []Object, prune bool) []Difference {
	known := byKey(current)
	want := byKey(wanted)
	var differences []Difference
	for _, object := range sorted(wanted) {
		before, found := known[object.Key()]
		switch {
		case !found:
			differences = append(differences, Difference{Key: object.Key(), After: &object})
		case !Same(before, object):
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

// Edits turns differences into edits that are refused if anybody has changed
// one of the objects since it was read.
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
