// Package main is the router program of shallotkeel. A router accepts the requests
// of clients, the announcements of endpoints and the changes of operators, and
// schedules some of the pools of its availability zone.
package main

import (
	"context"
	"os"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"shallotkeel.example/lib/loader"
	"shallotkeel.example/lib/starter"
	"shallotkeel.example/router/internal/assembler"
	"shallotkeel.example/router/internal/director"
)

const purpose = "Routes requests of workspaces to model engines and plain services, in fair shares."

func main() {
	os.Exit(starter.Main("router", purpose, os.Args[1:], run))
}

// run checks the settings and serves until ctx ends. With platform settings it runs
// the router of that platform instead.
func run(ctx context.Context, options starter.Options, log zerolog.Logger) error {
	var settings assembler.Settings
	if err := loader.Load(options.Settings, &settings); err != nil {
		return err
	}
	if options.Check {
		return nil
	}
	if settings.Platform != nil {
		return director.New(*settings.Platform, options.Settings, log, clockwork.NewRealClock()).Run(ctx)
	}
	router, err := assembler.New(ctx, settings, log, clockwork.NewRealClock())
	if err != nil {
		return err
	}
	return router.Run(ctx)
}
