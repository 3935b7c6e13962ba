package starter

import (
	"context"
	"os"
	"os/signal"
	"syscall"
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

// Guards against a change of the settings that ends a process and cuts its requests, because the
// signal arrives before the program watches its settings or while it stops.
func TestHangupEndsNoProgram(t *testing.T) {
	status := Main("test", "tests", []string{"--settings", "f"}, func(context.Context, Options, zerolog.Logger) error {
		require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
		hangups := make(chan os.Signal, 1)
		signal.Notify(hangups, syscall.SIGHUP)
		signal.Stop(hangups)
		return syscall.Kill(os.Getpid(), syscall.SIGHUP)
	})
	require.Equal(t, StatusOK, status)
}
