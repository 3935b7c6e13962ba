// Package loader reads and validates settings files, which are JSON with
// comments.
//
// Invariants: an unknown key, a value of the wrong type and a value that the
// program cannot use are errors that name the file, the line and the remedy.
// Nothing is silently ignored: an ignored misspelt key would seem to be a
// setting without effect.
package loader

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"regexp"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/tailscale/hujson"
)

// ErrSettings is wrapped by every error about a settings file.
var ErrSettings = merry.Sentinel("settings are not usable")

// ErrJSON is wrapped by every error about text that is not JSON of the expected
// shape.
var ErrJSON = merry.Sentinel("JSON is not usable")

// Problem describes one value that the program cannot use.
type Problem struct {
	Key     string // JSON key of the value; locates the line for the error
	Message string
	Remedy  string
}

// Checker is implemented by settings that validate themselves. Check returns no
// problems for usable settings.
type Checker interface {
	Check() []Problem
}

// Load decodes the settings file at path into settings, rejecting unknown keys,
// and validates the result. Errors wrap ErrSettings.
func Load(path string, settings Checker) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return merry.Errorf("%w: %v; name an existing file with --settings", ErrSettings, err)
	}
	return Decode(path, text, settings)
}

// Decode does the same as Load for text that has already been read. Errors
// refer to the text by name.
func Decode(name string, text []byte, settings Checker) error {
	if err := Unmarshal(name, text, settings); err != nil {
		return merry.Errorf("%w: %w", ErrSettings, err)
	}
	problems := settings.Check()
	if len(problems) == 0 {
		return nil
	}
	lines := make([]string, 0, len(problems))
	for _, problem := range problems {
		lines = append(lines, describe(name, text, problem))
	}
	return merry.Errorf("%w: %s", ErrSettings, strings.Join(lines, "\n  "))
}

// Unmarshal decodes JSON with comments strictly: unknown keys, wrong types and
// anything after the top-level value are errors. They wrap ErrJSON and name the
// file, the line and the remedy.
func Unmarshal(name string, text []byte, into any) error {
	// Standardize replaces comments by spaces, so offsets and lines are the same
	// as in the original text.
	standard, err := hujson.Standardize(bytes.Clone(text))
	if err != nil {
		return merry.Errorf("%w: %s: %v; mend the JSON there", ErrJSON, name, err)
	}
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return merry.Errorf("%w: %s:%d: %v; correct or remove that key (see docs/OPERATING.md)",
			ErrJSON, name, errorLine(text, standard, into, err, decoder), err)
	}
	return nil
}

var unknownField = regexp.MustCompile(`unknown field "([^"]+)"`)

// errorLine returns the line number, counted from 1, of a decoding error. The
// decoder reports an unknown field without a position, so its line is found by
// searching for the field's name.
func errorLine(text, standard []byte, into any, err error, decoder *json.Decoder) int {
	if found := unknownField.FindStringSubmatch(err.Error()); found != nil {
		return lineAt(text, int64(bytes.Index(text, []byte(`"`+found[1]+`"`))))
	}
	return lineAt(text, errorOffset(standard, into, err, decoder))
}

func errorOffset(standard []byte, into any, err error, decoder *json.Decoder) int64 {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return syntax.Offset
	}
	var kind *json.UnmarshalTypeError
	if errors.As(err, &kind) {
		return kind.Offset
	}
	if offset := locateFailure(standard, into); offset >= 0 {
		return offset
	}
	return decoder.InputOffset()
}

func lineAt(text []byte, offset int64) int {
	offset = min(max(offset, 0), int64(len(text)))
	return 1 + bytes.Count(text[:offset], []byte("\n"))
}

func describe(name string, text []byte, problem Problem) string {
	line := 1
	if at := bytes.Index(text, []byte(`"`+problem.Key+`"`)); at >= 0 {
		line = lineAt(text, int64(at))
	}
	return merry.Errorf("%s:%d: %s: %s; %s", name, line, problem.Key, problem.Message, problem.Remedy).Error()
}

// Duration is a time.Duration that is encoded in JSON as a string such as
// "250ms".
type Duration struct{ time.Duration }

// UnmarshalJSON decodes a string in the syntax of time.ParseDuration, such as
// "1.5s".
func (d *Duration) UnmarshalJSON(text []byte) error {
	var written string
	if err := json.Unmarshal(text, &written); err != nil {
		return merry.Errorf("duration %s is not a text; write for example \"250ms\"", text)
	}
	parsed, err := time.ParseDuration(written)
	if err != nil {
		return merry.Errorf("duration %q: %v; write for example \"250ms\"", written, err)
	}
	d.Duration = parsed
	return nil
}

// MarshalJSON encodes the duration as a string.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(d.String())
}

// Or returns the duration, or the fallback if the duration is zero (not set).
func (d Duration) Or(fallback time.Duration) time.Duration {
	if d.Duration == 0 {
		return fallback
	}
	return d.Duration
}
