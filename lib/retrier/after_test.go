package retrier_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shallotkeel.example/lib/retrier"
)

func TestParseRetryAfter(t *testing.T) {
	tests := map[string]struct {
		value string
		want  time.Duration
		wrong bool
	}{
		"whole":             {value: "3", want: 3 * time.Second},
		"fraction":          {value: " 0.25 ", want: 250 * time.Millisecond},
		"none":              {value: "0"},
		"above the maximum": {value: "1e300", want: 24 * time.Hour},
		"empty":             {wrong: true},
		"negative":          {value: "-1", wrong: true},
		"not a number":      {value: "NaN", wrong: true},
		"without a bound":   {value: "Inf", wrong: true},
		"date and time":     {value: "Fri, 31 Dec 1999 23:59:59 GMT", wrong: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := retrier.ParseRetryAfter(test.value)
			require.Equal(t, test.want, got)
			if test.wrong {
				require.ErrorIs(t, err, retrier.ErrRetryAfter)
				return
			}
			require.NoError(t, err)
		})
	}
}

func FuzzParseRetryAfter(f *testing.F) {
	f.Add("3")
	f.Add("1e400")
	f.Fuzz(func(t *testing.T, value string) {
		got, _ := retrier.ParseRetryAfter(value)
		require.GreaterOrEqual(t, got, time.Duration(0))
		require.LessOrEqual(t, got, 24*time.Hour)
	})
}
