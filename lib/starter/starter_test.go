package starter

import (
	"context"
	"testing"

	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

func TestMain_ExitStatuses(t *testing.T) {
	tests := map[string]struct {
		arguments []string
		err       error
		want      int
		runs      bool
	}{
		"runs":                     {arguments: []string{"--settings", "f"}, want: StatusOK, runs: true},
		"fails":                    {arguments: []string{"--settings", "f"}, err: merry.New("no"), want: StatusFailed, runs: true},
		"version":                  {arguments: []string{"--version"}, want: StatusOK},
		"help":                     {arguments: []string{"--help"}, want: StatusOK},
		"no settings":              {want: StatusUsage},
		"unknown flag":             {arguments: []string{"--settings", "f", "--no"}, want: StatusUsage},
		"bad log level":            {arguments: []string{"--settings", "f", "--log-level", "x"}, want: StatusUsage},
		"version takes precedence": {arguments: []string{"--settings", "f", "--version"}, want: StatusOK},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ran := false
			status := Main("test", "tests", test.arguments, func(context.Context, Options, zerolog.Logger) error {
				ran = true
				return test.err
			})
			require.Equal(t, test.want, status)
			require.Equal(t, test.runs, ran)
		})
	}
}
