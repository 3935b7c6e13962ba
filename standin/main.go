// Package main is the standin program of shallotkeel: a fake model engine or
// plain service for tests, the demo and the bench, with faults on demand.
package main

import (
	"os"

	"shallotkeel.example/lib/starter"
	"shallotkeel.example/standin/internal/runner"
)

func main() {
	os.Exit(starter.Main("standin", "Stand in for a model engine or a plain service.", os.Args[1:], runner.Main))
}
