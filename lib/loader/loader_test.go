package loader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

type testSettings struct {
	Zone  string   `json:"zone"`
	Every Duration `json:"every"`
}

func (s *testSettings) Check() []Problem {
	if s.Zone == "" {
		return []Problem{{Key: "zone", Message: "is missing", Remedy: "name the availability zone"}}
	}
	return nil
}

func TestDecode(t *testing.T) {
	tests := map[string]struct {
		text string
		err  string
	}{
		"fine":                         {text: "{\n// where\n\"zone\": \"a\", \"every\": \"250ms\"}"},
		"unknown key":                  {text: "{\n\"zone\": \"a\",\n\"evry\": \"1s\"}", err: "f:3:"},
		"missing zone":                 {text: "{\n\n\"zone\": \"\"}", err: "f:3: zone: is missing; name the availability zone"},
		"malformed duration":           {text: `{"zone":"a","every":"soon"}`, err: "write for example"},
		"number instead of a duration": {text: `{"zone":"a","every":5}`, err: "write for example"},
		"trailing value":               {text: `{"zone":"a"} true`, err: "after top-level value"},
		"line after a comment":         {text: "{\n/* two\nlines */\n\"zone\": 7}", err: "f:4:"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var settings testSettings
			err := Decode("f", []byte(test.text), &settings)
			if test.err == "" {
				require.NoError(t, err)
				require.Equal(t, 250*time.Millisecond, settings.Every.Duration)
				return
			}
			require.ErrorIs(t, err, ErrSettings)
			require.ErrorContains(t, err, test.err)
		})
	}
	require.ErrorContains(t, Load("/nonexistent", &testSettings{}), "--settings")
}
