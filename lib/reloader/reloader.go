// Package reloader tells a program that its settings file has changed.
//
// It looks at the file now and then, because a file may change without a signal,
// and at once on SIGHUP, which would otherwise end the process.
//
// Invariant: a file that cannot be read or used changes nothing but a line in the
// log; the settings in force stay.
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

// Pause is how often the file is looked at. It is read whole each time, a few
// kilobytes.
const Pause = time.Second

// Watch calls apply with the file's text each time it has changed, until the
// context ends.
func Watch(ctx context.Context, path string, clock clockwork.Clock, log zerolog.Logger, apply func(text []byte) error) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	known, err := os.ReadFile(path)
	if err != nil {
		log.Warn().Err(err).Str("file", path).Msg("settings cannot be read again; those in force stay")
	}
	ticker := clock.NewTicker(Pause)
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
		if err != nil || !due(known, text, signalled) {
			continue // a file that is being replaced is there again at the next look
		}
		known = text
		if err := apply(text); err != nil {
			log.Error().Err(err).Bool("signal", signalled).Msg("settings were not reloaded; those in force stay")
			continue
		}
		log.Info().Bool("signal", signalled).Msg("settings reloaded")
	}
}

// due tells whether a file's text is to be applied. One that is written in place is
// empty for a moment; applying that would log an error about settings that nobody
// wrote. Who signals hears of an empty file as well.
func due(known, text []byte, signalled bool) bool {
	return signalled || len(text) > 0 && !bytes.Equal(text, known)
}
