// Package starter contains the code shared by the main functions of all programs:
// command line flags, version, logging, and shutdown on a signal.
//
// Invariants: a program exits with status 0 on success, 1 on failure and 2 on
// wrong usage; SIGTERM and SIGINT cancel the program's context, and the program
// then shuts down gracefully; SIGHUP, the signal to read the settings again, never
// ends a program.
package starter

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"
)

// Version is the program's version, set by the linker at build time.
var Version = "unknown"

// Exit statuses of every program.
const (
	StatusOK     = 0
	StatusFailed = 1
	StatusUsage  = 2
)

// Options are the flags of every server program.
type Options struct {
	Settings string `long:"settings" short:"s" value-name:"FILE" required:"yes" description:"settings file, JSON with comments"`
	Check    bool   `long:"check" description:"check the settings and stop"`
	LogLevel string `long:"log-level" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"least severe lines to log"`
}

// Program is the body of a server program. It runs until the context is
// cancelled.
type Program func(ctx context.Context, options Options, log zerolog.Logger) error

// Main runs a server program and returns its exit status.
func Main(name, purpose string, arguments []string, program Program) int {
	var options Options
	if status, stop := ParseFlags(name, purpose, arguments, &options); stop {
		return status
	}
	writer := newAsyncWriter(os.Stdout)
	defer writer.close()
	log := Logger(writer, name, options.LogLevel)
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	// Without a handler SIGHUP ends the process. A program handles it only from the time at which it
	// watches its settings until it stops.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	if err := program(ctx, options, log); err != nil {
		log.Error().Err(err).Msg("program failed; exiting")
		return StatusFailed
	}
	return StatusOK
}

// ParseFlags parses the arguments into options and handles --help and --version.
// If stop is true, the program must exit with the returned status.
func ParseFlags(name, purpose string, arguments []string, options any) (status int, stop bool) {
	var version struct {
		Version func() `long:"version" description:"print the version and stop"`
	}
	errVersion := errors.New("version")
	parser := flags.NewNamedParser(name, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = purpose
	printed := false
	version.Version = func() { printed = true }
	for _, group := range []any{options, &version} {
		if _, err := parser.AddGroup(name, purpose, group); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return StatusUsage, true
		}
	}
	_, err := parser.ParseArgs(arguments)
	if printed {
		err = errVersion
	}
	var flagError *flags.Error
	switch {
	case errors.Is(err, errVersion):
		fmt.Println(name, Version)
		return StatusOK, true
	case errors.As(err, &flagError) && flagError.Type == flags.ErrHelp:
		fmt.Println(err)
		return StatusOK, true
	case err != nil:
		fmt.Fprintln(os.Stderr, name+":", err)
		return StatusUsage, true
	}
	return StatusOK, false
}

// Logger returns a program's structured logger, which writes JSON lines to w. An
// unknown level means info.
func Logger(w io.Writer, name, level string) zerolog.Logger {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		parsed = zerolog.InfoLevel
	}
	zerolog.TimeFieldFormat = time.RFC3339Nano
	return zerolog.New(w).Level(parsed).With().Timestamp().Str("program", name).Logger()
}
