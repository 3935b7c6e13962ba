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

// Symptom: a process ends when its settings change, or goes on with half of bad
// ones. Sequence: the file is replaced without a signal, with SIGHUP, by a bad
// one, and is gone for a moment.
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
	look := func() { clock.Advance(Pause) }
	write("two")
	look()
	require.Equal(t, "two", <-applied)
	write("bad")
	look()
	require.Equal(t, "bad", <-applied, "it is tried and refused")
	require.NoError(t, os.Remove(path))
	look()
	write("three")
	require.Eventually(t, func() bool { look(); return len(applied) > 0 }, 10*time.Second, time.Millisecond)
	require.Equal(t, "three", <-applied)
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	require.Equal(t, "three", <-applied, "a signal has the file read again")
	cancel()
	<-done
	require.Empty(t, applied)
}

// Symptom: settings that nobody wrote are refused with an error. Sequence: the file is
// written in place, and looked at between its truncation and the write. Cause: what was
// read then was taken for the new settings.
func TestFileThatIsBeingWrittenIsLeftAlone(t *testing.T) {
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
			require.Equal(t, test.want, due([]byte(test.known), []byte(test.text), test.signalled))
		})
	}
}
