// Package main is the keeper program of shallotkeel. The few keepers, which have
// disks, hold the state that must survive restarts.
package main

import (
	"context"
	"net/http"
	"os"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"shallotkeel.example/keeper/internal/server"
	"shallotkeel.example/keeper/internal/settings"
	"shallotkeel.example/lib/loader"
	"shallotkeel.example/lib/starter"
	"shallotkeel.example/platform"
)

const purpose = "Holds the replicated configuration, claims of idempotency keys and quarantined requests."

func main() {
	os.Exit(starter.Main("keeper", purpose, os.Args[1:], run))
}

// run loads the settings and runs a keeper until the context ends.
func run(ctx context.Context, options starter.Options, log zerolog.Logger) error {
	var read settings.Settings
	if err := loader.Load(options.Settings, &read); err != nil {
		return err
	}
	read.File = options.Settings
	if options.Check {
		return nil
	}
	starter.LimitMemory(read.Memory)
	clock := clockwork.NewRealClock()
	return server.Run(ctx, &read, log, clock, server.Platform{
		Handler: func(planner server.Planner) http.Handler {
			return platform.Control(planner, server.MaxPlanBytes, clock, log)
		},
		Services: platform.Dialect{}.Services,
	})
}
