// Package reloader watches a program's settings file and applies changes.
//
// It polls the file, because a file may change without a signal, and reads it at
// once on SIGHUP, which would otherwise terminate the process.
//
// Invariant: a file that cannot be read or applied leaves the settings in force
// unchanged. A file that cannot be applied is logged as an error.
package reloader

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
)

// PollInterval is the interval at which the file is read. It is read completely
// each time; settings files have a few kilobytes.
const PollInterval = time.Second

// Watch calls apply with the file's text each time it has changed, and on each
// SIGHUP, until the context is done.
func Watch(ctx context.Context, path string, clock clockwork.Clock, log zerolog.Logger, apply func(text []byte) error) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	known, err := os.ReadFile(path)
	if err != nil {
		log.Warn().Err(err).Str("file", path).Msg("settings file cannot be read; the settings in force are kept")
	}
	ticker := clock.NewTicker(PollInterval)
	defer ticker.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		case <-hangups:
			signalled = true
		}
		text, err := os.ReadFile(path)
		if err != nil || !shouldApply(known, text, signalled) {
			continue // a file that is being replaced is read again at the next poll
		}
		known = text
		if err := apply(text); err != nil {
			log.Error().Err(err).Bool("signal", signalled).Msg("settings file cannot be applied; the settings in force are kept")
			continue
		}
		log.Info().Bool("signal", signalled).Msg("settings reloaded")
	}
}

// shouldApply reports whether the text of the file should be applied. A file that
// is written in place is empty for a moment; applying the empty text would log an
// error about settings that nobody wrote. After a signal an empty file is applied
// too, so that its error is logged.
func shouldApply(known, text []byte, signalled bool) bool {
	return signalled || len(text) > 0 && !bytes.Equal(text, known)
}
