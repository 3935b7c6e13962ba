package loader

import (
	"bytes"
	"encoding/json"
	"reflect"
)

// locateFailure returns the offset of the first value in text that does not
// decode into the type of into, or -1 if it finds none. It serves errors without
// a position, which come from types with their own UnmarshalJSON or
// UnmarshalText, such as addresses and durations. It decodes one key at a time.
func locateFailure(text []byte, into any) int64 {
	target := reflect.TypeOf(into).Elem()
	fails := func(candidate []byte) bool {
		return json.Unmarshal(candidate, reflect.New(target).Interface()) != nil
	}
	return locateFailureIn(text, 0, func(object []byte) []byte { return object }, fails)
}

// locateFailureIn searches one object, which begins at offset base of the whole
// text, and descends into the first value that fails. Wrap puts an object in
// place of this one into its enclosing objects; fails reports whether the result
// does not decode.
func locateFailureIn(object []byte, base int64, wrap func([]byte) []byte, fails func([]byte) bool) int64 {
	decoder := json.NewDecoder(bytes.NewReader(object))
	if open, err := decoder.Token(); err != nil || open != json.Delim('{') {
		return -1
	}
	for decoder.More() {
		key, err := decoder.Token()
		if err != nil {
			return -1
		}
		offset := base + decoder.InputOffset()
		var value json.RawMessage
		if err := decoder.Decode(&value); err != nil {
			return -1
		}
		name, _ := json.Marshal(key) // cannot fail: the key is a string that was just decoded
		inner := func(value []byte) []byte {
			return wrap(bytes.Join([][]byte{[]byte("{"), name, []byte(":"), value, []byte("}")}, nil))
		}
		if !fails(inner(value)) {
			continue
		}
		start := base + decoder.InputOffset() - int64(len(value))
		return max(offset, locateFailureIn(value, start, inner, fails))
	}
	return -1
}
