package describer

import (
	"cmp"
	"slices"

	"github.com/ansel1/merry/v2"

	"shallotkeel.example/lib/loader"
)

// ErrDocument is wrapped by every error about a file of objects.
var ErrDocument = merry.Sentinel("document of objects is not usable")

// Document is the content of a file of objects, which is JSON with comments.
type Document struct {
	Objects []Object `json:"objects"`
}

// ParseDocument parses a file of objects. Errors contain the given name of the
// file, the remedy, and the line if the JSON is at fault.
func ParseDocument(name string, text []byte) ([]Object, error) {
	var document Document
	if err := loader.Unmarshal(name, text, &document); err != nil {
		return nil, merry.Errorf("%w: %w", ErrDocument, err)
	}
	seen := make(map[Key]bool, len(document.Objects))
	for i, object := range document.Objects {
		if object.Name == "" || object.Kind == "" {
			return nil, merry.Errorf("%w: %s: object %d has no kind or no name; give it both", ErrDocument, name, i+1)
		}
		if object.Version != 0 {
			return nil, merry.Errorf("%w: %s: %s %s carries a version; leave it out, skctl looks it up",
				ErrDocument, name, object.Kind, object.Name)
		}
		if seen[object.Key()] {
			return nil, merry.Errorf("%w: %s: %s %s stands twice; keep one", ErrDocument, name, object.Kind, object.Name)
		}
		seen[object.Key()] = true
	}
	return document.Objects, nil
}

// SortObjects sorts objects by kind and name, for stable and readable output.
func SortObjects(objects []Object) {
	slices.SortFunc(objects, func(a, b Object) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
}
