// Package main is the load program of shallotkeel: callers of several
// workspaces that check every answer.
package main

import (
	"os"

	"shallotkeel.example/load/internal/runner"
)

func main() {
	os.Exit(runner.Main(os.Args[1:], os.Stdout, os.Stderr))
}
