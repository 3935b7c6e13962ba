package reloader

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// Guards against a process that ends when its settings change, or that misses a
// change: the file is replaced without a signal, replaced by one that cannot be
// applied, missing for a moment, and reloaded by SIGHUP.
func TestChangesOfTheFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	write := func(text string) { require.NoError(t, os.WriteFile(path, []byte(text), 0o600)) }
	write("one")
	clock := clockwork.NewFakeClock()
	applied := make(chan string, 8)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		Watch(ctx, path, clock, zerolog.Nop(), func(text []byte) error {
			applied <- string(text)
			if string(text) == "bad" {
				return errors.New("bad settings")
			}
			return nil
		})
	}()
	require.NoError(t, clock.BlockUntilContext(ctx, 1))
	poll := func() { clock.Advance(PollInterval) }
	write("two")
	poll()
	require.Equal(t, "two", <-applied)
	write("bad")
	poll()
	require.Equal(t, "bad", <-applied, "apply is called and returns an error")
	require.NoError(t, os.Remove(path))
	poll()
	write("three")
	require.Eventually(t, func() bool { poll(); return len(applied) > 0 }, 10*time.Second, time.Millisecond)
	require.Equal(t, "three", <-applied)
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	require.Equal(t, "three", <-applied, "a signal makes the unchanged file be applied again")
	cancel()
	<-done
	require.Empty(t, applied)
}

// Guards against an error about settings that nobody wrote: the file is written in
// place, and a poll between the truncation and the write reads an empty file.
func TestPartiallyWrittenFileIsNotApplied(t *testing.T) {
	tests := map[string]struct {
		known, text string
		signalled   bool
		want        bool
	}{
		"unchanged":            {known: "one", text: "one"},
		"changed":              {known: "one", text: "two", want: true},
		"being written":        {known: "one", text: ""},
		"unchanged, signalled": {known: "one", text: "one", signalled: true, want: true},
		"empty, signalled":     {known: "one", text: "", signalled: true, want: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, test.want, shouldApply([]byte(test.known), []byte(test.text), test.signalled))
		})
	}
}
