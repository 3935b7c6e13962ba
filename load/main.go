// Package main is the load program of shallotkeel: it sends requests of several
// workspaces to routers and checks every answer.
package main

import (
	"os"

	"shallotkeel.example/load/internal/runner"
)

func main() {
	os.Exit(runner.Main(os.Args[1:], os.Stdout, os.Stderr))
}
