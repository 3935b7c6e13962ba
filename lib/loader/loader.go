// Package loader reads settings files: JSON with comments, checked at start.
//
// Invariants: an unknown key, a value of the wrong type and a value that the
// program cannot use are all errors that name the file, the line and the
// remedy; nothing is silently ignored, because a misspelt key that is ignored
// looks like a setting that does not work.
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

// ErrSettings is the kind of every error about a settings file.
var ErrSettings = merry.Sentinel("settings are not usable")

// ErrJSON is the kind of every error about a text that is not the JSON expected.
var ErrJSON = merry.Sentinel("JSON is not usable")

// Problem is one value that a program cannot use.
type Problem struct {
	Key     string // the JSON key, for finding the line
	Message string
	Remedy  string
}

// Checked is implemented by settings that can tell what is wrong with them.
type Checked interface {
	Check() []Problem
}

// Load reads the file into settings, refuses unknown keys, and checks the
// result.
func Load(path string, settings Checked) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return merry.Errorf("%w: %v; name an existing file with --settings", ErrSettings, err)
	}
	return Decode(path, text, settings)
}

// Decode is Load for a text that has been read already; name stands in errors.
func Decode(name string, text []byte, settings Checked) error {
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
// anything behind the value are errors with file, line and remedy.
func Unmarshal(name string, text []byte, into any) error {
	// Standardizing blanks comments in place, so offsets still lead to lines.
	standard, err := hujson.Standardize(bytes.Clone(text))
	if err != nil {
		return merry.Errorf("%w: %s: %v; mend the JSON there", ErrJSON, name, err)
	}
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return merry.Errorf("%w: %s:%d: %v; correct or remove that key (see docs/OPERATING.md)",
			ErrJSON, name, lineOf(text, standard, into, err, decoder), err)
	}
	return nil
}

var unknownField = regexp.MustCompile(`unknown field "([^"]+)"`)

// lineOf finds the line of a decoding error. The decoder reports an unknown
// field without a position, so that one is searched for by its name.
func lineOf(text, standard []byte, into any, err error, decoder *json.Decoder) int {
	if found := unknownField.FindStringSubmatch(err.Error()); found != nil {
		return lineAt(text, int64(bytes.Index(text, []byte(`"`+found[1]+`"`))))
	}
	return lineAt(text, offsetOf(standard, into, err, decoder))
}

func offsetOf(standard []byte, into any, err error, decoder *json.Decoder) int64 {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return syntax.Offset
	}
	var kind *json.UnmarshalTypeError
	if errors.As(err, &kind) {
		return kind.Offset
	}
	if offset := locate(standard, into); offset >= 0 {
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

// Duration is a time.Duration that JSON writes as a text such as "250ms".
type Duration struct{ time.Duration }

// UnmarshalJSON reads a duration such as "1.5s".
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

// MarshalJSON writes the duration as a text.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(d.String())
}

// Or returns the duration, or a default where none was set.
func (d Duration) Or(standard time.Duration) time.Duration {
	if d.Duration == 0 {
		return standard
	}
	return d.Duration
}
