package loader

import (
	"bytes"
	"encoding/json"
	"reflect"
)

// locate finds the value that does not decode, for errors that come without a
// position: those of types that read themselves, such as addresses and
// durations. It decodes one key at a time and returns the offset of the first
// that fails, or -1.
func locate(text []byte, into any) int64 {
	target := reflect.TypeOf(into).Elem()
	fails := func(candidate []byte) bool {
		return json.Unmarshal(candidate, reflect.New(target).Interface()) != nil
	}
	return locateIn(text, 0, func(object []byte) []byte { return object }, fails)
}

func locateIn(object []byte, base int64, wrap func([]byte) []byte, fails func([]byte) bool) int64 {
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
		name, _ := json.Marshal(key) // a text that was just decoded encodes again
		inner := func(value []byte) []byte {
			return wrap(bytes.Join([][]byte{[]byte("{"), name, []byte(":"), value, []byte("}")}, nil))
		}
		if !fails(inner(value)) {
			continue
		}
		start := base + decoder.InputOffset() - int64(len(value))
		return max(offset, locateIn(value, start, inner, fails))
	}
	return -1
}
