// Package labeler defines labels and the selectors that match them.
//
// A label is a key and a value that an operator attaches to an object or that
// an endpoint announces. A selector is a condition over labels in the syntax of
// Kubernetes label selectors ("tier=club,zone in (a, b),!drain"). The empty
// selector matches everything.
//
// Invariants: a Selector is immutable and safe for concurrent use, its zero
// value matches everything, and matching with a parsed selector never returns
// an error.
package labeler

import (
	"github.com/ansel1/merry/v2"
	"k8s.io/apimachinery/pkg/labels"
	"k8s.io/apimachinery/pkg/util/validation"
)

// ErrSelector is wrapped by every error about a selector's syntax.
var ErrSelector = merry.Sentinel("selector is malformed")

// ErrLabel is wrapped by every error about a label's key or value.
var ErrLabel = merry.Sentinel("label is malformed")

// Labels maps label keys to values.
type Labels map[string]string

// Selector is a parsed condition over labels.
type Selector struct {
	text   string
	parsed labels.Selector
}

// Parse parses a selector. Errors wrap ErrSelector, and their text includes an
// example of the syntax.
func Parse(text string) (Selector, error) {
	parsed, err := labels.Parse(text)
	if err != nil {
		return Selector{}, merry.Errorf("%w: %q: %v; write conditions such as \"tier=club,zone in (a, b),!drain\"",
			ErrSelector, text, err)
	}
	return Selector{text: text, parsed: parsed}, nil
}

// Matches reports whether the labels satisfy the selector.
func (s Selector) Matches(set Labels) bool {
	if s.parsed == nil {
		return true
	}
	return s.parsed.Matches(labels.Set(set))
}

// Empty reports whether the selector has no conditions and so matches
// everything.
func (s Selector) Empty() bool {
	return s.parsed == nil || s.parsed.Empty()
}

// Keys returns the label keys that the selector refers to.
func (s Selector) Keys() []string {
	if s.parsed == nil {
		return nil
	}
	requirements, _ := s.parsed.Requirements()
	keys := make([]string, 0, len(requirements))
	for _, requirement := range requirements {
		keys = append(keys, requirement.Key())
	}
	return keys
}

// String returns the selector's source text.
func (s Selector) String() string {
	return s.text
}

// Check validates a label's key and value. Errors wrap ErrLabel.
func Check(key, value string) error {
	if problems := validation.IsQualifiedName(key); len(problems) > 0 {
		return merry.Errorf("%w: key %q: %s", ErrLabel, key, problems[0])
	}
	if problems := validation.IsValidLabelValue(value); len(problems) > 0 {
		return merry.Errorf("%w: value %q of %s: %s", ErrLabel, value, key, problems[0])
	}
	return nil
}
