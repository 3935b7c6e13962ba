// Package main is skctl, the operators' command line of a shallotkeel fleet.
package main

import (
	"os"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"shallotkeel.example/skctl/internal/commander"
)

func main() {
	commands := commander.Commander{
		In: os.Stdin, Out: os.Stdout, Err: os.Stderr,
		Clock: clockwork.NewRealClock(),
		NewID: uuid.NewString,
	}
	os.Exit(commands.Run(os.Args[1:]))
}
