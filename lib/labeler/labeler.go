// Package labeler holds labels and the selectors over them.
//
// A label is a key and a value that an operator attaches to an object or that
// an endpoint announces. A selector is a condition over labels in the syntax
// that operators know from Kubernetes ("tier=club,zone in (a, b),!drain"). The
// empty selector matches everything.
//
// Invariants: a Selector is immutable and safe for concurrent use, its zero
// value matches everything, and a selector that parsed never fails to match or
// not match.
package labeler

import (
	"github.com/ansel1/merry/v2"
	"k8s.io/apimachinery/pkg/labels"
	"k8s.io/apimachinery/pkg/util/validation"
)

// ErrSelector is the kind of every error about a selector's syntax.
var ErrSelector = merry.Sentinel("selector is malformed")

// ErrLabel is the kind of every error about a label's key or value.
var ErrLabel = merry.Sentinel("label is malformed")

// Labels maps a label's key to its value.
type Labels map[string]string

// Selector is a parsed condition over labels.
type Selector struct {
	text   string
	parsed labels.Selector
}

// Parse reads a selector. The error is an ErrSelector whose message names the
// remedy.
func Parse(text string) (Selector, error) {
	parsed, err := labels.Parse(text)
	if err != nil {
		return Selector{}, merry.Errorf("%w: %q: %v; write conditions such as \"tier=club,zone in (a, b),!drain\"",
			ErrSelector, text, err)
	}
	return Selector{text: text, parsed: parsed}, nil
}

// Matches tells whether the labels meet the condition.
func (s Selector) Matches(set Labels) bool {
	if s.parsed == nil {
		return true
	}
	return s.parsed.Matches(labels.Set(set))
}

// Empty tells whether the selector matches everything.
func (s Selector) Empty() bool {
	return s.parsed == nil || s.parsed.Empty()
}

// Keys lists the label keys that the condition mentions.
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

// String returns the selector as it was written.
func (s Selector) String() string {
	return s.text
}

// Check tells whether a label's key and value may be attached to an object.
func Check(key, value string) error {
	if problems := validation.IsQualifiedName(key); len(problems) > 0 {
		return merry.Errorf("%w: key %q: %s", ErrLabel, key, problems[0])
	}
	if problems := validation.IsValidLabelValue(value); len(problems) > 0 {
		return merry.Errorf("%w: value %q of %s: %s", ErrLabel, value, key, problems[0])
	}
	return nil
}
